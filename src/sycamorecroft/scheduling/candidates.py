"""Index of the workers that accept tasks, for placing many tasks at a time."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.kept_room import KeptRoom
from sycamorecroft.scheduling.model import Resources, StepSpec, largest
from sycamorecroft.scheduling.placement import choose_worker, is_far
from sycamorecroft.scheduling.tasks import Task
from sycamorecroft.scheduling.workers import Worker


class _GroupKey(NamedTuple):
    """Properties by which :func:`choose_worker` ranks workers before their load.

    ``failed_jobs_count``, ``is_slow`` (or with a stalled task) and
    ``has_no_long_running`` are in the order in which they are compared.
    """

    failed_jobs_count: int
    is_slow: bool
    has_no_long_running: bool
    labels: tuple[str, ...]

    @property
    def is_preferred(self) -> bool:
        """Whether no worker of another group comes before these near the data."""
        return not self.failed_jobs_count and not self.is_slow

    def has_label(self, label: str) -> bool:
        """
        :param label: a required label; empty if none is required.
        :returns: whether workers of the group may run a task that requires it.
        """
        return not label or label in self.labels


class _Entry(NamedTuple):
    """Place of a worker in its group, which is sorted by these fields.

    ``position``: position of the worker in the list of all candidates.
    """

    load_ratio: float
    position: int


class _Rank(NamedTuple):
    """Rank of a candidate for a step, as :func:`choose_worker` compares them.

    ``same_step_rank`` is minus the number of the step's tasks that it runs, and
    ``load_rank`` its load, negative if room is kept for a larger task.
    """

    failed_jobs_count: int
    is_slow: bool
    is_far: bool
    same_step_rank: int
    has_no_long_running: bool
    load_rank: float
    position: int


class _Unfit(NamedTuple):
    """A demand that fits on no candidate with the label, on none at all if empty."""

    label: str
    demand: Resources


class _NearKey(NamedTuple):
    """Rack that a step prefers, and the label that it requires."""

    rack: str
    label: str


class Candidates:
    """Workers that accept tasks, grouped by labels and sorted by load.

    Chooses the same workers as :func:`choose_worker`, in a time that depends on the
    number of groups, a few for each rack, instead of the number of workers. Demands
    that fit on no candidate are remembered until capacity is released, so that each
    further task of a long queue costs only a comparison.

    Valid for one placement, in which workers change only by assignments that
    :meth:`update` is called for.
    """

    def __init__(
        self, workers: Sequence[Worker], now_s: float, kept_room: KeptRoom
    ) -> None:
        """
        :param now_s: monotonic time of the placement.
        :param kept_room: tells whether steps are packed rather than spread.
        """
        self._kept_room = kept_room
        self._workers = workers
        self._now_s = now_s
        self._positions = {worker.id: n for n, worker in enumerate(workers)}
        self._free = [worker.free for worker in workers]
        self._largest_free = largest(self._free)
        self._largest_capacity = largest([w.registration.capacity for w in workers])
        self._groups: dict[_GroupKey, list[_Entry]] = {}
        self._places: list[tuple[_GroupKey, _Entry]] = []
        self._unfit: list[_Unfit] = []
        # A candidate with free capacity for the last demand, by required label.
        self._fitting: dict[str, int] = {}
        # Groups by label, filled when a step asks for workers near its data.
        self._labelled: dict[str, list[_GroupKey]] = {}
        # Demands that fit on no preferred worker near the data.
        self._unfit_near: dict[_NearKey, list[Resources]] = {}
        self._last_task: Task | None = None
        self._last_position = 0

    def choose(self, task: Task) -> Worker | None:
        """
        :returns: the worker that :func:`choose_worker` chooses among the candidates.
        """
        spec = task.spec
        demand = spec.allocation
        if not self._workers or not self._may_fit(spec, demand):
            return None
        if task.failed_workers or not _is_indexable(spec):
            keeps_room = self._kept_room.is_needed
            return choose_worker(self._workers, task, self._now_s, keeps_room)
        last_free = self._free[self._last_position]
        if not self._is_of_last_step(task) or not last_free.covers(demand):
            best = self._find(spec, demand)
            if best is None:
                self._unfit.append(_Unfit(spec.required_label, demand))
                return None
            best = min([best, *self._ranks_with_step(task)])
            self._last_task, self._last_position = task, best.position
        # The last choice is still the best while it fits: the assignment to it has
        # improved its rank, and no other worker has changed.
        return self._workers[self._last_position]

    def fits(self, spec: StepSpec) -> bool:
        """
        :returns: whether a task of a step, whose tasks are placed independently, fits
            on any candidate.
        """
        demand = spec.allocation
        if not self._workers or not self._may_fit(spec, demand):
            return False
        position = self._fitting.get(spec.required_label)
        if position is not None and self._free[position].covers(demand):
            return True
        best = self._find(spec, demand)
        if best is None:
            self._unfit.append(_Unfit(spec.required_label, demand))
            return False
        self._fitting[spec.required_label] = best.position
        return True

    def has_near(self, spec: StepSpec) -> bool:
        """
        :returns: whether :meth:`choose` would choose a worker on the rack that the step
            prefers.
        """
        demand = spec.allocation
        unfit = self._unfit_near.setdefault(
            _NearKey(spec.preferred_rack, spec.required_label), []
        )
        if any(demand.covers(other) for other in unfit):
            return False
        for key in self._groups_with(spec.preferred_rack):
            if (
                key.is_preferred
                and key.has_label(spec.required_label)
                and self._first_fit(self._groups[key], demand) is not None
            ):
                return True
        unfit.append(demand)
        return False

    def _groups_with(self, label: str) -> list[_GroupKey]:
        if not self._places:
            self._index()
        if not self._labelled:
            for key in self._groups:
                self._add_labels(key)
        return self._labelled.get(label, [])

    def _add_labels(self, key: _GroupKey) -> None:
        for label in key.labels:
            self._labelled.setdefault(label, []).append(key)

    def update(self, worker: Worker) -> None:
        """Must be called when a run was assigned to a worker or taken from it."""
        position = self._positions.get(worker.id)
        if position is None:
            return
        former_free, free = self._free[position], worker.free
        self._free[position] = free
        if self._places:
            self._remove(position)
            self._insert(position)
        is_released = not former_free.covers(free)
        if is_released:
            self._unfit.clear()
            self._unfit_near.clear()
            self._largest_free = largest((self._largest_free, free))
        if is_released or position != self._last_position:
            self._last_task = None

    def _is_of_last_step(self, task: Task) -> bool:
        last = self._last_task
        return (
            last is not None
            and task.spec is last.spec
            and task.job is last.job
            and task.id.occurrence == last.id.occurrence
        )

    def _may_fit(self, spec: StepSpec, demand: Resources) -> bool:
        if not self._largest_free.covers(demand):
            return False
        for unfit in self._unfit:
            is_implied = unfit.label in ("", spec.required_label)
            if is_implied and demand.covers(unfit.demand):
                return False
        return True

    def _find(self, spec: StepSpec, demand: Resources) -> _Rank | None:
        """Returns the best candidate for a step that runs nowhere yet."""
        if not self._places:
            self._index()
        best: _Rank | None = None
        for key, group in self._groups.items():
            if not group or not key.has_label(spec.required_label):
                continue
            # All of a group have the same rank up to their load.
            if best is not None and self._rank(spec, key, group[0])[:5] > best[:5]:
                continue
            entry = self._first_fit(group, demand)
            if entry is not None:
                rank = self._rank(spec, key, entry)
                best = rank if best is None else min(best, rank)
        return best

    def _rank(
        self, spec: StepSpec, key: _GroupKey, entry: _Entry, same_step_count: int = 0
    ) -> _Rank:
        load_ratio = entry.load_ratio
        return _Rank(
            key.failed_jobs_count,
            key.is_slow,
            is_far(spec, key.labels),
            -same_step_count,
            key.has_no_long_running,
            -load_ratio if self._kept_room.is_needed else load_ratio,
            entry.position,
        )

    def _ranks_with_step(self, task: Task) -> Iterator[_Rank]:
        """Yields the candidates with room that run tasks of the same step."""
        spec, task_id = task.spec, task.id
        tasks = task.job.step_tasks(task_id.occurrence, task_id.step)
        worker_ids = {other.run.worker_id for other in tasks if other.run is not None}
        for worker_id in worker_ids:
            position = self._positions.get(worker_id)
            if position is None or not self._free[position].covers(spec.allocation):
                continue
            key, entry = self._places[position]
            if not key.has_label(spec.required_label):
                continue
            count = self._workers[position].step_tasks_count(task)
            yield self._rank(spec, key, entry, count)

    def _first_fit(self, group: list[_Entry], demand: Resources) -> _Entry | None:
        """Returns the emptiest worker with room, the fullest if room is kept."""
        largest_millicores = max(1, self._largest_capacity.cpu_millicores)
        # Divisions of integers are rounded to the nearest number, so that this bound
        # leaves out no worker with room.
        highest_ratio = (
            largest_millicores - demand.cpu_millicores
        ) / largest_millicores
        end = bisect_right(group, (highest_ratio, len(self._workers)))
        if not self._kept_room.is_needed:
            for index in range(end):
                if self._free[group[index].position].covers(demand):
                    return group[index]
            return None
        best: _Entry | None = None
        for index in reversed(range(end)):
            entry = group[index]
            # Of equally loaded workers the first one is the best.
            if best is not None and entry.load_ratio != best.load_ratio:
                break
            if self._free[entry.position].covers(demand):
                best = entry
        return best

    def _index(self) -> None:
        self._places = [self._place(n) for n in range(len(self._workers))]
        for key, entry in self._places:
            self._groups.setdefault(key, []).append(entry)
        for group in self._groups.values():
            group.sort()

    def _place(self, position: int) -> tuple[_GroupKey, _Entry]:
        """Returns the worker's group and its entry there."""
        worker = self._workers[position]
        key = _GroupKey(
            worker.failed_jobs_count,
            worker.is_slow or worker.is_stalled,
            not worker.long_running_count,
            worker.labels,
        )
        return key, _Entry(worker.load_ratio, position)

    def _insert(self, position: int) -> None:
        key, entry = self._places[position] = self._place(position)
        if key not in self._groups:
            self._groups[key] = []
            if self._labelled:
                self._add_labels(key)
        insort(self._groups[key], entry)

    def _remove(self, position: int) -> None:
        key, entry = self._places[position]
        group = self._groups[key]
        del group[bisect_left(group, entry)]


def _is_indexable(spec: StepSpec) -> bool:
    """Whether the rank of a worker doesn't depend on the step's other tasks."""
    return not (
        spec.is_long_running or spec.is_rack_local or spec.tasks_per_worker_limit
    )
