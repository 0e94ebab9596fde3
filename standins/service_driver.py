"""Steps the scheduler of a service against in-memory stand-ins, in one thread."""

from collections.abc import Callable, Mapping

from standins.memory_partitions import MemoryPartitions
from standins.memory_worker import MemoryWorker
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StaleEpochError, WorkerCallError
from sycamorecroft.ownership.committer import CommitOutcome, Committer, ServiceClaim
from sycamorecroft.ownership.rows import (
    OWNERS_TABLE,
    PENDING_TABLE,
    ROW_KEY,
    OwnerRow,
)
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.advice import (
    AdviceRequest,
    AdviceResult,
    Approval,
    ApprovalCache,
    Approvals,
)
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.model import (
    ClientAccount,
    FleetSnapshot,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    WorkerRegistration,
)
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.orders import (
    OrderQueue,
    StartTask,
    StopTask,
    ThrottleTask,
)
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    CLOSED_SUFFIX,
    JOB_LOCATIONS_TABLE,
    CancelRow,
    JobLocation,
    JobRow,
    JobState,
    ProgressRow,
    decode_row,
    encode_row,
    jobs_part,
    jobs_table,
    location_key,
    progress_table,
)
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.task_placer import TaskPlacer
from sycamorecroft.scheduling.workers import Worker
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.table_part import read_all_parts

SERVICE = "rating"
LEASE_S = 6.0
TICKET_VALID_S = 3.0
JOBS = jobs_table(SERVICE)
PROGRESS = progress_table(SERVICE)


def make_queue(*, attempts_count: int = 3, priority: int = 0) -> Queue:
    """
    :returns: queue of the service ``rating``.
    """
    return Queue(
        f"queue-{priority}",
        "host",
        "/p/",
        SERVICE,
        priority,
        attempts_count,
        1.6,
        600,
        0,
    )


def make_step(tasks_count: int = 1, cpu_millicores: int = 1000, **fields) -> StepSpec:
    """
    :returns: step with ``tasks_count`` tasks of the given demand; ``fields`` sets
        further fields of the step.
    """
    demand = Resources(cpu_millicores, 100, 0)
    return StepSpec(tasks_count, demand, estimate_ms=800, **fields)


def make_registration(
    worker_id: str, *, rack: str = "r1", cpu_millicores: int = 8000, **fields
) -> WorkerRegistration:
    """
    :returns: registration of a worker; ``fields`` overrides its defaults.
    """
    defaults = {
        "address": "10.0.0.1:1",
        "data_centre": "dc1",
        "is_draining": False,
        "incarnation_ms": 1,
    } | fields
    return WorkerRegistration(
        worker_id,
        SERVICE,
        labels=("a", rack),
        capacity=Resources(cpu_millicores, 64000, 0),
        **defaults,
    )


def make_fleet(**weights: float) -> FleetSnapshot:
    """
    :param weights: weight by name of each client account.
    :returns: configuration with these accounts.
    """
    accounts = tuple(
        ClientAccount(name, frozenset(), weight, 0, Resources())
        for name, weight in weights.items()
    )
    return FleetSnapshot(1, (), (), 0, 0, accounts=accounts)


def make_placer(
    workers: Mapping[str, Worker], near: NearPlacement | None = None
) -> TaskPlacer:
    """
    :param near: decides which tasks wait for workers near their data; none if ``None``.
    :returns: placer that assigns tasks and stores nothing.
    """
    ranking = JobRanking()
    return TaskPlacer(
        workers,
        ApprovalCache(),
        OrderQueue(),
        ranking,
        near or NearPlacement(SERVICE, 1, workers, RunDurations(), ranking),
        on_assigned=lambda job: None,
        is_commit_full=lambda: False,
    )


