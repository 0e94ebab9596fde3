"""Holds workers for steps of large tasks that small ones would pass over for ever."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import structlog

from sycamorecroft.metrics import CAPACITY_HOLDS
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.advice import StepId
from sycamorecroft.scheduling.critical_path import critical_path
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.placement import fits_when_freed
from sycamorecroft.scheduling.tasks import Task, WaitingStep
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# Share of the time that a job's objective leaves it to wait after which its steps get
# workers. The rest is for the tasks that run there to end.
HOLD_AFTER_RATIO = 0.5
# Workers are chosen anew after this time, since durations are estimates.
HOLD_RENEWAL_S = 2.0
# Share of the workers that may be held, and whose free capacity idles meanwhile.
HELD_WORKERS_RATIO = 0.05

_Group = tuple[float | str, ...]
# Priority, long-running and rate are the first criteria of a rank. Those that follow
# change while a job waits.
_CLASS_LENGTH = 3


class _LeftStep(NamedTuple):
    """A step of which a task fits on no worker."""

    job: Job
    step: WaitingStep
    rank_class: _Group


class PassedOver:
    """Steps that don't fit, and the sizes of the tasks that were placed meanwhile."""

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._left: list[_LeftStep] = []
        self._placed: set[tuple[_Group, Resources]] = set()

    def record_turn(
        self, before: Sequence[WaitingStep], after: Sequence[WaitingStep], group: _Group
    ) -> None:
        """Records the sizes of the tasks that were placed in a turn.

        :param before: waiting steps of the job before its turn.
        """
        if before is after:
            return
        left_counts = {_step_id(step.tasks[0]): len(step.waiting) for step in after}
        for step in before:
            left_count = left_counts.get(_step_id(step.tasks[0]), 0)
            if left_count < len(step.waiting):
                size = step.waiting[0].spec.allocation
                self._placed.add((group[:_CLASS_LENGTH], size))

    def record_left(self, job: Job, left: Iterable[WaitingStep], group: _Group) -> None:
        """Records steps within their account's share of which tasks fit nowhere."""
        if job.queue.advice is not None:
            return
        for step in left:
            self._left.append(_LeftStep(job, step, group[:_CLASS_LENGTH]))

    def steps(self) -> list[_LeftStep]:
        """
        :returns: steps whose jobs have little time left, and that smaller tasks of
            their class were placed in spite of, in the order of their jobs' ranks.
        """
        if not self._placed:
            return []
        return [
            left
            for left in self._left
            if self._is_passed_over(left) and _is_pressing(left.job, self._now_s)
        ]

    def _is_passed_over(self, left: _LeftStep) -> bool:
        size = left.step.waiting[0].spec.allocation
        return any(
            rank_class >= left.rank_class and not placed.covers(size)
            for rank_class, placed in self._placed
        )


def _is_pressing(job: Job, now_s: float) -> bool:
    """Returns whether the job has used up its part of the time that it could wait."""
    allowed_s = job.objective_end_s - job.accepted_s
    spare_s = allowed_s - critical_path(job.spec).duration_s
    left_s = job.objective_end_s - now_s - job.critical_path_left.duration_s
    return left_s <= (1 - HOLD_AFTER_RATIO) * spare_s


class Hold(NamedTuple):
    """Workers that accept only tasks of one step of a job."""

    job: Job
    step_id: StepId
    worker_ids: tuple[str, ...]
    since_s: float

    def waiting_steps(self) -> tuple[WaitingStep, ...]:
        """
        :returns: the step, if it has waiting tasks.
        """
        steps = self.job.waiting_steps()
        return tuple(step for step in steps if _step_id(step.tasks[0]) == self.step_id)


