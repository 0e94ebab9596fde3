"""Controller that drives hosts through their maintenance."""

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
from sycamorecroft.maintenance.host_sequence import HostSequence
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
from sycamorecroft.maintenance.situation import Situation, SituationReader
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
# Keep one step within the store budget of pools and maintenance, 20 writes/s.
STARTS_PER_STEP_COUNT = 10
ADVANCES_PER_STEP_COUNT = 5


class StepReport(NamedTuple):
    """What one step did. ``problem`` is empty when the step went through."""

    is_holder: bool
    started_hosts: tuple[str, ...]
    advanced_hosts: tuple[str, ...]
    finished_waves: tuple[str, ...]
    problem: str


class MaintenanceController:
    """Takes hosts of declared waves out of service, reboots and returns them.

    All state is in the tables: a controller that is started anew, or takes over,
    continues from the rows. Not thread-safe; one actor calls it about once a second.

    :param lease: lease ``maintenance``; :meth:`step` acquires and renews it.
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
        self._reader = SituationReader(table, host_list, clock)
        self._sequence = HostSequence(self._registry, host_control, clock)
        self._needed_counts: Mapping[str, int] = {}
        self._latest: Situation | None = None

    @property
    def latest_situation(self) -> Situation | None:
        """What the last step decided on, ``None`` while the lease isn't held.

        Immutable; may be read by any thread.
        """
        return self._latest if self._lease.is_held else None

    def observe_demand(self, needed_counts: Mapping[str, int]) -> None:
        """
        :param needed_counts: number of hosts that the demand of each pool needs.
        """
        self._needed_counts = dict(needed_counts)

    def explain(self, wave_id: str) -> tuple[HostExplanation, ...]:
        """
        :returns: for each host of the wave why it waits.
        :raises KeyError: when the wave is unknown.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        return explain_wave(wave_id, self._reader.read(self._needed_counts))

    def step(self, now: datetime) -> StepReport:
        """Advances each host as far as it can go now, and starts new drains.

        :param now: wall time, recorded with the outcomes.
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
        situation = self._reader.read(self._needed_counts)
        self._latest = situation
        advanced = self._advance_hosts(situation, now)
        finished = self._end_waves(situation, now)
        started = self._start_hosts(situation)
        return StepReport(True, started, advanced, finished, "")

    def _advance_hosts(self, situation: Situation, now: datetime) -> tuple[str, ...]:
        advanced: list[str] = []
        for name, row in sorted(situation.hosts.items()):
            record = row.record
            if len(advanced) == ADVANCES_PER_STEP_COUNT:
                break
            if record["maintenance_id"] is None or record["state"] == HostState.ACTIVE:
                continue
            try:
                end = _EndWriter(situation, now)
                if self._sequence.advance(row, situation.acknowledgements, end.write):
                    advanced.append(name)
            except (HostBlockedError, StoreConflictError, PoolOperationError):
                continue
        return tuple(advanced)

    def _start_hosts(self, situation: Situation) -> tuple[str, ...]:
        started = []
        starts = plan_waves(situation).starts
        for host, wave_id in list(starts.items())[:STARTS_PER_STEP_COUNT]:
            wave = situation.waves[wave_id]
            # A pause or cancellation that was committed first prevents the drain.
            check = Check(MAINTENANCE_TABLE, wave_key(wave_id), wave.version)
            try:
                self._registry.start_drain(host, wave_id, ExtraWrite(checks=(check,)))
            except (BudgetExceededError, PoolOperationError, StoreConflictError):
                continue
            started.append(host)
        return tuple(started)

    def _end_waves(self, situation: Situation, now: datetime) -> tuple[str, ...]:
        finished = []
        for wave in situation.open_waves():
            remaining = situation.remaining_hosts(wave)
            lost = [host for host in remaining if _outcome_of_lost(host, situation)]
            if not remaining:
                self._finish(wave)
                finished.append(wave.record["id"])
            for host in lost:
                self._record_lost(wave, host, situation, now)
        return tuple(finished)

    def _finish(self, wave: WaveRow) -> None:
        record = wave.record.copy()
        record["state"] = WaveState.FINISHED
        key = wave_key(record["id"])
        checks = [Check(MAINTENANCE_TABLE, key, wave.version), self._lease.check()]
        put = Put(MAINTENANCE_TABLE, key, encode_record(record))
        transact_resolved(self._table, checks, [put], purpose=StorePurpose.POOLS)

    def _record_lost(
        self, wave: WaveRow, host: str, situation: Situation, now: datetime
    ) -> None:
        outcome = _outcome_of_lost(host, situation)
        if outcome is None:
            return
        put = progress_put(wave.record["id"], host, outcome, now)
        checks = [Check(MAINTENANCE_TABLE, put.key, None), self._lease.check()]
        transact_resolved(self._table, checks, [put], purpose=StorePurpose.POOLS)


class _EndWriter:
    """Adds the progress rows of all waves that a reboot serves to a transaction."""

    def __init__(self, situation: Situation, now: datetime) -> None:
        self._situation = situation
        self._now = now

    def write(self, host: str, maintenance_id: str, outcome: HostOutcome) -> ExtraWrite:
        """
        :returns: the progress rows that end the waves for the host.
        """
        puts = tuple(
            progress_put(wave.record["id"], host, outcome, self._now)
            for wave in self._situation.waves.values()
            if self._is_served(wave, host, maintenance_id)
        )
        return ExtraWrite(puts=puts)

    def _is_served(self, wave: WaveRow, host: str, maintenance_id: str) -> bool:
        record = wave.record
        if record["id"] == maintenance_id:
            return True
        return (
            wave in self._situation.open_waves()
            and host in self._situation.remaining_hosts(wave)
            and host not in record["rebooting_hosts"]
        )


def progress_put(wave_id: str, host: str, outcome: HostOutcome, now: datetime) -> Put:
    """
    :returns: the write that ends a wave for a host.
    """
    record = ProgressRecord(
        wave_id=wave_id, host=host, outcome=outcome, ended_at=now.isoformat()
    )
    key = progress_key(wave_id, host)
    return Put(MAINTENANCE_TABLE, key, encode_record(record))


def _outcome_of_lost(host: str, situation: Situation) -> HostOutcome | None:
    row = situation.hosts.get(host)
    if row is None:
        return HostOutcome.REMOVED
    if row.record["state"] == HostState.OUT:
        return HostOutcome.TAKEN_OUT
    return None
