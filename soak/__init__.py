"""Randomised soak: real nodes as processes, faults from outside, promises checked."""
