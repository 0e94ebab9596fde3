"""Upkeep of machines in waves, and moves between pools."""
