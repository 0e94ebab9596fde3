"""Controller that executes maintenance waves: drains, reboots and returns hosts."""

from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    BudgetExceededError,
    HostBlockedError,
    NotLeaseHolderError,
    PlatformError,
    PoolOperationError,
    StoreConflictError,
)
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.leases.transactions import transact_resolved
from sycamorecroft.maintenance.explanation import (
    HostExplanation,
    explain_wave,
    plan_waves,
)
from sycamorecroft.maintenance.host_workflow import HostWorkflow
from sycamorecroft.maintenance.records import (
    MAINTENANCE_TABLE,
    HostOutcome,
    ProgressRecord,
    WaveRow,
    WaveState,
    encode_record,
    progress_key,
    wave_key,
)
from sycamorecroft.maintenance.snapshot import (
    MaintenanceSnapshot,
    MaintenanceSnapshotReader,
)
from sycamorecroft.pools.host_rows import ExtraWrite
from sycamorecroft.pools.registry import PoolRegistry
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import (
    Check,
    HostControl,
    HostList,
    Put,
    StorePurpose,
    TableService,
)

LEASE_NAME = "maintenance"
# These limits keep one step within the store budget of pools and maintenance, which
# is 20 writes/s.
STARTS_PER_STEP_COUNT = 10
ADVANCES_PER_STEP_COUNT = 5


class StepReport(NamedTuple):
    """Result of one step. ``problem`` is the error that ended it, empty if none did."""

    is_holder: bool
    started_hosts: tuple[str, ...]
    advanced_hosts: tuple[str, ...]
    finished_waves: tuple[str, ...]
    problem: str


