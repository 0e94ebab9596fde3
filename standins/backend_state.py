"""State of one backend server of the stand-in: slots, faults and ledger."""

import hashlib
import random
import threading
import time
from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, TypedDict

# A pause between checks whether a frozen server has resumed or a fault is over.
FROZEN_POLL_S = 0.02


class BackendFaultKind(StrEnum):
    """Faults of a backend server.

    ``REFUSE``: connections are refused, and open ones are reset at the next request.
    ``RESET_BEFORE_READ``: the connection is reset before the body is read, and nothing
    runs. ``RESET_AFTER_READ``: the request runs and the connection is reset instead of
    an answer. ``TRUNCATED``: half of the answer's body is sent. ``SLOW``: the request
    takes ``delay_s`` longer. ``FROZEN``: nothing proceeds until the fault is over.
    ``WRONG_BODY``: an answer of the right length with another digest. ``WRONG_ID``: the
    answer names another request.
    """

    REFUSE = "refuse"
    RESET_BEFORE_READ = "reset_before_read"
    RESET_AFTER_READ = "reset_after_read"
    TRUNCATED = "truncated"
    SLOW = "slow"
    FROZEN = "frozen"
    WRONG_BODY = "wrong_body"
    WRONG_ID = "wrong_id"


# These last for a time and aren't used up by requests.
_LASTING_KINDS = (BackendFaultKind.REFUSE, BackendFaultKind.FROZEN)


class BackendFault(NamedTuple):
    """A fault; without ``count`` and ``duration_s`` it lasts until it is cleared.

    ``count`` is a number of requests; ``refuse`` and ``frozen`` ignore it.
    """

    kind: BackendFaultKind
    count: int | None = None
    duration_s: float | None = None
    delay_s: float = 0.0


class LedgerEntry(TypedDict):
    """A request that a server ran. Times are monotonic seconds of the process.

    ``completed``: the work was done. ``answered``: the whole answer was handed to
    the socket.
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
    """Settings that all servers of a process share.

    ``service_times_s`` has the mean service time by service; ``spread_ratio`` is the
    standard deviation of its logarithm.
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
        if fault.kind in _LASTING_KINDS:
            self.remaining_count = None
        duration_s = fault.duration_s
        self.end_s = None if duration_s is None else time.monotonic() + duration_s

    def is_over(self) -> bool:
        is_late = self.end_s is not None and time.monotonic() >= self.end_s
        return is_late or self.remaining_count == 0


class BackendServer:
    """One backend server. Thread-safe."""

    def __init__(self, name: str, settings: BackendSettings) -> None:
        self.name = name
        self.settings = settings
        self._lock = threading.Lock()
        self._faults: list[_ActiveFault] = []
        self._busy_count = 0
        self._connections_count = 0
        self._refused_count = 0
        self._ledger: list[LedgerEntry] = []

    def set_fault(self, fault: BackendFault) -> None:
        """Adds a fault to those already set."""
        with self._lock:
            self._faults.append(_ActiveFault(fault))

    def clear_faults(self) -> None:
        """Removes all faults; a frozen server resumes."""
        with self._lock:
            self._faults.clear()

    def has_fault(self, kind: BackendFaultKind) -> bool:
        """
        :returns: whether a fault of this kind is set; it isn't used up.
        """
        with self._lock:
            return any(item.fault.kind is kind for item in self._current_faults())

    def take_fault(self, kind: BackendFaultKind) -> BackendFault | None:
        """
        :returns: a fault for one request, or ``None``; a count goes down by one.
        """
        with self._lock:
            for item in self._current_faults():
                if item.fault.kind is kind:
                    if item.remaining_count is not None:
                        item.remaining_count -= 1
                    return item.fault
        return None

    def wait_while_frozen(self) -> None:
        """Returns once the server isn't frozen."""
        while self.has_fault(BackendFaultKind.FROZEN):
            time.sleep(FROZEN_POLL_S)

    def open_connection(self) -> bool:
        """
        :returns: whether the connection is within the limit.
        """
        with self._lock:
            self._connections_count += 1
            return self._connections_count <= self.settings.connections_count

    def close_connection(self) -> None:
        """Ends a connection, within the limit or not."""
        with self._lock:
            self._connections_count -= 1

    def take_slot(self) -> bool:
        """
        :returns: whether a slot was free; it must then be returned.
        """
        with self._lock:
            if self._busy_count >= self.settings.slots_count:
                self._refused_count += 1
                return False
            self._busy_count += 1
            return True

    def return_slot(self) -> None:
        """Frees a slot."""
        with self._lock:
            self._busy_count -= 1

    def service_time_s(self, service: str, request_id: str) -> float:
        """
        :returns: time that depends only on the seed, the service and the request id.
        """
        settings = self.settings
        mean_s = settings.service_times_s.get(service, settings.service_time_s)
        source = random.Random(f"{settings.seed}/{service}/{request_id}")
        return mean_s * source.lognormvariate(0.0, settings.spread_ratio)

    def begin(
        self, service: str, request_id: str, idempotency_key: str, body: bytes
    ) -> LedgerEntry:
        """Records that a request starts to run."""
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

    def complete(self, entry: LedgerEntry) -> None:
        """Records that the work of a request was done."""
        with self._lock:
            entry["end_s"] = time.monotonic()
            entry["completed"] = True

    def record_answered(self, entry: LedgerEntry, answered: bool) -> None:
        """Records whether the whole answer was handed to the socket."""
        with self._lock:
            entry["answered"] = answered

    def ledger(self) -> list[LedgerEntry]:
        """
        :returns: copies of all entries, in the order of their start.
        """
        with self._lock:
            return [entry.copy() for entry in self._ledger]

    def clear_ledger(self) -> None:
        """Forgets all entries."""
        with self._lock:
            self._ledger.clear()

    def refused_count(self) -> int:
        """
        :returns: requests refused because all slots were busy.
        """
        with self._lock:
            return self._refused_count

    def _current_faults(self) -> list[_ActiveFault]:
        self._faults = [item for item in self._faults if not item.is_over()]
        return self._faults
