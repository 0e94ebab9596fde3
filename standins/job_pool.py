"""Pool of workers with job controllers in one process, driven by a manual clock."""

import time
from collections import Counter
from contextlib import suppress

from standins.memory_platform import MemoryPlatform
from sycamorecroft.clock import ManualClock, SystemClock
from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    PoolConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
    Urgency,
)
from sycamorecroft.errors import PlatformError
from sycamorecroft.invariants import check_job_single_attempt
from sycamorecroft.jobs import (
    JobController,
    JobRecord,
    JobRequest,
    JobSettings,
    JobStore,
    Worker,
    WorkerSource,
)
from sycamorecroft.leases import ControllerLease
from sycamorecroft.store.insert_batcher import BatchSettings
from sycamorecroft.store.interfaces import (
    HostRole,
    HostStatus,
    PlatformHost,
    TableService,
    TaskService,
    TaskSize,
    TaskState,
)

STEP_S = 0.5
GIB = 2**30


def fleet(quota_count: int) -> FleetConfiguration:
    """
    :returns: configuration of pool ``pool``, service ``proofs``, and teams ``red`` and
        ``blue`` with a quota of ``quota_count`` slots each.
    """
    teams = {
        name: TeamConfiguration(name, 1.0, quota_count) for name in ("red", "blue")
    }
    return FleetConfiguration(
        version=1,
        accounts={"works": AccountConfiguration("works", ("kol",), 0.9, teams)},
        pools={"pool": PoolConfiguration("pool", "works", 4, 0.25, False)},
        services={
            "proofs": ServiceConfiguration(
                "proofs", "works", "pool", True, Urgency.NORMAL, 5.0, 1024, ()
            )
        },
    )


def request(key: str, **changes: object) -> JobRequest:
    """
    :returns: a submission of a job with 4 processors, 4 GiB and a duration of 2 s;
        ``changes`` overrides single fields.
    """
    default_request = JobRequest(
        account="works",
        service="proofs",
        idempotency_key=key,
        team="red",
        urgency=Urgency.NORMAL,
        command="duration_s=2",
        size=TaskSize(4.0, 4 * GIB, 0),
    )
    return default_request._replace(**changes)


class FixedWorkers(WorkerSource):
    """Worker source with workers set by the test.

    :ivar by_name: workers by name; tests may change it.
    """

    def __init__(self, workers: dict[str, Worker]) -> None:
        self.by_name = workers

    def workers(self) -> tuple[Worker, ...]:
        return tuple(self.by_name.values())


class RunningController:
    """Controller with its lease, stepped together as in a daemon."""

    def __init__(self, lease: ControllerLease, controller: JobController) -> None:
        self.lease = lease
        self.controller = controller

    def step(self, now_s: float) -> None:
        with suppress(PlatformError):
            self.lease.maintain()
        self.controller.step(now_s)


class JobPool:
    """Pool of workers ``w0``, ``w1`` and so on, with 8 processors and 32 GiB each."""

    def __init__(
        self,
        workers_count: int = 4,
        *,
        quota_count: int = 1000,
        settings: JobSettings = JobSettings(observe_interval_s=0.0),
    ) -> None:
        self.clock = ManualClock()
        self.platform = MemoryPlatform(self.clock)
        self.settings = settings
        self.configuration = fleet(quota_count)
        names = [f"w{number}" for number in range(workers_count)]
        size = TaskSize(8.0, 32 * GIB, 0)
        self.workers = FixedWorkers({name: Worker(name, size, True) for name in names})
        self.platform.hosts.declare(map(_worker_host, names))
        self.store = JobStore(
            self.platform.tables,
            SystemClock(),
            batch=BatchSettings(window_s=0.0),
            sleep=self.clock.advance,
        )
        self.store.start()
        self.controllers: list[RunningController] = []
        self._starts_count = 0

    def close(self) -> None:
        self.store.stop()

    def add_controller(
        self, tables: TableService | None = None, tasks: TaskService | None = None
    ) -> RunningController:
        self._starts_count += 1
        tables = tables or self.platform.tables
        lease = ControllerLease(
            tables,
            self.clock,
            name="jobs/pool",
            holder=f"entry-{self._starts_count}",
        )
        controller = JobController(
            "pool",
            tables=tables,
            tasks=tasks or self.platform.tasks,
            lease=lease,
            workers=self.workers,
            configuration=lambda: self.configuration,
            clock=self.clock,
            settings=self.settings,
        )
        running = RunningController(lease, controller)
        self.controllers.append(running)
        return running

    def submit(self, key: str, **changes: object) -> JobRecord:
        deadline_s = time.monotonic() + 5.0
        return self.store.submit(request(key, **changes), deadline_s=deadline_s)

    def run(self, duration_s: float) -> None:
        """Steps all controllers for ``duration_s``, checking the tasks after each step.

        :raises InvariantError: when a job violates the single-attempt invariant (I9).
        """
        end_s = self.clock.monotonic_s() + duration_s
        while self.clock.monotonic_s() < end_s:
            for running in list(self.controllers):
                running.step(self.clock.monotonic_s())
            self.check_tasks()
            self.clock.advance(STEP_S)

    def check_tasks(self) -> None:
        """Checks the single-attempt invariant (I9) against the platform's tasks.

        :raises InvariantError: when a job has two live attempts or has succeeded twice.
        """
        attempts_by_job: dict[str, list[int]] = {}
        for status in self.platform.tasks._list_statuses(None):
            job_id, _, attempt = status.task_id.rpartition(":")
            if status.state in (
                TaskState.RUNNING,
                TaskState.THROTTLED,
                TaskState.SUCCEEDED,
            ):
                attempts_by_job.setdefault(job_id, []).append(int(attempt))
        for job_id, attempts in attempts_by_job.items():
            check_job_single_attempt(job_id, attempts)

    def jobs(self) -> tuple[JobRecord, ...]:
        return self.store.list("works", include_ended=True)

    def states(self) -> Counter[str]:
        return Counter(str(record["state"]) for record in self.jobs())


def _worker_host(name: str) -> PlatformHost:
    return PlatformHost(
        name=name,
        role=HostRole.WORKER,
        address="127.0.0.1:1",
        data_centre="kol",
        rack="r1",
        status=HostStatus.LIVE,
        processors_count=8,
        memory_bytes=32 * GIB,
        accelerators_count=0,
        slots_count=8,
        connections_count=64,
    )
