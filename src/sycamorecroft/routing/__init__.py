"""Routing of requests: slot grants by queue owners, dispatch by the entry hosts."""
