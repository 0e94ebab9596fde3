"""Counters of calls to the platform by purpose, operation and outcome."""

import threading
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.store.interfaces import StorePurpose


class StoreOperation(StrEnum):
    """Whether a call reads or changes state."""

    READ = "read"
    WRITE = "write"


class CallOutcome(StrEnum):
    """Outcome of a call.

    ``REJECTED``: the platform did not accept the request. ``BUDGET_EXCEEDED`` and
    ``BREAKER_OPEN``: the call was not sent to the platform.
    """

    OK = "ok"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REJECTED = "rejected"
    BUDGET_EXCEEDED = "budget_exceeded"
    BREAKER_OPEN = "breaker_open"


class CallKind(NamedTuple):
    """Key of a counter."""

    purpose: StorePurpose
    operation: StoreOperation
    outcome: CallOutcome


class CallCount(NamedTuple):
    """Number of calls of one kind since the start of the process."""

    kind: CallKind
    count: int


class CallCounters:
    """Monotonic call counters. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[CallKind] = Counter()

    def add(self, kind: CallKind) -> None:
        with self._lock:
            self._counts[kind] += 1

    def snapshot(self) -> tuple[CallCount, ...]:
        """
        :returns: counts of all kinds that have occurred, ordered by kind.
        """
        with self._lock:
            items = sorted(self._counts.items())
        return tuple(CallCount(kind, count) for kind, count in items)
