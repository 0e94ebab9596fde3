"""A service that this entry host owns: its actor, committer, load and watchers."""

from collections.abc import Iterable, Iterator
from functools import partial

import structlog
from pykka import ActorDeadError, Timeout

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker, tell_if_alive
from sycamorecroft.errors import RecordError
from sycamorecroft.node.admission_publisher import AdmissionPublisher
from sycamorecroft.node.load_publisher import LoadPublisher
from sycamorecroft.node.quota_connection import QuotaConnection, read_quotas
from sycamorecroft.node.table_watcher import TableWatcher
from sycamorecroft.ownership.committer import Committer
from sycamorecroft.ownership.owner import ClaimedService
from sycamorecroft.ownership.rows import PENDING_TABLE
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import FleetSnapshot, WorkerRegistration
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    CopyRefusal,
)
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM, MARKS_TABLE
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks
from sycamorecroft.scheduling.rows import decode_row, jobs_table, progress_table
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.service_actor import (
    FleetChanged,
    JobRowsChanged,
    MarksChanged,
    RegistrationsChanged,
    ServiceActor,
    ServiceContext,
    StopService,
    Tick,
)
from sycamorecroft.settings.node import PlacementSettings, PlatformLimitSettings
from sycamorecroft.store.interfaces import (
    PartitionedTableService,
    Row,
    StorePurpose,
)
from sycamorecroft.store.table_part import read_all_parts, read_with_retries

_log = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.25
STOP_TIMEOUT_S = 0.5
RETENTION_MARGIN_S = 60
# A service is read with one call for each part of its jobs. Without retries of single
# calls, a store that loses a share of its answers would let no service be loaded.
READ_ATTEMPTS_COUNT = 8


def retention_s(limits: PlatformLimitSettings) -> int:
    """
    :returns: how long the rows of an ended job are kept, in s.
    """
    return limits.status_s + RETENTION_MARGIN_S


