"""Program of an entry host on the users' machines."""
