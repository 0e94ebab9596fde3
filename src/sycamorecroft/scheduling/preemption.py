"""Chooses runs of less urgent queues to stop for jobs that would be late otherwise."""

import heapq
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.advice import StepId
from sycamorecroft.scheduling.expected_room import (
    ExpectedRoom,
    RoomRequest,
    expected_end_s,
    has_place,
)
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.placement import is_far
from sycamorecroft.scheduling.quota_gate import QuotaGate
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.tasks import Run, RunPhase, WaitingStep
from sycamorecroft.scheduling.workers import Worker

# Jobs that are examined at a time, and steps of all of these together. They bound the
# cost of a decision, since each step looks at all workers that have runs to stop.
EXAMINED_JOBS_COUNT = 8
EXAMINED_STEPS_COUNT = 32


class StoppedRun(NamedTuple):
    """A run to stop, and the work that is lost with it."""

    run: Run
    lost_core_s: float


class Preemption(NamedTuple):
    """Runs to stop for a step of a job.

    ``expected_end_s``: monotonic time at which the job is expected to end at the
    earliest without preemption, ``None`` if some of its tasks get no room.
    ``preempting_end_s``: that with preemption.
    """

    job: Job
    step_id: StepId
    runs: tuple[StoppedRun, ...]
    expected_end_s: float | None
    preempting_end_s: float

    @property
    def worker_ids(self) -> tuple[str, ...]:
        """Workers of the runs, which are to be held for the step."""
        return tuple(dict.fromkeys(item.run.worker_id for item in self.runs))


class PreemptionState(NamedTuple):
    """What preemptions are decided by.

    ``held``: steps that each held worker is held for. ``usage``: what the runs of each
    account use, which ``quotas`` compares with the limits. ``stop_s``: time in seconds
    that a worker may take to stop a run. ``budget_core_s``: work that may be lost now.
    """

    workers: Mapping[str, Worker]
    held: Mapping[str, Collection[StepId]]
    ranking: JobRanking
    durations: RunDurations
    quotas: QuotaGate
    usage: AccountUsage
    stop_s: float
    budget_core_s: float


def lost_core_s(run: Run, now_s: float) -> float:
    """
    :returns: work in core seconds that is lost if the run is stopped now.
    """
    since_s = run.started_s
    if run.task.spec.is_checkpointed:
        since_s = max(since_s, run.checkpointed_s)
    return max(0.0, now_s - since_s) * run.task.spec.demand.cpu_millicores / 1000


def plan_preemptions(
    state: PreemptionState, jobs: Sequence[Job], now_s: float
) -> list[Preemption]:
    """Chooses the runs to stop for jobs that can meet their objective only so.

    All tasks of a job must get room in time. Otherwise nothing is stopped for it.

    :param jobs: jobs with waiting tasks, after a placement.
    """
    if not jobs or state.budget_core_s <= 0:
        return []
    workers = {
        name: worker
        for name, worker in state.workers.items()
        if worker.accepts_tasks(now_s) and not worker.is_evacuation_target
    }
    priority = min(job.queue.priority for job in jobs)
    stoppable = _stoppable_runs(state, workers.values(), priority, now_s)
    if not stoppable:
        return []
    urgent = _urgent_jobs(state, jobs, stoppable, now_s)
    if not urgent:
        return []
    requests = [request for item in urgent for request in item.requests]
    room = ExpectedRoom(requests, workers, state.held, now_s, state.stop_s)
    room.run(state.durations)
    return _Planner(state, workers, stoppable, room, now_s).plan(urgent)


def _stoppable_runs(
    state: PreemptionState, workers: Iterable[Worker], priority: int, now_s: float
) -> list[Run]:
    """Returns the runs that may be stopped for jobs of a priority."""
    return [
        run
        for worker in workers
        for run in worker.runs.values()
        if run.task.job.queue.priority > priority
        and _is_stoppable(run)
        and expected_end_s(run, state.durations, now_s, state.stop_s)
        > now_s + state.stop_s
    ]


