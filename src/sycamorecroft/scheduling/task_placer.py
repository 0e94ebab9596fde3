"""Assigns waiting tasks to workers with free capacity."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from typing import NamedTuple

from sycamorecroft.scheduling.advice import ApprovalCache, StepId
from sycamorecroft.scheduling.candidates import Candidates
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.kept_room import KeptRoom
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.orders import OrderQueue
from sycamorecroft.scheduling.placement import choose_worker, is_far
from sycamorecroft.scheduling.placement_order import PlacementOrder, RankOrder, Turn
from sycamorecroft.scheduling.progress_size import DEFAULT_ROW_LIMIT_BYTES, RunRoom
from sycamorecroft.scheduling.quota_gate import NoQuotas, QuotaGate
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task, WaitingStep
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

_Choose = Callable[[Task], Worker | None]


class _Pool(NamedTuple):
    """Workers that accept tasks at the time ``now_s``.

    ``candidates``: those that accept short tasks.
    """

    workers: Sequence[Worker]
    candidates: Candidates
    kept_room: KeptRoom
    now_s: float

    def choose_among(self, workers: Sequence[Worker], task: Task) -> Worker | None:
        """Chooses one of the workers for a task."""
        return choose_worker(workers, task, self.now_s, self.kept_room.is_needed)


def step_of(task: Task) -> StepId:
    """
    :returns: id of the step that the task belongs to.
    """
    return StepId(task.id.job_id, task.id.occurrence, task.id.step)


class TaskPlacer:
    """Places the tasks of one service. Not thread-safe.

    :ivar order: order in which jobs get their turn.
    :ivar kept_room: tells whether steps are packed rather than spread.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        approvals: ApprovalCache,
        orders: OrderQueue,
        ranking: JobRanking,
        near: NearPlacement,
        on_assigned: Callable[[Job], None],
        is_commit_full: Callable[[], bool],
        row_limit_bytes: int = DEFAULT_ROW_LIMIT_BYTES,
        quotas: QuotaGate | None = None,
    ) -> None:
        """
        :param near: decides which tasks wait for workers near their data.
        :param on_assigned: called with the job of each task that was assigned.
        :param is_commit_full: returns whether the next commit is full.
        :param row_limit_bytes: largest row that the store accepts.
        :param quotas: limits of the accounts; none if ``None``.
        """
        self._quotas = quotas or NoQuotas()
        self._row_limit_bytes = row_limit_bytes
        self._workers = workers
        self._approvals = approvals
        self._orders = orders
        self._near = near
        self.order: PlacementOrder = RankOrder(ranking)
        self.kept_room = KeptRoom()
        self._on_assigned = on_assigned
        self._is_commit_full = is_commit_full

    def place(self, waiting: WaitingJobs, now_s: float) -> bool:
        """Assigns tasks in the order of their jobs.

        :returns: whether tasks were left unplaced because the next commit is full.
        """
        self._near.end_waits()
        jobs = waiting.jobs()
        workers = self._usable_workers(jobs, now_s)
        if not workers:
            return False
        turns = self.order.turns(jobs, self._workers, now_s)
        held = self.order.held()
        if held:
            workers = [worker for worker in workers if worker.id not in held]
        short_task_workers = [w for w in workers if not w.is_evacuation_target]
        self.kept_room.begin(self._workers.values(), now_s)
        candidates = Candidates(short_task_workers, now_s, self.kept_room)
        pool = _Pool(workers, candidates, self.kept_room, now_s)
        self._near.begin(jobs, workers, pool.candidates, held, now_s)
        for turn in turns:
            if self._is_commit_full():
                return True
            room = RunRoom(turn.job, self._row_limit_bytes, self._workers)
            for step in turn.steps:
                self._place_step(step, pool, room, turn)
        return False

    def _usable_workers(self, jobs: Sequence[Job], now_s: float) -> list[Worker]:
        """Returns workers with room for the smallest waiting task."""
        demands = {
            step.waiting[0].spec.allocation
            for job in jobs
            for step in job.waiting_steps()
        }
        if not demands:
            return []
        smallest = Resources(*map(min, zip(*demands, strict=True)))
        return [
            worker
            for worker in self._workers.values()
            if worker.free.covers(smallest) and worker.accepts_tasks(now_s)
        ]

    def _place_step(
        self, step: WaitingStep, pool: _Pool, room: RunRoom, turn: Turn
    ) -> None:
        choose = self._chooser(step, pool, turn)
        if step.tasks[0].spec.is_gang:
            if turn.allows_step(step) and not self._place_gang(
                step, choose, pool, room
            ):
                turn.record_unplaced(step)
            return
        # A full pool has many steps that fit nowhere, for which each call counts.
        tasks = step.waiting if turn.allows is None else turn.allowed_tasks(step)
        if self._near.is_active:
            tasks = self._near_tasks(step, tasks, turn)
        # Tested here rather than in _allows: a call for each step of a full pool would
        # slow placements without client accounts.
        account = turn.job.account
        for task in tasks:
            if account and not self._allows(task):
                return
            worker = choose(task)
            if worker is None:
                pool.kept_room.record_unplaced(task)
            if worker is None or not room.take(task, worker.id, worker.incarnation_ms):
                turn.record_unplaced(step)
                if self._near.is_active:
                    self._near.record_unplaced(step)
                return
            self._assign(task, worker, pool)

    def _allows(self, task: Task, count: int = 1) -> bool:
        """Returns whether the limit of the task's account leaves room for it.

        :param count: number of such tasks that start together or not at all.
        """
        account = task.job.account
        return not account or self._quotas.allows(account, task.spec.demand, count)

    def _near_tasks(
        self, step: WaitingStep, tasks: Iterable[Task], turn: Turn
    ) -> Iterable[Task]:
        """Returns those of the tasks that don't wait for a worker near their data."""
        if turn.held_workers:
            self._near.exempt(step)
            return tasks
        return self._near.tasks_to_place(step, tasks)

    def _chooser(self, step: WaitingStep, pool: _Pool, turn: Turn) -> _Choose:
        """Returns the function that chooses a worker for a task of the step."""
        task = step.tasks[0]
        workers = pool.workers
        if turn.held_workers:
            # A gang may need other workers in addition.
            others = workers if task.spec.is_gang else ()
            return partial(pool.choose_among, [*turn.held_workers, *others])
        if not task.spec.is_long_running:
            one_rack = task.spec.is_rack_local and self._near.one_rack(step)
            if one_rack:
                workers = one_rack
            elif task.job.queue.advice is None:
                return pool.candidates.choose
            workers = [w for w in workers if not w.is_evacuation_target]
        if task.job.queue.advice is not None:
            workers = self._approved_workers(step.tasks, workers, pool.now_s)
        return partial(pool.choose_among, workers)

    def _approved_workers(
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> list[Worker]:
        """Returns approved workers; requests more approvals if no task fits on them."""
        approved = [w for w in workers if self.ticket(tasks[0], w.id, now_s)]
        waiting = [task for task in tasks if task.is_waiting]
        if any(choose_worker(approved, task, now_s) for task in waiting):
            return approved
        others = [w for w in workers if w not in approved]
        others = [w for w in others if choose_worker((w,), waiting[0], now_s)]
        others.sort(key=lambda worker: -worker.free.cpu_millicores)
        worker_ids = [worker.id for worker in others]
        request = self._approvals.next_request(step_of(tasks[0]), worker_ids, now_s)
        if request is not None:
            self._orders.add(request)
        return approved

    def ticket(self, task: Task, worker_id: str, now_s: float) -> str:
        """
        :returns: ticket for starts of the task on a worker; empty if there is none or
            the queue requires none.
        """
        if task.job.queue.advice is None:
            return ""
        worker = self._workers.get(worker_id)
        incarnation_ms = worker.incarnation_ms if worker else 0
        return self._approvals.ticket(step_of(task), worker_id, incarnation_ms, now_s)

    def _place_gang(
        self, step: WaitingStep, choose: _Choose, pool: _Pool, room: RunRoom
    ) -> bool:
        """Places all members of a gang or none; they share one attempt number.

        :returns: ``False`` if the gang fits nowhere; ``True`` if it was placed, or if
            its account's limit doesn't allow it.
        """
        tasks = step.tasks
        if len(step.waiting) < len(tasks):
            return False
        if not self._allows(tasks[0], len(tasks)):
            return True
        attempt = max(task.attempt for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        attempts = {task: task.attempt for task in tasks}
        reserved: list[Run] = []
        is_allowed = True
        for task in tasks:
            is_allowed = self._allows(task)
            if not is_allowed:
                break
            worker = choose(task)
            if worker is None:
                pool.kept_room.record_unplaced(task)
            if worker is None or not room.take(task, worker.id, worker.incarnation_ms):
                break
            task.attempt = attempt
            reserved.append(self._reserve(task, worker, pool))
        if len(reserved) < len(tasks):
            for run in reserved:
                self._release(run, attempts[run.task], pool)
            room.measure_again()
            return not is_allowed
        for task in tasks:
            task.checkpoint = checkpoint
        self._record_assignment(tasks[0].job)
        return True

    def _assign(self, task: Task, worker: Worker, pool: _Pool) -> None:
        self._reserve(task, worker, pool)
        self._record_assignment(task.job)

    def _record_assignment(self, job: Job) -> None:
        job.record_assignment()
        self._on_assigned(job)

    def _reserve(self, task: Task, worker: Worker, pool: _Pool) -> Run:
        """Reserves a worker's capacity for a run of the task."""
        task.attempt += 1
        run = Run(
            task,
            worker.id,
            worker.incarnation_ms,
            RunPhase.COMMITTING,
            pool.now_s,
            rack=worker.registration.rack,
        )
        run.is_far = is_far(task.spec, worker.labels)
        task.run = run
        worker.add(run)
        pool.candidates.update(worker)
        return run

    def _release(self, run: Run, attempt: int, pool: _Pool) -> None:
        """Undoes a reservation.

        :param attempt: number of the task's last start before it.
        """
        worker = self._workers[run.worker_id]
        worker.remove(run)
        pool.candidates.update(worker)
        run.task.run = None
        run.task.attempt = attempt
