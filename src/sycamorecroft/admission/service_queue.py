"""Queue of one service at its owner: urgency, fair share, deadlines, load shedding."""

import heapq
from collections.abc import Iterator, Mapping
from itertools import count
from typing import NamedTuple

from sycamorecroft.admission.class_queue import (
    SHORTEST_COST_S,
    ClassQueue,
    QueuedRequest,
    TeamQueue,
)
from sycamorecroft.admission.estimate import ServiceTimeEstimate
from sycamorecroft.admission.fair_share import DEFAULT_WEIGHT, FairShares
from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotRequest

URGENT_START_S = 1.3
"""Urgent work starts within this time or is refused (section 1.7)."""

URGENT_WAIT_S = URGENT_START_S - 0.05
"""Bound of the wait at the owner; it leaves 50 ms for the messages before and
after it; without the allowance a start 1.302 s after arrival was measured in
``benchmarks/flood.py``."""

FLOOR_RATIO = 0.1
"""Share of slot time of each lower class that has waiting requests (section 5.7)."""

CREDIT_REQUESTS_COUNT = 2.0
"""A lower class may save up credit for this many requests, so that its floor
is a share of recent slot time and not a burst after a long wait."""

EXPIRY_SLACK_COUNT = 256
"""The heap of latest start times is rebuilt when more than half of it, and
more than this many entries, belong to requests that no longer wait."""

_LOWER_CLASSES = (Urgency.NORMAL, Urgency.BULK)


class Refused(NamedTuple):
    """Waiting request that was given up."""

    request: SlotRequest
    reason: AdmissionRefusal


