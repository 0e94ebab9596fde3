"""Queue of one service: urgency classes, fair shares, deadlines and load shedding."""

import heapq
from collections.abc import Iterator, Mapping
from itertools import count
from typing import NamedTuple

from sycamorecroft.admission.class_queue import (
    MIN_COST_S,
    ClassQueue,
    QueuedRequest,
    TeamQueue,
)
from sycamorecroft.admission.estimate import ServiceTimeEstimate
from sycamorecroft.admission.fair_share import DEFAULT_WEIGHT, FairShares
from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotRequest

# An urgent request starts within this time or is refused (docs/design.md, section 1.7).
URGENT_START_LIMIT_S = 1.3

# Limit of the wait at the queue owner. It leaves 50 ms for the messages before and
# after the wait: without this margin a request of ``benchmarks/flood.py`` started
# 1.302 s after its arrival.
URGENT_WAIT_LIMIT_S = URGENT_START_LIMIT_S - 0.05

# Minimum share of slot time of each lower class with waiting requests (docs/design.md,
# section 5.7).
MIN_SHARE_RATIO = 0.1

# Limit of the credit that a lower class accumulates, in requests. It makes the minimum
# share a share of recent slot time; unlimited credit would allow a burst after a long
# wait.
MAX_CREDIT_REQUESTS_COUNT = 2.0

# The heap of latest start times is rebuilt when more than half of its entries, and more
# than this number, belong to requests that no longer wait.
STALE_ENTRIES_COUNT = 256

_LOWER_CLASSES = (Urgency.NORMAL, Urgency.BULK)


class RefusedRequest(NamedTuple):
    """Waiting request that was refused, and the reason."""

    request: SlotRequest
    reason: AdmissionRefusal


