"""Routing: slots of workers at the owner, dispatch at the requesting host."""
