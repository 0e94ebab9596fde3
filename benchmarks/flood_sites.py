"""Discrete-event models of a site: this project's admission, and one FIFO."""

import heapq
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from benchmarks.flood_load import (
    ENTRIES_COUNT,
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

# One-way latency between data centres, taken for each message (section 1.2 of
# docs/design.md).
LATENCY_S = 0.001

TICK_S = 0.02


class Result(NamedTuple):
    """End of a request; ``start_delay_s`` is ``None`` when it didn't start."""

    arrival: Arrival
    start_delay_s: float | None
    slot_s: float
    end_s: float
    is_good: bool
    reason: str


class Site(ABC):
    """Event loop on virtual time, common to both models."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_s = 0.0
        self.results: list[Result] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    @abstractmethod
    def arrive(self, arrival: Arrival) -> None:
        """Handles a request at its entry host."""

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def run(self) -> list[Result]:
        """
        :returns: one result for each arrival.
        """
        incoming = arrivals(self.scenario)
        for arrival in incoming:
            self.at(arrival.arrived_s, lambda arrival=arrival: self.arrive(arrival))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        assert len(self.results) == len(incoming)
        return self.results

    def finish(
        self, arrival: Arrival, started_s: float | None, slot_s: float, reason: str
    ) -> None:
        is_good = reason == "run"
        delay_s = None if started_s is None else started_s - arrival.arrived_s
        self.results.append(
            Result(arrival, delay_s, slot_s, self.now_s, is_good, reason)
        )


class OwnedSite(Site):
    """Entry limits and queue owners of this project."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        members = frozenset(f"e{number}" for number in range(ENTRIES_COUNT))
        self._owners = {
            service: QueueOwner(
                service,
                site_configuration(),
                site_view(),
                QueueMembership(members, ENTRIES_COUNT),
                0.0,
                random=Random(scenario.seed),
            )
            for service in SERVICES
        }
        self._limits = [InFlightLimit(len(SERVICES)) for _ in range(ENTRIES_COUNT)]
        self._arrivals: dict[str, Arrival] = {}
        self.at(TICK_S, self._tick)
        if scenario.entries_killed_count:
            self.at(scenario.warm_up_s, self._kill_entries)

    def _kill_entries(self) -> None:
        left_count = ENTRIES_COUNT - self.scenario.entries_killed_count
        members = frozenset(f"e{number}" for number in range(left_count))
        membership = QueueMembership(members, ENTRIES_COUNT)
        for owner in self._owners.values():
            self._handle(owner.membership_changed(membership, self.now_s))

    def _tick(self) -> None:
        for owner in self._owners.values():
            self._handle(owner.tick(self.now_s))
        if self._arrivals or self.now_s < self.scenario.end_s:
            self.at(self.now_s + TICK_S, self._tick)

    def arrive(self, arrival: Arrival) -> None:
        reason = self._limits[arrival.entry].admit(_flow(arrival), 0)
        if reason is not None:
            self.finish(arrival, None, 0.0, reason)
            return
        self._arrivals[arrival.ticket] = arrival
        request = SlotRequest(
            arrival.ticket,
            f"e{arrival.entry}",
            arrival.service,
            arrival.team,
            arrival.urgency,
            arrival.deadline_s,
            (),
        )
        owner = self._owners[arrival.service]
        self.at(
            self.now_s + LATENCY_S,
            lambda: self._handle(owner.request(request, self.now_s)),
        )

    def _handle(self, decisions: list) -> None:
        for decision in decisions:
            arrival = self._arrivals.pop(decision.ticket)
            if isinstance(decision, SlotGrant):
                self._start(arrival)
            else:
                self.at(
                    self.now_s + LATENCY_S,
                    lambda arrival=arrival, reason=decision.reason: self._leave(
                        arrival, None, 0.0, reason
                    ),
                )

    def _start(self, arrival: Arrival) -> None:
        granted_s = self.now_s
        sent_s = granted_s + LATENCY_S
        started_s = sent_s + LATENCY_S
        answered_s = started_s + arrival.service_time_s + LATENCY_S
        is_good = answered_s <= arrival.deadline_s
        ended_s = min(answered_s, max(sent_s, arrival.deadline_s))
        slot_s = ended_s + LATENCY_S - granted_s
        reason = "run" if is_good else "late"
        self.at(ended_s, lambda: self._leave(arrival, started_s, slot_s, reason))
        release = SlotRelease(
            arrival.ticket, f"e{arrival.entry}", ended_s - sent_s, False
        )
        owner = self._owners[arrival.service]
        self.at(
            ended_s + LATENCY_S,
            lambda: self._handle(owner.release(release, self.now_s)),
        )

    def _leave(
        self, arrival: Arrival, started_s: float | None, slot_s: float, reason: str
    ) -> None:
        self._limits[arrival.entry].release(_flow(arrival), 0)
        self.finish(arrival, started_s, slot_s, reason)


def _flow(arrival: Arrival) -> RequestFlow:
    return RequestFlow(arrival.service, arrival.urgency, arrival.team)


class _Job:
    """Request in the FIFO model."""

    __slots__ = ("arrival", "has_ended", "has_place")

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.has_place = False
        self.has_ended = False


class FifoSite(Site):
    """One FIFO for each entry host, with static limits.

    A request waits in arrival order for one of the entry host's places, then in
    arrival order for one of its static share of the service's slots. It gives up
    when its deadline passes.
    """

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self._queues = [deque() for _ in range(ENTRIES_COUNT)]
        self._places_used = [0] * ENTRIES_COUNT
        self._slots_used: Counter[tuple[int, str]] = Counter()
        self._slot_queues = {
            (entry, service): deque()
            for entry in range(ENTRIES_COUNT)
            for service in SERVICES
        }

    def arrive(self, arrival: Arrival) -> None:
        job = _Job(arrival)
        self._queues[arrival.entry].append(job)
        self.at(arrival.deadline_s, lambda: self._end(job, None, 0.0, "late"))
        self._fill_places(arrival.entry)

    def _fill_places(self, entry: int) -> None:
        queue = self._queues[entry]
        while queue and self._places_used[entry] < REQUESTS_LIMIT_COUNT:
            job = queue.popleft()
            if job.has_ended:
                continue
            job.has_place = True
            self._places_used[entry] += 1
            key = (entry, job.arrival.service)
            self._slot_queues[key].append(job)
            self._fill_slots(key)

    def _fill_slots(self, key: tuple[int, str]) -> None:
        queue = self._slot_queues[key]
        while queue and self._slots_used[key] < SLOTS_COUNT // ENTRIES_COUNT:
            job = queue.popleft()
            if job.has_ended:
                continue
            self._slots_used[key] += 1
            self._start(job, key)

    def _start(self, job: _Job, key: tuple[int, str]) -> None:
        arrival = job.arrival
        sent_s = self.now_s
        started_s = sent_s + LATENCY_S
        answered_s = started_s + arrival.service_time_s + LATENCY_S
        is_good = answered_s <= arrival.deadline_s
        ended_s = min(answered_s, max(sent_s, arrival.deadline_s))
        slot_s = ended_s - sent_s
        reason = "run" if is_good else "late"
        job.has_ended = True
        self.at(ended_s, lambda: self._free(job, key, started_s, slot_s, reason))

    def _free(
        self,
        job: _Job,
        key: tuple[int, str],
        started_s: float,
        slot_s: float,
        reason: str,
    ) -> None:
        self._slots_used[key] -= 1
        job.has_ended = False
        self._end(job, started_s, slot_s, reason)
        self._fill_slots(key)

    def _end(
        self, job: _Job, started_s: float | None, slot_s: float, reason: str
    ) -> None:
        if job.has_ended:
            return
        job.has_ended = True
        self.finish(job.arrival, started_s, slot_s, reason)
        if job.has_place:
            self._places_used[job.arrival.entry] -= 1
            self._fill_places(job.arrival.entry)
