"""Counts refusals and closes of a listener's connections, and logs them."""

import threading
from collections import Counter

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.entry.eviction import CloseReason
from sycamorecroft.metrics import CONNECTION_CLOSES, CONNECTION_REFUSALS
from sycamorecroft.recorder import Recorder

_log = structlog.get_logger(__name__)

LOG_INTERVAL_S = 1.0


class ConnectionReport:
    """Refusals and closes of one listener, by reason. Thread-safe.

    At most one line per ``LOG_INTERVAL_S`` is logged, with the counts since the last.

    :param listener: name of the listener, a value of a metric's attribute.
    """

    def __init__(self, listener: str, recorder: Recorder, clock: Clock) -> None:
        self._listener = listener
        self._recorder = recorder
        self._clock = clock
        self._lock = threading.Lock()
        self._refused: Counter[str] = Counter()
        self._closed: Counter[str] = Counter()
        self._logged_s = float("-inf")

    def count_refusal(self, reason: CloseReason) -> None:
        """Counts a request or connection that got a response of refusal."""
        self._recorder.count(
            CONNECTION_REFUSALS, listener=self._listener, reason=reason.value
        )
        with self._lock:
            self._refused[reason.value] += 1

    def count_close(self, reason: CloseReason) -> None:
        """Counts a connection that was closed without a response."""
        self._recorder.count(
            CONNECTION_CLOSES, listener=self._listener, reason=reason.value
        )
        if reason in (CloseReason.IDLE_TIMEOUT, CloseReason.REFUSAL_READ):
            # The ordinary end of a kept connection, and of one that was counted before.
            return
        with self._lock:
            self._closed[reason.value] += 1

    def log(self, held_bytes: int, connections_count: int) -> None:
        """Logs what was counted since the last line, unless that was just now.

        :param held_bytes: bytes that the process holds.
        :param connections_count: open connections of the listener.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_empty = not self._refused and not self._closed
            if is_empty or now_s - self._logged_s < LOG_INTERVAL_S:
                return
            refused, self._refused = self._refused, Counter()
            closed, self._closed = self._closed, Counter()
            self._logged_s = now_s
        _log.info(
            "connections_limited",
            listener=self._listener,
            refused=dict(refused),
            closed=dict(closed),
            held_bytes=held_bytes,
            connections_count=connections_count,
        )