def _is_stoppable(run: Run) -> bool:
    """Returns whether a run may be preempted at all.

    The end of a run whose start isn't confirmed can't be predicted: its order to start
    may be carried out late. The work of a former owner's run isn't known.
    """
    task = run.task
    spec = task.spec
    if run.phase is not RunPhase.RUNNING or run.is_adopted or task.is_preempted:
        return False
    if spec.is_long_running or spec.is_gang or spec.is_best_effort:
        return False
    return task.job.is_active


class _UrgentJob(NamedTuple):
    """A job that may preempt, and the time in seconds that it needs from its start."""

    job: Job
    needed_s: float
    requests: tuple[RoomRequest, ...]


def _urgent_jobs(
    state: PreemptionState,
    jobs: Iterable[Job],
    stoppable: Sequence[Run],
    now_s: float,
) -> list[_UrgentJob]:
    """Returns the first jobs, by rank, that may meet their objective by preemption."""
    least_urgent = max(run.task.job.queue.priority for run in stoppable)
    urgent: list[tuple[tuple[float | str, ...], _UrgentJob]] = []
    for job in jobs:
        if job.queue.priority >= least_urgent or not _may_preempt(job, state.quotas):
            continue
        needed_s = state.ranking.needed_s(job)
        latest_s = job.objective_end_s - needed_s
        if now_s + state.stop_s > latest_s:
            continue
        requests = tuple(
            RoomRequest(_step_id(step), step, latest_s) for step in job.waiting_steps()
        )
        rank = state.ranking.rank(job, now_s)
        urgent.append((rank, _UrgentJob(job, needed_s, requests)))
    urgent.sort(key=lambda item: item[0])
    return _allowed_jobs(state, [item for _, item in urgent])


def _allowed_jobs(
    state: PreemptionState, urgent: Iterable[_UrgentJob]
) -> list[_UrgentJob]:
    """Returns the first jobs all of whose waiting tasks may start within the limits.

    Jobs with too many waiting steps are left out.

    Once a job doesn't fit within its account's limit, later ones of the account are
    left out: the tasks of the first use what is left of the limit.
    """
    usage = state.usage.copy()
    quotas = state.quotas.copy(usage)
    allowed: list[_UrgentJob] = []
    limited: set[str] = set()
    left_count = EXAMINED_STEPS_COUNT
    for item in urgent:
        if len(allowed) == EXAMINED_JOBS_COUNT:
            break
        account = item.job.account
        if account in limited or len(item.requests) > left_count:
            continue
        if _use_limit(item, quotas, usage):
            allowed.append(item)
            left_count -= len(item.requests)
        else:
            limited.add(account)
    return allowed


def _use_limit(urgent: _UrgentJob, quotas: QuotaGate, usage: AccountUsage) -> bool:
    """Adds the waiting tasks of a job to the usage, as far as the limit allows them.

    :returns: whether it allows all of them.
    """
    account = urgent.job.account
    for request in urgent.requests:
        for task in request.step.waiting:
            if not quotas.allows(account, task.spec.demand):
                return False
            usage.add(account, task.spec)
    return True


def _may_preempt(job: Job, quotas: QuotaGate) -> bool:
    """Returns whether runs may be stopped for the job.

    Excess jobs get only what is free. Workers need the approval of an advice service,
    if there is one, so that none can be held.
    """
    if job.is_long_running or job.is_excess or job.queue.advice is not None:
        return False
    return all(
        _is_whole(step) and _is_allowed(step, quotas) for step in job.waiting_steps()
    )


def _is_allowed(step: WaitingStep, quotas: QuotaGate) -> bool:
    """Returns whether the account's limit has room for a task, or the whole gang."""
    task = step.tasks[0]
    count = len(step.tasks) if task.spec.is_gang else 1
    return quotas.allows(task.job.account, task.spec.demand, count)


