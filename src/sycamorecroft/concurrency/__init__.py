"""Small helpers for actors and threads."""

from sycamorecroft.concurrency.published import Published
from sycamorecroft.concurrency.ticker import Ticker

__all__ = ["Published", "Ticker"]
