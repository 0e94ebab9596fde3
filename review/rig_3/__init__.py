"""Stand-ins and processes of the cases review/11 to review/15."""