class ServiceQueue:
    """Waiting requests of one service. Times are monotonic seconds of the owner."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """
        :param weights: weight of each team; others get ``DEFAULT_WEIGHT``.
        """
        self._shares = FairShares(weights)
        self._classes = {urgency: ClassQueue() for urgency in Urgency}
        self._credits_s = dict.fromkeys(_LOWER_CLASSES, 0.0)
        self._in_service_counts = dict.fromkeys(Urgency, 0)
        self._waiting: dict[str, QueuedRequest] = {}
        self._latest_starts: list[tuple[float, int, QueuedRequest]] = []
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
        """Queues the request, or refuses it if it can't complete before its deadline.

        :param slots_count: slots that this owner may use.
        :param free_count: number of these slots that are free.
        :returns: reason of the refusal, ``None`` if the request is queued.
        """
        weight = self._shares.weight_of(request.team)
        team = self._classes[request.urgency].team(request.team, weight)
        upper_s = self._estimate_of(team).upper_s(now_s)
        if request.deadline_s - now_s <= upper_s:
            return AdmissionRefusal.DEADLINE
        wait_s = self.expected_wait_s(request, now_s, slots_count, free_count)
        if request.urgency is Urgency.URGENT and wait_s > URGENT_WAIT_LIMIT_S:
            return AdmissionRefusal.URGENT_WAIT
        if now_s + wait_s + upper_s > request.deadline_s:
            return AdmissionRefusal.EXPECTED_WAIT
        self._add(request, team, now_s, upper_s)
        return None

    def expected_wait_s(
        self, request: SlotRequest, now_s: float, slots_count: int, free_count: int
    ) -> float:
        """Estimates the wait of an arriving request.

        The work ahead of it is the smaller of the backlog of its class and the backlog
        of its team scaled by the team's fair share.

        :returns: expected wait in seconds.
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

        The caller calls :meth:`expire` first, and :meth:`finish` when the request has
        ended.

        :param slots_count: slots that this owner may use.
        :returns: the request, ``None`` if none waits.
        """
        urgency = self._next_class(slots_count)
        if urgency is None:
            return None
        queued = self._classes[urgency].take(now_s)
        del self._waiting[queued.request.ticket]
        self._shares.start(queued.request.team)
        self._in_service_counts[urgency] += 1
        self._update_credits(urgency, queued.cost_s)
        return queued

    def finish(
        self, queued: QueuedRequest, service_time_s: float | None, now_s: float
    ) -> None:
        """Records the end of a request that :meth:`take` returned.

        :param service_time_s: slot time used, ``None`` if nothing was dispatched.
        """
        urgency = queued.request.urgency
        self._in_service_counts[urgency] -= 1
        self._shares.finish(queued.request.team)
        self._classes[urgency].correct_cost(queued, service_time_s or 0.0)
        if service_time_s is not None:
            queued.team.estimate.add(service_time_s, now_s)
            self._estimate.add(service_time_s, now_s)

    def withdraw(self, ticket: str) -> SlotRequest | None:
        """Removes a waiting request.

        :returns: the removed request, ``None`` if none waits with the ticket.
        """
        queued = self._waiting.pop(ticket, None)
        if queued is None:
            return None
        self._classes[queued.request.urgency].remove(queued)
        self._shares.remove(queued.request.team)
        return queued.request

    def expire(self, now_s: float) -> list[RefusedRequest]:
        """Removes the requests whose latest start time has passed.

        :returns: the removed requests with the reasons of their refusal.
        """
        refused = []
        while self._latest_starts and self._latest_starts[0][0] <= now_s:
            _, _, queued = heapq.heappop(self._latest_starts)
            if queued.is_waiting:
                self.withdraw(queued.request.ticket)
                refused.append(RefusedRequest(queued.request, _expiry_reason(queued)))
        self._compact_latest_starts()
        return refused

    def _add(
        self, request: SlotRequest, team: TeamQueue, now_s: float, upper_s: float
    ) -> None:
        cost_s = max(MIN_COST_S, self._estimate_of(team).mean_s(now_s))
        latest_start_s = request.deadline_s - upper_s
        if request.urgency is Urgency.URGENT:
            latest_start_s = min(latest_start_s, now_s + URGENT_WAIT_LIMIT_S)
        queued = QueuedRequest(request, team, now_s, cost_s, latest_start_s)
        self._waiting[request.ticket] = queued
        self._classes[request.urgency].add(queued)
        self._shares.add(request.team)
        entry = (latest_start_s, next(self._sequence), queued)
        heapq.heappush(self._latest_starts, entry)

    def _estimate_of(self, team: TeamQueue) -> ServiceTimeEstimate:
        return team.estimate if team.estimate.has_sample else self._estimate

    def _available_count(self, urgency: Urgency, slots_count: int) -> float:
        min_share_count = MIN_SHARE_RATIO * slots_count
        available_count = float(slots_count)
        is_lower_class = False
        for other in Urgency:
            if other is urgency:
                is_lower_class = True
            elif is_lower_class and self._classes[other].waiting_count:
                available_count -= min_share_count
            elif not is_lower_class:
                available_count -= self._in_service_counts[other]
        return max(available_count, min_share_count, MIN_SHARE_RATIO)

    def _next_class(self, slots_count: int) -> Urgency | None:
        """Selects the class that is served next.

        A more urgent class has priority only within a team's share of the slots. A
        team above its share yields to teams below theirs in lower classes, so that an
        overload of one team's urgent requests leaves other teams their share.
        """
        preferred = self._next_class_by_credit()
        if preferred is None or self._is_below_share(preferred, slots_count):
            return preferred
        lower = list(Urgency)[list(Urgency).index(preferred) + 1 :]
        for urgency in lower:
            if self._is_below_share(urgency, slots_count):
                return urgency
        return preferred

    def _is_below_share(self, urgency: Urgency, slots_count: int) -> bool:
        team = self._classes[urgency].next_team()
        return team is not None and self._shares.is_below_share(team, slots_count)

    def _next_class_by_credit(self) -> Urgency | None:
        preferred = None
        for urgency, class_queue in self._classes.items():
            if not class_queue.waiting_count:
                continue
            if preferred is None:
                preferred = urgency
            elif self._credits_s[urgency] >= self._mean_cost_s(class_queue):
                return urgency
        return preferred

    @staticmethod
    def _mean_cost_s(class_queue: ClassQueue) -> float:
        return class_queue.backlog_s / class_queue.waiting_count

    def _update_credits(self, urgency: Urgency, cost_s: float) -> None:
        for lower in _LOWER_CLASSES:
            class_queue = self._classes[lower]
            credit_s = self._credits_s[lower] + MIN_SHARE_RATIO * cost_s
            if lower is urgency:
                credit_s -= cost_s
            if not class_queue.waiting_count:
                credit_s = 0.0
            else:
                limit_s = MAX_CREDIT_REQUESTS_COUNT * self._mean_cost_s(class_queue)
                credit_s = min(credit_s, limit_s)
            self._credits_s[lower] = max(0.0, credit_s)

    def _compact_latest_starts(self) -> None:
        waiting_count = len(self._waiting)
        if len(self._latest_starts) <= 2 * waiting_count + STALE_ENTRIES_COUNT:
            return
        self._latest_starts = [
            entry for entry in self._latest_starts if entry[2].is_waiting
        ]
        heapq.heapify(self._latest_starts)


def _expiry_reason(queued: QueuedRequest) -> AdmissionRefusal:
    is_urgent = queued.request.urgency is Urgency.URGENT
    if is_urgent and queued.latest_start_s >= queued.queued_at_s + URGENT_WAIT_LIMIT_S:
        return AdmissionRefusal.URGENT_WAIT
    return AdmissionRefusal.DEADLINE
