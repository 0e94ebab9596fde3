"""Moves hosts between pools, standby pools included, as demand changes."""
