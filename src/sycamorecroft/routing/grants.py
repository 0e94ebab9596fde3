"""Grants that an owner has outstanding, and tickets that have ended."""

import heapq
from collections import deque
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from sycamorecroft.admission.class_queue import QueuedRequest
from sycamorecroft.routing.messages import SlotGrant

ENDED_TICKETS_COUNT = 4096
"""Tickets used for a dispatch that are remembered, so that a late duplicate or
held grant occupies no slot. Covers about 2 s at 2,000 requests a second."""

EXPIRY_SLACK_COUNT = 256
"""The heap of deadlines is rebuilt when more than half of it, and more than
this many entries, belong to grants that have ended."""


class Grant(NamedTuple):
    """Occupied slot; ``queued`` is ``None`` for a grant of an earlier owner."""

    ticket: str
    requester: str
    host: str
    address: str
    queued: QueuedRequest | None

    def message(self) -> SlotGrant:
        """
        :returns: the message that tells the requester.
        """
        return SlotGrant(self.ticket, self.requester, self.host, self.address)


class GrantTable:
    """Outstanding grants by ticket, with their deadlines."""

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}
        self._deadlines: list[tuple[float, int, Grant]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._grants

    def __iter__(self) -> Iterator[Grant]:
        return iter(list(self._grants.values()))

    def get(self, ticket: str) -> Grant | None:
        """
        :returns: the outstanding grant of the ticket, if any.
        """
        return self._grants.get(ticket)

    def add(self, grant: Grant, deadline_s: float) -> None:
        """
        :param deadline_s: time from which :meth:`due` returns the grant.
        """
        self._grants[grant.ticket] = grant
        entry = (deadline_s, next(self._sequence), grant)
        heapq.heappush(self._deadlines, entry)
        if len(self._deadlines) > 2 * len(self._grants) + EXPIRY_SLACK_COUNT:
            self._deadlines = [
                entry for entry in self._deadlines if self._is_outstanding(entry[2])
            ]
            heapq.heapify(self._deadlines)

    def remove(self, ticket: str) -> None:
        del self._grants[ticket]

    def due(self, now_s: float) -> list[Grant]:
        """
        :returns: outstanding grants whose deadline has passed; each only once.
        """
        grants = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, grant = heapq.heappop(self._deadlines)
            if self._is_outstanding(grant):
                grants.append(grant)
        return grants

    def _is_outstanding(self, grant: Grant) -> bool:
        """A ticket may have a second grant after the first was reclaimed."""
        return self._grants.get(grant.ticket) is grant


class EndedTickets:
    """The last tickets that ended, in bounded space."""

    def __init__(self) -> None:
        self._tickets: set[str] = set()
        self._order: deque[str] = deque()

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._tickets

    def add(self, ticket: str) -> None:
        if ticket in self._tickets:
            return
        self._tickets.add(ticket)
        self._order.append(ticket)
        if len(self._order) > ENDED_TICKETS_COUNT:
            self._tickets.discard(self._order.popleft())
