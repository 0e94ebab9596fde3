"""Limits on what a client account runs, across the owners of all services."""
