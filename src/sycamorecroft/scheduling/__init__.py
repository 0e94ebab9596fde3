"""Decides which task of which job runs on which worker of a service."""