class Site:
    """Store, workers and clock shared by successive owners of the service.

    :ivar registrations: registration by worker id; tests may change them.
    :ivar on_orders: called in each step of an owner before it sends its orders.
    """

    def __init__(self, workers_count: int = 2) -> None:
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.tables = MemoryPartitions()
        self.workers: dict[str, MemoryWorker] = {}
        self.registrations: dict[str, WorkerRegistration] = {}
        self.on_orders: Callable[[], None] = lambda: None
        for number in range(workers_count):
            name = f"w{number}"
            self.workers[name] = MemoryWorker()
            self.registrations[name] = make_registration(name, rack=f"r{number % 2}")

    def advance(self, duration_s: float) -> None:
        """Advances all clocks; tasks whose leases have expired are ended."""
        self.clock.advance(duration_s)
        for worker in self.workers.values():
            worker.clock_ms += int(duration_s * 1000)
            if worker.deadline_ms and worker.clock_ms >= worker.deadline_ms:
                worker.running.clear()
            worker.finish_stops()

    def submit(
        self,
        job_id: str,
        *steps: StepSpec,
        queue: Queue | None = None,
        clock_ahead_ms: int = 0,
        account: str = "",
    ) -> None:
        """Stores a job, as on its submission.

        :param clock_ahead_ms: by how much the clock of the entry host that accepts the
            job is ahead of the owner's.
        """
        spec = JobSpec(job_id, steps)
        accepted_ms = self.now_ms + clock_ahead_ms
        row = JobRow(queue or make_queue(), spec, accepted_ms, account)
        location = JobLocation(SERVICE, accepted_ms, account)
        key = location_key(row.queue, job_id)
        self._put(
            Put(JOBS, job_id, encode_row(row), jobs_part(job_id)),
            Put(JOB_LOCATIONS_TABLE, key, encode_row(location), jobs_part(job_id)),
        )

    def close_location(self, job_id: str) -> None:
        """Stores the cancellation of a job that isn't stored."""
        part, key = jobs_part(job_id), location_key(make_queue(), job_id)
        location = encode_row(JobLocation("", self.now_ms))
        marker = encode_row(CancelRow(self.now_ms))
        self._put(
            Put(JOB_LOCATIONS_TABLE, key, location, part),
            Put(JOBS, key + CLOSED_SUFFIX, marker, part),
        )

    def cancel(self, job_id: str) -> None:
        """Stores the cancellation of a job."""
        row = encode_row(CancelRow(self.now_ms))
        part = jobs_part(job_id)
        self._put(Put(JOBS, job_id + CANCEL_SUFFIX, row, part))

    def _put(self, *puts: Put) -> None:
        self.tables.transact((), puts, purpose=StorePurpose.JOBS)

    @property
    def now_ms(self) -> int:
        """Unix time in milliseconds."""
        return int(self.clock.now().timestamp() * 1000)

    def state(self, job_id: str) -> JobState | None:
        """
        :returns: stored state of a job, ``None`` before its first commit.
        """
        row = self.tables.row(PROGRESS, job_id, SERVICE)
        return decode_row(row.value, ProgressRow).state if row else None

    def started_count(self, task: str) -> int:
        """
        :returns: number of starts of a task over all workers.
        """
        return sum(
            start.task == task
            for worker in self.workers.values()
            for start in worker.started
        )