def _is_whole(step: WaitingStep) -> bool:
    """Returns whether the step can be placed; a gang isn't while members run."""
    return not step.tasks[0].spec.is_gang or len(step.waiting) == len(step.tasks)


class _Option(NamedTuple):
    """Runs of a worker to stop for one task.

    Options are compared by the work that is lost. Those on workers that are slow or
    have a stalled task come last, as in a placement. While ``runs`` is ``None``, the
    runs aren't determined yet and the lost work is a lower bound.
    """

    is_slow: bool
    lost_core_s: float
    worker_id: str
    runs: tuple[StoppedRun, ...] | None


class _Planner:
    """Plans the preemptions of one decision."""

    def __init__(
        self,
        state: PreemptionState,
        workers: Mapping[str, Worker],
        stoppable: Iterable[Run],
        room: ExpectedRoom,
        now_s: float,
    ) -> None:
        self._state = state
        self._workers = workers
        self._room = room
        self._now_s = now_s
        self._budget_core_s = state.budget_core_s
        self._runs: dict[str, list[StoppedRun]] = {}
        for run in stoppable:
            if run not in room.claimed_runs:
                item = StoppedRun(run, lost_core_s(run, now_s))
                self._runs.setdefault(run.worker_id, []).append(item)
        for items in self._runs.values():
            items.sort(key=lambda item: item.lost_core_s)
        self._spare = {name: room.spare(name) for name in self._runs}

    def plan(self, urgent: Iterable[_UrgentJob]) -> list[Preemption]:
        """
        :param urgent: the jobs, by rank.
        """
        planned: list[Preemption] = []
        for item in urgent:
            planned += self._plan_job(item)
        return planned

    def _plan_job(self, urgent: _UrgentJob) -> list[Preemption]:
        plan = _JobPlan(urgent, self._runs, self._spare)
        for request in urgent.requests:
            late_count = self._late_count(request)
            if late_count and not plan.add(request, late_count, self._usable(request)):
                return []
        if plan.lost_core_s > self._budget_core_s:
            return []
        self._budget_core_s -= plan.lost_core_s
        self._runs |= plan.runs
        self._spare |= plan.spare
        expected_s = self._expected_start_s(urgent)
        return [
            Preemption(
                urgent.job,
                step_id,
                tuple(stopped),
                None if expected_s is None else expected_s + urgent.needed_s,
                self._now_s + self._state.stop_s + urgent.needed_s,
            )
            for step_id, stopped in plan.stopped.items()
            if stopped
        ]

    def _late_count(self, request: RoomRequest) -> int:
        """Returns how many tasks of the step have no room in time."""
        starts_s = self._room.starts_s[request.step_id]
        in_time = [at_s for at_s in starts_s if at_s <= request.latest_start_s]
        return len(request.step.waiting) - len(in_time)

    def _expected_start_s(self, urgent: _UrgentJob) -> float | None:
        starts_s: list[float] = []
        for request in urgent.requests:
            times_s = self._room.starts_s[request.step_id]
            if len(times_s) < len(request.step.waiting):
                return None
            starts_s += times_s
        return max(starts_s)

    def _usable(self, request: RoomRequest) -> list[Worker]:
        """Returns workers on which tasks of the step would be in time."""
        spec = request.step.tasks[0].spec
        far_start_s = self._now_s + self._state.stop_s
        far_start_s += self._state.durations.extra_s(spec)
        is_far_late = far_start_s > request.latest_start_s
        usable: list[Worker] = []
        for name in self._runs:
            worker = self._workers[name]
            holders = self._state.held.get(name)
            if holders and request.step_id not in holders:
                continue
            if not (is_far_late and is_far(spec, worker.labels)):
                usable.append(worker)
        return usable


