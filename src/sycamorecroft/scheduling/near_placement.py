"""Lets tasks wait for workers near their data during a placement."""

from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from functools import partial
from typing import NamedTuple

import structlog

from sycamorecroft.scheduling.candidates import Candidates
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.near_wait import (
    SCARCE_WEIGHT,
    NearReason,
    NearWaitTimes,
    WaitDecision,
    decide_wait,
    far_limits_s,
    is_first_try,
    may_wait,
)
from sycamorecroft.scheduling.rack_choice import may_choose_rack, workers_of_one_rack
from sycamorecroft.scheduling.rack_queue import NEVER_S, RackQueue, WorkerEnds
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.scheduling.state_copies import StateCopies
from sycamorecroft.scheduling.tasks import Task, WaitingStep
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# The workers of each rack are determined this often, since workers rarely change.
WORKERS_INTERVAL_S = 0.25
# The queue of a rack is used for this long. A hot rack of 64 places ends a task of 1 s
# each 16 ms, and a decision on all tasks that wait for it costs milliseconds.
QUEUE_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0

Decide = Callable[[NearWaitTimes, Callable[[float], float]], WaitDecision]


class _RackKey(NamedTuple):
    """Rack that tasks wait for, and the label that they require."""

    rack: str
    label: str


class _Logged(NamedTuple):
    """Decisions that are logged together."""

    rack: str
    reason: NearReason


class _Wait(NamedTuple):
    """A step of which all waiting tasks wait until ``limit_s`` (monotonic)."""

    step: WaitingStep
    limit_s: float


class _Rack:
    """Queue for a rack, created at ``created_s``, and who waits in it until when."""

    def __init__(self, queue: RackQueue, created_s: float) -> None:
        self.queue = queue
        self.created_s = created_s
        self.limits_s: dict[Task, float] = {}
        # By the first task of each step.
        self.waits: dict[Task, _Wait] = {}

    def copy(
        self,
        copied_tasks: Mapping[Task, Task],
        copied_steps: Mapping[int, WaitingStep],
    ) -> "_Rack":
        """
        :param copied_tasks: the copy of each task that may still be placed.
        :param copied_steps: the copy of each waiting step, by the step's ``id()``.
        :returns: an independent copy.
        """
        twin = _Rack(self.queue.copy(), self.created_s)
        for task, limit_s in self.limits_s.items():
            if task in copied_tasks:
                twin.limits_s[copied_tasks[task]] = limit_s
        for task, wait in self.waits.items():
            step = copied_steps.get(id(wait.step))
            if step is not None and task in copied_tasks:
                twin.waits[copied_tasks[task]] = _Wait(step, wait.limit_s)
        return twin


