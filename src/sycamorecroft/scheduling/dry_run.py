"""Places the jobs of a copied state, and watches what happens to one of them."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from sycamorecroft.logs import dropped_logs
from sycamorecroft.scheduling.commit_queue import JOBS_PER_COMMIT_COUNT
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.near_wait import NearWaitTimes, WaitDecision
from sycamorecroft.scheduling.orders import OrderQueue
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.placement_copy import PlacementCopy
from sycamorecroft.scheduling.placement_order import Turn
from sycamorecroft.scheduling.progress_size import RunRoom
from sycamorecroft.scheduling.task_placer import TaskPlacer
from sycamorecroft.scheduling.tasks import Task, WaitingStep
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.worker_exclusions import Access, Exclusion, exclusion
from sycamorecroft.scheduling.workers import Worker


class NearDecision(NamedTuple):
    """A decision on a task whose rack has no place for it."""

    times: NearWaitTimes
    decision: WaitDecision


# Steps whose workers are viewed, and the best of these that are named. A job may have
# hundreds of steps.
VIEWED_STEPS_COUNT = 4
BEST_WORKERS_COUNT = 8


class StepView:
    """What is seen of a step in a turn of its job.

    :ivar is_beyond_share: the turn is one of accounts that have reached their share.
    :ivar candidates: workers with room for its tasks before the turn.
    :ivar best: the first of them in the order in which the placer takes them, with
        their free resources.
    :ivar excluded: the other workers by reason.
    :ivar waiting: tasks that wait for a worker near their data.
    :ivar unfit: tasks for which no worker was found. The tasks of the step behind it
        aren't tried.
    :ivar unfit_reasons: why the workers were no candidates for the last of them.
    :ivar fit: tasks for which one was found.
    :ivar is_limited: the limit of the job's account keeps tasks from running.
    :ivar decision: last decision on a wait, ``None`` if none was needed.
    """

    def __init__(self, step: WaitingStep, *, is_beyond_share: bool) -> None:
        self.step = step
        self.is_beyond_share = is_beyond_share
        self.candidates: list[Worker] = []
        self.best: list[tuple[Worker, Resources]] = []
        self.excluded: dict[Exclusion, list[Worker]] = {}
        self.waiting: set[Task] = set()
        self.unfit: set[Task] = set()
        self.unfit_reasons: frozenset[Exclusion] = frozenset()
        self.fit: set[Task] = set()
        self.is_limited = False
        self.decision: NearDecision | None = None


class DryRun:
    """Next placement of a copied state, with a job that may be added to it.

    :ivar turns: ids of the jobs in the order of their first turns.
    :ivar held_jobs: ids of the jobs that workers are held for.
    :ivar views: latest view of each waiting step of the job, by the step's first task.
    :ivar is_full: placement stopped before the job, since the next commit is full.
    :ivar is_cut: placement stopped before the job, since it took too long.
    """

    def __init__(
        self, state: PlacementCopy, job: Job, is_over: Callable[[], bool]
    ) -> None:
        """
        :param job: a job of the state, or another one that is added to it.
        :param is_over: returns whether the placement has taken too long.
        """
        self.state = state
        self.job = job
        self.steps = job.waiting_steps()
        self._viewed = {step.tasks[0] for step in self.steps[:VIEWED_STEPS_COUNT]}
        self.turns: dict[str, None] = {}
        self.held_jobs: set[str] = set()
        self.views: dict[Task, StepView] = {}
        self.is_full = False
        self.is_cut = False
        self._is_over = is_over
        self._current: StepView | None = None
        self._access = Access(frozenset(), frozenset(), None)
        self._has_accounts = state.ranking.has_accounts
        state.jobs.setdefault(job.id, job)
        state.near.decide = self._watch_decisions(state.near.decide)

    def run(self) -> None:
        """Places, and views each step that got no turn as it is afterwards."""
        state = self.state
        placer = _WatchedPlacer(self)
        placer.order = state.order
        placer.kept_room = state.kept_room
        waiting = WaitingJobs()
        for job in state.jobs.values():
            waiting.add(job)
        with dropped_logs():
            placer.place(waiting, state.taken_s)
        for step in self.steps:
            if step.tasks[0] not in self.views:
                view = StepView(step, is_beyond_share=False)
                self._access = self._find_access(step.waiting[0], placer, ())
                self._view_workers(view)
                self.views[step.tasks[0]] = view

    def ranked_jobs(self) -> list[str]:
        """
        :returns: ids of all waiting jobs in the order of their turns. Those that got
            none are in the order in which they would get it if nothing was placed.
        """
        state = self.state
        if self.job.id not in self.turns:
            jobs = list(state.jobs.values())
            with dropped_logs():
                for turn in state.order.turns(jobs, state.workers, state.taken_s):
                    self._record_turn(turn)
        return list(self.turns)

    def _record_turn(self, turn: Turn) -> None:
        self.turns.setdefault(turn.job.id)
        if turn.held_workers:
            self.held_jobs.add(turn.job.id)

    def stops(self) -> bool:
        """
        :returns: whether no further job gets a turn.
        """
        if self.turns and not self.job.waiting_steps():
            return True
        is_reached = self.job.id in self.turns
        if self._is_over():
            self.is_cut = not is_reached
            return True
        if len(self.state.dirty_jobs) >= JOBS_PER_COMMIT_COUNT:
            self.is_full = not is_reached
            return True
        return False

    def begin_step(self, step: WaitingStep, turn: Turn, placer: "TaskPlacer") -> bool:
        """Records a turn.

        :returns: whether it is one of the job.
        """
        self._record_turn(turn)
        if turn.job is not self.job:
            return False
        is_beyond = self._has_accounts and turn.allows is None and not turn.held_workers
        self._current = StepView(step, is_beyond_share=is_beyond)
        self._access = self._find_access(step.waiting[0], placer, turn.held_workers)
        self._view_workers(self._current)
        return True

    def end_step(self) -> None:
        """Keeps the view of the step, unless its tasks might not be placed."""
        view = self._current
        assert view is not None
        first = view.step.tasks[0]
        is_tried = view.waiting or view.unfit or view.fit or view.is_limited
        if first not in self.views or is_tried:
            self.views[first] = view
        self._current = None

    def watch_near_tasks(
        self, place: Callable[[Iterable[Task]], Iterable[Task]], tasks: Iterable[Task]
    ) -> Iterable[Task]:
        """
        :param place: leaves out the tasks that wait for a worker near their data.
        :returns: what ``place`` returns for the tasks, which is watched.
        """
        view = self._current
        assert view is not None
        passed = place(_noted(tasks, view.waiting))
        if passed == ():
            view.waiting.update(view.step.waiting)
            return passed
        return self._without(view, passed)

    @staticmethod
    def _without(view: StepView, passed: Iterable[Task]) -> Iterator[Task]:
        for task in passed:
            view.waiting.discard(task)
            yield task

    def record_limited(self) -> None:
        """Records that the limit of the account prevents a task of the step."""
        view = self._current
        assert view is not None
        view.is_limited = True

    def watch_choice(
        self, choose: Callable[[Task], Worker | None]
    ) -> Callable[[Task], Worker | None]:
        """
        :returns: the function that chooses a worker, which is watched.
        """
        view = self._current
        assert view is not None

        def watched(task: Task) -> Worker | None:
            worker = choose(task)
            if worker is None:
                view.unfit.add(task)
                view.unfit_reasons = frozenset(
                    reason for _, reason in self._exclusions(task) if reason is not None
                )
            else:
                view.fit.add(task)
            return worker

        return watched

    def _watch_decisions(self, decide: Callable) -> Callable:
        def watched(times: NearWaitTimes, join: Callable) -> WaitDecision:
            decision = decide(times, join)
            if self._current is not None:
                self._current.decision = NearDecision(times, decision)
            return decision

        return watched

    def _view_workers(self, view: StepView) -> None:
        if view.step.tasks[0] not in self._viewed:
            return
        task = view.step.waiting[0]
        for worker, reason in self._exclusions(task):
            if reason is None:
                view.candidates.append(worker)
            else:
                view.excluded.setdefault(reason, []).append(worker)
        left = view.candidates.copy()
        while left and len(view.best) < BEST_WORKERS_COUNT:
            keeps_room = self.state.kept_room.is_needed
            best = choose_worker(left, task, self.state.taken_s, keeps_room)
            if best is None:
                return
            left.remove(best)
            view.best.append((best, best.free))

    def _exclusions(self, task: Task) -> Iterator[tuple[Worker, Exclusion | None]]:
        for worker in self.state.workers.values():
            yield worker, exclusion(worker, task, self._access, self.state.taken_s)

    def _find_access(
        self, task: Task, placer: "TaskPlacer", held_workers: Sequence[Worker]
    ) -> Access:
        return Access(
            frozenset(self.state.order.held()),
            frozenset(worker.id for worker in held_workers),
            self._approved(task, placer),
        )

    def _approved(self, task: Task, placer: "TaskPlacer") -> frozenset[str] | None:
        if task.job.queue.advice is None:
            return None
        now_s = self.state.taken_s
        names = self.state.workers
        return frozenset(name for name in names if placer.ticket(task, name, now_s))


class _WatchedPlacer(TaskPlacer):
    """Placer that tells a dry run what happens to the tasks of its job."""

    def __init__(self, dry_run: DryRun) -> None:
        state = dry_run.state
        super().__init__(
            state.workers,
            state.approvals,
            OrderQueue(),
            state.ranking,
            state.near,
            lambda job: state.dirty_jobs.add(job.id),
            dry_run.stops,
            state.row_limit_bytes,
            state.quotas,
        )
        self._dry_run = dry_run

    def _place_step(self, step: WaitingStep, pool, room: RunRoom, turn: Turn) -> None:
        is_of_job = self._dry_run.begin_step(step, turn, self)
        super()._place_step(step, pool, room, turn)
        if is_of_job:
            self._dry_run.end_step()

    def _near_tasks(
        self, step: WaitingStep, tasks: Iterable[Task], turn: Turn
    ) -> Iterable[Task]:
        if turn.job is not self._dry_run.job:
            return super()._near_tasks(step, tasks, turn)
        return self._dry_run.watch_near_tasks(
            lambda noted: super(_WatchedPlacer, self)._near_tasks(step, noted, turn),
            tasks,
        )

    def _allows(self, task: Task, count: int = 1) -> bool:
        is_allowed = super()._allows(task, count)
        if not is_allowed and task.job is self._dry_run.job:
            self._dry_run.record_limited()
        return is_allowed

    def _chooser(self, step: WaitingStep, pool, turn: Turn):
        choose = super()._chooser(step, pool, turn)
        if turn.job is not self._dry_run.job:
            return choose
        return self._dry_run.watch_choice(choose)


def _noted(tasks: Iterable[Task], into: set[Task]) -> Iterator[Task]:
    for task in tasks:
        into.add(task)
        yield task
