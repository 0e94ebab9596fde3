"""Daemon of an entry host, which schedules jobs on the fleet's hosts."""
