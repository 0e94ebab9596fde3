"""When waiting tasks are expected to have room without preemption."""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.advice import StepId
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.placement import fits_when_freed
from sycamorecroft.scheduling.run_durations import RunDurations, overdue_end_s
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task, WaitingStep
from sycamorecroft.scheduling.workers import Worker


class RoomRequest(NamedTuple):
    """A step whose waiting tasks need room by ``latest_start_s`` (monotonic)."""

    step_id: StepId
    step: WaitingStep
    latest_start_s: float


def expected_end_s(
    run: Run, durations: RunDurations, now_s: float, stop_s: float
) -> float:
    """
    :param stop_s: time in seconds that a worker may take to stop a run.
    :returns: monotonic time at which the run is expected to end.
    """
    if run.phase is RunPhase.STOPPING:
        return now_s + stop_s
    end_s = durations.end_s(run)
    return end_s if end_s > now_s else overdue_end_s(run.started_s, now_s)


class _Release(NamedTuple):
    """Resources that become free on a worker at ``at_s``.

    ``run``: whose end frees them, ``None`` for what is free already. ``number`` makes
    the order of equal times unique.
    """

    at_s: float
    number: int
    worker: Worker
    run: Run | None


class ExpectedRoom:
    """Gives what is and becomes free to steps, in the order in which they are listed.

    Room that a task gets in time is claimed for it. Beyond its latest start nothing is
    claimed, since its job ranks behind the others then; the times are the earliest.

    :ivar starts_s: times at which the tasks of each step are expected to have room;
        fewer than its waiting tasks if some never have.
    :ivar claimed_runs: runs whose resources are claimed.
    """

    def __init__(
        self,
        requests: Sequence[RoomRequest],
        workers: Mapping[str, Worker],
        held: Mapping[str, Collection[StepId]],
        now_s: float,
        stop_s: float,
    ) -> None:
        """
        :param requests: the steps, by rank; at least one.
        :param workers: workers that accept tasks.
        :param held: steps that each held worker is held for.
        :param stop_s: time in seconds that a worker may take to stop a run.
        """
        self.starts_s: dict[StepId, list[float]] = {r.step_id: [] for r in requests}
        self.claimed_runs: set[Run] = set()
        self._pending = {request.step_id: request for request in requests}
        self._priority = max(r.step.tasks[0].job.queue.priority for r in requests)
        demands = {r.step.waiting[0].spec.allocation for r in requests}
        self._smallest = Resources(*map(min, zip(*demands, strict=True)))
        self._workers = workers
        self._held = held
        self._now_s = now_s
        self._stop_s = stop_s
        self._free = {name: worker.free for name, worker in workers.items()}
        # Of these, the first is what is free once a run that is stopped now has ended,
        # less the claims that start by then, and the second the same less all claims.
        # The resources of a later run are added when it is claimed.
        self._free_soon = self._free.copy()
        self._left = self._free.copy()
        self._unclaimed: dict[str, list[_Release]] = {}
        self._counts: dict[tuple[StepId, str], int] = {}

    def run(self, durations: RunDurations) -> None:
        """Goes through the expected ends of runs until all steps have room."""
        for release in self._releases(durations):
            if not self._pending:
                return
            self._add(release)
            self._offer(release.worker, release.at_s)

    def spare(self, worker_id: str) -> Resources:
        """
        :returns: what is free on the worker by the time at which a run that is stopped
            now has ended, and isn't needed by claims on it.
        """
        free_soon, left = self._free_soon[worker_id], self._left[worker_id]
        return Resources(*map(min, zip(free_soon, left, strict=True)))

    def _releases(self, durations: RunDurations) -> list[_Release]:
        releases: list[_Release] = []
        for worker in self._workers.values():
            releases.append(_Release(self._now_s, len(releases), worker, None))
            for run in worker.runs.values():
                is_stopping = run.phase is RunPhase.STOPPING
                if not is_stopping and self._keeps_room(run):
                    continue
                end_s = expected_end_s(run, durations, self._now_s, self._stop_s)
                releases.append(_Release(end_s, len(releases), worker, run))
        return sorted(releases)

    def _keeps_room(self, run: Run) -> bool:
        """Returns whether the end of a run leaves no room for the steps.

        The next step of a job that is as urgent takes it, since its objective is
        usually the earlier one.
        """
        if run.task.spec.is_long_running:
            return True
        job = run.task.job
        is_urgent = job.queue.priority <= self._priority
        return is_urgent and job.critical_path_left.steps_count > 1

    def _is_soon(self, at_s: float) -> bool:
        return at_s <= self._now_s + self._stop_s

    def _add(self, release: _Release) -> None:
        if release.run is None:
            return
        name, allocation = release.worker.id, release.run.task.spec.allocation
        self._free[name] = self._free[name].plus(allocation)
        self._unclaimed.setdefault(name, []).append(release)
        if self._is_soon(release.at_s):
            self._free_soon[name] = self._free_soon[name].plus(allocation)
            self._left[name] = self._left[name].plus(allocation)

    def _offer(self, worker: Worker, at_s: float) -> None:
        # Most ends leave too little room for any of the tasks.
        if not self._free[worker.id].covers(self._smallest):
            return
        holders = self._held.get(worker.id)
        for request in list(self._pending.values()):
            if holders and request.step_id not in holders:
                continue
            while self._is_open(request) and self._fits(worker, request):
                self.starts_s[request.step_id].append(at_s)
                if at_s > request.latest_start_s:
                    break
                self._claim(worker, request, at_s)

    def _is_open(self, request: RoomRequest) -> bool:
        """Returns whether tasks of the step have no room yet."""
        if len(self.starts_s[request.step_id]) < len(request.step.waiting):
            return True
        self._pending.pop(request.step_id, None)
        return False

    def _fits(self, worker: Worker, request: RoomRequest) -> bool:
        task = request.step.waiting[0]
        if not self._free[worker.id].covers(task.spec.allocation):
            return False
        count = self._counts.get((request.step_id, worker.id), 0)
        return has_place(worker, task, count)

    def _claim(self, worker: Worker, request: RoomRequest, at_s: float) -> None:
        name, allocation = worker.id, request.step.waiting[0].spec.allocation
        self._free[name] = self._free[name].minus(allocation)
        self._left[name] = self._left[name].minus(allocation)
        if self._is_soon(at_s):
            self._free_soon[name] = self._free_soon[name].minus(allocation)
        for release in self._unclaimed.pop(name, ()):
            self._add_claimed(release)
        key = (request.step_id, name)
        self._counts[key] = self._counts.get(key, 0) + 1

    def _add_claimed(self, release: _Release) -> None:
        run, name = release.run, release.worker.id
        if run is None:
            return
        self.claimed_runs.add(run)
        if not self._is_soon(release.at_s):
            self._left[name] = self._left[name].plus(run.task.spec.allocation)


def has_place(worker: Worker, task: Task, planned_count: int) -> bool:
    """
    :param planned_count: number of tasks of the step that are planned on the worker.
    :returns: whether another one may run there once it has room.
    """
    if not fits_when_freed(worker, task):
        return False
    limit = task.spec.tasks_per_worker_limit
    if not (limit and planned_count):
        return True
    return worker.step_tasks_count(task) + planned_count < limit
