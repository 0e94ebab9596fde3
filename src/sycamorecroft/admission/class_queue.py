"""Queue of one urgency class: fair queueing over teams, CoDel order within a team."""

import heapq
from collections import OrderedDict
from itertools import count

from sycamorecroft.admission.estimate import ServiceTimeEstimate
from sycamorecroft.routing.messages import SlotRequest

# CoDel parameters (docs/design.md, section 5.7): a team's queue is overloaded once its
# oldest request has waited longer than the target for a whole interval.
WAIT_TARGET_S = 0.1
WAIT_INTERVAL_S = 0.5

# Cost of a request while no service time is known. It must be above zero so that the
# finish tags advance and teams alternate.
MIN_COST_S = 0.001


class QueuedRequest:
    """Waiting request with its estimated cost and its latest start time."""

    __slots__ = (
        "cost_s",
        "is_waiting",
        "latest_start_s",
        "queued_at_s",
        "request",
        "team",
    )

    def __init__(
        self,
        request: SlotRequest,
        team: "TeamQueue",
        queued_at_s: float,
        cost_s: float,
        latest_start_s: float,
    ) -> None:
        self.request = request
        self.team = team
        self.queued_at_s = queued_at_s
        self.cost_s = cost_s
        self.latest_start_s = latest_start_s
        self.is_waiting = True


class TeamQueue:
    """Waiting requests of one team in one class, and its finish tag in virtual time."""

    __slots__ = (
        "above_target_since_s",
        "backlog_s",
        "cost_correction",
        "estimate",
        "finish_tag",
        "is_scheduled",
        "name",
        "requests",
        "weight",
    )

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.requests: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.backlog_s = 0.0
        self.finish_tag = 0.0
        self.cost_correction = 0.0
        self.is_scheduled = False
        self.estimate = ServiceTimeEstimate()
        self.above_target_since_s: float | None = None

    def advance_finish_tag(self, start_tag: float, cost_s: float) -> None:
        """Advances the finish tag by the cost and the accumulated corrections."""
        self.finish_tag = start_tag + cost_s / self.weight
        self.finish_tag = max(start_tag, self.finish_tag + self.cost_correction)
        self.cost_correction = 0.0

    def take(self, now_s: float) -> QueuedRequest:
        """Removes and returns the oldest request, or the newest while overloaded."""
        is_newest_first = self._is_overloaded(now_s)
        _, queued = self.requests.popitem(last=is_newest_first)
        self._account_removal(queued)
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        del self.requests[queued.request.ticket]
        self._account_removal(queued)

    def _account_removal(self, queued: QueuedRequest) -> None:
        queued.is_waiting = False
        self.backlog_s -= queued.cost_s
        if not self.requests:
            self.backlog_s = 0.0
            self.above_target_since_s = None

    def _is_overloaded(self, now_s: float) -> bool:
        oldest = next(iter(self.requests.values()))
        if now_s - oldest.queued_at_s < WAIT_TARGET_S:
            self.above_target_since_s = None
            return False
        if self.above_target_since_s is None:
            self.above_target_since_s = now_s
        return now_s - self.above_target_since_s >= WAIT_INTERVAL_S


class ClassQueue:
    """Start-time fair queueing over teams (Goyal, Vin and Cheng, SIGCOMM 1996).

    The cost of a request is its estimated service time, corrected when it finishes,
    so that teams share slot time and not the number of requests.
    """

    def __init__(self) -> None:
        self._teams: dict[str, TeamQueue] = {}
        self._schedule: list[tuple[float, int, TeamQueue]] = []
        self._sequence = count()
        self._virtual_time = 0.0
        self.waiting_count = 0
        self.backlog_s = 0.0
        self.waiting_weight = 0.0

    def team(self, name: str, weight: float) -> TeamQueue:
        """
        :returns: queue of the team, created on first use.
        """
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = TeamQueue(name, weight)
        return team

    def set_weights(self, weights: dict[str, float], default_weight: float) -> None:
        """Applies new weights; removes the queues of idle teams without a weight."""
        for name, team in list(self._teams.items()):
            if name not in weights and not team.requests:
                del self._teams[name]
                continue
            weight = weights.get(name, default_weight)
            if team.requests:
                self.waiting_weight += weight - team.weight
            team.weight = weight

    def add(self, queued: QueuedRequest) -> None:
        team = queued.team
        if not team.requests:
            self.waiting_weight += team.weight
            if not team.is_scheduled:
                team.finish_tag += team.cost_correction
                team.cost_correction = 0.0
                self._schedule_team(team, max(self._virtual_time, team.finish_tag))
        team.requests[queued.request.ticket] = queued
        team.backlog_s += queued.cost_s
        self.backlog_s += queued.cost_s
        self.waiting_count += 1

    def next_team(self) -> str | None:
        """
        :returns: name of the team that :meth:`take` would serve, ``None`` if no
            request waits.
        """
        while self._schedule:
            team = self._schedule[0][2]
            if team.requests:
                return team.name
            heapq.heappop(self._schedule)
            team.is_scheduled = False
        return None

    def take(self, now_s: float) -> QueuedRequest | None:
        """Removes the next request of the team with the smallest start tag.

        :returns: the request, ``None`` if none waits.
        """
        while self._schedule:
            start_tag, _, team = heapq.heappop(self._schedule)
            team.is_scheduled = False
            if not team.requests:
                continue
            queued = team.take(now_s)
            self._account_removal(queued)
            self._virtual_time = max(self._virtual_time, start_tag)
            team.advance_finish_tag(start_tag, queued.cost_s)
            if team.requests:
                self._schedule_team(team, team.finish_tag)
            return queued
        return None

    def remove(self, queued: QueuedRequest) -> None:
        queued.team.remove(queued)
        self._account_removal(queued)

    def correct_cost(self, queued: QueuedRequest, service_time_s: float) -> None:
        """Charges the team for the difference of actual and estimated service time."""
        team = queued.team
        team.cost_correction += (service_time_s - queued.cost_s) / team.weight

    def _schedule_team(self, team: TeamQueue, start_tag: float) -> None:
        team.is_scheduled = True
        heapq.heappush(self._schedule, (start_tag, next(self._sequence), team))

    def _account_removal(self, queued: QueuedRequest) -> None:
        self.waiting_count -= 1
        self.backlog_s -= queued.cost_s
        if not queued.team.requests:
            self.waiting_weight -= queued.team.weight
        if self.waiting_count == 0:
            self.backlog_s = 0.0
            self.waiting_weight = 0.0