class _JobPlan:
    """Runs to stop for one job, and what is left of the workers afterwards.

    :ivar runs: runs that may still be stopped, by worker, where that has changed.
    :ivar spare: what is spare on each worker, where that has changed.
    :ivar stopped: runs to stop for each step.
    """

    def __init__(
        self,
        urgent: _UrgentJob,
        runs: Mapping[str, list[StoppedRun]],
        spare: Mapping[str, Resources],
    ) -> None:
        self._job = urgent.job
        self._former_runs = runs
        self._former_spare = spare
        self.runs: dict[str, list[StoppedRun]] = {}
        self.spare: dict[str, Resources] = {}
        self.stopped: dict[StepId, list[StoppedRun]] = {}
        self.lost_core_s = 0.0

    def add(self, request: RoomRequest, count: int, workers: Iterable[Worker]) -> bool:
        """Plans room for tasks of a step, with the least work lost first.

        :returns: whether there is room for all of them.
        """
        by_id = {worker.id: worker for worker in workers}
        counts = dict.fromkeys(by_id, 0)
        demand = request.step.waiting[0].spec.allocation
        heap = [self._bound(worker, demand) for worker in by_id.values()]
        heapq.heapify(heap)
        stopped = self.stopped.setdefault(request.step_id, [])
        while heap and count:
            bound = heapq.heappop(heap)
            worker = by_id[bound.worker_id]
            if bound.runs is None:
                option = self._option(request, worker, counts[worker.id])
                if option is not None:
                    heapq.heappush(heap, option)
                continue
            self._take(bound, request.step)
            stopped += bound.runs
            counts[worker.id] += 1
            count -= 1
            heapq.heappush(heap, self._bound(worker, demand))
        return not count

    def _bound(self, worker: Worker, demand: Resources) -> _Option:
        """Returns an option of the worker whose runs aren't determined yet.

        Determining the runs of all workers would take most of the time of a decision.
        """
        runs = self._runs_of(worker.id)
        lost_core_s = runs[0].lost_core_s if runs else 0.0
        if self._spare_of(worker.id).covers(demand):
            lost_core_s = 0.0
        return _Option(_is_slow(worker), lost_core_s, worker.id, None)

    def _runs_of(self, worker_id: str) -> list[StoppedRun]:
        known = self.runs.get(worker_id)
        return self._former_runs[worker_id] if known is None else known

    def _spare_of(self, worker_id: str) -> Resources:
        return self.spare.get(worker_id, self._former_spare[worker_id])

    def _option(
        self, request: RoomRequest, worker: Worker, planned_count: int
    ) -> _Option | None:
        """Returns the runs of the worker with the least work for one task."""
        task = request.step.waiting[0]
        if not has_place(worker, task, planned_count):
            return None
        demand = task.spec.allocation
        room = self._spare_of(worker.id)
        chosen: list[StoppedRun] = []
        for item in self._runs_of(worker.id):
            if room.covers(demand):
                break
            if self._is_less_urgent(item.run):
                chosen.append(item)
                room = room.plus(item.run.task.spec.allocation)
        if not room.covers(demand):
            return None
        for item in reversed(chosen.copy()):
            without = room.minus(item.run.task.spec.allocation)
            if without.covers(demand):
                chosen.remove(item)
                room = without
        lost = sum(item.lost_core_s for item in chosen)
        return _Option(_is_slow(worker), lost, worker.id, tuple(chosen))

    def _is_less_urgent(self, run: Run) -> bool:
        other = run.task.job
        is_foreign = other.account != self._job.account
        return is_foreign and other.queue.priority > self._job.queue.priority

    def _take(self, option: _Option, step: WaitingStep) -> None:
        name = option.worker_id
        spare = self._spare_of(name).minus(step.waiting[0].spec.allocation)
        for item in option.runs:
            spare = spare.plus(item.run.task.spec.allocation)
        self.spare[name] = spare
        self.runs[name] = [
            item for item in self._runs_of(name) if item not in option.runs
        ]
        self.lost_core_s += option.lost_core_s


def _is_slow(worker: Worker) -> bool:
    return worker.is_slow or worker.is_stalled


def _step_id(step: WaitingStep) -> StepId:
    task_id = step.tasks[0].id
    return StepId(task_id.job_id, task_id.occurrence, task_id.step)
