"""Actor that owns the slot requests of this entry host, and its slot source."""

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
    Complete,
    Requester,
    RequesterDecision,
    SendHeld,
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

# The actor ends a ticket at its deadline; the waiting thread allows it this long.
_COMPLETION_GRACE_S = 0.5


class Acquire(NamedTuple):
    """A thread waits for a slot; ``future`` gets a grant or a refusal."""

    ticket: str
    demand: SlotDemand
    future: Future


class Release(NamedTuple):
    """A slot is no longer needed, or the thread no longer waits for it."""

    ticket: str
    service_time_s: float | None
    host_failed: bool


class FromOwner(NamedTuple):
    """An owner sent a batch."""

    owner: str
    batch: OwnerBatch


class StreamOpened(NamedTuple):
    """The stream to an owner works again."""

    owner: str


class RequesterTick(NamedTuple):
    """Handle what is due."""


class RequesterStatusRequest(NamedTuple):
    """Ask for :class:`RequesterStatus`."""


class RequesterStatus(NamedTuple):
    """Workers on which this entry host holds grants, and tickets that wait."""

    granted_hosts: frozenset[str]
    waiting_count: int


class RequesterActor(DaemonActor):
    """Owner of the requester state.

    :param send: sends a batch to the owner of a queue; must not block.
    :param check_peer: asks membership to check a silent owner.
    """

    def __init__(
        self,
        entry: str,
        clock: Clock,
        send: Callable[[str, RequesterBatch], None],
        check_peer: Callable[[str], None],
    ) -> None:
        super().__init__()
        self._entry = entry
        self._clock = clock
        self._send = send
        self._check_peer = check_peer
        self._requester = Requester(entry)
        self._futures: dict[str, Future] = {}

    def handle(self, message: object) -> object:
        now_s = self._clock.monotonic_s()
        match message:
            case Acquire(ticket, demand, future):
                self._futures[ticket] = future
                self._apply(self._requester.acquire(ticket, demand, now_s))
            case Release(ticket, service_time_s, host_failed):
                self._futures.pop(ticket, None)
                self._apply(
                    self._requester.release(ticket, service_time_s, host_failed)
                )
            case FromOwner(owner, batch):
                self._apply(self._requester.receive(owner, now_s, **batch._asdict()))
            case RequesterTick():
                self._apply(self._requester.tick(now_s))
            case StreamOpened(owner):
                self._apply(self._requester.resync(owner, now_s))
            case MembershipChanged(view):
                self._apply(self._requester.set_live(view.live, now_s))
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
                        RequesterBatch(self._entry, requests=(request,))
                    )
                case SendRelease(owner, release):
                    batches[owner].append(
                        RequesterBatch(self._entry, releases=(release,))
                    )
                case SendHeld(owner, services, held):
                    batches[owner].append(
                        RequesterBatch(self._entry, held=held, synced_services=services)
                    )
                case Complete(ticket, result):
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
            # The thread gave up at the same moment; the grant is not used.
            if isinstance(result, SlotGrant):
                self._apply(self._requester.release(ticket, None, False))


class ActorSlotSource(SlotSource):
    """Slot source for request threads.

    :param requester: reference of the :class:`RequesterActor`.
    :param wake: called before each ticket, so that ticks follow at once.
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
        self._requester.tell(Acquire(ticket, demand, future))
        remaining_s = max(0.0, demand.deadline_s - self._clock.monotonic_s())
        try:
            result = future.result(timeout=remaining_s + _COMPLETION_GRACE_S)
        except FutureTimeoutError:
            if future.cancel():
                self._requester.tell(Release(ticket, None, False))
                raise NotRunError(DEADLINE_REASON, "no slot in time") from None
            result = future.result()
        if isinstance(result, SlotRefusal):
            raise NotRunError(result.reason, f"no slot: {result.reason}")
        return result

    def release(
        self, grant: SlotGrant, *, service_time_s: float | None, host_failed: bool
    ) -> None:
        self._requester.tell(Release(grant.ticket, service_time_s, host_failed))
