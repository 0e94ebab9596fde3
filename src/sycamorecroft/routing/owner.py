"""Owner of one service queue: decides which request gets a slot of which worker."""

from collections import OrderedDict
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from sycamorecroft.admission.class_queue import QueuedRequest
from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.admission.service_queue import ServiceQueue
from sycamorecroft.configuration.fleet import FleetConfiguration, Urgency
from sycamorecroft.pools.state import PoolView
from sycamorecroft.routing.grants import EndedTickets, Grant, GrantTable
from sycamorecroft.routing.messages import (
    HeldGrant,
    OwnerDecision,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sycamorecroft.routing.slots import SlotTable

RECLAIM_AFTER_S = 2.0
"""Time after which the grants of a lost requester are reclaimed (docs/design.md,
section 5.1)."""

PARKED_ATTEMPTS_COUNT = 4
"""Parked requests that each decision retries at most, which limits its cost."""


class QueueMembership(NamedTuple):
    """Entry hosts from the point of view of a queue owner.

    ``reached`` contains the m registered entry hosts that the owner reaches, itself
    included; ``registered_count`` is the number n of registered entry hosts.
    """

    reached: frozenset[str]
    registered_count: int


class OwnerStatus(NamedTuple):
    """Status of a queue for metrics and for the operator's command-line tool.

    ``parked_count`` counts requests for which all free workers are excluded.
    """

    waiting_counts: Mapping[Urgency, int]
    parked_count: int
    granted_count: int
    slots_count: int
    limit_count: int
    ejected_count: int
    ejected_hosts: tuple[str, ...] = ()


class QueueOwner:
    """Queue and slots of one service. Not thread-safe; used by a single actor.

    The methods that handle an event take the owner's monotonic time and return the
    decisions to send.
    """

    def __init__(
        self,
        service: str,
        configuration: FleetConfiguration,
        view: PoolView,
        membership: QueueMembership,
        now_s: float,
        *,
        random: Random | None = None,
        grant_from_s: float | None = None,
    ) -> None:
        """
        :param random: random generator for the selection among equally loaded workers.
        :param grant_from_s: monotonic time before which nothing is granted. An owner
            that takes over a queue waits for the held grants of all requesters,
            because it would otherwise grant occupied slots.
        """
        self.service = service
        self._random = random or Random()
        self._grant_from_s = now_s if grant_from_s is None else grant_from_s
        self._configuration = configuration
        self._view = view
        self._membership = membership
        self._queue = ServiceQueue(self._weights())
        self._slots = self._build_slot_table(now_s)
        self._grants = GrantTable()
        self._parked: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._lost_since_s: dict[str, float] = {}
        self._ended = EndedTickets()

    def request(self, request: SlotRequest, now_s: float) -> list[OwnerDecision]:
        """Handles a request for a slot.

        A duplicate of a granted request is answered with the same grant, and one whose
        ticket was used for a dispatch is refused. A refused or withdrawn ticket may be
        sent again, as requesters do if the queue is transferred and then returns.
        """
        ticket = request.ticket
        self._lost_since_s.pop(request.requester, None)
        decisions = self._process_due(now_s)
        grant = self._grants.get(ticket)
        if grant is not None:
            if grant.requester == request.requester:
                decisions.append(grant.to_message())
            return decisions
        if ticket in self._queue or ticket in self._parked:
            return decisions
        if ticket in self._ended:
            reason = AdmissionRefusal.TICKET_ENDED
            decisions.append(SlotRefusal(ticket, request.requester, reason))
            return decisions
        reason = self._admit(request, now_s)
        if reason is not None:
            decisions.append(SlotRefusal(ticket, request.requester, reason))
            return decisions
        return self._grant_free_slots(decisions, now_s)

    def release(self, release: SlotRelease, now_s: float) -> list[OwnerDecision]:
        """Handles the end of a grant or the withdrawal of a waiting request."""
        decisions = self._process_due(now_s)
        ticket = release.ticket
        grant = self._grants.get(ticket)
        if grant is not None:
            if grant.requester != release.requester:
                return decisions
            self._end_grant(grant, release.service_time_s, release.host_failed, now_s)
        else:
            self._withdraw(ticket, now_s)
        if release.service_time_s is not None or release.host_failed:
            self._ended.add(ticket)
        return self._grant_free_slots(decisions, now_s)

    def restore_grant(self, held: HeldGrant, now_s: float) -> list[OwnerDecision]:
        """Occupies the slot of a former owner's grant that a requester still holds."""
        self._lost_since_s.pop(held.requester, None)
        decisions = self._process_due(now_s)
        ticket = held.ticket
        is_known = ticket in self._grants or ticket in self._ended
        if is_known or held.deadline_s <= now_s or held.service != self.service:
            return decisions
        self._withdraw(ticket, now_s)
        grant = Grant(ticket, held.requester, held.host, "", None)
        self._grants.add(grant, held.deadline_s)
        self._slots.restore_grant(held.host, ticket)
        return self._grant_free_slots(decisions, now_s)

    def start_granting(self, now_s: float) -> list[OwnerDecision]:
        """Starts to grant slots once all requesters have reported their held grants."""
        self._grant_from_s = min(self._grant_from_s, now_s)
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[OwnerDecision]:
        """Processes expired requests and grants, due probes and free slots."""
        return self._grant_free_slots(self._process_due(now_s), now_s)

    def view_changed(self, view: PoolView, now_s: float) -> list[OwnerDecision]:
        """Applies a new view of the hosts; ignores an older one."""
        if view.version >= self._view.version:
            self._view = view
            self._slots.apply_view(view, now_s)
        return self.tick(now_s)

    def configuration_changed(
        self, configuration: FleetConfiguration, now_s: float
    ) -> list[OwnerDecision]:
        """Applies the teams' weights, and the pool if the service has changed it."""
        if configuration.version < self._configuration.version:
            return self.tick(now_s)
        self._configuration = configuration
        self._queue.set_weights(self._weights())
        if self._pool_name() != self._slots.pool:
            self._slots = self._build_slot_table(now_s)
            for grant in self._grants:
                self._slots.restore_grant(grant.host, grant.ticket)
        return self.tick(now_s)

    def membership_changed(
        self, membership: QueueMembership, now_s: float
    ) -> list[OwnerDecision]:
        """Applies m and n; refuses the waiting requests of lost requesters.

        The grants of a lost requester are reclaimed after ``RECLAIM_AFTER_S`` unless a
        message from it arrives before.
        """
        self._membership = membership
        self._slots.set_share(len(membership.reached), membership.registered_count)
        holders = {grant.requester for grant in self._grants}
        lost = holders - membership.reached
        self._lost_since_s = {
            requester: self._lost_since_s.get(requester, now_s) for requester in lost
        }
        decisions = self._process_due(now_s)
        decisions += self._refuse_lost_requesters(now_s)
        return self._grant_free_slots(decisions, now_s)

    def transfer(self, now_s: float) -> list[OwnerDecision]:
        """Refuses all waiting requests because the queue has another owner.

        Granted slots stay occupied until their release or deadline.
        """
        waiting = list(self._waiting_requests())
        return [
            self._refuse(request, AdmissionRefusal.NOT_OWNER, now_s)
            for request in waiting
        ]

    def granted_hosts(self) -> frozenset[str]:
        """
        :returns: workers with a grant of this queue, including draining ones.
        """
        return self._slots.occupied_hosts()

    def status(self) -> OwnerStatus:
        return OwnerStatus(
            waiting_counts={
                urgency: self._queue.waiting_count(urgency) for urgency in Urgency
            },
            parked_count=len(self._parked),
            granted_count=len(self._grants),
            slots_count=self._slots.slots_count,
            limit_count=self._slots.limit_count,
            ejected_count=self._slots.ejected_count,
            ejected_hosts=self._slots.ejected_hosts(),
        )

    def _admit(self, request: SlotRequest, now_s: float) -> str | None:
        if self.service not in self._configuration.services:
            return AdmissionRefusal.UNKNOWN_SERVICE
        return self._queue.offer(
            request, now_s, self._slots.limit_count, self._slots.free_count
        )

    def _grant_free_slots(
        self, decisions: list[OwnerDecision], now_s: float
    ) -> list[OwnerDecision]:
        """Grants free slots, first to parked requests, then in queue order."""
        if now_s < self._grant_from_s:
            return decisions
        if self._parked:
            self._retry_parked(decisions, now_s)
        while self._slots.has_capacity():
            queued = self._queue.take(now_s, self._slots.limit_count)
            if queued is None:
                break
            if not self._try_grant(queued, decisions, now_s):
                self._parked[queued.request.ticket] = queued
        return decisions

    def _retry_parked(self, decisions: list[OwnerDecision], now_s: float) -> None:
        for ticket in list(self._parked)[:PARKED_ATTEMPTS_COUNT]:
            if not self._slots.has_capacity():
                return
            if self._try_grant(self._parked[ticket], decisions, now_s):
                del self._parked[ticket]
            else:
                self._parked.move_to_end(ticket)

    def _try_grant(
        self, queued: QueuedRequest, decisions: list[OwnerDecision], now_s: float
    ) -> bool:
        """Grants a slot to the request unless it excludes all free workers.

        :returns: whether a slot was granted.
        """
        request = queued.request
        excluded = request.excluded_hosts
        if excluded and self._slots.is_every_active_worker_excluded(excluded):
            excluded = ()
        host = self._slots.choose(excluded)
        if host is None:
            return False
        self._slots.grant(host, request.ticket, now_s)
        address = self._slots.address_of(host)
        grant = Grant(request.ticket, request.requester, host, address, queued)
        self._grants.add(grant, request.deadline_s)
        decisions.append(grant.to_message())
        return True

    def _process_due(self, now_s: float) -> list[OwnerDecision]:
        for grant in self._grants.pop_expired(now_s):
            self._end_grant(grant, None, False, now_s)
        if self._lost_since_s:
            self._reclaim_lost_grants(now_s)
        self._slots.start_due_probes(now_s)
        decisions: list[OwnerDecision] = []
        for refused in self._queue.expire(now_s):
            request = refused.request
            decisions.append(
                SlotRefusal(request.ticket, request.requester, refused.reason)
            )
        if self._parked:
            self._expire_parked(decisions, now_s)
        return decisions

    def _expire_parked(self, decisions: list[OwnerDecision], now_s: float) -> None:
        expired = [
            queued.request
            for queued in self._parked.values()
            if queued.latest_start_s <= now_s
        ]
        for request in expired:
            decisions.append(self._refuse(request, AdmissionRefusal.DEADLINE, now_s))

    def _reclaim_lost_grants(self, now_s: float) -> None:
        due_requesters = {
            requester
            for requester, lost_since_s in self._lost_since_s.items()
            if now_s - lost_since_s >= RECLAIM_AFTER_S
        }
        if not due_requesters:
            return
        for grant in self._grants:
            if grant.requester in due_requesters:
                self._end_grant(grant, None, False, now_s)
        for requester in due_requesters:
            del self._lost_since_s[requester]

    def _refuse_lost_requesters(self, now_s: float) -> list[OwnerDecision]:
        reached = self._membership.reached
        lost = [
            request
            for request in self._waiting_requests()
            if request.requester not in reached
        ]
        return [
            self._refuse(request, AdmissionRefusal.REQUESTER_DROPPED, now_s)
            for request in lost
        ]

    def _waiting_requests(self) -> list[SlotRequest]:
        parked = [queued.request for queued in self._parked.values()]
        return parked + list(self._queue.requests())

    def _refuse(
        self, request: SlotRequest, reason: AdmissionRefusal, now_s: float
    ) -> SlotRefusal:
        self._withdraw(request.ticket, now_s)
        return SlotRefusal(request.ticket, request.requester, reason)

    def _withdraw(self, ticket: str, now_s: float) -> None:
        queued = self._parked.pop(ticket, None)
        if queued is not None:
            self._queue.finish(queued, None, now_s)
        else:
            self._queue.withdraw(ticket)

    def _end_grant(
        self,
        grant: Grant,
        service_time_s: float | None,
        host_failed: bool,
        now_s: float,
    ) -> None:
        self._grants.remove(grant.ticket)
        self._slots.release(
            grant.host, grant.ticket, service_time_s, host_failed, now_s
        )
        if grant.queued is not None:
            self._queue.finish(grant.queued, service_time_s, now_s)

    def _pool_name(self) -> str:
        service = self._configuration.services.get(self.service)
        return service.pool if service is not None else ""

    def _build_slot_table(self, now_s: float) -> SlotTable:
        slots = SlotTable(self._pool_name(), self._random)
        membership = self._membership
        slots.set_share(len(membership.reached), membership.registered_count)
        slots.apply_view(self._view, now_s)
        return slots

    def _weights(self) -> dict[str, float]:
        service = self._configuration.services.get(self.service)
        if service is None:
            return {}
        teams = self._configuration.accounts[service.account].teams
        return {name: team.weight for name, team in teams.items()}
