"""State of one backend server of the stand-in: slots, faults and request ledger."""

import hashlib
import random
import threading
import time
from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, TypedDict

# Interval between checks whether a ``frozen`` fault has ended.
FROZEN_POLL_S = 0.02


class BackendFaultKind(StrEnum):
    """Faults of a backend server.

    ``REFUSE``: new connections are refused, and open ones are reset at the next
    request. ``RESET_BEFORE_READ``: the connection is reset before the body is read, and
    the request does not run. ``RESET_AFTER_READ``: the request runs, and the connection
    is reset instead of sending a response. ``TRUNCATED``: half of the response body is
    sent. ``SLOW``: the request takes ``delay_s`` longer. ``FROZEN``: no request makes
    progress until the fault ends. ``WRONG_BODY``: the response has the right length and
    a wrong digest. ``WRONG_ID``: the response has the id of another request.
    """

    REFUSE = "refuse"
    RESET_BEFORE_READ = "reset_before_read"
    RESET_AFTER_READ = "reset_after_read"
    TRUNCATED = "truncated"
    SLOW = "slow"
    FROZEN = "frozen"
    WRONG_BODY = "wrong_body"
    WRONG_ID = "wrong_id"


# Kinds that end after a duration or when cleared; requests don't consume them.
_CONTINUOUS_KINDS = (BackendFaultKind.REFUSE, BackendFaultKind.FROZEN)


class BackendFault(NamedTuple):
    """Fault of a backend server; lasts until cleared unless it is limited.

    :param count: number of requests affected; ignored for ``REFUSE`` and ``FROZEN``.
    :param duration_s: time after which the fault ends.
    :param delay_s: additional service time of ``SLOW``.
    """

    kind: BackendFaultKind
    count: int | None = None
    duration_s: float | None = None
    delay_s: float = 0.0


class LedgerEntry(TypedDict):
    """Request that a server ran. Times are monotonic seconds of the process.

    ``completed``: the service time has elapsed. ``answered``: the whole response was
    written to the socket.
    """

    server: str
    service: str
    request_id: str
    idempotency_key: str
    body_digest: str
    start_s: float
    end_s: float | None
    completed: bool
    answered: bool


class BackendSettings(NamedTuple):
    """Settings shared by all servers of a process.

    :param service_time_s: mean service time of services not in ``service_times_s``.
    :param service_times_s: mean service time by service.
    :param spread_ratio: standard deviation of the logarithm of the service time.
    :param seed: seed of the service times.
    """

    slots_count: int = 8
    connections_count: int = 64
    refusal_status: int = 503
    service_time_s: float = 0.02
    service_times_s: Mapping[str, float] = MappingProxyType({})
    spread_ratio: float = 0.0
    seed: int = 0


class _ActiveFault:
    def __init__(self, fault: BackendFault) -> None:
        self.fault = fault
        self.remaining_count = fault.count
        if fault.kind in _CONTINUOUS_KINDS:
            self.remaining_count = None
        duration_s = fault.duration_s
        self.end_s = None if duration_s is None else time.monotonic() + duration_s

    def has_ended(self) -> bool:
        is_expired = self.end_s is not None and time.monotonic() >= self.end_s
        return is_expired or self.remaining_count == 0


class BackendServer:
    """State of one backend server. Thread-safe."""

    def __init__(self, name: str, settings: BackendSettings) -> None:
        self.name = name
        self.settings = settings
        self._lock = threading.Lock()
        self._faults: list[_ActiveFault] = []
        self._busy_slots_count = 0
        self._connections_count = 0
        self._rejected_count = 0
        self._ledger: list[LedgerEntry] = []

    def set_fault(self, fault: BackendFault) -> None:
        """Adds a fault to those already set."""
        with self._lock:
            self._faults.append(_ActiveFault(fault))

    def clear_faults(self) -> None:
        """Ends all faults; a frozen server resumes."""
        with self._lock:
            self._faults.clear()

    def has_fault(self, kind: BackendFaultKind) -> bool:
        """
        :returns: whether a fault of this kind is active; its count stays unchanged.
        """
        with self._lock:
            return any(item.fault.kind is kind for item in self._active_faults())

    def consume_fault(self, kind: BackendFaultKind) -> BackendFault | None:
        """
        :returns: an active fault of this kind to apply to one request, ``None`` if none
            is set; its remaining count is decremented.
        """
        with self._lock:
            for item in self._active_faults():
                if item.fault.kind is kind:
                    if item.remaining_count is not None:
                        item.remaining_count -= 1
                    return item.fault
        return None

    def wait_while_frozen(self) -> None:
        """Blocks while a ``FROZEN`` fault is active."""
        while self.has_fault(BackendFaultKind.FROZEN):
            time.sleep(FROZEN_POLL_S)

    def open_connection(self) -> bool:
        """Counts a new connection.

        :returns: whether the connection is within the limit.
        """
        with self._lock:
            self._connections_count += 1
            return self._connections_count <= self.settings.connections_count

    def close_connection(self) -> None:
        """Stops counting a connection, whether or not it was within the limit."""
        with self._lock:
            self._connections_count -= 1

    def acquire_slot(self) -> bool:
        """Reserves a slot if one is free.

        :returns: whether a slot was reserved; the caller must then release it.
        """
        with self._lock:
            if self._busy_slots_count >= self.settings.slots_count:
                self._rejected_count += 1
                return False
            self._busy_slots_count += 1
            return True

    def release_slot(self) -> None:
        """Releases a slot reserved by :meth:`acquire_slot`."""
        with self._lock:
            self._busy_slots_count -= 1

    def service_time_s(self, service: str, request_id: str) -> float:
        """
        :returns: log-normally distributed time in seconds, which depends only on the
            seed, the service and the request id.
        """
        settings = self.settings
        mean_s = settings.service_times_s.get(service, settings.service_time_s)
        generator = random.Random(f"{settings.seed}/{service}/{request_id}")
        return mean_s * generator.lognormvariate(0.0, settings.spread_ratio)

    def record_start(
        self, service: str, request_id: str, idempotency_key: str, body: bytes
    ) -> LedgerEntry:
        """Records that a request has started.

        :returns: the new ledger entry, to be passed to the methods below.
        """
        entry = LedgerEntry(
            server=self.name,
            service=service,
            request_id=request_id,
            idempotency_key=idempotency_key,
            body_digest=hashlib.sha256(body).hexdigest(),
            start_s=time.monotonic(),
            end_s=None,
            completed=False,
            answered=False,
        )
        with self._lock:
            self._ledger.append(entry)
        return entry

    def record_completion(self, entry: LedgerEntry) -> None:
        """Records that a request has run to completion."""
        with self._lock:
            entry["end_s"] = time.monotonic()
            entry["completed"] = True

    def record_response(self, entry: LedgerEntry, is_answered: bool) -> None:
        """Records whether the whole response was written to the socket."""
        with self._lock:
            entry["answered"] = is_answered

    def ledger(self) -> list[LedgerEntry]:
        """
        :returns: copies of all entries, ordered by start time.
        """
        with self._lock:
            return [entry.copy() for entry in self._ledger]

    def clear_ledger(self) -> None:
        """Removes all entries."""
        with self._lock:
            self._ledger.clear()

    def rejected_count(self) -> int:
        """
        :returns: number of requests rejected because all slots were busy.
        """
        with self._lock:
            return self._rejected_count

    def _active_faults(self) -> list[_ActiveFault]:
        self._faults = [item for item in self._faults if not item.has_ended()]
        return self._faults
