"""Callers, watchers and judgements that the steps share."""
