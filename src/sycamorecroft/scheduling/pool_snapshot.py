"""What the owner of a service and the owner of the machines tell each other."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources


class WorkerSnapshot(NamedTuple):
    """Load of a worker.

    ``is_reserved``: no new task is placed on it, as the machines' owner asked.
    ``is_expected``: it answers, or was listed so lately that it may not have been asked
    yet.
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
        """Whether the worker runs nothing and gets nothing new."""
        return self.is_reserved and self.is_in_contact and not self.runs_count


class PoolSnapshot(NamedTuple):
    """Load of a service's workers.

    ``waiting`` is the demand of tasks that could run now and have no worker.
    ``arriving_millicores`` is the capacity that work takes if it goes on to arrive as
    it did of late. ``marks_version`` is the version of the marks that the scheduler
    went by.
    """

    taken_s: float
    workers: tuple[WorkerSnapshot, ...] = ()
    waiting: Resources = Resources()
    waiting_long_running_count: int = 0
    arriving_millicores: int = 0
    marks_version: int = 0


class WorkerMarks(NamedTuple):
    """Workers that planned work concerns.

    ``reserved``: to be emptied now. ``due``: to be emptied later, so that tasks that
    last are better placed elsewhere.
    """

    reserved: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
