"""Accepts jobs of callers and tells their state."""
