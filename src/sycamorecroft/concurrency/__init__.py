"""Small helpers for actors and threads."""

from sycamorecroft.concurrency.actor import DaemonActor
from sycamorecroft.concurrency.published import Published
from sycamorecroft.concurrency.ticker import Ticker, message_ticker

__all__ = ["DaemonActor", "Published", "Ticker", "message_ticker"]
