"""Limits of the requests and body bytes that an entry host holds at the same time."""

from collections import Counter
from threading import Lock
from typing import NamedTuple

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency

# Limit of requests in flight on an entry host. It is below the host's 512 threads so
# that no admitted request waits for a thread (docs/design.md, section 5.7).
REQUESTS_LIMIT_COUNT = 400

# Requests of the limit that are reserved for services below their equal share.
RESERVED_REQUESTS_COUNT = 64

# Limits buffered bodies to 32 of the largest size (8 MiB) at the same time.
BODY_LIMIT_BYTES = 256 * 1024 * 1024

# The same proportion of the byte limit as ``RESERVED_REQUESTS_COUNT`` of the requests.
RESERVED_BODY_BYTES = BODY_LIMIT_BYTES * RESERVED_REQUESTS_COUNT // REQUESTS_LIMIT_COUNT


class RequestFlow(NamedTuple):
    """Service, urgency and team: requests with the same values share one threshold."""

    service: str
    urgency: Urgency
    team: str


class SharedLimit:
    """Amount shared by services and, within a service, by classes and teams.

    A service gets an equal share plus what other services leave unused; the last
    ``reserved`` units are available only to services within their equal share. A flow
    gets at most as much as is unused (dynamic threshold; Choudhury and Hahne, IEEE/ACM
    ToN 1998), so k flooding flows leave 1 / (k + 1) of the total to all others.
    """

    def __init__(self, total: int, reserved: int, services_count: int) -> None:
        self._total = total
        self._reserved = reserved
        self._used = 0
        self._used_by_service: Counter[str] = Counter()
        self._used_by_flow: Counter[RequestFlow] = Counter()
        self.set_services_count(services_count)

    def set_services_count(self, services_count: int) -> None:
        self._share = self._total // max(1, services_count)

    def allows_service(self, service: str, amount: int) -> bool:
        """
        :returns: whether the service may acquire the amount now.
        """
        unused = self._total - self._used - amount
        if unused < 0:
            return False
        is_within_share = self._used_by_service[service] + amount <= self._share
        return is_within_share or unused >= self._reserved

    def allows_flow(self, flow: RequestFlow, amount: int) -> bool:
        """
        :returns: whether the flow may acquire the amount now.
        """
        return self._used_by_flow[flow] + amount <= self._total - self._used

    def acquire(self, flow: RequestFlow, amount: int) -> None:
        self._used += amount
        self._used_by_service[flow.service] += amount
        self._used_by_flow[flow] += amount

    def release(self, flow: RequestFlow, amount: int) -> None:
        self._used -= amount
        _subtract(self._used_by_service, flow.service, amount)
        _subtract(self._used_by_flow, flow, amount)

    @property
    def used(self) -> int:
        return self._used


class InFlightLimit:
    """Limits of one entry host. Thread-safe; blocks only on its own lock."""

    def __init__(
        self,
        services_count: int,
        *,
        requests_limit_count: int = REQUESTS_LIMIT_COUNT,
        reserved_requests_count: int = RESERVED_REQUESTS_COUNT,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
        reserved_body_bytes: int = RESERVED_BODY_BYTES,
    ) -> None:
        self._requests = SharedLimit(
            requests_limit_count, reserved_requests_count, services_count
        )
        self._bytes = SharedLimit(body_limit_bytes, reserved_body_bytes, services_count)
        self._lock = Lock()

    def set_services_count(self, services_count: int) -> None:
        """
        :param services_count: number of services in the configuration in force.
        """
        with self._lock:
            self._requests.set_services_count(services_count)
            self._bytes.set_services_count(services_count)

    def admit(self, flow: RequestFlow, body_bytes: int) -> AdmissionRefusal | None:
        """Admits the request if the limits allow it.

        The caller calls :meth:`release` for each admitted request.

        :returns: reason of the refusal, ``None`` if the request is admitted.
        """
        with self._lock:
            if not self._requests.allows_service(flow.service, 1):
                return AdmissionRefusal.ENTRY_PLACES
            if not self._bytes.allows_service(flow.service, body_bytes):
                return AdmissionRefusal.ENTRY_BYTES
            if not self._allows_flow(flow, body_bytes):
                return AdmissionRefusal.ENTRY_FLOW
            self._requests.acquire(flow, 1)
            self._bytes.acquire(flow, body_bytes)
            return None

    def release(self, flow: RequestFlow, body_bytes: int) -> None:
        """Releases what an admitted request holds."""
        with self._lock:
            self._requests.release(flow, 1)
            self._bytes.release(flow, body_bytes)

    def _allows_flow(self, flow: RequestFlow, body_bytes: int) -> bool:
        allows_request = self._requests.allows_flow(flow, 1)
        return allows_request and self._bytes.allows_flow(flow, body_bytes)

    @property
    def admitted_count(self) -> int:
        return self._requests.used


def _subtract(counter: Counter, key: object, amount: int) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
