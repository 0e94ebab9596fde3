"""Places queued jobs on the workers of one pool, by a pure function.

Jobs are ordered by urgency class, then by their team's ratio of slots in use to weight,
then by age. A job that doesn't fit is skipped, so that it never delays the jobs behind
it. Once it has waited too long, one worker is reserved for it.
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
    """Weight of a team, and the number of its jobs that may run in the pool at once."""

    weight: float
    slots_quota_count: int


class QueuedJob(NamedTuple):
    """A job with its corrected size that has waited for a worker since ``queued_s``."""

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

    ``granted`` is the sum of granted sizes by worker, ``running_counts`` the number of
    running jobs by team. Teams that are not in ``teams`` may run no job.
    ``blocked_workers`` temporarily get no job, such as quarantined ones. At most
    ``limit_count`` jobs are placed.
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
    :returns: the jobs to start now, in order. Workers are chosen by best fit of free
        processors, those without free accelerators first.
    """
    free_workers = _FreeWorkers(state)
    fair_queue = _FairQueue(state)
    placements = _place_aged(state, free_workers, fair_queue)
    min_size = _smallest_size(state.queued)
    while len(placements) < state.limit_count and not free_workers.fits_nowhere(
        min_size
    ):
        job = fair_queue.next_job()
        if job is None:
            break
        worker = free_workers.best_fit(job)
        if worker is not None:
            free_workers.allocate(worker, job.size)
            fair_queue.add_running(job)
            placements.append(Placement(job.job_id, worker))
    return tuple(placements)


def _smallest_size(queued: Sequence[QueuedJob]) -> TaskSize:
    if not queued:
        return TaskSize(0.0, 0, 0)
    return TaskSize(*map(min, zip(*(job.size for job in queued), strict=True)))


def _place_aged(
    state: PlacementInput, free_workers: "_FreeWorkers", fair_queue: "_FairQueue"
) -> list[Placement]:
    """Places the oldest job beyond the waiting limit, or reserves a worker for it.

    Otherwise, small or more urgent jobs could use up all freed capacity indefinitely.
    One job per round is enough, and withholds at most one worker from other jobs.
    """
    for job in fair_queue.aged_jobs(state.now_s - state.reserve_after_s):
        worker = free_workers.best_fit(job)
        if worker is not None and state.limit_count > 0:
            free_workers.allocate(worker, job.size)
            fair_queue.remove(job)
            fair_queue.add_running(job)
            return [Placement(job.job_id, worker)]
        if free_workers.reserve(job):
            return []
    return []


def unplaceable_reason(size: TaskSize, workers: Iterable[Worker]) -> str | None:
    """
    :param workers: all workers of the pool, including inactive ones.
    :returns: why no worker is large enough for a job of this size, or ``None`` if one
        is. It is also ``None`` for an empty pool, since its hosts may return.
    """
    sizes = [worker.size for worker in workers]
    if not sizes or any(fits(size, other) for other in sizes):
        return None
    max_size = TaskSize(*(max(values) for values in zip(*sizes, strict=True)))
    return (
        f"needs {size.processors_count:g} processors, {size.memory_bytes} bytes and "
        f"{size.accelerators_count} accelerators; no worker of the pool has all of "
        f"these, the largest values are {max_size.processors_count:g}, "
        f"{max_size.memory_bytes} and {max_size.accelerators_count}; submit a smaller "
        "job"
    )


def fits(size: TaskSize, free: TaskSize) -> bool:
    """
    :returns: whether the free size is sufficient in each dimension.
    """
    return (
        size.processors_count <= free.processors_count
        and size.memory_bytes <= free.memory_bytes
        and size.accelerators_count <= free.accelerators_count
    )


def _subtract(left: TaskSize, right: TaskSize) -> TaskSize:
    return TaskSize(*(a - b for a, b in zip(left, right, strict=True)))


