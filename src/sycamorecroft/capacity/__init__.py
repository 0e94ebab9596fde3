"""Moves machines between a pool and the standby pools as demand changes."""
