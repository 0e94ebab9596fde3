"""Discrete-event models of a site: with queue owners, and with FIFO queues."""

import heapq
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from benchmarks.flood_load import (
    ENTRY_HOSTS_COUNT,
    SERVICES,
    SLOTS_COUNT,
    Arrival,
    Scenario,
    arrivals,
    site_configuration,
    site_view,
)
from sycamorecroft.admission.in_flight_limit import (
    REQUESTS_LIMIT_COUNT,
    InFlightLimit,
    RequestFlow,
)
from sycamorecroft.routing.messages import SlotGrant, SlotRelease, SlotRequest
from sycamorecroft.routing.owner import QueueMembership, QueueOwner

# One-way latency between data centres (section 1.2 of docs/design.md); the models apply
# it to every message.
LATENCY_S = 0.001

TICK_S = 0.02


class RequestResult(NamedTuple):
    """Outcome of a request; ``start_delay_s`` is ``None`` if it never started."""

    arrival: Arrival
    start_delay_s: float | None
    slot_s: float
    end_s: float
    is_good: bool
    reason: str


class SiteModel(ABC):
    """Event loop in virtual time; base of both models."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_s = 0.0
        self.results: list[RequestResult] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    @abstractmethod
    def on_arrival(self, arrival: Arrival) -> None:
        """Processes a request that reaches its entry host."""

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self) -> list[RequestResult]:
        """
        :returns: one result for each arrival.
        """
        pending = arrivals(self.scenario)
        for arrival in pending:
            self.schedule(
                arrival.arrived_s, lambda arrival=arrival: self.on_arrival(arrival)
            )
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        assert len(self.results) == len(pending)
        return self.results

    def record_result(
        self, arrival: Arrival, started_s: float | None, slot_s: float, reason: str
    ) -> None:
        is_good = reason == "run"
        delay_s = None if started_s is None else started_s - arrival.arrived_s
        self.results.append(
            RequestResult(arrival, delay_s, slot_s, self.now_s, is_good, reason)
        )


class QueueOwnerModel(SiteModel):
    """Site with the in-flight limits and queue owners of this project."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        members = frozenset(f"e{number}" for number in range(ENTRY_HOSTS_COUNT))
        self._owners = {
            service: QueueOwner(
                service,
                site_configuration(),
                site_view(),
                QueueMembership(members, ENTRY_HOSTS_COUNT),
                0.0,
                random=Random(scenario.seed),
            )
            for service in SERVICES
        }
        self._in_flight_limits = [
            InFlightLimit(len(SERVICES)) for _ in range(ENTRY_HOSTS_COUNT)
        ]
        self._arrivals: dict[str, Arrival] = {}
        self.schedule(TICK_S, self._tick)
        if scenario.killed_entry_hosts_count:
            self.schedule(scenario.warm_up_s, self._kill_entry_hosts)

    def _kill_entry_hosts(self) -> None:
        live_count = ENTRY_HOSTS_COUNT - self.scenario.killed_entry_hosts_count
        members = frozenset(f"e{number}" for number in range(live_count))
        membership = QueueMembership(members, ENTRY_HOSTS_COUNT)
        for owner in self._owners.values():
            self._apply_decisions(owner.membership_changed(membership, self.now_s))

    def _tick(self) -> None:
        for owner in self._owners.values():
            self._apply_decisions(owner.tick(self.now_s))
        if self._arrivals or self.now_s < self.scenario.end_s:
            self.schedule(self.now_s + TICK_S, self._tick)

    def on_arrival(self, arrival: Arrival) -> None:
        reason = self._in_flight_limits[arrival.entry_host].admit(_flow(arrival), 0)
        if reason is not None:
            self.record_result(arrival, None, 0.0, reason)
            return
        self._arrivals[arrival.ticket] = arrival
        request = SlotRequest(
            arrival.ticket,
            f"e{arrival.entry_host}",
            arrival.service,
            arrival.team,
            arrival.urgency,
            arrival.deadline_s,
            (),
        )
        owner = self._owners[arrival.service]
        self.schedule(
            self.now_s + LATENCY_S,
            lambda: self._apply_decisions(owner.request(request, self.now_s)),
        )

    def _apply_decisions(self, decisions: list) -> None:
        for decision in decisions:
            arrival = self._arrivals.pop(decision.ticket)
            if isinstance(decision, SlotGrant):
                self._run(arrival)
            else:
                self.schedule(
                    self.now_s + LATENCY_S,
                    lambda arrival=arrival, reason=decision.reason: self._complete(
                        arrival, None, 0.0, reason
                    ),
                )

    def _run(self, arrival: Arrival) -> None:
        granted_s = self.now_s
        sent_s = granted_s + LATENCY_S
        started_s = sent_s + LATENCY_S
        responded_s = started_s + arrival.service_time_s + LATENCY_S
        is_good = responded_s <= arrival.deadline_s
        ended_s = min(responded_s, max(sent_s, arrival.deadline_s))
        slot_s = ended_s + LATENCY_S - granted_s
        reason = "run" if is_good else "late"
        self.schedule(
            ended_s, lambda: self._complete(arrival, started_s, slot_s, reason)
        )
        release = SlotRelease(
            arrival.ticket, f"e{arrival.entry_host}", ended_s - sent_s, False
        )
        owner = self._owners[arrival.service]
        self.schedule(
            ended_s + LATENCY_S,
            lambda: self._apply_decisions(owner.release(release, self.now_s)),
        )

    def _complete(
        self, arrival: Arrival, started_s: float | None, slot_s: float, reason: str
    ) -> None:
        self._in_flight_limits[arrival.entry_host].release(_flow(arrival), 0)
        self.record_result(arrival, started_s, slot_s, reason)


