"""Randomised soak of node processes under external faults, checking guarantees."""
