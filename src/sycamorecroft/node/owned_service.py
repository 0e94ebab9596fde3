"""A service that this host owns: its actor, its committer and its feed of jobs."""

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker, tell_if_alive
from sycamorecroft.node.table_follower import TableFollower
from sycamorecroft.ownership.committer import Committer
from sycamorecroft.ownership.owner import ClaimedService
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import WorkerEntry
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks
from sycamorecroft.scheduling.rows import jobs_table, progress_table
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.service_actor import (
    JobRowsChanged,
    ServiceActor,
    ServiceContext,
    StopService,
    Tick,
    WorkersListed,
)
from sycamorecroft.store.interfaces import PartitionedTableService, StorePurpose
from sycamorecroft.store.table_part import read_all_parts

_log = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.25
STOP_TIMEOUT_S = 0.5


class OwnedService:
    """Runs the scheduler of a service from its claim to its end."""

    def __init__(
        self,
        tables: PartitionedTableService,
        claimed: ClaimedService,
        workers: tuple[WorkerEntry, ...],
        context: ServiceContext,
        confirm,
        retention_s: float,
        recorder: Recorder,
    ) -> None:
        """
        :param workers: workers of the service as last listed.
        :raises PlatformError: when the jobs can't be read.
        """
        service = claimed.claim.service
        self.service = service
        clock: Clock = context.clock
        jobs = read_all_parts(tables, jobs_table(service), purpose=StorePurpose.JOBS)
        progress = tables.scan_part(
            progress_table(service), service, purpose=StorePurpose.JOBS
        )
        scheduler = Scheduler(
            service,
            SchedulerSettings(claimed.former_lease_end_s, retention_s),
            recorder,
            claimed.claim.epoch,
        )
        now_s = clock.monotonic_s()
        scheduler.apply_workers(workers, now_s)
        now_ms = int(clock.now().timestamp() * 1000)
        scheduler.load(jobs.rows, progress.rows, now_s, now_ms)
        self._actor = ServiceActor.start(scheduler, context)
        self._committer = Committer(
            tables, claimed.claim, clock, self._tell, confirm, recorder
        )
        self._committer.start()
        self._actor.tell(self._committer)
        self._follower = TableFollower(
            tables,
            jobs_table(service),
            self._apply_jobs,
            part=None,
            from_version=jobs.version,
        )
        self._follower.start()
        self._ticker = Ticker(
            f"tick-{service}", TICK_INTERVAL_S, lambda: self._tell(Tick())
        )
        self._ticker.start()

    def _apply_jobs(self, rows) -> None:
        self._tell(JobRowsChanged(rows))

    def list_workers(self, entries: tuple[WorkerEntry, ...]) -> None:
        """Passes on the list of the service's workers."""
        self._tell(WorkersListed(entries))

    def mark_workers(self, marks: WorkerMarks) -> None:
        """Passes on which workers planned work concerns."""
        self._tell(marks)

    def _tell(self, message: object) -> None:
        tell_if_alive(self._actor, message)

    def stop(self) -> None:
        """Ends scheduling; what runs goes on under its leases."""
        self._follower.stop()
        self._ticker.stop()
        self._committer.close()
        if tell_if_alive(self._actor, StopService()):
            self._actor.actor_stopped.wait(STOP_TIMEOUT_S)
