"""Job scheduling, request routing, host capacity and maintenance of a fleet."""

__all__ = ["__version__"]

__version__ = "0.1.0"
