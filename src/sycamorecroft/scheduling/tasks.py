"""Tasks and runs in the memory of a service's owner."""

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from sycamorecroft.scheduling.model import StepSpec, TaskId
from sycamorecroft.scheduling.rows import TaskProgress

if TYPE_CHECKING:
    from sycamorecroft.scheduling.jobs import Job


class RunPhase(StrEnum):
    """Phase of a run.

    ``COMMITTING``: the assignment isn't stored yet and no order was sent.
    ``STARTING``: the order to start is in flight. ``RUNNING``: the worker has confirmed
    the start. ``STOPPING``: an order to stop was given; the run may still be in
    progress.
    """

    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """A run of a task that may be in progress on a worker.

    ``assigned_s``: monotonic time at which the task was assigned to the worker.
    ``incarnation_ms``: the worker's incarnation as it was known at that time; the order
    to start may reach a later one. ``listed_incarnation_ms``: incarnation whose run
    list has named the run, 0 if none has.
    ``start_confirmed_s`` and ``stop_confirmed_s``: monotonic time at which the worker's
    confirmation of that order was applied, ``None`` if there was none, or if the worker
    has restarted since it confirmed the order to stop. ``is_adopted``: a former owner
    started it. ``share_percent``: share of its worker's processors that the run may
    use, as the worker confirmed it last, ``None`` if unknown. ``is_far``: its worker
    isn't on the rack that the task's step prefers. ``ordered_percent`` and
    ``throttled_s``: share and time of the last order to throttle it.
    ``checkpointed_s``: monotonic time at which its latest checkpoint was seen.
    ``unsettled_until_s``: time until which one without an answer may still be carried
    out, after later ones; ``None`` if there is none.
    """

    __slots__ = (
        "assigned_s",
        "attempt",
        "checkpointed_s",
        "incarnation_ms",
        "listed_incarnation_ms",
        "gauge",
        "share_percent",
        "ordered_percent",
        "throttled_s",
        "unsettled_until_s",
        "phase",
        "progress_percent",
        "progressed_s",
        "rack",
        "start_confirmed_s",
        "stop_confirmed_s",
        "is_adopted",
        "is_far",
        "started_s",
        "task",
        "worker_id",
    )

    def __init__(
        self,
        task: "Task",
        worker_id: str,
        incarnation_ms: int,
        phase: RunPhase,
        now_s: float,
        start_confirmed_s: float | None = None,
        rack: str = "",
    ) -> None:
        self.task = task
        self.rack = rack
        self.attempt = task.attempt
        self.worker_id = worker_id
        self.incarnation_ms = incarnation_ms
        self.listed_incarnation_ms = 0
        self.phase = phase
        self.start_confirmed_s = start_confirmed_s
        self.stop_confirmed_s: float | None = None
        self.is_adopted = False
        self.is_far = False
        self.assigned_s = now_s
        self.started_s = now_s
        self.progressed_s = now_s
        self.checkpointed_s = now_s
        self.progress_percent = 0
        self.gauge = 0
        self.share_percent: int | None = 100
        self.ordered_percent = 100
        self.throttled_s = 0.0
        self.unsettled_until_s: float | None = None

    def is_over_if_unlisted(self, requested_s: float) -> bool:
        """
        :param requested_s: monotonic time at which a run list was requested.
        :returns: whether the absence of the run from that list proves that it isn't in
            progress and won't begin. An order to start that may still be carried out is
            refused once the order to stop was confirmed.
        """
        return any(
            confirmed_s is not None and confirmed_s < requested_s
            for confirmed_s in (self.start_confirmed_s, self.stop_confirmed_s)
        )


class Task:
    """A task of a job.

    ``attempt`` is the number of its last start, 0 if there was none. ``failed_workers``
    are the workers on which it has failed under this owner. ``waiting_since_s`` is the
    monotonic time since which it could run and has had no run. ``is_preempted``: this
    owner has stopped a run of it for a more urgent job.
    """

    __slots__ = (
        "_is_done",
        "_run",
        "attempt",
        "checkpoint",
        "failed_workers",
        "failures_count",
        "id",
        "is_preempted",
        "job",
        "spec",
        "waiting_since_s",
    )

    def __init__(self, job: "Job", task_id: TaskId, spec: StepSpec) -> None:
        self.job = job
        self.id = task_id
        self.spec = spec
        self.attempt = 0
        self.failures_count = 0
        self._is_done = False
        self._run: Run | None = None
        self.checkpoint = ""
        self.failed_workers: frozenset[str] = frozenset()
        self.waiting_since_s = 0.0
        self.is_preempted = False

    @property
    def run(self) -> Run | None:
        """Run that may be in progress."""
        return self._run

    @run.setter
    def run(self, run: Run | None) -> None:
        if (run is None) != (self._run is None):
            self.job.record_run_change(self.spec, is_added=run is not None)
        self._run = run
        self.job.discard_waiting_steps()

    @property
    def is_done(self) -> bool:
        """Whether a run of the task has completed it."""
        return self._is_done

    @is_done.setter
    def is_done(self, is_done: bool) -> None:
        self._is_done = is_done
        self.job.discard_waiting_steps()
        self.job.discard_critical_path()

    @property
    def is_waiting(self) -> bool:
        """Whether the task isn't done and has no run."""
        return self._run is None and not self._is_done

    def copy(self, job: "Job") -> "Task":
        """
        :param job: copy of the task's job.
        :returns: a copy, whose run is the same object and isn't counted again.
        """
        # Without the initialization, which would set most attributes twice.
        twin = object.__new__(Task)
        twin.job = job
        twin.id = self.id
        twin.spec = self.spec
        twin.attempt = self.attempt
        twin.failures_count = self.failures_count
        twin._is_done = self._is_done
        twin._run = self._run
        twin.checkpoint = self.checkpoint
        twin.failed_workers = self.failed_workers
        twin.waiting_since_s = self.waiting_since_s
        twin.is_preempted = self.is_preempted
        return twin

    def progress(self) -> TaskProgress:
        """
        :returns: the progress of the task as it is stored.
        """
        run = self.run
        return TaskProgress(
            self.id.occurrence,
            self.id.step,
            self.id.index,
            self.attempt,
            self.failures_count,
            self.is_done,
            run.worker_id if run else "",
            run.incarnation_ms if run else 0,
            "" if self.is_done else self.checkpoint,
        )

    def restore(self, stored: TaskProgress, now_s: float) -> None:
        """Restores the stored progress; a stored run is assumed to be in progress."""
        self.attempt = stored.attempt
        self.failures_count = stored.failures_count
        self.is_done = stored.is_done
        self.checkpoint = stored.checkpoint
        if stored.worker_id:
            # A worker refuses orders of the former owner once it has answered a call
            # with the new epoch, so its first run list reflects all earlier orders.
            self.run = Run(
                self,
                stored.worker_id,
                stored.incarnation_ms,
                RunPhase.STARTING,
                now_s,
                start_confirmed_s=now_s,
            )
            self.run.share_percent = None


class WaitingStep(NamedTuple):
    """A step whose preceding steps are complete and that has waiting tasks.

    ``tasks``: all tasks of the step, in the order of their indexes. ``waiting``: those
    that aren't done and have no run, at least one.
    """

    tasks: tuple[Task, ...]
    waiting: tuple[Task, ...]
