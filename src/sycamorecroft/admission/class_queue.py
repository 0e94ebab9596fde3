"""Queue of one urgency class: fair queueing by team, adaptive order within a team."""

import heapq
from collections import OrderedDict
from itertools import count

from sycamorecroft.admission.estimate import ServiceTimeEstimate
from sycamorecroft.routing.messages import SlotRequest

DELAY_TARGET_S = 0.1
DELAY_INTERVAL_S = 0.5
"""A team's queue whose oldest request has waited longer than the target during a
whole interval is overloaded (CoDel; values of section 5.7)."""

SHORTEST_COST_S = 0.001
"""Cost of a request while no service time is known; must be above zero so that
teams alternate."""


class QueuedRequest:
    """Request that waits, with its cost and the latest time at which it may start."""

    __slots__ = ("arrived_s", "cost_s", "is_live", "latest_start_s", "request", "team")

    def __init__(
        self,
        request: SlotRequest,
        team: "TeamQueue",
        arrived_s: float,
        cost_s: float,
        latest_start_s: float,
    ) -> None:
        self.request = request
        self.team = team
        self.arrived_s = arrived_s
        self.cost_s = cost_s
        self.latest_start_s = latest_start_s
        self.is_live = True


class TeamQueue:
    """Requests of one team in one class, with its position in virtual time."""

    __slots__ = (
        "above_since_s",
        "backlog_s",
        "correction",
        "estimate",
        "finish_tag",
        "is_listed",
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
        self.correction = 0.0
        self.is_listed = False
        self.estimate = ServiceTimeEstimate()
        self.above_since_s: float | None = None

    def charge(self, start_tag: float, cost_s: float) -> None:
        """Advances the position in virtual time, with corrections since the last."""
        self.finish_tag = start_tag + cost_s / self.weight
        self.finish_tag = max(start_tag, self.finish_tag + self.correction)
        self.correction = 0.0

    def take(self, now_s: float) -> QueuedRequest:
        """Removes the next request: oldest first, newest first while overloaded."""
        newest_first = self._is_overloaded(now_s)
        _, queued = self.requests.popitem(last=newest_first)
        self._account_removal(queued)
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        del self.requests[queued.request.ticket]
        self._account_removal(queued)

    def _account_removal(self, queued: QueuedRequest) -> None:
        queued.is_live = False
        self.backlog_s -= queued.cost_s
        if not self.requests:
            self.backlog_s = 0.0
            self.above_since_s = None

    def _is_overloaded(self, now_s: float) -> bool:
        oldest = next(iter(self.requests.values()))
        if now_s - oldest.arrived_s < DELAY_TARGET_S:
            self.above_since_s = None
            return False
        if self.above_since_s is None:
            self.above_since_s = now_s
        return now_s - self.above_since_s >= DELAY_INTERVAL_S


class ClassQueue:
    """Start-time fair queueing over teams (Goyal, Vin and Cheng, SIGCOMM 1996).

    The cost of a request is its estimated service time, corrected when it ends, so
    that teams share slot time rather than numbers of requests.
    """

    def __init__(self) -> None:
        self._teams: dict[str, TeamQueue] = {}
        self._listed: list[tuple[float, int, TeamQueue]] = []
        self._sequence = count()
        self._virtual_time = 0.0
        self.waiting_count = 0
        self.backlog_s = 0.0
        self.waiting_weight = 0.0

    def team(self, name: str, weight: float) -> TeamQueue:
        """
        :returns: the queue of the team, created on first use.
        """
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = TeamQueue(name, weight)
        return team

    def set_weights(self, weights: dict[str, float], default_weight: float) -> None:
        """Applies new weights; forgets idle teams that have none."""
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
            if not team.is_listed:
                team.finish_tag += team.correction
                team.correction = 0.0
                self._list(team, max(self._virtual_time, team.finish_tag))
        team.requests[queued.request.ticket] = queued
        team.backlog_s += queued.cost_s
        self.backlog_s += queued.cost_s
        self.waiting_count += 1

    def next_team(self) -> str | None:
        """
        :returns: the team whose request :meth:`take` would return.
        """
        while self._listed:
            team = self._listed[0][2]
            if team.requests:
                return team.name
            heapq.heappop(self._listed)
            team.is_listed = False
        return None

    def take(self, now_s: float) -> QueuedRequest | None:
        """
        :returns: the next request of the team with the least start tag.
        """
        while self._listed:
            start_tag, _, team = heapq.heappop(self._listed)
            team.is_listed = False
            if not team.requests:
                continue
            queued = team.take(now_s)
            self._account_removal(queued)
            self._virtual_time = max(self._virtual_time, start_tag)
            team.charge(start_tag, queued.cost_s)
            if team.requests:
                self._list(team, team.finish_tag)
            return queued
        return None

    def remove(self, queued: QueuedRequest) -> None:
        queued.team.remove(queued)
        self._account_removal(queued)

    def correct(self, queued: QueuedRequest, service_time_s: float) -> None:
        """Charges the difference between actual and estimated service time."""
        team = queued.team
        team.correction += (service_time_s - queued.cost_s) / team.weight

    def _list(self, team: TeamQueue, start_tag: float) -> None:
        team.is_listed = True
        heapq.heappush(self._listed, (start_tag, next(self._sequence), team))

    def _account_removal(self, queued: QueuedRequest) -> None:
        self.waiting_count -= 1
        self.backlog_s -= queued.cost_s
        if not queued.team.requests:
            self.waiting_weight -= queued.team.weight
        if self.waiting_count == 0:
            self.backlog_s = 0.0
            self.waiting_weight = 0.0
