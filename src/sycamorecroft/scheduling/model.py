"""Data model of the scheduler: resources, jobs, queues, services and workers."""

from collections.abc import Iterable
from typing import NamedTuple


class Resources(NamedTuple):
    """Capacity of a worker, or demand of a task."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """
        :returns: the sum of both, per resource.
        """
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpu_count + other.gpu_count,
        )

    def minus(self, other: "Resources") -> "Resources":
        """
        :returns: the difference per resource; may be negative.
        """
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpu_count - other.gpu_count,
        )

    def times(self, count: int) -> "Resources":
        """
        :returns: the demand of ``count`` tasks.
        """
        return Resources(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.gpu_count * count,
        )

    def covers(self, demand: "Resources") -> bool:
        """
        :returns: whether no resource of ``demand`` exceeds this capacity.
        """
        return (
            demand.cpu_millicores <= self.cpu_millicores
            and demand.memory_mb <= self.memory_mb
            and demand.gpu_count <= self.gpu_count
        )


def largest(resources: Iterable[Resources]) -> Resources:
    """
    :returns: the largest value of each resource, zero if there are none.
    """
    return Resources(*map(max, zip(*resources, strict=True)))


class StepSpec(NamedTuple):
    """A step of a job: identical tasks that may run in parallel.

    ``estimate_ms`` is the submitter's estimate of a task's duration and may be far
    off. ``after`` lists the steps that must complete first. Tasks of a step that
    ``is_best_effort`` use only processor time that other tasks leave unused.
    ``max_unavailable_count`` is the number of tasks of a long-running step that planned
    work may make unavailable at a time. ``goal_ms`` is the goal for the response times
    of a serving task.
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
        """Resources set aside for a task on its worker."""
        return (
            self.demand._replace(cpu_millicores=0)
            if self.is_best_effort
            else self.demand
        )


class JobSpec(NamedTuple):
    """A submitted job. A job without a schedule has one occurrence, number 0.

    ``start_at_ms`` is the Unix time of occurrence 0 of a scheduled job, and
    ``interval_ms`` the time between its occurrences.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrences_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job repeats at fixed intervals."""
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
        """Name of the task in calls to workers."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskId | None":
        """
        :returns: the task, or ``None`` if the name isn't that of a task.
        """
        job_id, *numbers = name.split(".")
        if len(numbers) != 3 or not all(number.isdecimal() for number in numbers):
            return None
        return cls(job_id, *map(int, numbers))


class AdviceTimes(NamedTuple):
    """Times, as configured, of the advice service that approves workers for a queue."""

    decide_ms: int
    period_ms: int
    valid_ms: int


class Queue(NamedTuple):
    """A queue of jobs; a lower ``priority`` number is scheduled first.

    ``host_name`` and ``path_prefix`` are the HTTP host name and the path prefix that
    route submissions to the queue.
    """

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

    ``rejects_overload``: its workers refuse tasks that exceed their capacity.
    ``is_standby``: the hosts of its pool are powered off.
    """

    name: str
    rejects_overload: bool
    is_standby: bool


class ClientAccount(NamedTuple):
    """A client account.

    ``key_digests`` are the SHA-256 digests of its API keys, which aren't kept
    themselves. ``weight`` is its share of a service that is full, and the number of
    jobs that it may send a second. ``limit`` is what it may have running on all
    workers; a resource of which it is 0 isn't limited.
    """

    name: str
    key_digests: frozenset[bytes]
    weight: float
    priority: int
    limit: Resources


class FleetSnapshot(NamedTuple):
    """A complete version of the configuration.

    ``accounts`` is ``None`` if the configuration has no client accounts; calls need no
    API key then. ``public_queues``: names of queues whose calls need none. A timeout of
    0 isn't configured.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    header_limit_bytes: int
    body_limit_bytes: int
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0
    accounts: tuple[ClientAccount, ...] | None = None
    public_queues: frozenset[str] = frozenset()


class WorkerRegistration(NamedTuple):
    """Registration of a worker, as the worker writes it to the platform's store.

    ``incarnation_ms`` is the start time of the worker (Unix time) and identifies its
    incarnation: a worker that restarts under the same id has no record of its earlier
    runs. ``remaining_ms`` is the minimum time until a draining worker stops.
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
        """Rack of the worker, which is the last of its labels."""
        return self.labels[-1] if self.labels else ""
