"""Messages between requesting entry hosts and the owner of a service queue.

Deadlines are on the monotonic clock of the process that handles the message; the
transport carries the remaining times.
"""

from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency


class SlotRequest(NamedTuple):
    """Request for one slot of the service's pool, identified by its unique ticket."""

    ticket: str
    requester: str
    service: str
    team: str
    urgency: Urgency
    deadline_s: float
    excluded_hosts: tuple[str, ...]


class SlotRelease(NamedTuple):
    """End of a grant, or withdrawal of a waiting request.

    ``service_time_s`` is ``None`` if nothing was dispatched. ``host_failed`` is set if
    the worker was unreachable, refused the request or sent an invalid response.
    """

    ticket: str
    requester: str
    service_time_s: float | None
    host_failed: bool


class HeldGrant(NamedTuple):
    """Grant by a former owner of the queue that a requester still holds."""

    ticket: str
    requester: str
    service: str
    host: str
    deadline_s: float


class SlotGrant(NamedTuple):
    """Granted slot of a worker; ``address`` is ``ip:port``."""

    ticket: str
    requester: str
    host: str
    address: str


class SlotRefusal(NamedTuple):
    """Refusal of a request that has not run; ``reason`` is a code of a fixed set."""

    ticket: str
    requester: str
    reason: str


OwnerDecision = SlotGrant | SlotRefusal
