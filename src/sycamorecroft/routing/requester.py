"""Slot requests of one entry host: where each is sent, resent and answered.

Pure decision code. The requester sends each ticket to the owner of the service's
queue and moves it to the next owner when that one stops, is silent or disclaims the
queue. A ticket is granted at most once; any other grant of it is given back.
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
# A held grant without release is reclaimed by the owner this long after its deadline.
GRANT_GRACE_S = 2.0

NO_OWNER_REASON = "no_owner"
DEADLINE_REASON = "deadline_passed"


class SendRequest(NamedTuple):
    """Send a slot request to the owner of the queue."""

    owner: str
    request: SlotRequest


class SendRelease(NamedTuple):
    """Tell an owner that a grant or a waiting ticket is given up."""

    owner: str
    release: SlotRelease


class SendHeld(NamedTuple):
    """Tell a new owner all grants held of some services."""

    owner: str
    services: tuple[str, ...]
    held: tuple[HeldGrant, ...]


class Complete(NamedTuple):
    """Hand the result of a ticket to the thread that waits for it."""

    ticket: str
    result: SlotGrant | SlotRefusal


class SuspectOwner(NamedTuple):
    """Check directly whether a silent owner is alive."""

    owner: str


RequesterDecision = SendRequest | SendRelease | SendHeld | Complete | SuspectOwner


class _Waiting:
    """A ticket that has no grant yet."""

    def __init__(self, demand: SlotDemand) -> None:
        self.demand = demand
        self.owner: str | None = None
        self.sent_at_s = float("-inf")
        self.is_acknowledged = False
        self.resend_at_s: float | None = None


class _Held(NamedTuple):
    """A granted ticket; ``owners`` have granted it or were told that it is held."""

    demand: SlotDemand
    grant: SlotGrant
    granted_by: str
    owners: set[str]


class Requester:
    """Tickets that wait and grants that are held by one entry host.

    :param entry: name of this entry host.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._live: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._held: dict[str, _Held] = {}

    @property
    def waiting_count(self) -> int:
        """Number of tickets that wait for a grant."""
        return len(self._waiting)

    def granted_hosts(self) -> frozenset[str]:
        """
        :returns: workers on which this entry host holds grants.
        """
        return frozenset(held.grant.host for held in self._held.values())

    def acquire(
        self, ticket: str, demand: SlotDemand, now_s: float
    ) -> list[RequesterDecision]:
        """Starts to wait for a slot."""
        waiting = _Waiting(demand)
        self._waiting[ticket] = waiting
        return list(self._send(ticket, waiting, now_s))

    def release(
        self, ticket: str, service_time_s: float | None, host_failed: bool
    ) -> list[RequesterDecision]:
        """Gives up a grant, or withdraws a ticket that still waits."""
        release = SlotRelease(ticket, self._entry, service_time_s, host_failed)
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
        """Handles one message of an owner.

        :param disclaimed: tickets for whose service the sender is not the owner.
        :param queued: tickets that the sender has received.
        """
        decisions: list[RequesterDecision] = []
        for ticket in queued:
            self._acknowledge(ticket, owner)
        for ticket in disclaimed:
            self._delay_resend(ticket, owner, now_s)
        for refusal in refusals:
            decisions += self._refuse(refusal, owner)
        for grant in grants:
            decisions += self._grant(grant, owner)
        return decisions

    def set_services(self, services: Iterable[str]) -> None:
        """Sets the configured services, whose owners are told the grants held."""
        for service in services:
            self._owner(service)

    def set_live(self, live: Sequence[str], now_s: float) -> list[RequesterDecision]:
        """Moves tickets and reports held grants where the owner of a queue changed."""
        if tuple(live) == self._live:
            return []
        self._live = tuple(live)
        former = self._owners
        self._owners = {}
        changed = {
            service for service in former if self._owner(service) != former[service]
        }
        return self._move(changed, now_s)

    def resync(self, owner: str, now_s: float) -> list[RequesterDecision]:
        """Sends everything again to an owner whose stream was broken and reopened."""
        services = {s for s, known in self._owners.items() if known == owner}
        return self._move(services, now_s)

    def tick(self, now_s: float) -> list[RequesterDecision]:
        """Fails over silent owners and ends tickets whose deadline has passed."""
        decisions: list[RequesterDecision] = []
        silent: set[str] = set()
        for ticket, waiting in list(self._waiting.items()):
            if now_s >= waiting.demand.deadline_s:
                decisions += self._expire(ticket, waiting)
            elif waiting.resend_at_s is not None and now_s >= waiting.resend_at_s:
                decisions += self._send(ticket, waiting, now_s)
            elif self._is_silent(waiting, now_s):
                silent.add(waiting.owner or "")
                waiting.sent_at_s = now_s
        decisions += [SuspectOwner(owner) for owner in sorted(silent)]
        return decisions

    @staticmethod
    def _is_silent(waiting: _Waiting, now_s: float) -> bool:
        if waiting.is_acknowledged or waiting.owner is None:
            return False
        return now_s - waiting.sent_at_s >= ACKNOWLEDGEMENT_TIMEOUT_S

    def _owner(self, service: str) -> str | None:
        if service not in self._owners:
            self._owners[service] = owner_of(service, self._live)
        return self._owners[service]

    def _send(
        self, ticket: str, waiting: _Waiting, now_s: float
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
                requester=self._entry,
                service=demand.service,
                team=demand.team,
                urgency=demand.urgency,
                deadline_s=demand.deadline_s,
                excluded_hosts=demand.excluded_hosts,
            ),
        )

    def _move(self, services: set[str], now_s: float) -> list[RequesterDecision]:
        decisions: list[RequesterDecision] = list(self._report_held(services))
        for ticket, waiting in self._waiting.items():
            if waiting.demand.service in services:
                decisions += self._withdraw(ticket, waiting)
                decisions += self._send(ticket, waiting, now_s)
        return decisions

    def _withdraw(self, ticket: str, waiting: _Waiting) -> Iterator[RequesterDecision]:
        new_owner = self._owner(waiting.demand.service)
        if waiting.owner is not None and waiting.owner != new_owner:
            release = SlotRelease(ticket, self._entry, None, False)
            yield SendRelease(waiting.owner, release)

    def _report_held(self, services: set[str]) -> Iterator[RequesterDecision]:
        by_owner: dict[str, list[str]] = {}
        for service in sorted(services):
            owner = self._owner(service)
            if owner is not None:
                by_owner.setdefault(owner, []).append(service)
        for owner, owned in by_owner.items():
            reported = [
                held for held in self._held.values() if held.demand.service in owned
            ]
            for held in reported:
                held.owners.add(owner)
            grants = tuple(self._held_grant(held) for held in reported)
            yield SendHeld(owner, tuple(owned), grants)

    def _held_grant(self, held: _Held) -> HeldGrant:
        return HeldGrant(
            ticket=held.grant.ticket,
            requester=self._entry,
            service=held.demand.service,
            host=held.grant.host,
            deadline_s=held.demand.deadline_s + GRANT_GRACE_S,
        )

    def _acknowledge(self, ticket: str, owner: str) -> None:
        waiting = self._waiting.get(ticket)
        if waiting is not None and waiting.owner == owner:
            waiting.is_acknowledged = True

    def _delay_resend(self, ticket: str, owner: str, now_s: float) -> None:
        waiting = self._waiting.get(ticket)
        if waiting is not None and waiting.owner == owner:
            waiting.is_acknowledged = True
            waiting.resend_at_s = now_s + RESEND_DELAY_S

    def _refuse(self, refusal: SlotRefusal, owner: str) -> Iterator[RequesterDecision]:
        waiting = self._waiting.get(refusal.ticket)
        if waiting is not None and waiting.owner == owner:
            del self._waiting[refusal.ticket]
            yield Complete(refusal.ticket, refusal)

    def _grant(self, grant: SlotGrant, owner: str) -> Iterator[RequesterDecision]:
        waiting = self._waiting.pop(grant.ticket, None)
        if waiting is not None:
            self._held[grant.ticket] = _Held(waiting.demand, grant, owner, {owner})
            if waiting.owner not in (None, owner):
                release = SlotRelease(grant.ticket, self._entry, None, False)
                yield SendRelease(waiting.owner, release)
                yield from self._report_held({waiting.demand.service})
            yield Complete(grant.ticket, grant)
            return
        held = self._held.get(grant.ticket)
        if held is None or held.granted_by != owner:
            release = SlotRelease(grant.ticket, self._entry, None, False)
            yield SendRelease(owner, release)

    def _expire(self, ticket: str, waiting: _Waiting) -> Iterator[RequesterDecision]:
        del self._waiting[ticket]
        if waiting.owner is not None:
            release = SlotRelease(ticket, self._entry, None, False)
            yield SendRelease(waiting.owner, release)
        reason = NO_OWNER_REASON if waiting.owner is None else DEADLINE_REASON
        yield Complete(ticket, SlotRefusal(ticket, self._entry, reason))