class MaintenanceController:
    """Drains and reboots the hosts of declared waves and returns them to service.

    All state is in the tables, so that a restarted controller or a new lease holder
    continues from the rows. Not thread-safe; one actor calls it about once per second.

    :param lease: the lease ``maintenance``, which :meth:`step` acquires and renews.
    """

    def __init__(
        self,
        table: TableService,
        host_list: HostList,
        host_control: HostControl,
        lease: ControllerLease,
        clock: Clock,
    ) -> None:
        self._table = table
        self._lease = lease
        self._registry = PoolRegistry(table, host_list, lease, clock)
        self._reader = MaintenanceSnapshotReader(table, host_list, clock)
        self._workflow = HostWorkflow(self._registry, host_control, clock)
        self._needed_counts: Mapping[str, int] = {}
        self._latest: MaintenanceSnapshot | None = None

    @property
    def latest_snapshot(self) -> MaintenanceSnapshot | None:
        """Input of the last step, ``None`` before it or while the lease isn't held.

        Immutable; any thread may read it.
        """
        return self._latest if self._lease.is_held else None

    def observe_demand(self, needed_counts: Mapping[str, int]) -> None:
        """Sets the demand that the next steps respect.

        :param needed_counts: number of hosts that each pool's demand requires.
        """
        self._needed_counts = dict(needed_counts)

    def explain(self, wave_id: str) -> tuple[HostExplanation, ...]:
        """
        :returns: for each host of the wave, its state or why it waits.
        :raises KeyError: when the wave is unknown.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        return explain_wave(wave_id, self._reader.read(self._needed_counts))

    def step(self, now: datetime) -> StepReport:
        """Advances hosts in maintenance, finishes waves and starts new drains.

        :param now: wall time, recorded with the outcomes.
        :returns: what the step did; errors of the platform are in ``problem``.
        """
        report = StepReport(False, (), (), (), "")
        try:
            if not self._lease.maintain():
                return report
            return self._step(now)
        except NotLeaseHolderError as error:
            return report._replace(problem=str(error))
        except PlatformError as error:
            return report._replace(is_holder=self._lease.is_held, problem=str(error))

    def _step(self, now: datetime) -> StepReport:
        snapshot = self._reader.read(self._needed_counts)
        self._latest = snapshot
        advanced = self._advance_hosts(snapshot, now)
        finished = self._finish_waves(snapshot, now)
        started = self._start_hosts(snapshot)
        return StepReport(True, started, advanced, finished, "")

    def _advance_hosts(
        self, snapshot: MaintenanceSnapshot, now: datetime
    ) -> tuple[str, ...]:
        advanced: list[str] = []
        for name, row in sorted(snapshot.hosts.items()):
            record = row.record
            if len(advanced) == ADVANCES_PER_STEP_COUNT:
                break
            if record["maintenance_id"] is None or record["state"] == HostState.ACTIVE:
                continue
            try:
                writer = _OutcomeWriter(snapshot, now)
                if self._workflow.advance(row, snapshot.acknowledgements, writer.write):
                    advanced.append(name)
            except (HostBlockedError, StoreConflictError, PoolOperationError):
                continue
        return tuple(advanced)

    def _start_hosts(self, snapshot: MaintenanceSnapshot) -> tuple[str, ...]:
        started = []
        starts = plan_waves(snapshot).starts
        for host, wave_id in list(starts.items())[:STARTS_PER_STEP_COUNT]:
            wave = snapshot.waves[wave_id]
            # Prevents the drain if a pause or cancellation was committed before it.
            check = Check(MAINTENANCE_TABLE, wave_key(wave_id), wave.version)
            try:
                self._registry.start_drain(host, wave_id, ExtraWrite(checks=(check,)))
            except (BudgetExceededError, PoolOperationError, StoreConflictError):
                continue
            started.append(host)
        return tuple(started)

    def _finish_waves(
        self, snapshot: MaintenanceSnapshot, now: datetime
    ) -> tuple[str, ...]:
        finished = []
        for wave in snapshot.open_waves():
            remaining = snapshot.remaining_hosts(wave)
            unavailable = [
                host for host in remaining if _outcome_if_unavailable(host, snapshot)
            ]
            if not remaining:
                self._finish(wave)
                finished.append(wave.record["id"])
            for host in unavailable:
                self._record_unavailable(wave, host, snapshot, now)
        return tuple(finished)

    def _finish(self, wave: WaveRow) -> None:
        record = wave.record.copy()
        record["state"] = WaveState.FINISHED
        key = wave_key(record["id"])
        checks = [Check(MAINTENANCE_TABLE, key, wave.version), self._lease.check()]
        put = Put(MAINTENANCE_TABLE, key, encode_record(record))
        transact_resolved(self._table, checks, [put], purpose=StorePurpose.POOLS)

    def _record_unavailable(
        self, wave: WaveRow, host: str, snapshot: MaintenanceSnapshot, now: datetime
    ) -> None:
        outcome = _outcome_if_unavailable(host, snapshot)
        if outcome is None:
            return
        put = progress_put(wave.record["id"], host, outcome, now)
        checks = [Check(MAINTENANCE_TABLE, put.key, None), self._lease.check()]
        transact_resolved(self._table, checks, [put], purpose=StorePurpose.POOLS)


class _OutcomeWriter:
    """Builds the progress rows of all waves that one reboot completes for a host."""

    def __init__(self, snapshot: MaintenanceSnapshot, now: datetime) -> None:
        self._snapshot = snapshot
        self._now = now

    def write(self, host: str, maintenance_id: str, outcome: HostOutcome) -> ExtraWrite:
        """
        :returns: progress rows to commit with the end of the host's maintenance.
        """
        puts = tuple(
            progress_put(wave.record["id"], host, outcome, self._now)
            for wave in self._snapshot.waves.values()
            if self._is_completed(wave, host, maintenance_id)
        )
        return ExtraWrite(puts=puts)

    def _is_completed(self, wave: WaveRow, host: str, maintenance_id: str) -> bool:
        record = wave.record
        if record["id"] == maintenance_id:
            return True
        return (
            wave in self._snapshot.open_waves()
            and host in self._snapshot.remaining_hosts(wave)
            and host not in record["rebooting_hosts"]
        )


def progress_put(wave_id: str, host: str, outcome: HostOutcome, now: datetime) -> Put:
    """
    :returns: write that stores the outcome of a wave for a host.
    """
    record = ProgressRecord(
        wave_id=wave_id, host=host, outcome=outcome, ended_at=now.isoformat()
    )
    key = progress_key(wave_id, host)
    return Put(MAINTENANCE_TABLE, key, encode_record(record))


def _outcome_if_unavailable(
    host: str, snapshot: MaintenanceSnapshot
) -> HostOutcome | None:
    row = snapshot.hosts.get(host)
    if row is None:
        return HostOutcome.REMOVED
    if row.record["state"] == HostState.OUT:
        return HostOutcome.TAKEN_OUT
    return None