class OwnedService:
    """Runs the scheduler of a service while this entry host owns it."""

    def __init__(
        self,
        tables: PartitionedTableService,
        claimed: ClaimedService,
        workers: tuple[WorkerRegistration, ...],
        fleet: FleetSnapshot,
        context: ServiceContext,
        on_ownership_confirmed,
        limits: PlatformLimitSettings,
        placement: PlacementSettings,
        row_limit_bytes: int,
        recorder: Recorder,
    ) -> None:
        """
        :param workers: registered workers of the service.
        :param fleet: configuration in force.
        :param on_ownership_confirmed: called after each commit, with the monotonic time
            in seconds at which it was sent.
        :param limits: limits set by the platform.
        :param placement: how tasks are placed on workers.
        :param row_limit_bytes: largest row that the store accepts.
        :raises PlatformError: when the rows of jobs or marks can't be read.
        """
        service = claimed.claim.service
        self.service = service
        clock: Clock = context.clock
        jobs = read_all_parts(
            tables,
            jobs_table(service),
            purpose=StorePurpose.JOBS,
            attempts_count=READ_ATTEMPTS_COUNT,
        )
        progress, pending = (
            read_with_retries(
                partial(tables.scan_part, table, service, purpose=StorePurpose.JOBS),
                READ_ATTEMPTS_COUNT,
            )
            for table in (progress_table(service), PENDING_TABLE)
        )
        scheduler = Scheduler(
            service,
            SchedulerSettings(
                claimed.former_lease_end_s,
                retention_s(limits),
                limits.stop_ms / 1000,
                limits.lease_max_ms / 1000,
                row_limit_bytes,
                placement.remote_slowdown_ratio or 1.0,
                placement.is_preemption_enabled,
            ),
            recorder,
            claimed.claim.epoch,
        )
        self._quotas = QuotaConnection(tables, clock, self._tell, recorder, service)
        quota_rows = read_quotas(tables) if fleet.accounts is not None else None
        scheduler.apply_fleet(fleet, clock.monotonic_s())
        if quota_rows is not None:
            scheduler.quotas.apply_rows(quota_rows.rows, clock.monotonic_s())
        self._fleet_version = fleet.version
        marks = read_with_retries(
            lambda: tables.scan_part(
                MARKS_TABLE, FLEET_CONTROLLER_CLAIM, purpose=StorePurpose.POOLS
            ),
            READ_ATTEMPTS_COUNT,
        )
        for message in self._decode_marks(marks.rows):
            scheduler.reports.apply_marks(message.marks, message.version)
        now_s = clock.monotonic_s()
        scheduler.reports.apply_registrations(workers, now_s)
        now_ms = int(clock.now().timestamp() * 1000)
        scheduler.load(jobs.rows, progress.rows, pending.rows, now_s, now_ms)
        self._publisher = LoadPublisher(tables, service, claimed.claim.epoch)
        self._publisher.start()
        self._admission_publisher = AdmissionPublisher(tables, claimed.claim)
        self._admission_publisher.start()
        self._actor = ServiceActor.start(
            scheduler,
            context,
            self._publisher.publish,
            self._admission_publisher.publish,
        )
        self._committer = Committer(
            tables, claimed.claim, clock, self._tell, on_ownership_confirmed, recorder
        )
        self._committer.start()
        self._actor.tell(self._committer)
        self._quotas.update(fleet, quota_rows.version if quota_rows else None)
        self._jobs_watcher = TableWatcher(
            tables,
            jobs_table(service),
            self._apply_jobs,
            part=None,
            from_version=jobs.version,
        )
        self._jobs_watcher.start()
        self._marks_watcher = TableWatcher(
            tables, MARKS_TABLE, self._apply_marks, from_version=marks.version
        )
        self._marks_watcher.start()
        self._ticker = Ticker(
            f"tick-{service}",
            TICK_INTERVAL_S,
            lambda: self._tell(Tick(clock.monotonic_s())),
        )
        self._ticker.start()

    def _apply_jobs(self, rows) -> None:
        self._tell(JobRowsChanged(rows))

    def update_workers(self, registrations: tuple[WorkerRegistration, ...]) -> None:
        """Passes the registered workers of the service to its actor."""
        self._tell(RegistrationsChanged(registrations))

    def update_fleet(self, fleet: FleetSnapshot) -> None:
        """Passes the configuration in force to the service's actor if it is new."""
        if fleet.version > self._fleet_version:
            self._fleet_version = fleet.version
            self._tell(FleetChanged(fleet))
            self._quotas.update(fleet)

    def copy_placement(
        self, question: CopyPlacement, timeout_s: float
    ) -> CopiedPlacement | CopyRefusal | None:
        """
        :returns: answer of the service's actor, ``None`` if it has stopped, fails or
            takes longer than ``timeout_s``.
        """
        try:
            return self._actor.ask(question, block=False).get(timeout=timeout_s)
        except (ActorDeadError, Timeout):
            return None

    def _apply_marks(self, rows: Iterable[Row]) -> None:
        for message in self._decode_marks(rows):
            self._tell(message)

    def _decode_marks(self, rows: Iterable[Row]) -> Iterator[MarksChanged]:
        for row in rows:
            if row.key != self.service or row.value is None:
                continue
            try:
                marks = decode_row(row.value, WorkerMarks)
            except RecordError as error:
                _log.error("marks_row_malformed", service=row.key, error=str(error))
                continue
            yield MarksChanged(marks, row.version)

    def _tell(self, message: object) -> None:
        tell_if_alive(self._actor, message)

    def stop(self) -> None:
        """Stops scheduling; runs continue under their leases."""
        self._jobs_watcher.stop()
        self._marks_watcher.stop()
        self._quotas.stop()
        self._publisher.stop()
        self._admission_publisher.stop()
        self._ticker.stop()
        self._committer.close()
        if tell_if_alive(self._actor, StopService()):
            self._actor.actor_stopped.wait(STOP_TIMEOUT_S)
