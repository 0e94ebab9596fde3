"""Actor that owns the queues of the services assigned to this entry host."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import DaemonActor, PublishedValue
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.membership.ownership import owner_of
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.state import PoolView
from sycamorecroft.routing.messages import OwnerDecision, SlotGrant, SlotRequest
from sycamorecroft.routing.owner import Membership, OwnerStatus, QueueOwner
from sycamorecroft.routing.tickets import service_of
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch

_log = structlog.get_logger()

# A new owner grants nothing until it knows the grants of the former owner: until all
# members have told theirs, and at most this long, which is the time after which a
# silent member is checked directly.
TAKEOVER_TIMEOUT_S = 0.3

OwnerStatuses = Mapping[str, OwnerStatus]


class OwnerTick(NamedTuple):
    """Handle what is due."""


class ViewChanged(NamedTuple):
    """A newer view of the hosts."""

    view: PoolView


class ConfigurationChanged(NamedTuple):
    """Another configuration version is in force."""

    configuration: FleetConfiguration


class MembershipChanged(NamedTuple):
    """A new view of the entry hosts."""

    view: MembershipView


class GrantedHostsRequest(NamedTuple):
    """Ask for :class:`GrantedHosts`."""


class GrantedHosts(NamedTuple):
    """Workers with grants, and the pool view that was applied before."""

    view_version: int
    hosts: frozenset[str]


class OwnerActor(DaemonActor):
    """Owner of queues and slot tables.

    :param send: sends a batch to a requester; must not block.
    :param check_peer: asks membership to check a peer that should own a queue.
    :param statuses: holder that this actor publishes to.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[str, OwnerBatch], None],
        check_peer: Callable[[str], None],
        statuses: PublishedValue[OwnerStatuses],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._send = send
        self._check_peer = check_peer
        self._statuses = statuses
        self._is_busy = PublishedValue(False)
        self._configuration: FleetConfiguration | None = None
        self._view = PoolView(0, {})
        self._membership: MembershipView | None = None
        self._queues: dict[str, QueueOwner] = {}
        # Members whose held grants a queue that was taken over still waits for.
        self._unsynced: dict[str, set[str]] = {}

    @property
    def is_busy(self) -> PublishedValue[bool]:
        """Whether requests wait or hold slots, so that ticks are due often."""
        return self._is_busy

    def handle(self, message: object) -> object:
        now_s = self._clock.monotonic_s()
        match message:
            case RequesterBatch():
                self._receive(message, now_s)
            case OwnerTick():
                self._tick(now_s)
            case ViewChanged(view):
                self._view = view
                self._each(lambda queue: queue.view_changed(view, now_s))
            case ConfigurationChanged(configuration):
                self._configuration = configuration
                self._reassign(now_s)
                self._each(
                    lambda queue: queue.configuration_changed(configuration, now_s)
                )
            case MembershipChanged(view):
                self._set_membership(view, now_s)
            case GrantedHostsRequest():
                return self._granted_hosts()
        return None

    def _receive(self, batch: RequesterBatch, now_s: float) -> None:
        decisions: list[OwnerDecision] = []
        if batch.requests or batch.held:
            self._is_busy.set(True)
        for release in batch.releases:
            queue = self._queues.get(service_of(release.ticket))
            if queue is not None:
                decisions += queue.release(release, now_s)
        for held in batch.held:
            queue = self._queues.get(held.service)
            if queue is not None:
                decisions += queue.held(held, now_s)
        for service in batch.synced_services:
            decisions += self._note_synced(service, batch.sender, now_s)
        queued, disclaimed = [], []
        for request in batch.requests:
            if self._accept(request, decisions, now_s):
                queued.append(request.ticket)
            else:
                disclaimed.append(request.ticket)
        self._acknowledge(batch.sender, queued, disclaimed)
        self._deliver(decisions)

    def _accept(
        self, request: SlotRequest, decisions: list[OwnerDecision], now_s: float
    ) -> bool:
        """
        :returns: whether this entry host owns the queue of the request.
        """
        service = request.service
        queue = self._queues.get(service)
        if queue is None:
            self._check_owner(service)
            return False
        decisions += queue.request(request, now_s)
        return True

    def _check_owner(self, service: str) -> None:
        """Checks the owner that a requester seems to be unable to reach."""
        if self._membership is None:
            return
        owner = owner_of(service, self._membership.live)
        if owner not in (None, self._membership.own_entry):
            self._check_peer(owner)

    def _acknowledge(
        self, requester: str, queued: list[str], disclaimed: list[str]
    ) -> None:
        if queued or disclaimed:
            self._send(
                requester,
                OwnerBatch(queued=tuple(queued), disclaimed=tuple(disclaimed)),
            )

    def _tick(self, now_s: float) -> None:
        self._each(lambda queue: queue.tick(now_s))
        statuses = {name: queue.status() for name, queue in self._queues.items()}
        self._statuses.set(statuses)
        in_use = any(
            status.granted_count or sum(status.waiting_counts.values())
            for status in statuses.values()
        )
        self._is_busy.set(in_use)

    def _note_synced(
        self, service: str, member: str, now_s: float
    ) -> list[OwnerDecision]:
        unsynced = self._unsynced.get(service)
        if unsynced is None:
            return []
        unsynced.discard(member)
        if unsynced:
            return []
        del self._unsynced[service]
        return self._queues[service].start_granting(now_s)

    def _set_membership(self, view: MembershipView, now_s: float) -> None:
        former = self._membership
        self._membership = view
        if former is not None and former[:-1] == view[:-1]:
            # Only digests differ.
            return
        self._reassign(now_s)
        membership = self._routing_membership(view)
        self._each(lambda queue: queue.membership_changed(membership, now_s))
        for unsynced in self._unsynced.values():
            unsynced &= set(view.reached)

    @staticmethod
    def _routing_membership(view: MembershipView) -> Membership:
        return Membership(frozenset(view.reached), view.expected_count)

    def _reassign(self, now_s: float) -> None:
        """Takes over and hands over queues after a change."""
        if self._membership is None or self._configuration is None:
            return
        view = self._membership
        owned = {
            service
            for service in self._configuration.services
            if owner_of(service, view.live) == view.own_entry
        }
        for service in self._queues.keys() - owned:
            self._hand_over(service, now_s)
        for service in owned - self._queues.keys():
            self._take_over(service, view, now_s)

    def _take_over(self, service: str, view: MembershipView, now_s: float) -> None:
        assert self._configuration is not None
        _log.info("queue_taken_over", service=service)
        self._is_busy.set(True)
        self._queues[service] = QueueOwner(
            service,
            self._configuration,
            self._view,
            self._routing_membership(view),
            now_s,
            grant_from_s=now_s + TAKEOVER_TIMEOUT_S,
        )
        self._unsynced[service] = set(view.reached)

    def _hand_over(self, service: str, now_s: float) -> None:
        _log.info("queue_handed_over", service=service)
        queue = self._queues.pop(service)
        self._unsynced.pop(service, None)
        by_requester: dict[str, list[str]] = defaultdict(list)
        for refusal in queue.hand_over(now_s):
            by_requester[refusal.requester].append(refusal.ticket)
        for requester, tickets in by_requester.items():
            self._acknowledge(requester, [], tickets)

    def _each(self, action: Callable[[QueueOwner], list[OwnerDecision]]) -> None:
        for queue in self._queues.values():
            self._deliver(action(queue))

    def _deliver(self, decisions: list[OwnerDecision]) -> None:
        if not decisions:
            return
        by_requester: dict[str, list[OwnerDecision]] = defaultdict(list)
        for decision in decisions:
            by_requester[decision.requester].append(decision)
        for requester, own in by_requester.items():
            grants = tuple(d for d in own if isinstance(d, SlotGrant))
            refusals = [d for d in own if not isinstance(d, SlotGrant)]
            moved = tuple(
                r.ticket for r in refusals if r.reason == AdmissionRefusal.NOT_OWNER
            )
            final = tuple(r for r in refusals if r.reason != AdmissionRefusal.NOT_OWNER)
            self._send(requester, OwnerBatch(grants, final, moved))

    def _granted_hosts(self) -> GrantedHosts:
        hosts = (queue.granted_hosts() for queue in self._queues.values())
        return GrantedHosts(self._view.version, frozenset().union(*hosts))