class CapacityHolds:
    """Workers of a service that are held for steps. Not thread-safe.

    :ivar held: ids of the workers.
    """

    def __init__(self, service: str, epoch: int, recorder: Recorder) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._recorder = recorder
        self._holds: dict[StepId, Hold] = {}
        self.held: frozenset[str] = frozenset()

    def copy(self, jobs: Mapping[str, Job]) -> "CapacityHolds":
        """
        :param jobs: copies of the jobs with waiting tasks. Holds of other jobs are left
            out, since they end with the next placement.
        :returns: an independent copy that records no metrics.
        """
        twin = CapacityHolds(self._service, self._epoch, NullRecorder())
        for step_id, hold in self._holds.items():
            if hold.job.id in jobs:
                twin._holds[step_id] = hold._replace(job=jobs[hold.job.id])
        twin._update_held()
        return twin

    def holds(self) -> list[Hold]:
        """
        :returns: the holds in force, oldest first.
        """
        return list(self._holds.values())

    def steps_by_worker(self) -> dict[str, frozenset[StepId]]:
        """
        :returns: steps that each held worker is held for.
        """
        steps: dict[str, frozenset[StepId]] = {}
        for step_id, hold in self._holds.items():
            for name in hold.worker_ids:
                steps[name] = steps.get(name, frozenset()) | {step_id}
        return steps

    def hold(
        self, job: Job, step_id: StepId, worker_ids: tuple[str, ...], now_s: float
    ) -> None:
        """Holds workers on which runs are stopped for a step.

        The budget of preemption bounds their number, and the holds of steps that are
        passed over count them. A worker may be held for several steps for which runs
        are stopped there at the same time; the step held first is placed first.
        """
        former = self._holds.get(step_id)
        if former is not None:
            worker_ids = tuple(dict.fromkeys((*former.worker_ids, *worker_ids)))
        self._holds[step_id] = Hold(job, step_id, worker_ids, now_s)
        self._update_held()

    def refresh(self, workers: Mapping[str, Worker], now_s: float) -> None:
        """Ends holds of steps that don't wait, that are old, or whose workers left."""
        for step_id, hold in list(self._holds.items()):
            usable = tuple(
                name
                for name in hold.worker_ids
                if name in workers and workers[name].accepts_tasks(now_s)
            )
            is_old = now_s - hold.since_s >= HOLD_RENEWAL_S
            if is_old or not usable or not hold.waiting_steps():
                del self._holds[step_id]
            else:
                self._holds[step_id] = hold._replace(worker_ids=usable)
        self._update_held()

    def _update_held(self) -> None:
        self.held = frozenset(
            name for hold in self._holds.values() for name in hold.worker_ids
        )

    def add(
        self, passed_over: PassedOver, workers: Mapping[str, Worker], now_s: float
    ) -> None:
        """Holds workers for the first step that is passed over, if there is one.

        One for each placement bounds its cost.
        """
        steps = passed_over.steps()
        if not steps:
            return
        accepting = [
            worker for worker in workers.values() if worker.accepts_tasks(now_s)
        ]
        limit_count = max(1, int(HELD_WORKERS_RATIO * len(accepting)))
        left_count = limit_count - len(self.held)
        for left in steps:
            step_id = _step_id(left.step.tasks[0])
            if step_id not in self._holds:
                free = [w for w in accepting if w.id not in self.held]
                self._hold(left, step_id, free, left_count, now_s)
                return

    def _hold(
        self,
        left: _LeftStep,
        step_id: StepId,
        workers: Sequence[Worker],
        limit_count: int,
        now_s: float,
    ) -> None:
        chosen = _choose_workers(left.step, workers, now_s)
        is_gang = left.step.tasks[0].spec.is_gang
        if len(chosen) > limit_count and not (is_gang and not self._holds):
            if is_gang:
                return
            chosen = chosen[: max(0, limit_count)]
        if not chosen:
            return
        worker_ids = tuple(worker.id for worker in chosen)
        self._holds[step_id] = Hold(left.job, step_id, worker_ids, now_s)
        self._update_held()
        self._recorder.count(CAPACITY_HOLDS, service=self._service)
        _log.info(
            "workers_held",
            service=self._service,
            epoch=self._epoch,
            step=step_id.name,
            account=left.job.account,
            waiting_count=len(left.step.waiting),
            waited_s=round(now_s - left.step.waiting[0].waiting_since_s, 3),
            workers=worker_ids,
            held_workers_count=len(self.held),
        )


class _Room(NamedTuple):
    """When a worker is expected to have room; workers are compared by these fields.

    ``at_s``: monotonic time, now if the tasks that run there should have ended by
    ``estimated_s``.
    """

    is_slow: bool
    at_s: float
    estimated_s: float
    worker_id: str


def _choose_workers(
    step: WaitingStep, workers: Iterable[Worker], now_s: float
) -> list[Worker]:
    """Returns workers that have room first, enough for all waiting tasks when freed.

    There are none if a task of no gang has room now: it waits for other reasons.
    """
    task = step.waiting[0]
    by_id = {
        worker.id: worker
        for worker in workers
        if not worker.is_evacuation_target and fits_when_freed(worker, task)
    }
    if not task.spec.is_gang and any(
        worker.free.covers(task.spec.allocation) for worker in by_id.values()
    ):
        return []
    rooms = [_room(worker, task.spec.allocation, now_s) for worker in by_id.values()]
    chosen: list[Worker] = []
    missing_count = len(step.waiting)
    for room in sorted(room for room in rooms if room is not None):
        if missing_count <= 0:
            break
        worker = by_id[room.worker_id]
        chosen.append(worker)
        missing_count -= _tasks_when_freed_count(worker, task)
    return chosen if missing_count <= 0 or not task.spec.is_gang else []


def _room(worker: Worker, demand: Resources, now_s: float) -> _Room | None:
    """Returns when the demand is expected to fit, ``None`` if it won't."""
    ends = sorted(
        (run.started_s + run.task.spec.estimate_ms / 1000, run.task.spec.allocation)
        for run in worker.runs.values()
        if not run.task.spec.is_long_running
    )
    free = worker.free
    room_s = now_s
    for end_s, allocation in ends:
        if free.covers(demand):
            break
        free = free.plus(allocation)
        room_s = end_s
    if not free.covers(demand):
        return None
    is_slow = worker.is_slow or worker.is_stalled
    return _Room(is_slow, max(now_s, room_s), room_s, worker.id)


def _tasks_when_freed_count(worker: Worker, task: Task) -> int:
    """Returns how many such tasks fit once all but long-running ones have ended."""
    spec = task.spec
    counts = [
        whole // needed
        for whole, needed in zip(
            worker.free_without_short_tasks, spec.allocation, strict=True
        )
        if needed > 0
    ]
    if spec.tasks_per_worker_limit:
        counts.append(spec.tasks_per_worker_limit)
    return min(counts, default=1)


def _step_id(task: Task) -> StepId:
    return StepId(task.id.job_id, task.id.occurrence, task.id.step)
