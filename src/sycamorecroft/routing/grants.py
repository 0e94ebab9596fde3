"""Outstanding grants of a queue owner, and tickets that have ended."""

import heapq
from collections import deque
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from sycamorecroft.admission.class_queue import QueuedRequest
from sycamorecroft.routing.messages import SlotGrant

ENDED_TICKETS_COUNT = 4096
"""Number of remembered tickets that were used for a dispatch, so that a late
duplicate request or held grant occupies no slot. Covers about 2 s at 2,000 requests per
second."""

STALE_ENTRIES_COUNT = 256
"""The heap of deadlines is rebuilt when more than half of its entries, and more
than this number, belong to grants that have ended."""


class Grant(NamedTuple):
    """Occupied slot; ``queued`` is ``None`` for a grant by a former owner."""

    ticket: str
    requester: str
    host: str
    address: str
    queued: QueuedRequest | None

    def to_message(self) -> SlotGrant:
        """
        :returns: message that notifies the requester.
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
        :returns: outstanding grant of the ticket, ``None`` if it has none.
        """
        return self._grants.get(ticket)

    def add(self, grant: Grant, deadline_s: float) -> None:
        """Adds an outstanding grant.

        :param deadline_s: monotonic time from which :meth:`pop_expired` returns it.
        """
        self._grants[grant.ticket] = grant
        entry = (deadline_s, next(self._sequence), grant)
        heapq.heappush(self._deadlines, entry)
        if len(self._deadlines) > 2 * len(self._grants) + STALE_ENTRIES_COUNT:
            self._deadlines = [
                entry for entry in self._deadlines if self._is_outstanding(entry[2])
            ]
            heapq.heapify(self._deadlines)

    def remove(self, ticket: str) -> None:
        del self._grants[ticket]

    def pop_expired(self, now_s: float) -> list[Grant]:
        """Removes the deadlines that have passed; the grants stay outstanding.

        :returns: outstanding grants whose deadline has passed, each only once.
        """
        grants = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, grant = heapq.heappop(self._deadlines)
            if self._is_outstanding(grant):
                grants.append(grant)
        return grants

    def _is_outstanding(self, grant: Grant) -> bool:
        """Compares identity: a reclaimed ticket may have been granted again."""
        return self._grants.get(grant.ticket) is grant


class EndedTickets:
    """Most recent tickets that ended, at most ``ENDED_TICKETS_COUNT``."""

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
