"""Small helpers for actors and threads."""

from sycamorecroft.concurrency.actor import DaemonActor
from sycamorecroft.concurrency.published import Published
from sycamorecroft.concurrency.ticker import Ticker

__all__ = ["DaemonActor", "Published", "Ticker"]
