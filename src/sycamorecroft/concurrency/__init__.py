"""Base classes and helpers for actors, shared snapshots and periodic threads."""

from sycamorecroft.concurrency.actor import DaemonActor, tell_if_alive
from sycamorecroft.concurrency.published import PublishedValue
from sycamorecroft.concurrency.ticker import Ticker, message_ticker

__all__ = ["DaemonActor", "PublishedValue", "Ticker", "message_ticker", "tell_if_alive"]
