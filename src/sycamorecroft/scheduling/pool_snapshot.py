"""What the owner of a service tells its pool's controllers."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources


class WorkerSnapshot(NamedTuple):
    """Load of a worker.

    ``is_reserved``: no new task is placed on it. ``is_expected``: it answers, or was
    listed so lately that it may not have been asked yet.
    """

    worker_id: str
    machine: str
    capacity: Resources
    used: Resources
    runs_count: int
    long_running_count: int
    is_reserved: bool
    is_in_contact: bool
    is_expected: bool


class PoolSnapshot(NamedTuple):
    """Load of a service's workers.

    ``waiting`` is the demand of tasks that could run now and have no worker.
    ``arriving_millicores`` is the capacity that work takes if it goes on to arrive as
    it did of late.
    """

    taken_s: float
    workers: tuple[WorkerSnapshot, ...] = ()
    waiting: Resources = Resources()
    waiting_long_running_count: int = 0
    arriving_millicores: int = 0


class WorkerMarks(NamedTuple):
    """Workers that planned work concerns.

    ``reserved``: to be emptied now. ``due``: to be emptied later, so that tasks that
    last are better placed elsewhere.
    """

    reserved: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
