"""Counts the bytes that a process exchanges over HTTP, by what they are used for."""

import threading
from typing import NamedTuple


class Traffic(NamedTuple):
    """Bytes sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0


class TrafficMeter:
    """Total traffic by use. Thread-safe; uses must have bounded cardinality."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals: dict[str, Traffic] = {}

    def record(self, use: str, sent_bytes: int, received_bytes: int) -> None:
        """Adds the traffic of one call."""
        with self._lock:
            total = self._totals.get(use, Traffic())
            self._totals[use] = Traffic(
                total.sent_bytes + sent_bytes, total.received_bytes + received_bytes
            )

    def totals(self) -> dict[str, Traffic]:
        """
        :returns: traffic since the start of the process, by use.
        """
        with self._lock:
            return dict(self._totals)
