"""Slot requests of one entry host: sends them to queue owners and tracks their grants.

The module only makes decisions and does no I/O. The requester sends each ticket to the
owner of the service's queue, and to the next owner if that one stops, doesn't answer or
disclaims the queue. A ticket is granted at most once; any further grant is released.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from sycamorecroft.membership.ownership import owner_of
from sycamorecroft.routing.interfaces import SlotDemand
from sycamorecroft.routing.messages import (
    HeldGrant,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)

ACKNOWLEDGEMENT_TIMEOUT_S = 0.3
RESEND_DELAY_S = 0.1
# An owner reclaims a reported grant without a release this long after its deadline.
GRANT_GRACE_S = 2.0

NO_OWNER_REASON = "no_owner"
DEADLINE_REASON = "deadline_passed"


class SendRequest(NamedTuple):
    """Send a slot request to the owner of the queue."""

    owner: str
    request: SlotRequest


class SendRelease(NamedTuple):
    """Release a grant at its owner, or withdraw a waiting ticket."""

    owner: str
    release: SlotRelease


class SendHeldGrants(NamedTuple):
    """Report all held grants of some services to their new owner."""

    owner: str
    services: tuple[str, ...]
    held: tuple[HeldGrant, ...]


class CompleteTicket(NamedTuple):
    """Pass the result of a ticket to the thread that waits for it."""

    ticket: str
    result: SlotGrant | SlotRefusal


class SuspectOwner(NamedTuple):
    """Check directly whether an owner that did not answer is alive."""

    owner: str


RequesterDecision = (
    SendRequest | SendRelease | SendHeldGrants | CompleteTicket | SuspectOwner
)


class _WaitingTicket:
    """Ticket without a grant."""

    def __init__(self, demand: SlotDemand) -> None:
        self.demand = demand
        self.owner: str | None = None
        self.sent_at_s = float("-inf")
        self.is_acknowledged = False
        self.resend_at_s: float | None = None


class _HeldTicket(NamedTuple):
    """Granted ticket; ``owners`` granted it or received a report that it is held."""

    demand: SlotDemand
    grant: SlotGrant
    granted_by: str
    owners: set[str]


class Requester:
    """Waiting tickets and held grants of one entry host.

    :param entry_host: name of this entry host.
    """

    def __init__(self, entry_host: str) -> None:
        self._entry_host = entry_host
        self._live_entry_hosts: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        self._waiting: dict[str, _WaitingTicket] = {}
        self._held: dict[str, _HeldTicket] = {}

    @property
    def waiting_count(self) -> int:
        return len(self._waiting)

    def granted_hosts(self) -> frozenset[str]:
        """
        :returns: workers on which this entry host holds grants.
        """
        return frozenset(held.grant.host for held in self._held.values())

    def acquire(
        self, ticket: str, demand: SlotDemand, now_s: float
    ) -> list[RequesterDecision]:
        """Adds a ticket and sends its slot request."""
        waiting = _WaitingTicket(demand)
        self._waiting[ticket] = waiting
        return list(self._send(ticket, waiting, now_s))

    def release(
        self, ticket: str, service_time_s: float | None, host_failed: bool
    ) -> list[RequesterDecision]:
        """Releases the grant of a ticket, or withdraws the ticket if it still waits."""
        release = SlotRelease(ticket, self._entry_host, service_time_s, host_failed)
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            owners = {waiting.owner}
        else:
            held = self._held.pop(ticket, None)
            if held is None:
                return []
            owners = {*held.owners, self._owner(held.demand.service)}
        return [SendRelease(owner, release) for owner in owners if owner is not None]

    def receive(
        self,
        owner: str,
        now_s: float,
        *,
        grants: Iterable[SlotGrant] = (),
        refusals: Iterable[SlotRefusal] = (),
        disclaimed: Iterable[str] = (),
        queued: Iterable[str] = (),
    ) -> list[RequesterDecision]:
        """Processes one message of an owner.

        :param disclaimed: tickets of services whose queue the sender doesn't own.
        :param queued: tickets whose request the sender acknowledges.
        """
        decisions: list[RequesterDecision] = []
        for ticket in queued:
            self._acknowledge(ticket, owner)
        for ticket in disclaimed:
            self._schedule_resend(ticket, owner, now_s)
        for refusal in refusals:
            decisions += self._apply_refusal(refusal, owner)
        for grant in grants:
            decisions += self._apply_grant(grant, owner)
        return decisions

    def set_services(self, services: Iterable[str]) -> None:
        """Adds the configured services, whose owners get reports of held grants."""
        for service in services:
            self._owner(service)

    def set_live_entry_hosts(
        self, live_entry_hosts: Sequence[str], now_s: float
    ) -> list[RequesterDecision]:
        """Resends tickets and reports held grants of services whose owner changed."""
        if tuple(live_entry_hosts) == self._live_entry_hosts:
            return []
        self._live_entry_hosts = tuple(live_entry_hosts)
        former_owners = self._owners
        self._owners = {}
        changed = {
            service
            for service in former_owners
            if self._owner(service) != former_owners[service]
        }
        return self._reroute(changed, now_s)

    def resync(self, owner: str, now_s: float) -> list[RequesterDecision]:
        """Resends tickets and held grants to an owner whose stream was reopened."""
        services = {s for s, known in self._owners.items() if known == owner}
        return self._reroute(services, now_s)

    def tick(self, now_s: float) -> list[RequesterDecision]:
        """Resends due tickets, reports unresponsive owners and expires tickets."""
        decisions: list[RequesterDecision] = []
        unresponsive: set[str] = set()
        for ticket, waiting in list(self._waiting.items()):
            if now_s >= waiting.demand.deadline_s:
                decisions += self._expire(ticket, waiting)
            elif waiting.resend_at_s is not None and now_s >= waiting.resend_at_s:
                decisions += self._send(ticket, waiting, now_s)
            elif self._is_acknowledgement_overdue(waiting, now_s):
                unresponsive.add(waiting.owner or "")
                waiting.sent_at_s = now_s
        decisions += [SuspectOwner(owner) for owner in sorted(unresponsive)]
        return decisions

    @staticmethod
    def _is_acknowledgement_overdue(waiting: _WaitingTicket, now_s: float) -> bool:
        if waiting.is_acknowledged or waiting.owner is None:
            return False
        return now_s - waiting.sent_at_s >= ACKNOWLEDGEMENT_TIMEOUT_S

    def _owner(self, service: str) -> str | None:
        if service not in self._owners:
            self._owners[service] = owner_of(service, self._live_entry_hosts)
        return self._owners[service]

    def _send(
        self, ticket: str, waiting: _WaitingTicket, now_s: float
    ) -> Iterator[RequesterDecision]:
        owner = self._owner(waiting.demand.service)
        waiting.owner = owner
        waiting.sent_at_s = now_s
        waiting.is_acknowledged = False
        waiting.resend_at_s = None if owner else now_s + RESEND_DELAY_S
        if owner is None:
            return
        demand = waiting.demand
        yield SendRequest(
            owner,
            SlotRequest(
                ticket=ticket,
                requester=self._entry_host,
                service=demand.service,
                team=demand.team,
                urgency=demand.urgency,
                deadline_s=demand.deadline_s,
                excluded_hosts=demand.excluded_hosts,
            ),
        )

    def _reroute(self, services: set[str], now_s: float) -> list[RequesterDecision]:
        decisions: list[RequesterDecision] = list(self._report_held(services))
        for ticket, waiting in self._waiting.items():
            if waiting.demand.service in services:
                decisions += self._withdraw(ticket, waiting)
                decisions += self._send(ticket, waiting, now_s)
        return decisions

    def _withdraw(
        self, ticket: str, waiting: _WaitingTicket
    ) -> Iterator[RequesterDecision]:
        new_owner = self._owner(waiting.demand.service)
        if waiting.owner is not None and waiting.owner != new_owner:
            release = SlotRelease(ticket, self._entry_host, None, False)
            yield SendRelease(waiting.owner, release)

    def _report_held(self, services: set[str]) -> Iterator[RequesterDecision]:
        by_owner: dict[str, list[str]] = {}
        for service in sorted(services):
            owner = self._owner(service)
            if owner is not None:
                by_owner.setdefault(owner, []).append(service)
        for owner, owned_services in by_owner.items():
            reported = [
                held
                for held in self._held.values()
                if held.demand.service in owned_services
            ]
            for held in reported:
                held.owners.add(owner)
            grants = tuple(self._held_grant(held) for held in reported)
            yield SendHeldGrants(owner, tuple(owned_services), grants)

    def _held_grant(self, held: _HeldTicket) -> HeldGrant:
        return HeldGrant(
            ticket=held.grant.ticket,
            requester=self._entry_host,
            service=held.demand.service,
            host=held.grant.host,
            deadline_s=held.demand.deadline_s + GRANT_GRACE_S,
        )

    def _acknowledge(self, ticket: str, owner: str) -> None:
        waiting = self._waiting.get(ticket)
        if waiting is not None and waiting.owner == owner:
            waiting.is_acknowledged = True

    def _schedule_resend(self, ticket: str, owner: str, now_s: float) -> None:
        waiting = self._waiting.get(ticket)
        if waiting is not None and waiting.owner == owner:
            waiting.is_acknowledged = True
            waiting.resend_at_s = now_s + RESEND_DELAY_S

    def _apply_refusal(
        self, refusal: SlotRefusal, owner: str
    ) -> Iterator[RequesterDecision]:
        waiting = self._waiting.get(refusal.ticket)
        if waiting is not None and waiting.owner == owner:
            del self._waiting[refusal.ticket]
            yield CompleteTicket(refusal.ticket, refusal)

    def _apply_grant(self, grant: SlotGrant, owner: str) -> Iterator[RequesterDecision]:
        waiting = self._waiting.pop(grant.ticket, None)
        if waiting is not None:
            self._held[grant.ticket] = _HeldTicket(
                waiting.demand, grant, owner, {owner}
            )
            if waiting.owner not in (None, owner):
                release = SlotRelease(grant.ticket, self._entry_host, None, False)
                yield SendRelease(waiting.owner, release)
                yield from self._report_held({waiting.demand.service})
            yield CompleteTicket(grant.ticket, grant)
            return
        held = self._held.get(grant.ticket)
        if held is None or held.granted_by != owner:
            release = SlotRelease(grant.ticket, self._entry_host, None, False)
            yield SendRelease(owner, release)

    def _expire(
        self, ticket: str, waiting: _WaitingTicket
    ) -> Iterator[RequesterDecision]:
        del self._waiting[ticket]
        if waiting.owner is not None:
            release = SlotRelease(ticket, self._entry_host, None, False)
            yield SendRelease(waiting.owner, release)
        reason = NO_OWNER_REASON if waiting.owner is None else DEADLINE_REASON
        yield CompleteTicket(ticket, SlotRefusal(ticket, self._entry_host, reason))