class ServiceQueue:
    """Waiting requests of one service. Times are monotonic seconds of the owner."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """
        :param weights: weight of each team in fair queueing.
        """
        self._shares = FairShares(weights)
        self._classes = {urgency: ClassQueue() for urgency in Urgency}
        self._credits_s = dict.fromkeys(_LOWER_CLASSES, 0.0)
        self._in_service_counts = dict.fromkeys(Urgency, 0)
        self._waiting: dict[str, QueuedRequest] = {}
        self._expiry: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = count()
        self._estimate = ServiceTimeEstimate()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._waiting

    def requests(self) -> Iterator[SlotRequest]:
        """
        :returns: the waiting requests, in no particular order.
        """
        return (queued.request for queued in list(self._waiting.values()))

    def waiting_count(self, urgency: Urgency) -> int:
        return self._classes[urgency].waiting_count

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """
        :param weights: weight of each team; others get ``DEFAULT_WEIGHT``.
        """
        self._shares.set_weights(weights)
        for class_queue in self._classes.values():
            class_queue.set_weights(dict(weights), DEFAULT_WEIGHT)

    def offer(
        self, request: SlotRequest, now_s: float, slots_count: int, free_count: int
    ) -> AdmissionRefusal | None:
        """Queues the request, or refuses it when it can't be served in time.

        :param slots_count: slots that this owner may use.
        :param free_count: those that are free now.
        :returns: reason of the refusal, ``None`` if the request is queued.
        """
        weight = self._shares.weight_of(request.team)
        team = self._classes[request.urgency].team(request.team, weight)
        upper_s = self._estimate_of(team).upper_s(now_s)
        if request.deadline_s - now_s <= upper_s:
            return AdmissionRefusal.DEADLINE
        wait_s = self.expected_wait_s(request, now_s, slots_count, free_count)
        if request.urgency is Urgency.URGENT and wait_s > URGENT_WAIT_S:
            return AdmissionRefusal.URGENT_WAIT
        if now_s + wait_s + upper_s > request.deadline_s:
            return AdmissionRefusal.EXPECTED_WAIT
        self._add(request, team, now_s, upper_s)
        return None

    def expected_wait_s(
        self, request: SlotRequest, now_s: float, slots_count: int, free_count: int
    ) -> float:
        """Expected wait of an arriving request.

        The work ahead is the lesser of the class's whole backlog and the team's own
        backlog at its fair share.
        """
        class_queue = self._classes[request.urgency]
        if free_count > len(self._waiting):
            return 0.0
        weight = self._shares.weight_of(request.team)
        team = class_queue.team(request.team, weight)
        cost_s = self._estimate_of(team).mean_s(now_s)
        total_weight = class_queue.waiting_weight
        if not team.requests:
            total_weight += weight
        own_s = team.backlog_s * total_weight / weight
        ahead_s = min(own_s, class_queue.backlog_s) + cost_s
        return ahead_s / self._available_count(request.urgency, slots_count)

    def take(self, now_s: float, slots_count: int) -> QueuedRequest | None:
        """Removes the request that starts next.

        Call :meth:`expire` first; the caller reports the end by :meth:`finish`.

        :param slots_count: slots that this owner may use.
        """
        urgency = self._next_class(slots_count)
        if urgency is None:
            return None
        queued = self._classes[urgency].take(now_s)
        del self._waiting[queued.request.ticket]
        self._shares.start(queued.request.team)
        self._in_service_counts[urgency] += 1
        self._charge(urgency, queued.cost_s)
        return queued

    def finish(
        self, queued: QueuedRequest, service_time_s: float | None, now_s: float
    ) -> None:
        """Reports the end of a request that was taken.

        :param service_time_s: slot time used, ``None`` when nothing was dispatched.
        """
        urgency = queued.request.urgency
        self._in_service_counts[urgency] -= 1
        self._shares.end(queued.request.team)
        self._classes[urgency].correct(queued, service_time_s or 0.0)
        if service_time_s is not None:
            queued.team.estimate.add(service_time_s, now_s)
            self._estimate.add(service_time_s, now_s)

    def withdraw(self, ticket: str) -> SlotRequest | None:
        """
        :returns: the request that waited under the ticket, if any.
        """
        queued = self._waiting.pop(ticket, None)
        if queued is None:
            return None
        self._classes[queued.request.urgency].remove(queued)
        self._shares.leave(queued.request.team)
        return queued.request

    def expire(self, now_s: float) -> list[Refused]:
        """
        :returns: requests given up because they can no longer start in time.
        """
        refused = []
        while self._expiry and self._expiry[0][0] <= now_s:
            _, _, queued = heapq.heappop(self._expiry)
            if queued.is_live:
                self.withdraw(queued.request.ticket)
                refused.append(Refused(queued.request, _expiry_reason(queued)))
        self._compact_expiry()
        return refused

    def _add(
        self, request: SlotRequest, team: TeamQueue, now_s: float, upper_s: float
    ) -> None:
        cost_s = max(SHORTEST_COST_S, self._estimate_of(team).mean_s(now_s))
        latest_start_s = request.deadline_s - upper_s
        if request.urgency is Urgency.URGENT:
            latest_start_s = min(latest_start_s, now_s + URGENT_WAIT_S)
        queued = QueuedRequest(request, team, now_s, cost_s, latest_start_s)
        self._waiting[request.ticket] = queued
        self._classes[request.urgency].add(queued)
        self._shares.arrive(request.team)
        entry = (latest_start_s, next(self._sequence), queued)
        heapq.heappush(self._expiry, entry)

    def _estimate_of(self, team: TeamQueue) -> ServiceTimeEstimate:
        return team.estimate if team.estimate.has_sample else self._estimate

    def _available_count(self, urgency: Urgency, slots_count: int) -> float:
        floor_count = FLOOR_RATIO * slots_count
        available_count = float(slots_count)
        is_lower = False
        for other in Urgency:
            if other is urgency:
                is_lower = True
            elif is_lower and self._classes[other].waiting_count:
                available_count -= floor_count
            elif not is_lower:
                available_count -= self._in_service_counts[other]
        return max(available_count, floor_count, FLOOR_RATIO)

    def _next_class(self, slots_count: int) -> Urgency | None:
        """Urgency goes first only within a team's share of the slots.

        A team beyond its share yields to teams below theirs in lower classes, so an
        overload of urgent work of one team leaves the other teams their share.
        """
        first = self._next_class_by_urgency()
        if first is None or self._is_below_share(first, slots_count):
            return first
        lower = list(Urgency)[list(Urgency).index(first) + 1 :]
        for urgency in lower:
            if self._is_below_share(urgency, slots_count):
                return urgency
        return first

    def _is_below_share(self, urgency: Urgency, slots_count: int) -> bool:
        team = self._classes[urgency].next_team()
        return team is not None and self._shares.is_below(team, slots_count)

    def _next_class_by_urgency(self) -> Urgency | None:
        first = None
        for urgency, class_queue in self._classes.items():
            if not class_queue.waiting_count:
                continue
            if first is None:
                first = urgency
            elif self._credits_s[urgency] >= self._floor_cost_s(class_queue):
                return urgency
        return first

    @staticmethod
    def _floor_cost_s(class_queue: ClassQueue) -> float:
        return class_queue.backlog_s / class_queue.waiting_count

    def _charge(self, urgency: Urgency, cost_s: float) -> None:
        for lower in _LOWER_CLASSES:
            class_queue = self._classes[lower]
            credit_s = self._credits_s[lower] + FLOOR_RATIO * cost_s
            if lower is urgency:
                credit_s -= cost_s
            if not class_queue.waiting_count:
                credit_s = 0.0
            else:
                limit_s = CREDIT_REQUESTS_COUNT * self._floor_cost_s(class_queue)
                credit_s = min(credit_s, limit_s)
            self._credits_s[lower] = max(0.0, credit_s)

    def _compact_expiry(self) -> None:
        live_count = len(self._waiting)
        if len(self._expiry) <= 2 * live_count + EXPIRY_SLACK_COUNT:
            return
        self._expiry = [entry for entry in self._expiry if entry[2].is_live]
        heapq.heapify(self._expiry)


def _expiry_reason(queued: QueuedRequest) -> AdmissionRefusal:
    is_urgent = queued.request.urgency is Urgency.URGENT
    if is_urgent and queued.latest_start_s >= queued.arrived_s + URGENT_WAIT_S:
        return AdmissionRefusal.URGENT_WAIT
    return AdmissionRefusal.DEADLINE
