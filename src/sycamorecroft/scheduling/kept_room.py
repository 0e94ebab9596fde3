"""Tells when placements keep workers free for a task that needs much of one."""

from collections.abc import Iterable

from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.placement import fits_without_short_tasks
from sycamorecroft.scheduling.tasks import Task
from sycamorecroft.scheduling.workers import Worker


class KeptRoom:
    """Whether a task of a service waits for room on one worker. Not thread-safe.

    Steps that are spread over all workers leave no worker to a task that needs most of
    it. While such a task waits, other steps are packed on the fullest workers, so that
    the others become free.

    :ivar is_needed: whether such a task waits, as far as this placement and the last
        one show.
    """

    def __init__(self) -> None:
        self.is_needed = False
        self._is_recorded = False
        self._workers: Iterable[Worker] = ()
        self._now_s = 0.0
        # Demands that no worker has room for even without short tasks, by label.
        self._excessive: dict[str, list[Resources]] = {}

    def copy(self) -> "KeptRoom":
        """
        :returns: a copy for another placement, which leaves this object as it is.
        """
        twin = KeptRoom()
        twin._is_recorded = self._is_recorded
        return twin

    def begin(self, workers: Iterable[Worker], now_s: float) -> None:
        """Begins a placement.

        :param workers: all workers of the service.
        :param now_s: monotonic time of the placement.
        """
        self.is_needed, self._is_recorded = self._is_recorded, False
        self._workers = workers
        self._now_s = now_s
        self._excessive = {}

    def record_unplaced(self, task: Task) -> None:
        """Records a task for which no worker has room now.

        Tasks that wait for a ticket, or within a limit per worker, need no room.
        """
        if self._is_recorded or task.spec.tasks_per_worker_limit:
            return
        if task.job.queue.advice is None and self._may_get_room(task):
            self.is_needed = self._is_recorded = True

    def _may_get_room(self, task: Task) -> bool:
        """Returns whether a worker will have room once its short tasks have ended."""
        demand = task.spec.allocation
        excessive = self._excessive.setdefault(task.spec.required_label, [])
        if any(demand.covers(other) for other in excessive):
            return False
        for worker in self._workers:
            if fits_without_short_tasks(worker, task) and worker.accepts_tasks(
                self._now_s
            ):
                return True
        excessive.append(demand)
        return False
