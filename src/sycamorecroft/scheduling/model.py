"""Jobs, queues and workers as the scheduler sees them."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Capacity of a worker, or demand of a task."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """
        :returns: the sum.
        """
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpu_count + other.gpu_count,
        )

    def minus(self, other: "Resources") -> "Resources":
        """
        :returns: the difference; may be negative.
        """
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpu_count - other.gpu_count,
        )

    def covers(self, demand: "Resources") -> bool:
        """
        :returns: whether ``demand`` fits.
        """
        return (
            demand.cpu_millicores <= self.cpu_millicores
            and demand.memory_mb <= self.memory_mb
            and demand.gpu_count <= self.gpu_count
        )


class StepSpec(NamedTuple):
    """A step of a job: identical tasks that may run in parallel.

    ``estimate_ms`` is the submitter's guess and may be far off. ``after`` lists the
    steps that must have ended before. ``fills`` marks tasks that take only capacity
    left over by others. ``may_miss_count`` is how many tasks of a long-running step
    planned work may take away at once.
    """

    tasks_count: int
    demand: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    is_rack_local: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    is_best_effort: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    tasks_per_worker_limit: int = 0
    image: str = ""
    goal_ms: int = 0
    max_unavailable_count: int = 0

    @property
    def allocation(self) -> Resources:
        """Capacity that a task takes from its worker."""
        return self.demand._replace(cpu_millicores=0) if self.is_best_effort else self.demand


class JobSpec(NamedTuple):
    """A submitted job. Without a schedule it has one occurrence, number 0.

    ``start_at_ms`` is the Unix time of occurrence 0 of a scheduled job.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrences_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job repeats at set times."""
        return self.occurrences_count > 0

    @property
    def is_long_running(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.is_long_running for step in self.steps)


class TaskId(NamedTuple):
    """A task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Name by which workers know the task."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskId | None":
        """
        :returns: the task, or ``None`` when the name isn't one of a task.
        """
        job_id, *numbers = name.split(".")
        if len(numbers) != 3 or not all(number.isdecimal() for number in numbers):
            return None
        return cls(job_id, *map(int, numbers))


class AdviceTimes(NamedTuple):
    """Times of the service that approves workers for the steps of a queue."""

    decide_ms: int
    period_ms: int
    valid_ms: int


class Queue(NamedTuple):
    """A queue of jobs; a lower ``priority`` number goes first."""

    name: str
    host_name: str
    path_prefix: str
    service: str
    priority: int
    attempts_count: int
    stretch_ratio: float
    objective_ms: int
    timeout_ms: int
    advice: AdviceTimes | None = None


class Service(NamedTuple):
    """A service and its pool of workers.

    ``rejects_overload``: its workers refuse tasks that don't fit. ``is_standby``: the
    hosts of its pool are off.
    """

    name: str
    rejects_overload: bool
    is_standby: bool


class FleetSnapshot(NamedTuple):
    """A version of the configuration, in full."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    header_limit_bytes: int
    body_limit_bytes: int


class WorkerRegistration(NamedTuple):
    """What a worker says of itself in the platform's store.

    ``born_ms`` is the Unix time of its start: a worker that started again under the
    same id knows nothing of its earlier runs. ``remaining_ms`` is the least time left
    of a draining worker.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    is_draining: bool
    labels: tuple[str, ...]
    capacity: Resources
    incarnation_ms: int
    host: str = ""
    remaining_ms: int = 0

    @property
    def rack(self) -> str:
        """Rack of the worker; the last of its labels."""
        return self.labels[-1] if self.labels else ""
