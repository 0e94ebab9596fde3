"""Explains to operators where a job would go now, and why."""
