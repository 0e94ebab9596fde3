"""Placement of queued jobs: a pure decision over one pool.

Order: urgency class, then teams by slots in use over weight, then age. A job that
doesn't fit is passed over, so it never delays the jobs behind it, until it has waited
so long that a worker is kept for it.
"""

import heapq
from bisect import bisect_left, insort
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.store.interfaces import TaskSize


class TeamShare(NamedTuple):
    """Weight of a team and how many of its jobs may run in the pool at once."""

    weight: float
    slots_quota_count: int


class QueuedJob(NamedTuple):
    """A job that waits for a worker since ``queued_s``, with its corrected size."""

    job_id: str
    team: str
    urgency: Urgency
    size: TaskSize
    queued_s: float
    excluded_workers: frozenset[str] = frozenset()


class Placement(NamedTuple):
    """Decision to start a job on a worker."""

    job_id: str
    worker: str


class PlacementInput(NamedTuple):
    """State of a pool. ``queued`` is ordered by age, oldest first.

    ``granted`` are the sizes granted on each worker, ``running_counts`` the jobs of
    each team that run. Teams without a share may run no job. ``blocked_workers`` take
    no job for now, such as quarantined ones. At most ``limit_count`` jobs are placed.
    """

    workers: Sequence[Worker]
    granted: Mapping[str, TaskSize]
    blocked_workers: frozenset[str]
    queued: Sequence[QueuedJob]
    teams: Mapping[str, TeamShare]
    running_counts: Mapping[str, int]
    now_s: float
    reserve_after_s: float
    limit_count: int


def place(state: PlacementInput) -> tuple[Placement, ...]:
    """
    :returns: the jobs to start now, in order. Best fit by free processors, after
        workers without accelerators for jobs that need none.
    """
    free = _FreeWorkers(state)
    order = _FairOrder(state)
    placements = _place_aged(state, free, order)
    smallest = _smallest(state.queued)
    while len(placements) < state.limit_count and not free.is_hopeless(smallest):
        job = order.next_job()
        if job is None:
            break
        worker = free.best_fit(job)
        if worker is not None:
            free.take(worker, job.size)
            order.count(job)
            placements.append(Placement(job.job_id, worker))
    return tuple(placements)


def _smallest(queued: Sequence[QueuedJob]) -> TaskSize:
    if not queued:
        return TaskSize(0.0, 0, 0)
    return TaskSize(*map(min, zip(*(job.size for job in queued), strict=True)))


def _place_aged(
    state: PlacementInput, free: "_FreeWorkers", order: "_FairOrder"
) -> list[Placement]:
    """Places the job that waited longest beyond a limit, or keeps a worker for it.

    Without it, small or more urgent jobs could take each gap for ever. One job in a
    round is enough, and costs the others one worker at most.
    """
    for job in order.aged_jobs(state.now_s - state.reserve_after_s):
        worker = free.best_fit(job)
        if worker is not None and state.limit_count > 0:
            free.take(worker, job.size)
            order.remove(job)
            order.count(job)
            return [Placement(job.job_id, worker)]
        if free.reserve(job):
            return []
    return []


def why_unplaceable(size: TaskSize, workers: Iterable[Worker]) -> str | None:
    """
    :param workers: all workers of the pool, inactive ones too.
    :returns: the reason why no worker could ever run a job of this size, or ``None``.
        An empty pool gives no reason, since its hosts may come back.
    """
    sizes = [worker.size for worker in workers]
    if not sizes or any(fits(size, other) for other in sizes):
        return None
    largest = TaskSize(*(max(values) for values in zip(*sizes, strict=True)))
    return (
        f"needs {size.processors_count:g} processors, {size.memory_bytes} bytes and "
        f"{size.accelerators_count} accelerators; no worker of the pool has all of "
        f"these, the largest values are {largest.processors_count:g}, "
        f"{largest.memory_bytes} and {largest.accelerators_count}; submit a smaller "
        "job"
    )


def fits(size: TaskSize, free: TaskSize) -> bool:
    """
    :returns: whether a free size suffices in each dimension.
    """
    return (
        size.processors_count <= free.processors_count
        and size.memory_bytes <= free.memory_bytes
        and size.accelerators_count <= free.accelerators_count
    )


def _minus(left: TaskSize, right: TaskSize) -> TaskSize:
    return TaskSize(*(a - b for a, b in zip(left, right, strict=True)))


