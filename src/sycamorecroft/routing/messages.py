"""Messages between requesting entry hosts and the owner of a service queue.

All deadlines are on the monotonic clock of the process that handles the message;
the transport carries remaining times.
"""

from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency


class SlotRequest(NamedTuple):
    """Request for one slot of the service's pool. ``ticket`` is unique."""

    ticket: str
    requester: str
    service: str
    team: str
    urgency: Urgency
    deadline_s: float
    excluded_hosts: tuple[str, ...]


class SlotRelease(NamedTuple):
    """End of a grant, or withdrawal of a waiting request.

    ``service_time_s`` is ``None`` when nothing was dispatched. ``host_failed`` is set
    when the worker could not be reached, broke the response or refused it.
    """

    ticket: str
    requester: str
    service_time_s: float | None
    host_failed: bool


class HeldGrant(NamedTuple):
    """Grant that a requester holds from an earlier owner of the queue."""

    ticket: str
    requester: str
    service: str
    host: str
    deadline_s: float


class SlotGrant(NamedTuple):
    """Slot of a worker; ``address`` is ``ip:port``."""

    ticket: str
    requester: str
    host: str
    address: str


class SlotRefusal(NamedTuple):
    """Refusal of a request with a bounded reason code; nothing was run."""

    ticket: str
    requester: str
    reason: str


OwnerDecision = SlotGrant | SlotRefusal
