"""Explains what the next placement of a service does with a job."""

from collections.abc import Callable, Iterable

from sycamorecroft.scheduling.dry_run import VIEWED_STEPS_COUNT, DryRun, StepView
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.placement import is_far
from sycamorecroft.scheduling.placement_copy import PlacementCopy
from sycamorecroft.scheduling.placement_explanation import (
    Amounts,
    Candidate,
    Excluded,
    LeftReason,
    LeftTasks,
    NearWait,
    RankExplanation,
    ShareExplanation,
    StepExplanation,
    TaskStart,
)
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rack_queue import NEVER_S
from sycamorecroft.scheduling.rank_explanation import explain_rank
from sycamorecroft.scheduling.tasks import Task
from sycamorecroft.scheduling.worker_exclusions import PERMANENT, Exclusion
from sycamorecroft.scheduling.worker_health import run_list_age_s

# Entries of each list of an answer.
SHOWN_COUNT = 8


class PlacementExplainer:
    """Explains one job on a copy of a service's state, which it uses up.

    :ivar rank: place of the job among the waiting jobs.
    :ivar share: shares of the job's account; ``None`` without client accounts.
    :ivar steps: the first of the job's steps with waiting tasks.
    """

    def __init__(
        self, state: PlacementCopy, job: Job, is_over: Callable[[], bool]
    ) -> None:
        """
        :param job: a job with waiting tasks, of the state or to be added to it.
        :param is_over: returns whether the explanation has taken too long.
        """
        self._state = state
        self._dry_run = DryRun(state, job, is_over)
        self.share = self._explain_share(job)
        self._dry_run.run()
        self.steps: tuple[StepExplanation, ...] = tuple(
            self._explain_step(self._dry_run.views[step.tasks[0]], step.waiting)
            for step in self._dry_run.steps[:VIEWED_STEPS_COUNT]
        )
        self.rank: RankExplanation = explain_rank(self._dry_run)

    def _explain_share(self, job: Job) -> ShareExplanation | None:
        state = self._state
        if not isinstance(state.order, FairOrder):
            return None
        jobs = list(state.jobs.values())
        shares = state.order.shares(jobs, state.workers, state.taken_s)
        return ShareExplanation(
            round(shares.due_share(job.account), 4),
            round(shares.in_use(job.account), 4),
        )

    def _explain_step(self, view: StepView, waiting: Iterable[Task]) -> StepExplanation:
        """
        :param waiting: the tasks that waited before the placement.
        """
        tasks = tuple(waiting)
        spec, task_id = tasks[0].spec, tasks[0].id
        starts = [task for task in tasks if task.run is not None]
        near = [w for w in view.candidates if not is_far(spec, w.labels)]
        return StepExplanation(
            task_id.occurrence,
            task_id.step,
            spec.tasks_count,
            len(tasks),
            Amounts.of(spec.allocation),
            spec.required_label,
            spec.preferred_rack,
            tuple(map(self._start, starts)),
            tuple(self._left(view, [task for task in tasks if task.run is None])),
            self._near_wait(view, tasks),
            view.is_beyond_share,
            len(view.candidates),
            len(near) if spec.preferred_rack else 0,
            tuple(self._best_candidates(view)),
            tuple(
                Excluded(
                    reason,
                    len(workers),
                    tuple(worker.id for worker in workers[:SHOWN_COUNT]),
                )
                for reason, workers in sorted(view.excluded.items())
            ),
        )

    def _start(self, task: Task) -> TaskStart:
        run = task.run
        assert run is not None
        worker = self._state.workers[run.worker_id]
        age_s = run_list_age_s(worker, self._state.taken_s)
        return TaskStart(task.id.name, worker.id, run.rack, run.is_far, age_s)

    def _left(self, view: StepView, tasks: Iterable[Task]) -> Iterable[LeftTasks]:
        by_reason: dict[LeftReason, list[str]] = {}
        for task in tasks:
            reason = self._reason(view, task)
            by_reason.setdefault(reason, []).append(task.id.name)
        for reason, names in by_reason.items():
            yield LeftTasks(reason, len(names), tuple(names[:SHOWN_COUNT]))

    def _reason(self, view: StepView, task: Task) -> LeftReason:
        if task in view.waiting:
            return LeftReason.NEAR_WAIT
        if self._dry_run.is_cut:
            return LeftReason.NOT_EXPLAINED
        if self._dry_run.is_full:
            return LeftReason.COMMIT_FULL
        step = view.step
        if task.spec.is_gang and len(step.waiting) < len(step.tasks):
            return LeftReason.GANG_RUNNING
        if view.is_limited:
            return LeftReason.ACCOUNT_LIMIT
        if view.fit and not view.unfit and not task.spec.is_gang:
            return LeftReason.ROW_FULL
        reasons = view.unfit_reasons or view.excluded.keys()
        if reasons <= PERMANENT:
            return LeftReason.NO_WORKER
        if Exclusion.NOT_APPROVED in reasons:
            return LeftReason.NOT_APPROVED
        if Exclusion.LAST_ATTEMPT in reasons:
            is_tried = task in view.unfit
            return LeftReason.LAST_ATTEMPT if is_tried else LeftReason.BEHIND
        return LeftReason.GANG_NO_ROOM if task.spec.is_gang else LeftReason.NO_ROOM

    def _near_wait(self, view: StepView, tasks: Iterable[Task]) -> NearWait | None:
        """Returns the last decision on the step's tasks, ``None`` if there is none."""
        now_s = self._state.taken_s
        first = next((task for task in tasks if task in view.waiting), None)
        if view.decision is not None:
            times, decision = view.decision
            is_expected = decision.near_start_s != NEVER_S
            return NearWait(
                view.step.waiting[0].spec.preferred_rack,
                first is not None,
                decision.reason,
                round(now_s - times.waiting_since_s, 3),
                round(decision.limit_s - now_s, 3),
                round(decision.near_start_s - now_s, 3) if is_expected else None,
                round(times.extra_s, 3),
            )
        if first is None:
            return None
        limit_s = self._state.near.wait_end_s(first)
        return NearWait(
            first.spec.preferred_rack,
            True,
            "",
            round(now_s - first.waiting_since_s, 3),
            None if limit_s is None else round(limit_s - now_s, 3),
        )

    def _best_candidates(self, view: StepView) -> Iterable[Candidate]:
        spec = view.step.waiting[0].spec
        for worker, free in view.best:
            yield Candidate(
                worker.id,
                worker.registration.rack,
                not is_far(spec, worker.labels) if spec.preferred_rack else None,
                Amounts.of(free),
                run_list_age_s(worker, self._state.taken_s),
            )
