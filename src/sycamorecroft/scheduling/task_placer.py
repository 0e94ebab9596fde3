"""Assigns waiting tasks to workers with free capacity."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from sycamorecroft.scheduling.advice import ApprovalCache, StepId
from sycamorecroft.scheduling.job_ranking import job_rank
from sycamorecroft.scheduling.jobs import Job, Run, RunPhase, Task
from sycamorecroft.scheduling.orders import OrderQueue
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.rows import JobState
from sycamorecroft.scheduling.workers import Worker


def step_of(task: Task) -> StepId:
    """
    :returns: id of the step that the task belongs to.
    """
    return StepId(task.id.job_id, task.id.occurrence, task.id.step)


class TaskPlacer:
    """Places the tasks of one service. Not thread-safe."""

    def __init__(
        self,
        workers: Mapping[str, Worker],
        approvals: ApprovalCache,
        orders: OrderQueue,
        on_assigned: Callable[[Job], None],
        is_commit_full: Callable[[], bool],
    ) -> None:
        """
        :param on_assigned: called with the job of each task that was assigned.
        :param is_commit_full: returns whether the next commit is full.
        """
        self._workers = workers
        self._approvals = approvals
        self._orders = orders
        self._on_assigned = on_assigned
        self._is_commit_full = is_commit_full

    def place(self, jobs: Iterable[Job], now_s: float) -> bool:
        """Assigns tasks in the order of their jobs' ranks.

        :returns: whether tasks were left unplaced because the next commit is full.
        """
        workers = [w for w in self._workers.values() if w.accepts_tasks(now_s)]
        if not workers:
            return False
        waiting = [job for job in jobs if job.is_active]
        waiting.sort(key=lambda job: job_rank(job, now_s))
        for job in waiting:
            if self._is_commit_full():
                return True
            for occurrence, step in job.ready_steps():
                self._place_step(job.step_tasks(occurrence, step), workers, now_s)
        return False

    def _place_step(
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> None:
        if not tasks[0].spec.is_long_running:
            workers = [w for w in workers if not w.is_evacuation_target]
        if tasks[0].job.queue.advice is not None:
            workers = self._approved_workers(tasks, workers, now_s)
        if tasks[0].spec.is_gang:
            self._place_gang(tasks, workers, now_s)
            return
        for task in tasks:
            if not task.is_waiting:
                continue
            worker = choose_worker(workers, task, now_s)
            if worker is None:
                return
            self._assign(task, worker, now_s)

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
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> None:
        """Places all members of a gang or none; they share one attempt number."""
        if not all(task.is_waiting for task in tasks):
            return
        attempt = max(task.attempt for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        placed: list[Run] = []
        for task in tasks:
            worker = choose_worker(workers, task, now_s)
            if worker is None:
                break
            task.attempt = attempt
            task.checkpoint = checkpoint
            placed.append(self._assign(task, worker, now_s))
        if len(placed) == len(tasks):
            return
        for run in placed:
            self._workers[run.worker_id].remove(run)
            run.task.run = None
            run.task.attempt -= 1

    def _assign(self, task: Task, worker: Worker, now_s: float) -> Run:
        task.attempt += 1
        run = Run(
            task,
            worker.id,
            worker.incarnation_ms,
            RunPhase.COMMITTING,
            now_s,
            rack=worker.registration.rack,
        )
        task.run = run
        worker.add(run)
        job = task.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._on_assigned(job)
        return run