class ServiceDriver:
    """Owner of the service.

    Several drivers may exist at once, as after a failover, of which only the one with
    the highest epoch still owns the service.

    :param former_lease_s: time for which the former owner's task leases may be valid.
    :param fleet: configuration in force at the start.
    :param slowdown_ratio: factor by which a task takes longer far from its data.
    :param is_preemption_enabled: whether runs may be stopped for more urgent jobs.
    :param stop_s: time in seconds that a worker may take to stop a run.
    :param recorder: receives the metrics of the scheduler.
    :ivar is_service_lost: whether this driver has seen that it no longer owns the
        service; it then takes no further steps.
    :ivar approved_workers: workers that advice requests are approved for.
    :ivar advice_requests: advice requests so far.
    :ivar tickets: ticket of each start order so far.
    """

    def __init__(
        self,
        site: Site,
        epoch: int,
        *,
        former_lease_s: float = 0.0,
        fleet: FleetSnapshot | None = None,
        slowdown_ratio: float = 1.0,
        is_preemption_enabled: bool = False,
        stop_s: float = 1.0,
        recorder: Recorder | None = None,
    ) -> None:
        self.site = site
        self.epoch = epoch
        self.is_service_lost = False
        self.approved_workers: set[str] = set()
        self.advice_requests: list[AdviceRequest] = []
        self.tickets: list[str] = []
        self._acknowledged: dict[str, int] = {}
        self._deadlines_ms: dict[str, int] = {}
        self._incarnations_ms: dict[str, int] = {}
        now_s = site.clock.monotonic_s()
        claim = self._claim()
        settings = SchedulerSettings(
            former_lease_end_s=now_s + former_lease_s,
            remote_slowdown_ratio=slowdown_ratio,
            stop_s=stop_s,
            is_preemption_enabled=is_preemption_enabled,
        )
        self.scheduler = Scheduler(SERVICE, settings, recorder, epoch)
        if fleet is not None:
            self.scheduler.apply_fleet(fleet, now_s)
        jobs = read_all_parts(site.tables, JOBS, purpose=StorePurpose.JOBS)
        progress = site.tables.scan_part(PROGRESS, SERVICE, purpose=StorePurpose.JOBS)
        pending = site.tables.scan_part(
            PENDING_TABLE, SERVICE, purpose=StorePurpose.JOBS
        )
        self._jobs_version = jobs.version
        self._quota_writer = QuotaWriter(
            site.tables, site.clock, lambda result: None, NullRecorder(), SERVICE
        )
        self.scheduler.reports.apply_registrations(site.registrations.values(), now_s)
        self.scheduler.load(jobs.rows, progress.rows, pending.rows, now_s, site.now_ms)
        self.committer = Committer(
            site.tables, claim, site.clock, lambda result: None, lambda sent_s: None
        )

    def _claim(self) -> ServiceClaim:
        site = self.site
        row = OwnerRow(f"host-{self.epoch}", "x", self.epoch)
        version = site.tables.transact(
            (),
            (Put(OWNERS_TABLE, ROW_KEY, encode_row(row), SERVICE),),
            purpose=StorePurpose.LEASES,
        )
        commits = site.tables.row("commits", ROW_KEY, SERVICE)
        commits_version = commits.version if commits else None
        return ServiceClaim(SERVICE, self.epoch, version, commits_version, 0)

    def step(self) -> None:
        """Applies changes and run lists, places tasks, commits, and sends orders."""
        if self.is_service_lost:
            return
        self._read_jobs()
        self._list_runs()
        now_s = self.site.clock.monotonic_s()
        self.scheduler.tick(now_s, self.site.now_ms)
        self.write_quotas()
        self.scheduler.place(now_s)
        self.write_quotas()
        self.commit()
        self.site.on_orders()
        self.send_orders()

    def run_steps(self, count: int, interval_s: float = 0.2) -> None:
        """Steps ``count`` times and advances the clocks after each step."""
        for _ in range(count):
            self.step()
            self.site.advance(interval_s)

    def _read_jobs(self) -> None:
        scan = self.site.tables.changes(
            JOBS, after_version=self._jobs_version, wait_s=0.0
        )
        self._jobs_version = scan.version
        now_s = self.site.clock.monotonic_s()
        self.scheduler.apply_job_rows(scan.rows, now_s, self.site.now_ms)
        self.scheduler.reports.apply_registrations(
            self.site.registrations.values(), now_s
        )

    def write_quotas(self) -> None:
        """Applies changes of quotas, and stores those of the service."""
        quotas = self.scheduler.quotas
        if not quotas.is_active:
            return
        now_s = self.site.clock.monotonic_s()
        scan = self.site.tables.scan_part(
            QUOTAS_TABLE, QUOTAS_PART, purpose=StorePurpose.JOBS
        )
        quotas.apply_rows(scan.rows, now_s)
        write = quotas.next_write(now_s)
        if write is not None:
            quotas.apply_result(self._quota_writer.store(write), now_s)

    def _list_runs(self) -> None:
        now_s = self.site.clock.monotonic_s()
        for name, worker in self.site.workers.items():
            if name not in self.site.registrations or self.is_service_lost:
                continue
            deadline_ms = worker.clock_ms + int(LEASE_S * 1000)
            try:
                reply = worker.calls(self.epoch).renew_leases(
                    acknowledged=self._acknowledged.get(name, 0),
                    deadline_ms=deadline_ms,
                    wait_ms=0,
                )
            except WorkerCallError:
                continue
            except StaleEpochError:
                self.is_service_lost = True
                continue
            self._deadlines_ms[name] = deadline_ms
            if reply.incarnation_ms > self._incarnations_ms.get(name, 0):
                self._incarnations_ms[name] = reply.incarnation_ms
                self._acknowledged[name] = 0
            self.scheduler.reports.apply_renewal(
                name,
                reply,
                sent_s=now_s,
                now_s=now_s,
                lease_end_s=now_s + LEASE_S / 0.98,
            )

    def commit(self) -> None:
        """Stores the next commit, if there is one, and applies it."""
        now_s = self.site.clock.monotonic_s()
        commit = self.scheduler.next_commit(now_s)
        if commit is None or self.is_service_lost:
            return
        if self.committer.store(commit) is CommitOutcome.LOST:
            self.is_service_lost = True
            return
        self.scheduler.apply_commit(commit, now_s)
        for item in commit.acknowledgements:
            self._acknowledged[item.worker_id] = item.number

    def send_orders(self) -> None:
        """Sends the pending orders to workers, and answers advice requests."""
        for order in self.scheduler.take_orders():
            self._send(order)

    def _send(self, order: StartTask | StopTask | ThrottleTask | AdviceRequest) -> None:
        if isinstance(order, AdviceRequest):
            self._approve(order)
            return
        worker = self.site.workers.get(order.worker_id)
        if worker is None:
            return
        calls = worker.calls(self.epoch)
        now_s = self.site.clock.monotonic_s()
        if isinstance(order, StopTask):
            reply = calls.stop(order.task, order.attempt)
            self.scheduler.outcomes.apply_stop(order, reply, now_s)
            return
        run = order.run
        if isinstance(order, ThrottleTask):
            reply = calls.throttle(run.task.id.name, run.attempt, order.percent)
            self.scheduler.outcomes.apply_throttle(order, reply, now_s)
            return
        start = StartOrder(
            run.task.id.name,
            run.attempt,
            run.task.job.spec.text,
            self._deadlines_ms.get(order.worker_id, 0),
            order.checkpoint,
        )
        reply = calls.start(start)
        if reply.status is OrderStatus.FENCED:
            self.is_service_lost = True
        self.tickets.append(order.ticket)
        self.scheduler.outcomes.apply_start(run, reply, now_s)

    def _approve(self, request: AdviceRequest) -> None:
        self.advice_requests.append(request)
        approved = tuple(
            Approval(name, f"ticket-{name}")
            for name in request.workers
            if name in self.approved_workers
        )
        result = AdviceResult(request, Approvals(approved, TICKET_VALID_S))
        self.scheduler.apply_advice(result, self.site.clock.monotonic_s())
