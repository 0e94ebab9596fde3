"""Small helpers for actors and threads."""

from sycamorecroft.concurrency.actor import DaemonActor, tell_if_alive
from sycamorecroft.concurrency.published import Published
from sycamorecroft.concurrency.ticker import Ticker, message_ticker

__all__ = ["DaemonActor", "Published", "Ticker", "message_ticker", "tell_if_alive"]
