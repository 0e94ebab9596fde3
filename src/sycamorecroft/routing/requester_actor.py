"""Actor for the slot requests of this entry host, and the slot source that uses it."""

from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import (
    Future,
    InvalidStateError,
    TimeoutError as FutureTimeoutError,
)
from typing import NamedTuple

import pykka

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import DaemonActor
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.errors import NotRunError
from sycamorecroft.routing.interfaces import SlotDemand, SlotSource
from sycamorecroft.routing.messages import SlotGrant, SlotRefusal
from sycamorecroft.routing.owner_actor import (
    ConfigurationChanged,
    MembershipChanged,
)
from sycamorecroft.routing.requester import (
    DEADLINE_REASON,
    CompleteTicket,
    Requester,
    RequesterDecision,
    SendHeldGrants,
    SendRelease,
    SendRequest,
    SuspectOwner,
)
from sycamorecroft.routing.tickets import new_ticket
from sycamorecroft.rpc.codec import (
    OwnerBatch,
    RequesterBatch,
    merge_requester_batches,
)

# The actor completes a ticket at its deadline; the waiting thread allows this much
# longer for the result to arrive.
_COMPLETION_GRACE_S = 0.5


class AcquireSlot(NamedTuple):
    """Request a slot; ``future`` gets a grant or a refusal."""

    ticket: str
    demand: SlotDemand
    future: Future


class ReleaseSlot(NamedTuple):
    """Release a slot that is no longer needed or no longer waited for."""

    ticket: str
    service_time_s: float | None
    host_failed: bool


class OwnerBatchReceived(NamedTuple):
    """A batch from an owner has arrived."""

    owner: str
    batch: OwnerBatch


class StreamOpened(NamedTuple):
    """The stream to an owner has been reopened."""

    owner: str


class RequesterTick(NamedTuple):
    """Process tickets that are due."""


class RequesterStatusRequest(NamedTuple):
    """Request for :class:`RequesterStatus`."""


class RequesterStatus(NamedTuple):
    """Workers on which this entry host holds grants, and number of waiting tickets."""

    granted_hosts: frozenset[str]
    waiting_count: int


class RequesterActor(DaemonActor):
    """Processes the messages for the slot requests of this entry host.

    :param entry_host: name of this entry host.
    :param send: sends a batch to the owner of a queue; must not block.
    :param check_peer: asks membership to check an owner that did not answer.
    """

    def __init__(
        self,
        entry_host: str,
        clock: Clock,
        send: Callable[[str, RequesterBatch], None],
        check_peer: Callable[[str], None],
    ) -> None:
        super().__init__()
        self._entry_host = entry_host
        self._clock = clock
        self._send = send
        self._check_peer = check_peer
        self._requester = Requester(entry_host)
        self._futures: dict[str, Future] = {}

    def handle(self, message: object) -> object:
        now_s = self._clock.monotonic_s()
        match message:
            case AcquireSlot(ticket, demand, future):
                self._futures[ticket] = future
                self._apply(self._requester.acquire(ticket, demand, now_s))
            case ReleaseSlot(ticket, service_time_s, host_failed):
                self._futures.pop(ticket, None)
                self._apply(
                    self._requester.release(ticket, service_time_s, host_failed)
                )
            case OwnerBatchReceived(owner, batch):
                self._apply(self._requester.receive(owner, now_s, **batch._asdict()))
            case RequesterTick():
                self._apply(self._requester.tick(now_s))
            case StreamOpened(owner):
                self._apply(self._requester.resync(owner, now_s))
            case MembershipChanged(view):
                self._apply(self._requester.set_live_entry_hosts(view.live, now_s))
            case ConfigurationChanged(configuration):
                self._set_services(configuration)
            case RequesterStatusRequest():
                return RequesterStatus(
                    self._requester.granted_hosts(), self._requester.waiting_count
                )
        return None

    def _set_services(self, configuration: FleetConfiguration) -> None:
        self._requester.set_services(configuration.services)

    def _apply(self, decisions: list[RequesterDecision]) -> None:
        batches: dict[str, list[RequesterBatch]] = defaultdict(list)
        for decision in decisions:
            match decision:
                case SendRequest(owner, request):
                    batches[owner].append(
                        RequesterBatch(self._entry_host, requests=(request,))
                    )
                case SendRelease(owner, release):
                    batches[owner].append(
                        RequesterBatch(self._entry_host, releases=(release,))
                    )
                case SendHeldGrants(owner, services, held):
                    batches[owner].append(
                        RequesterBatch(
                            self._entry_host, held=held, synced_services=services
                        )
                    )
                case CompleteTicket(ticket, result):
                    self._complete(ticket, result)
                case SuspectOwner(owner):
                    self._check_peer(owner)
        for owner, parts in batches.items():
            self._send(owner, merge_requester_batches(parts))

    def _complete(self, ticket: str, result: SlotGrant | SlotRefusal) -> None:
        future = self._futures.pop(ticket, None)
        if future is None:
            return
        try:
            future.set_result(result)
        except InvalidStateError:
            # The waiting thread has cancelled the future, so the grant is unused.
            if isinstance(result, SlotGrant):
                self._apply(self._requester.release(ticket, None, False))


class ActorSlotSource(SlotSource):
    """Slot source for the threads that handle requests.

    :param requester: reference of the :class:`RequesterActor`.
    :param wake: called before each ticket, so that ticks become frequent at once.
    """

    def __init__(
        self, requester: pykka.ActorRef, clock: Clock, wake: Callable[[], object]
    ) -> None:
        self._requester = requester
        self._clock = clock
        self._wake = wake

    def acquire(self, demand: SlotDemand) -> SlotGrant:
        ticket = new_ticket(demand.service)
        future: Future = Future()
        self._wake()
        self._requester.tell(AcquireSlot(ticket, demand, future))
        remaining_s = max(0.0, demand.deadline_s - self._clock.monotonic_s())
        try:
            result = future.result(timeout=remaining_s + _COMPLETION_GRACE_S)
        except FutureTimeoutError:
            if future.cancel():
                self._requester.tell(ReleaseSlot(ticket, None, False))
                raise NotRunError(
                    DEADLINE_REASON, "no slot granted before the deadline"
                ) from None
            result = future.result()
        if isinstance(result, SlotRefusal):
            raise NotRunError(result.reason, f"slot request refused: {result.reason}")
        return result

    def release(
        self, grant: SlotGrant, *, service_time_s: float | None, host_failed: bool
    ) -> None:
        self._requester.tell(ReleaseSlot(grant.ticket, service_time_s, host_failed))
