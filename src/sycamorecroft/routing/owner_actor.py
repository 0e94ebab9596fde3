"""Actor for the service queues that this entry host owns."""

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
from sycamorecroft.routing.owner import OwnerStatus, QueueMembership, QueueOwner
from sycamorecroft.routing.tickets import service_of
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch

_log = structlog.get_logger()

# A new owner grants nothing until all members have reported the grants that they hold
# from the former owner, and waits for them at most this long. After the same time a
# member that does not answer is checked directly.
TAKEOVER_TIMEOUT_S = 0.3

OwnerStatuses = Mapping[str, OwnerStatus]


class OwnerTick(NamedTuple):
    """Process due events of all queues."""


class ViewChanged(NamedTuple):
    """The view of the hosts has changed."""

    view: PoolView


class ConfigurationChanged(NamedTuple):
    """Another configuration version is in force."""

    configuration: FleetConfiguration


class MembershipChanged(NamedTuple):
    """The view of the entry hosts has changed."""

    view: MembershipView


class GrantedHostsRequest(NamedTuple):
    """Request for :class:`GrantedHosts`."""


class GrantedHosts(NamedTuple):
    """Workers with grants, and the version of the pool view applied so far."""

    view_version: int
    hosts: frozenset[str]


class OwnerActor(DaemonActor):
    """Processes the messages for the queues that this entry host owns.

    :param send: sends a batch to a requester; must not block.
    :param check_peer: asks membership to check the entry host that should own a queue.
    :param statuses: value to which the statuses of the queues are published.
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
        # By service taken over: members that have not yet reported their held grants.
        self._unsynced_members: dict[str, set[str]] = {}

    @property
    def is_busy(self) -> PublishedValue[bool]:
        """Whether requests wait or hold slots, so that frequent ticks are needed."""
        return self._is_busy

    def handle(self, message: object) -> object:
        now_s = self._clock.monotonic_s()
        match message:
            case RequesterBatch():
                self._process_batch(message, now_s)
            case OwnerTick():
                self._tick(now_s)
            case ViewChanged(view):
                self._view = view
                self._for_each_queue(lambda queue: queue.view_changed(view, now_s))
            case ConfigurationChanged(configuration):
                self._configuration = configuration
                self._reassign(now_s)
                self._for_each_queue(
                    lambda queue: queue.configuration_changed(configuration, now_s)
                )
            case MembershipChanged(view):
                self._set_membership(view, now_s)
            case GrantedHostsRequest():
                return self._granted_hosts()
        return None

    def _process_batch(self, batch: RequesterBatch, now_s: float) -> None:
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
                decisions += queue.restore_grant(held, now_s)
        for service in batch.synced_services:
            decisions += self._mark_synced(service, batch.sender, now_s)
        queued, disclaimed = [], []
        for request in batch.requests:
            if self._accept(request, decisions, now_s):
                queued.append(request.ticket)
            else:
                disclaimed.append(request.ticket)
        self._acknowledge(batch.sender, queued, disclaimed)
        self._send_decisions(decisions)

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
        """Checks the owner of the service, which the requester may not reach."""
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
        self._for_each_queue(lambda queue: queue.tick(now_s))
        statuses = {name: queue.status() for name, queue in self._queues.items()}
        self._statuses.set(statuses)
        is_in_use = any(
            status.granted_count or sum(status.waiting_counts.values())
            for status in statuses.values()
        )
        self._is_busy.set(is_in_use)

    def _mark_synced(
        self, service: str, member: str, now_s: float
    ) -> list[OwnerDecision]:
        unsynced_members = self._unsynced_members.get(service)
        if unsynced_members is None:
            return []
        unsynced_members.discard(member)
        if unsynced_members:
            return []
        del self._unsynced_members[service]
        return self._queues[service].start_granting(now_s)

    def _set_membership(self, view: MembershipView, now_s: float) -> None:
        former = self._membership
        self._membership = view
        if former is not None and former[:-1] == view[:-1]:
            # Only the digests differ, which routing doesn't use.
            return
        self._reassign(now_s)
        membership = self._routing_membership(view)
        self._for_each_queue(lambda queue: queue.membership_changed(membership, now_s))
        for unsynced_members in self._unsynced_members.values():
            unsynced_members &= set(view.reached)

    @staticmethod
    def _routing_membership(view: MembershipView) -> QueueMembership:
        return QueueMembership(frozenset(view.reached), view.expected_count)

    def _reassign(self, now_s: float) -> None:
        """Takes over and transfers queues after a change of members or services."""
        if self._membership is None or self._configuration is None:
            return
        view = self._membership
        owned = {
            service
            for service in self._configuration.services
            if owner_of(service, view.live) == view.own_entry
        }
        for service in self._queues.keys() - owned:
            self._transfer(service, now_s)
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
        self._unsynced_members[service] = set(view.reached)

    def _transfer(self, service: str, now_s: float) -> None:
        _log.info("queue_transferred", service=service)
        queue = self._queues.pop(service)
        self._unsynced_members.pop(service, None)
        by_requester: dict[str, list[str]] = defaultdict(list)
        for refusal in queue.transfer(now_s):
            by_requester[refusal.requester].append(refusal.ticket)
        for requester, tickets in by_requester.items():
            self._acknowledge(requester, [], tickets)

    def _for_each_queue(
        self, action: Callable[[QueueOwner], list[OwnerDecision]]
    ) -> None:
        for queue in self._queues.values():
            self._send_decisions(action(queue))

    def _send_decisions(self, decisions: list[OwnerDecision]) -> None:
        if not decisions:
            return
        by_requester: dict[str, list[OwnerDecision]] = defaultdict(list)
        for decision in decisions:
            by_requester[decision.requester].append(decision)
        for requester, requester_decisions in by_requester.items():
            grants = tuple(d for d in requester_decisions if isinstance(d, SlotGrant))
            refusals = [d for d in requester_decisions if not isinstance(d, SlotGrant)]
            transferred = tuple(
                r.ticket for r in refusals if r.reason == AdmissionRefusal.NOT_OWNER
            )
            final_refusals = tuple(
                r for r in refusals if r.reason != AdmissionRefusal.NOT_OWNER
            )
            self._send(requester, OwnerBatch(grants, final_refusals, transferred))

    def _granted_hosts(self) -> GrantedHosts:
        hosts = (queue.granted_hosts() for queue in self._queues.values())
        return GrantedHosts(self._view.version, frozenset().union(*hosts))
