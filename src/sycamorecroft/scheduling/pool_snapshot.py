"""Data exchanged between the owner of a service and the fleet controller."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources


class WorkerSnapshot(NamedTuple):
    """Load of a worker.

    ``is_reserved``: the fleet controller has asked that no new task is placed on it.
    ``is_presumed_reachable``: it is in contact, or registered so recently that it may
    not have been called yet.
    """

    worker_id: str
    host: str
    capacity: Resources
    used: Resources
    runs_count: int
    long_running_count: int
    is_reserved: bool
    is_in_contact: bool
    is_presumed_reachable: bool
    is_draining: bool = False

    @property
    def is_drained(self) -> bool:
        """Whether the worker runs no task and no new task is placed on it."""
        return self.is_reserved and self.is_in_contact and not self.runs_count


class PoolSnapshot(NamedTuple):
    """Load of a service's workers.

    ``waiting`` is the demand of tasks that could run now and have no worker.
    ``arriving_millicores`` is the capacity needed if jobs continue to arrive at the
    recent rate, as far as that is certain. ``marks_version`` is the version of the
    marks that the scheduler has applied.
    """

    taken_s: float
    workers: tuple[WorkerSnapshot, ...] = ()
    waiting: Resources = Resources()
    waiting_long_running_count: int = 0
    arriving_millicores: int = 0
    marks_version: int = 0

    @property
    def demand_millicores(self) -> int:
        """Capacity needed to run all work soon.

        Work that arrives faster than it completes needs more capacity than the running
        tasks use. The tasks waiting now need theirs in addition.
        """
        used = sum(worker.used.cpu_millicores for worker in self.workers)
        return max(used, self.arriving_millicores) + self.waiting.cpu_millicores


class WorkerMarks(NamedTuple):
    """Planned-work marks of a service's workers.

    ``reserved``: workers to be drained now. ``due``: workers to be drained later, on
    which long-running tasks are placed only as a last choice.
    """

    reserved: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
