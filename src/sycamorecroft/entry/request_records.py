"""Record of recent requests without a response: refused ones and unknown outcomes."""

import threading
from collections import Counter, OrderedDict
from typing import NamedTuple

from sycamorecroft.clock import Clock

RECORDS_LIMIT_COUNT = 2000
"""Chosen: about 2 MB; a flood pushes older records out, and its own are all alike."""

RECENT_PERIOD_S = 60.0
MESSAGE_LIMIT_CHARACTERS = 300


class RequestStep(NamedTuple):
    """One step of the handling of a request; ``host`` is the worker of an attempt."""

    step: str
    result: str
    host: str | None
    duration_ms: float


class RequestRecord(NamedTuple):
    """A request that was not run or whose outcome is unknown. Holds no body.

    ``ended_at`` is wall time as ISO 8601, ``ended_s`` monotonic time in seconds.
    """

    request_id: str
    ended_at: str
    ended_s: float
    service: str | None
    team: str | None
    urgency: str | None
    outcome: str
    reason: str
    message: str
    body_bytes: int
    duration_ms: float
    steps: tuple[RequestStep, ...]


class RecentCount(NamedTuple):
    """Records of one service and reason that ended within the last minute."""

    service: str | None
    outcome: str
    reason: str
    count: int


class RequestRecords:
    """Latest records by request id. Thread-safe; lost when the process ends."""

    def __init__(self, clock: Clock, *, limit_count: int = RECORDS_LIMIT_COUNT) -> None:
        """
        :param clock: tells which records are recent.
        :param limit_count: number of records kept.
        """
        self._clock = clock
        self._limit_count = limit_count
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, record: RequestRecord) -> None:
        """Keeps a record; the oldest one goes when there are too many."""
        with self._lock:
            self._records[record.request_id] = record
            if len(self._records) > self._limit_count:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """
        :returns: the record of a request, ``None`` if there is none any more.
        """
        with self._lock:
            return self._records.get(request_id)

    def recent_counts(self) -> tuple[RecentCount, ...]:
        """
        :returns: counts by service and reason over the last minute, highest first.
        """
        since_s = self._clock.monotonic_s() - RECENT_PERIOD_S
        counts: Counter[tuple] = Counter()
        with self._lock:
            records = tuple(self._records.values())
        for record in reversed(records):
            if record.ended_s < since_s:
                break
            counts[record.service, record.outcome, record.reason] += 1
        return tuple(RecentCount(*key, count) for key, count in counts.most_common())
