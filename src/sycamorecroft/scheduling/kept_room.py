"""Tells when placements keep workers free for a task that needs much of one."""

from collections.abc import Iterable

from sycamorecroft.scheduling.model import Resources, largest
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
        self._largest: dict[str, Resources] = {}

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
        self._largest = {}

    def record_unplaced(self, task: Task) -> None:
        """Records a task for which no worker has room now.

        Tasks that wait for a ticket, or within a limit per worker, need no room.
        """
        spec = task.spec
        if self._is_recorded or spec.tasks_per_worker_limit:
            return
        if task.job.queue.advice is None:
            room = self._largest_room(spec.required_label)
            self._is_recorded = room.covers(spec.allocation)
            self.is_needed = self.is_needed or self._is_recorded

    def _largest_room(self, label: str) -> Resources:
        """Returns what a worker with the label has free once short tasks have ended."""
        if label not in self._largest:
            self._largest[label] = largest(
                worker.free_without_short_tasks
                for worker in self._workers
                if worker.accepts_tasks(self._now_s) and label in ("", *worker.labels)
            )
        return self._largest[label]
