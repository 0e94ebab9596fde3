"""Records of recent requests that were not run or whose outcome is unknown."""

import threading
from collections import Counter, OrderedDict
from typing import NamedTuple

from sycamorecroft.clock import Clock

RECORDS_LIMIT_COUNT = 2000
"""About 2 MB. A flood of refusals evicts older records, but its own are all alike."""

RECENT_PERIOD_S = 60.0
MESSAGE_LIMIT_CHARACTERS = 300


class RequestStep(NamedTuple):
    """A step in handling a request; ``host`` is the worker host of an attempt."""

    step: str
    result: str
    host: str | None
    duration_ms: float


class RequestRecord(NamedTuple):
    """A request that was not run or whose outcome is unknown, without its body.

    ``ended_at`` is wall time in ISO 8601, ``ended_s`` is monotonic time in seconds.
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
    """Number of records with one service, outcome and reason in the last minute."""

    service: str | None
    outcome: str
    reason: str
    count: int


class RequestRecords:
    """Bounded in-memory store of the latest records by request id. Thread-safe."""

    def __init__(self, clock: Clock, *, limit_count: int = RECORDS_LIMIT_COUNT) -> None:
        """
        :param clock: clock that determines which records are recent.
        :param limit_count: maximum number of records kept.
        """
        self._clock = clock
        self._limit_count = limit_count
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, record: RequestRecord) -> None:
        """Stores a record and evicts the oldest one if there are too many."""
        with self._lock:
            self._records[record.request_id] = record
            if len(self._records) > self._limit_count:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """
        :returns: the record of a request, ``None`` if none is kept.
        """
        with self._lock:
            return self._records.get(request_id)

    def recent_counts(self) -> tuple[RecentCount, ...]:
        """
        :returns: counts by service, outcome and reason over the last minute, highest
            first.
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