class _FreeWorkers:
    """Free sizes of workers, indexed by free processors and by free accelerators.

    Workers with and without free accelerators are kept in separate sorted lists. Free
    sizes only decrease during a round, so once a size fits nowhere, neither it nor any
    larger one is searched for again.
    """

    def __init__(self, state: PlacementInput) -> None:
        self._free: dict[str, TaskSize] = {}
        self._sizes = {worker.name: worker.size for worker in state.workers}
        self._unplaceable_sizes: list[TaskSize] = []
        self._without_accelerators: list[tuple[float, str]] = []
        self._with_accelerators: list[tuple[float, str]] = []
        for worker in state.workers:
            if not worker.is_active or worker.name in state.blocked_workers:
                continue
            granted = state.granted.get(worker.name)
            free = worker.size if granted is None else _subtract(worker.size, granted)
            self._free[worker.name] = free
            self._candidates_for(free).append((free.processors_count, worker.name))
        self._without_accelerators.sort()
        self._with_accelerators.sort()

    def fits_nowhere(self, size: TaskSize) -> bool:
        """
        :returns: whether this size, or a smaller one, was found to fit nowhere.
        """
        return any(fits(other, size) for other in self._unplaceable_sizes)

    def best_fit(self, job: QueuedJob) -> str | None:
        if self.fits_nowhere(job.size):
            return None
        for candidates in (self._without_accelerators, self._with_accelerators):
            worker = self._first_fit(candidates, job)
            if worker is not None:
                return worker
        if not job.excluded_workers:
            self._unplaceable_sizes.append(job.size)
        return None

    def allocate(self, worker: str, size: TaskSize) -> None:
        free = self._free[worker]
        self._remove(worker, free)
        free = _subtract(free, size)
        self._free[worker] = free
        insort(self._candidates_for(free), (free.processors_count, worker))

    def reserve(self, job: QueuedJob) -> bool:
        """Excludes the worker with the most free processors from the round.

        :returns: whether there is a worker that is large enough for the job.
        """
        for candidates in (self._with_accelerators, self._without_accelerators):
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

    def _candidates_for(self, free: TaskSize) -> list[tuple[float, str]]:
        return (
            self._with_accelerators
            if free.accelerators_count > 0
            else self._without_accelerators
        )

    def _remove(self, worker: str, free: TaskSize) -> None:
        candidates = self._candidates_for(free)
        candidate = (free.processors_count, worker)
        del candidates[bisect_left(candidates, candidate)]


class _FairQueue:
    """Queued jobs by urgency class, in weighted fair order of their teams.

    Only placed jobs count as slots in use, so jobs that don't fit use up no share of
    their team and delay neither its other jobs nor other teams.
    """

    def __init__(self, state: PlacementInput) -> None:
        self._teams = state.teams
        self._running_counts: defaultdict[str, int] = defaultdict(
            int, state.running_counts
        )
        self._queues: dict[Urgency, dict[str, deque[QueuedJob]]] = {}
        for urgency in Urgency:
            self._queues[urgency] = defaultdict(deque)
        for job in state.queued:
            if job.team in state.teams:
                self._queues[job.urgency][job.team].append(job)
        self._urgencies = deque(Urgency)
        self._team_heap: list[tuple[float, str]] = []
        self._start_urgency_class()

    def aged_jobs(self, queued_until_s: float) -> list[QueuedJob]:
        """
        :returns: jobs queued at ``queued_until_s`` or earlier, of teams below their
            quota, oldest first.
        """
        aged = [
            job
            for queues in self._queues.values()
            for team, queue in queues.items()
            if self._running_counts[team] < self._teams[team].slots_quota_count
            for job in queue
            if job.queued_s <= queued_until_s
        ]
        return sorted(aged, key=lambda job: job.queued_s)

    def remove(self, job: QueuedJob) -> None:
        self._queues[job.urgency][job.team].remove(job)

    def next_job(self) -> QueuedJob | None:
        while self._team_heap or self._urgencies:
            if not self._team_heap:
                self._urgencies.popleft()
                self._start_urgency_class()
                continue
            _, team = heapq.heappop(self._team_heap)
            queue = self._queues[self._urgencies[0]][team]
            if (
                queue
                and self._running_counts[team] < self._teams[team].slots_quota_count
            ):
                job = queue.popleft()
                self._push(team)
                return job
        return None

    def add_running(self, job: QueuedJob) -> None:
        self._running_counts[job.team] += 1
        self._team_heap = [item for item in self._team_heap if item[1] != job.team]
        heapq.heapify(self._team_heap)
        self._push(job.team)

    def _start_urgency_class(self) -> None:
        if self._urgencies:
            for team in self._queues[self._urgencies[0]]:
                self._push(team)

    def _push(self, team: str) -> None:
        share = self._running_counts[team] / self._teams[team].weight
        heapq.heappush(self._team_heap, (share, team))