def _flow(arrival: Arrival) -> RequestFlow:
    return RequestFlow(arrival.service, arrival.urgency, arrival.team)


class _QueuedRequest:
    """Request and its progress in the FIFO model."""

    __slots__ = ("arrival", "has_ended", "is_admitted")

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.is_admitted = False
        self.has_ended = False


class FifoModel(SiteModel):
    """Site with FIFO queues and static limits at each entry host.

    A request waits in arrival order until the entry host is below its limit of admitted
    requests, then in arrival order for a slot. Each entry host has an equal, fixed
    share of a service's slots. A request that has not started by its deadline is
    abandoned.
    """

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self._queues = [deque() for _ in range(ENTRY_HOSTS_COUNT)]
        self._admitted_counts = [0] * ENTRY_HOSTS_COUNT
        self._occupied_slots: Counter[tuple[int, str]] = Counter()
        self._slot_queues = {
            (entry_host, service): deque()
            for entry_host in range(ENTRY_HOSTS_COUNT)
            for service in SERVICES
        }

    def on_arrival(self, arrival: Arrival) -> None:
        queued = _QueuedRequest(arrival)
        self._queues[arrival.entry_host].append(queued)
        self.schedule(
            arrival.deadline_s, lambda: self._complete(queued, None, 0.0, "late")
        )
        self._admit_queued(arrival.entry_host)

    def _admit_queued(self, entry_host: int) -> None:
        queue = self._queues[entry_host]
        while queue and self._admitted_counts[entry_host] < REQUESTS_LIMIT_COUNT:
            queued = queue.popleft()
            if queued.has_ended:
                continue
            queued.is_admitted = True
            self._admitted_counts[entry_host] += 1
            key = (entry_host, queued.arrival.service)
            self._slot_queues[key].append(queued)
            self._start_queued(key)

    def _start_queued(self, key: tuple[int, str]) -> None:
        queue = self._slot_queues[key]
        while queue and self._occupied_slots[key] < SLOTS_COUNT // ENTRY_HOSTS_COUNT:
            queued = queue.popleft()
            if queued.has_ended:
                continue
            self._occupied_slots[key] += 1
            self._run(queued, key)

    def _run(self, queued: _QueuedRequest, key: tuple[int, str]) -> None:
        arrival = queued.arrival
        sent_s = self.now_s
        started_s = sent_s + LATENCY_S
        responded_s = started_s + arrival.service_time_s + LATENCY_S
        is_good = responded_s <= arrival.deadline_s
        ended_s = min(responded_s, max(sent_s, arrival.deadline_s))
        slot_s = ended_s - sent_s
        reason = "run" if is_good else "late"
        queued.has_ended = True
        self.schedule(
            ended_s, lambda: self._release_slot(queued, key, started_s, slot_s, reason)
        )

    def _release_slot(
        self,
        queued: _QueuedRequest,
        key: tuple[int, str],
        started_s: float,
        slot_s: float,
        reason: str,
    ) -> None:
        self._occupied_slots[key] -= 1
        queued.has_ended = False
        self._complete(queued, started_s, slot_s, reason)
        self._start_queued(key)

    def _complete(
        self,
        queued: _QueuedRequest,
        started_s: float | None,
        slot_s: float,
        reason: str,
    ) -> None:
        if queued.has_ended:
            return
        queued.has_ended = True
        self.record_result(queued.arrival, started_s, slot_s, reason)
        if queued.is_admitted:
            self._admitted_counts[queued.arrival.entry_host] -= 1
            self._admit_queued(queued.arrival.entry_host)