class _FreeWorkers:
    """Free sizes, sorted by free processors, apart by whether accelerators are free.

    Free sizes only fall during one placement, so a size that fitted nowhere, and each
    larger one, needs no further search.
    """

    def __init__(self, state: PlacementInput) -> None:
        self._free: dict[str, TaskSize] = {}
        self._sizes = {worker.name: worker.size for worker in state.workers}
        self._hopeless: list[TaskSize] = []
        self._plain: list[tuple[float, str]] = []
        self._accelerated: list[tuple[float, str]] = []
        for worker in state.workers:
            if not worker.is_active or worker.name in state.blocked_workers:
                continue
            granted = state.granted.get(worker.name)
            free = worker.size if granted is None else _minus(worker.size, granted)
            self._free[worker.name] = free
            self._list(free).append((free.processors_count, worker.name))
        self._plain.sort()
        self._accelerated.sort()

    def is_hopeless(self, size: TaskSize) -> bool:
        """
        :returns: whether a size that is not larger fitted nowhere in this round.
        """
        return any(fits(other, size) for other in self._hopeless)

    def best_fit(self, job: QueuedJob) -> str | None:
        if self.is_hopeless(job.size):
            return None
        for candidates in (self._plain, self._accelerated):
            worker = self._first_fit(candidates, job)
            if worker is not None:
                return worker
        if not job.excluded_workers:
            self._hopeless.append(job.size)
        return None

    def take(self, worker: str, size: TaskSize) -> None:
        free = self._free[worker]
        self._remove(worker, free)
        free = _minus(free, size)
        self._free[worker] = free
        insort(self._list(free), (free.processors_count, worker))

    def reserve(self, job: QueuedJob) -> bool:
        """Takes the worker with most free processors out of the round.

        :returns: whether there is one that is large enough for the job.
        """
        for candidates in (self._accelerated, self._plain):
            for _, worker in reversed(candidates):
                if worker in job.excluded_workers:
                    continue
                if fits(job.size, self._sizes[worker]):
                    self._remove(worker, self._free.pop(worker))
                    return True
        return False

    def _first_fit(
        self, candidates: list[tuple[float, str]], job: QueuedJob
    ) -> str | None:
        position = bisect_left(candidates, (job.size.processors_count, ""))
        for index in range(position, len(candidates)):
            worker = candidates[index][1]
            if worker in job.excluded_workers:
                continue
            if fits(job.size, self._free[worker]):
                return worker
        return None

    def _list(self, free: TaskSize) -> list[tuple[float, str]]:
        return self._accelerated if free.accelerators_count > 0 else self._plain

    def _remove(self, worker: str, free: TaskSize) -> None:
        candidates = self._list(free)
        entry = (free.processors_count, worker)
        del candidates[bisect_left(candidates, entry)]


class _FairOrder:
    """Order of turns. Only a job that is placed counts as a slot of its team, so a
    team whose jobs don't fit takes nothing from its other jobs or from other teams.
    """

    def __init__(self, state: PlacementInput) -> None:
        self._teams = state.teams
        self._counts: defaultdict[str, int] = defaultdict(int, state.running_counts)
        self._queues: dict[Urgency, dict[str, deque[QueuedJob]]] = {}
        for urgency in Urgency:
            self._queues[urgency] = defaultdict(deque)
        for job in state.queued:
            if job.team in state.teams:
                self._queues[job.urgency][job.team].append(job)
        self._waiting = deque(Urgency)
        self._turns: list[tuple[float, str]] = []
        self._begin_class()

    def aged_jobs(self, until_s: float) -> list[QueuedJob]:
        """
        :returns: jobs queued since ``until_s`` or before, of teams within their quota,
            oldest first.
        """
        aged = [
            job
            for queues in self._queues.values()
            for team, queue in queues.items()
            if self._counts[team] < self._teams[team].slots_quota_count
            for job in queue
            if job.queued_s <= until_s
        ]
        return sorted(aged, key=lambda job: job.queued_s)

    def remove(self, job: QueuedJob) -> None:
        self._queues[job.urgency][job.team].remove(job)

    def next_job(self) -> QueuedJob | None:
        while self._turns or self._waiting:
            if not self._turns:
                self._waiting.popleft()
                self._begin_class()
                continue
            _, team = heapq.heappop(self._turns)
            queue = self._queues[self._waiting[0]][team]
            if queue and self._counts[team] < self._teams[team].slots_quota_count:
                job = queue.popleft()
                self._push(team)
                return job
        return None

    def count(self, job: QueuedJob) -> None:
        self._counts[job.team] += 1
        self._turns = [turn for turn in self._turns if turn[1] != job.team]
        heapq.heapify(self._turns)
        self._push(job.team)

    def _begin_class(self) -> None:
        if self._waiting:
            for team in self._queues[self._waiting[0]]:
                self._push(team)

    def _push(self, team: str) -> None:
        share = self._counts[team] / self._teams[team].weight
        heapq.heappush(self._turns, (share, team))
