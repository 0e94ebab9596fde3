"""Limit of the requests and body bytes that an entry host holds at once."""

from collections import Counter
from threading import Lock
from typing import NamedTuple

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency

PLACES_COUNT = 400
"""Requests admitted at an entry host; below its 512 threads, so that no request waits
for a thread (section 5.7)."""

KEPT_PLACES_COUNT = 64
"""Last places, kept for services below their equal share (section 5.7)."""

BODY_BUDGET_BYTES = 256 * 1024 * 1024
"""Bounds buffered bodies to 32 of the largest (8 MiB) at once."""

KEPT_BODY_BYTES = BODY_BUDGET_BYTES * KEPT_PLACES_COUNT // PLACES_COUNT
"""Same part of the byte budget as of the places."""


class EntryFlow(NamedTuple):
    """Requests that compete with all others for the places of an entry host."""

    service: str
    urgency: Urgency
    team: str


class SharedLimit:
    """Amount shared by services and, within a service, by classes and teams.

    A service gets an equal share, plus what others leave idle; the last ``kept``
    units go only to services that stay within their equal share. A flow gets at most
    as much as is idle (dynamic threshold; Choudhury and Hahne, IEEE/ACM ToN 1998), so
    k flooding flows leave a part of 1 / (k + 1) to all others.
    """

    def __init__(self, total: int, kept: int, services_count: int) -> None:
        self._total = total
        self._kept = kept
        self._used = 0
        self._used_by_service: Counter[str] = Counter()
        self._used_by_flow: Counter[EntryFlow] = Counter()
        self.set_services_count(services_count)

    def set_services_count(self, services_count: int) -> None:
        self._share = self._total // max(1, services_count)

    def allows_service(self, service: str, amount: int) -> bool:
        """
        :returns: whether the service may take the amount now.
        """
        idle = self._total - self._used - amount
        if idle < 0:
            return False
        is_within_share = self._used_by_service[service] + amount <= self._share
        return is_within_share or idle >= self._kept

    def allows_flow(self, flow: EntryFlow, amount: int) -> bool:
        """
        :returns: whether the flow may take the amount now.
        """
        return self._used_by_flow[flow] + amount <= self._total - self._used

    def take(self, flow: EntryFlow, amount: int) -> None:
        self._used += amount
        self._used_by_service[flow.service] += amount
        self._used_by_flow[flow] += amount

    def give_back(self, flow: EntryFlow, amount: int) -> None:
        self._used -= amount
        _subtract(self._used_by_service, flow.service, amount)
        _subtract(self._used_by_flow, flow, amount)

    @property
    def used(self) -> int:
        return self._used


class EntryLimit:
    """Limit of one entry host. Thread-safe; never blocks on anything but its lock."""

    def __init__(
        self,
        services_count: int,
        *,
        places_count: int = PLACES_COUNT,
        kept_places_count: int = KEPT_PLACES_COUNT,
        body_budget_bytes: int = BODY_BUDGET_BYTES,
        kept_body_bytes: int = KEPT_BODY_BYTES,
    ) -> None:
        self._places = SharedLimit(places_count, kept_places_count, services_count)
        self._bytes = SharedLimit(body_budget_bytes, kept_body_bytes, services_count)
        self._lock = Lock()

    def set_services_count(self, services_count: int) -> None:
        """
        :param services_count: number of services in the configuration in force.
        """
        with self._lock:
            self._places.set_services_count(services_count)
            self._bytes.set_services_count(services_count)

    def admit(self, flow: EntryFlow, body_bytes: int) -> AdmissionRefusal | None:
        """Takes a place; the caller gives it back by :meth:`leave` if admitted.

        :returns: reason of the refusal, ``None`` if admitted.
        """
        with self._lock:
            if not self._places.allows_service(flow.service, 1):
                return AdmissionRefusal.ENTRY_PLACES
            if not self._bytes.allows_service(flow.service, body_bytes):
                return AdmissionRefusal.ENTRY_BYTES
            if not self._allows_flow(flow, body_bytes):
                return AdmissionRefusal.ENTRY_FLOW
            self._places.take(flow, 1)
            self._bytes.take(flow, body_bytes)
            return None

    def leave(self, flow: EntryFlow, body_bytes: int) -> None:
        """Gives back the place and the bytes of an admitted request."""
        with self._lock:
            self._places.give_back(flow, 1)
            self._bytes.give_back(flow, body_bytes)

    def _allows_flow(self, flow: EntryFlow, body_bytes: int) -> bool:
        has_place = self._places.allows_flow(flow, 1)
        return has_place and self._bytes.allows_flow(flow, body_bytes)

    @property
    def admitted_count(self) -> int:
        return self._places.used


def _subtract(counter: Counter, key: object, amount: int) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