class NearPlacement:
    """Decides which tasks wait in each placement of a service. Not thread-safe.

    A waiting task holds nothing: it is placed again in each placement, in the order of
    the ranks, and what its rack frees meanwhile goes to whoever comes first. The queue
    of a rack, and with it the decisions, are kept for 0.1 s, so that the cost of a
    placement doesn't grow with each task that waits; tasks that come meanwhile join
    the end of the queue.

    :ivar decide: decides on each task whose rack has no place for it.
    :ivar is_active: whether tasks may wait; nothing needs to be recorded otherwise.
    :ivar due_s: monotonic time at which the first of the waits ends, so that a
        placement is due; infinite if no task waits.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        workers: Mapping[str, Worker],
        durations: RunDurations,
        ranking: JobRanking,
        decide: Decide = decide_wait,
    ) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._workers = workers
        self._durations = durations
        self.is_active = durations.slowdown_ratio > 1
        self._ranking = ranking
        self.decide = decide
        self._ends = WorkerEnds(durations)
        self._rack_workers: dict[str, list[Worker]] = {}
        self._rack_workers_s = -NEVER_S
        self._racks: dict[_RackKey, _Rack] = {}
        self._logged_s: dict[_Logged, float] = {}
        self.due_s = NEVER_S

    def copy(self, copies: StateCopies, ranking: JobRanking) -> "NearPlacement":
        """
        :param copies: copies of workers, tasks and steps.
        :param ranking: copy of the ranking.
        :returns: an independent copy between two placements.
        """
        durations = shallow_copy(self._durations)
        twin = NearPlacement(
            self._service,
            self._epoch,
            copies.workers_by_id,
            durations,
            ranking,
            self.decide,
        )
        twin._ends = self._ends.copy(durations, copies.workers)
        twin._rack_workers = {
            rack: [copies.workers.get(worker) or worker.copy() for worker in workers]
            for rack, workers in self._rack_workers.items()
        }
        twin._rack_workers_s = self._rack_workers_s
        twin._racks = {
            key: rack.copy(copies.tasks, copies.steps)
            for key, rack in self._racks.items()
        }
        twin.due_s = self.due_s
        return twin

    def end_waits(self) -> None:
        """Forgets when the waits end; a placement decides anew on each of them."""
        self.due_s = NEVER_S

    def begin(
        self,
        jobs: Collection[Job],
        usable: Sequence[Worker],
        candidates: Candidates,
        held: Collection[str],
        now_s: float,
    ) -> None:
        """Starts a placement.

        :param jobs: jobs with waiting tasks, in any order; who waits before whom
            follows from the order in which their steps are offered.
        :param usable: workers with room for the smallest of these tasks.
        :param candidates: workers that accept short tasks.
        :param held: ids of workers that accept only tasks of steps they are held for.
        """
        self._jobs = jobs
        self._usable = usable
        self._candidates = candidates
        self._held = held
        self._now_s = now_s
        # By the first task of each step, since a job may have several turns.
        self._unplaced: dict[Task, WaitingStep] = {}
        self._exempt: set[Task] = set()
        self._is_scarce: bool | None = None

    def exempt(self, step: WaitingStep) -> None:
        """Lets no task of the step wait in this placement, since workers idle for it.

        What the step still needs isn't counted in the queue for its rack either.
        """
        self._exempt.add(step.tasks[0])

    def tasks_to_place(
        self, step: WaitingStep, tasks: Iterable[Task]
    ) -> Iterable[Task]:
        """
        :param tasks: waiting tasks of the step that may be placed now.
        :returns: these tasks, without those that wait for a worker near their data,
            which has no room for them at present. Each must be placed before the next
            one is taken.
        """
        if not self.is_active:
            return tasks
        spec = step.waiting[0].spec
        # In a full pool most steps fit nowhere, which is the cheapest check.
        has_choice = spec.preferred_rack and self._candidates.fits(spec)
        if not has_choice or not may_wait(step, self._durations):
            return tasks
        if step.tasks[0] in self._exempt:
            return tasks
        return () if self._is_waiting(step) else self._without_waits(step, tasks)

    def wait_end_s(self, task: Task) -> float | None:
        """
        :returns: monotonic time until which a task waits at the latest by the decisions
            in force, ``None`` if there is none on it.
        """
        spec = task.spec
        rack = self._racks.get(_RackKey(spec.preferred_rack, spec.required_label))
        return rack.limits_s.get(task) if rack is not None else None

    def one_rack(self, step: WaitingStep) -> list[Worker]:
        """
        :returns: workers of a rack that holds all of the step, if it should run on one
            rack and none of it runs yet; empty otherwise.
        """
        if not self.is_active or not may_choose_rack(step):
            return []
        if not self._candidates.fits(step.waiting[0].spec):
            return []
        usable = [w for w in self._usable if not w.is_evacuation_target]
        return workers_of_one_rack(step, usable, self._now_s)

    def record_unplaced(self, step: WaitingStep) -> None:
        """Records that the rest of a step's tasks fit nowhere."""
        self._unplaced[step.tasks[0]] = step

    def _is_waiting(self, step: WaitingStep) -> bool:
        """Returns whether all tasks of the step are known to go on waiting."""
        rack = self._racks.get(_rack_key(step))
        if rack is None or not self._is_recent(rack):
            return False
        wait = rack.waits.get(step.waiting[0])
        if wait is None or wait.step is not step or wait.limit_s <= self._now_s:
            return False
        if self._candidates.has_near(step.waiting[0].spec):
            return False
        self.due_s = min(self.due_s, wait.limit_s)
        return True

    def _is_recent(self, rack: _Rack) -> bool:
        return 0 <= self._now_s - rack.created_s < QUEUE_INTERVAL_S

    def _without_waits(
        self, step: WaitingStep, tasks: Iterable[Task]
    ) -> Iterator[Task]:
        spec = step.waiting[0].spec
        candidates = self._candidates
        limits_s: list[float] = []
        times: NearWaitTimes | None = None
        for task in tasks:
            has_choice = candidates.fits(spec) and not candidates.has_near(spec)
            limit_s = None
            if has_choice and is_first_try(task):
                times = times or self._times(task)
                times = times._replace(waiting_since_s=task.waiting_since_s)
                limit_s = self._wait_limit_s(step, task, times)
            if limit_s is None:
                yield task
            else:
                limits_s.append(limit_s)
        if limits_s:
            first_s = min(limits_s)
            self.due_s = min(self.due_s, first_s)
            if len(limits_s) == len(step.waiting):
                rack = self._racks[_rack_key(step)]
                rack.waits[step.waiting[0]] = _Wait(step, first_s)

    def _wait_limit_s(
        self, step: WaitingStep, task: Task, times: NearWaitTimes
    ) -> float | None:
        """Returns until when a task waits for its rack, ``None`` if it doesn't."""
        rack = self._rack(step)
        known_s = rack.limits_s.get(task, 0.0)
        if known_s > self._now_s:
            return known_s
        join = partial(
            rack.queue.join, task.spec.allocation, self._durations.near_s(task.spec)
        )
        decision = self.decide(times, join)
        self._log_decision(task, times, decision)
        if not decision.is_waiting:
            return None
        rack.limits_s[task] = decision.limit_s
        return decision.limit_s

    def _times(self, task: Task) -> NearWaitTimes:
        extra_s = self._durations.extra_s(task.spec)
        return NearWaitTimes(
            self._now_s,
            task.waiting_since_s,
            extra_s,
            far_limits_s(task, self._ranking, extra_s),
            self._is_pool_scarce(),
        )

    def _rack(self, step: WaitingStep) -> _Rack:
        """Returns the rack that the step prefers, with its queue."""
        key = _rack_key(step)
        rack = self._racks.get(key)
        if rack is not None and self._is_recent(rack):
            return rack
        # Callers choose the names of racks, so that old entries must not be kept.
        self._racks = {k: r for k, r in self._racks.items() if self._is_recent(r)}
        queue = RackQueue(map(self._ends.of, self._near_workers(key)), self._now_s)
        rack = self._racks[key] = _Rack(queue, self._now_s)
        for other in self._unplaced.values():
            if _rack_key(other) == key and self._joins(other):
                self._join_unplaced(queue, other)
        return rack

    def _joins(self, step: WaitingStep) -> bool:
        """Returns whether a step that fits nowhere takes what its rack frees."""
        if step.tasks[0] in self._exempt:
            return False
        return may_wait(step, self._durations)

    def _join_unplaced(self, queue: RackQueue, step: WaitingStep) -> None:
        """Adds the tasks of a step that ranks before and fits nowhere at present."""
        spec = step.waiting[0].spec
        duration_s = self._durations.near_s(spec)
        # Those that would wait for longer take far places once there are some.
        extra_s = self._durations.extra_s(spec)
        limit_s = self._now_s + (1 + SCARCE_WEIGHT) * extra_s
        for task in step.waiting:
            if not task.is_waiting:
                continue
            if queue.join(spec.allocation, duration_s, limit_s) >= limit_s:
                return

    def _near_workers(self, key: _RackKey) -> Iterator[Worker]:
        """Yields the workers that come before all workers far from the data."""
        for worker in self._workers_with(key.rack):
            is_preferred = not (
                worker.is_slow or worker.is_stalled or worker.failed_jobs_count
            )
            has_label = not key.label or key.label in worker.labels
            is_usable = not worker.is_evacuation_target and has_label
            if worker.id in self._held or not (is_preferred and is_usable):
                continue
            if worker.accepts_tasks(self._now_s):
                yield worker

    def _workers_with(self, rack: str) -> list[Worker]:
        """Returns the workers with the label, as of the last 0.25 s."""
        if not 0 <= self._now_s - self._rack_workers_s < WORKERS_INTERVAL_S:
            self._rack_workers_s = self._now_s
            self._rack_workers = {}
            for worker in self._workers.values():
                for label in worker.labels:
                    self._rack_workers.setdefault(label, []).append(worker)
            self._ends.keep(self._workers)
        return self._rack_workers.get(rack, [])

    def _is_pool_scarce(self) -> bool:
        """Returns whether more tasks wait than fit on the workers of the pool."""
        if self._is_scarce is None:
            free = sum(worker.free.cpu_millicores for worker in self._usable)
            self._is_scarce = self._waits_more_than(free)
        return self._is_scarce

    def _waits_more_than(self, free_millicores: int) -> bool:
        for job in self._jobs:
            for step in job.waiting_steps():
                demand = step.waiting[0].spec.allocation.cpu_millicores
                free_millicores -= demand * len(step.waiting)
            if free_millicores < 0:
                return True
        return False

    def _log_decision(
        self, task: Task, times: NearWaitTimes, decision: WaitDecision
    ) -> None:
        """Logs a decision, once a second at most for the same rack and reason."""
        now_s = self._now_s
        logged = _Logged(task.spec.preferred_rack, decision.reason)
        if now_s - self._logged_s.get(logged, -NEVER_S) < LOG_INTERVAL_S:
            return
        # Callers choose the names of racks, so that old entries must not be kept.
        self._logged_s = {
            other: at_s
            for other, at_s in self._logged_s.items()
            if now_s - at_s < LOG_INTERVAL_S
        } | {logged: now_s}
        _log.info(
            "near_wait_decided",
            task=task.id.name,
            service=self._service,
            epoch=self._epoch,
            rack=task.spec.preferred_rack,
            is_waiting=decision.is_waiting,
            reason=decision.reason,
            waited_s=round(now_s - times.waiting_since_s, 3),
            wait_left_s=round(decision.limit_s - now_s, 3),
            near_start_s=_relative_s(decision.near_start_s, now_s),
            far_extra_s=round(times.extra_s, 3),
            estimate_ratio=round(self._durations.estimate_ratio, 3),
            is_scarce=times.is_scarce,
        )


def _relative_s(at_s: float, now_s: float) -> float | None:
    return None if at_s == NEVER_S else round(at_s - now_s, 3)


def _rack_key(step: WaitingStep) -> _RackKey:
    spec = step.waiting[0].spec
    return _RackKey(spec.preferred_rack, spec.required_label)
