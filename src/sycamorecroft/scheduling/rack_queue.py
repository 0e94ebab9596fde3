"""Expected times at which the workers of a rack free resources."""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.run_durations import RunDurations, overdue_end_s
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.scheduling.workers import Worker

NEVER_S = float("inf")
_NONE = Resources()


class RunEnd(NamedTuple):
    """Expected end of a run, and what it frees."""

    end_s: float
    started_s: float
    freed: Resources


class _Pending(NamedTuple):
    """The next end of a worker, or of a task that is expected to start on the rack.

    ``number`` breaks ties, so that neither resources nor workers are compared.
    ``rest`` holds the further ends of the same worker, from ``position`` on.
    """

    end_s: float
    number: int
    freed: Resources
    rest: Sequence[RunEnd] = ()
    position: int = 0


class WorkerEnds:
    """Expected ends of the runs of each worker. Not thread-safe.

    The ends of a worker are computed again only once its runs or the ratio of actual to
    estimated durations have changed.
    """

    def __init__(self, durations: RunDurations) -> None:
        self._durations = durations
        self._ratio = durations.estimate_ratio
        self._ends: dict[str, tuple[Worker, int, list[RunEnd]]] = {}

    def of(self, worker: Worker) -> list[RunEnd]:
        """
        :returns: expected ends of the worker's short tasks, the earliest first.
        """
        if self._ratio != self._durations.estimate_ratio:
            self._ratio = self._durations.estimate_ratio
            self._ends.clear()
        known = self._ends.get(worker.id)
        if known and known[0] is worker and known[1] == worker.run_changes_count:
            return known[2]
        ends = sorted(
            RunEnd(self._durations.end_s(run), run.started_s, run.task.spec.allocation)
            for run in worker.runs.values()
            if not run.task.spec.is_long_running
        )
        self._ends[worker.id] = (worker, worker.run_changes_count, ends)
        return ends

    def copy(
        self, durations: RunDurations, copied_workers: Mapping[Worker, Worker]
    ) -> "WorkerEnds":
        """
        :param durations: copy of the measured durations.
        :param copied_workers: the copy of each worker.
        :returns: an independent copy, which knows the ends of these workers.
        """
        twin = shallow_copy(self)
        twin._durations = durations
        twin._ends = {
            name: (copied_workers[worker], count, ends.copy())
            for name, (worker, count, ends) in self._ends.items()
            if worker in copied_workers
        }
        return twin

    def keep(self, worker_ids: Iterable[str]) -> None:
        """Forgets all other workers."""
        known = self._ends
        self._ends = {name: known[name] for name in worker_ids if name in known}


class RackQueue:
    """Resources that a rack is expected to free, and the tasks that wait for them.

    Resources of different workers are added up: a task of half a worker is expected to
    start when that much has ended on the rack as a whole. What is free now counts
    nothing, since the tasks that wait don't fit into it. Valid for one placement.
    """

    def __init__(self, workers_ends: Iterable[Sequence[RunEnd]], now_s: float) -> None:
        """
        :param workers_ends: ends of each worker, the earliest first.
        """
        self._number = 0
        self._heap: list[_Pending] = []
        for ends in workers_ends:
            self._add_worker(ends, now_s)
        heapq.heapify(self._heap)

    def copy(self) -> "RackQueue":
        """
        :returns: an independent copy, which shares the ends of the workers.
        """
        twin = shallow_copy(self)
        twin._heap = self._heap.copy()
        return twin

    def _add_worker(self, ends: Sequence[RunEnd], now_s: float) -> None:
        """Adds the ends that are overdue, and the first of the others."""
        for position, end in enumerate(ends):
            if end.end_s > now_s:
                self._heap.append(self._next_end(ends, position))
                return
            end_s = overdue_end_s(end.started_s, now_s)
            self._heap.append(self._pending(end_s, end.freed))

    def _next_end(self, ends: Sequence[RunEnd], position: int) -> _Pending:
        end = ends[position]
        self._number += 1
        return _Pending(end.end_s, self._number, end.freed, ends, position + 1)

    def _pending(self, end_s: float, freed: Resources) -> _Pending:
        self._number += 1
        return _Pending(end_s, self._number, freed)

    def join(self, demand: Resources, duration_s: float, limit_s: float) -> float:
        """Adds a task behind those added before if it can start early enough.

        :param limit_s: monotonic time before which it must be able to start.
        :returns: monotonic time at which it is expected to start, whether it was added
            or not; :data:`NEVER_S` if the rack doesn't free enough.
        """
        popped, freed = self._pop(demand)
        if not freed.covers(demand):
            self._push_back(popped)
            return NEVER_S
        start_s = popped[-1].end_s
        if start_s >= limit_s:
            self._push_back(popped)
            return start_s
        rest = freed.minus(demand)
        if rest != _NONE:
            heapq.heappush(self._heap, self._pending(start_s, rest))
        heapq.heappush(self._heap, self._pending(start_s + duration_s, demand))
        return start_s

    def _pop(self, demand: Resources) -> tuple[list[_Pending], Resources]:
        """Removes the earliest ends until they free enough, or all."""
        popped: list[_Pending] = []
        freed = _NONE
        while self._heap and not freed.covers(demand):
            pending = self._heap[0]
            popped.append(pending)
            freed = freed.plus(pending.freed)
            if pending.position < len(pending.rest):
                following = self._next_end(pending.rest, pending.position)
                heapq.heapreplace(self._heap, following)
            else:
                heapq.heappop(self._heap)
        return popped, freed

    def _push_back(self, popped: Iterable[_Pending]) -> None:
        for pending in popped:
            heapq.heappush(self._heap, self._pending(pending.end_s, pending.freed))
