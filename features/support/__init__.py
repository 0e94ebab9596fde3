"""Callers, watchers and ledger checks shared by the steps."""
