"""Thread of the fleet controller, which moves hosts between pools and runs upkeep."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.capacity.controller import CapacityController, CapacitySettings
from sycamorecroft.capacity.forecast_store import ForecastStore
from sycamorecroft.capacity.forecast_use import (
    DemandForecastUse,
    ForecastUse,
    NoForecast,
)
from sycamorecroft.capacity.marks import MarkStore
from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, RecordError
from sycamorecroft.node.table_watcher import TableWatcher
from sycamorecroft.node.wave_reporter import WaveReporter
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.platform import HttpHostCalls
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.model import Resources, Service
from sycamorecroft.scheduling.pool_rows import (
    FLEET_CONTROLLER_CLAIM,
    HOST_SIZES_KEY,
    LOADS_TABLE,
    HostSizesRow,
    LoadRow,
)
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    StorePurpose,
)
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.traffic import TrafficMeter
from sycamorecroft.upkeep.controller import Pool, UpkeepController, UpkeepSettings
from sycamorecroft.upkeep.fleet_store import FleetStore
from sycamorecroft.upkeep.order_sender import OrderSender
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)

# Interval of the steps if no load changes, for actions that depend on time only.
STEP_INTERVAL_S = 0.25
# Minimum pause between steps, so that loads that arrive together cost one step.
STEP_PAUSE_S = 0.03
UPKEEP_INTERVAL_S = 0.5
HOST_SIZES_INTERVAL_S = 10.0
CALL_TIMEOUT_S = 2.0
RETRY_S = 0.3
# Loads received longer ago are ignored, since they may no longer describe the pool.
LOAD_AGE_LIMIT_S = 2.5


class FleetView(NamedTuple):
    """Access to the services of the configuration and the upkeep waves of operators."""

    services: Callable[[], tuple[Service, ...]]
    waves: Callable[[], tuple[Wave, ...]]


class _Load(NamedTuple):
    epoch: int
    snapshot: PoolSnapshot
    received_s: float


class FleetController:
    """Runs the controllers of capacity and upkeep.

    It is created for a claim of ``~machines`` and stopped when that claim is
    lost or released.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tables: PartitionedTableService,
        clock: Clock,
        claim: ServiceClaim,
        view: FleetView,
        traffic: TrafficMeter | None = None,
        recorder: Recorder | None = None,
    ) -> None:
        """
        :param claim: claim of ``~machines`` by this entry host.
        :param traffic: counts the bytes of calls that list, move or maintain hosts.
        :raises PlatformError: when the marks of the former fleet controller can't be
            read.
        """
        self._tables = tables
        self._clock = clock
        self._view = view
        self._lock = threading.Lock()
        self._loads: dict[str, _Load] = {}
        self._step_requested = threading.Event()
        self._stopped = threading.Event()
        check = Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, claim.service)
        self._owner_check = check
        self._marks = MarkStore(tables, check)
        self._marks.load()
        ledger = FleetStore(tables, settings.host, check)
        calls = HttpHostCalls(
            PlatformConnection(
                settings.machines.address,
                timeout_s=CALL_TIMEOUT_S,
                traffic=traffic,
                traffic_use="hosts",
            ),
            clock,
        )
        self._calls = calls
        lease_ms = settings.machines.lease_ms
        self._sender = OrderSender(ledger, clock)
        self._upkeep = UpkeepController(
            ledger,
            self._sender,
            calls,
            clock,
            UpkeepSettings(settings.bounds.upkeep_s, lease_ms),
            WaveReporter(tables).report,
        )
        self._forecast = self._create_forecast(settings, recorder or NullRecorder())
        self._capacity = CapacityController(
            ledger,
            self._sender,
            calls,
            clock,
            CapacitySettings(lease_ms),
            self._standby_pools,
            self._forecast,
        )
        self._upkeep_marks: dict[str, WorkerMarks] = {}
        self._next_upkeep_s = 0.0
        self._host_sizes: frozenset[Resources] = frozenset()
        self._next_host_sizes_s = 0.0
        self._load_watcher = TableWatcher(
            tables, LOADS_TABLE, self._apply_loads, part=None
        )

    def start(self) -> None:
        """Starts the threads."""
        self._load_watcher.start()
        threading.Thread(target=self._run, name="fleet-controller", daemon=True).start()

    def stop(self) -> None:
        """Ends the threads after the step in progress."""
        self._stopped.set()
        self._step_requested.set()
        self._load_watcher.stop()

    def _create_forecast(
        self, settings: NodeSettings, recorder: Recorder
    ) -> ForecastUse:
        if not settings.capacity_planning.is_forecast_enabled:
            return NoForecast()
        store = ForecastStore(self._tables, self._owner_check)
        return DemandForecastUse(store, self._clock, recorder)

    def _standby_pools(self) -> frozenset[str]:
        return frozenset(s.name for s in self._view.services() if s.is_standby)

    def _apply_loads(self, rows: tuple[Row, ...]) -> None:
        now_s = self._clock.monotonic_s()
        for row in rows:
            if row.value is None:
                continue
            try:
                load = decode_row(row.value, LoadRow)
            except RecordError as error:
                _log.error("load_row_malformed", part=row.part, error=str(error))
                continue
            with self._lock:
                previous = self._loads.get(load.service)
                if previous is None or previous.epoch <= load.epoch:
                    snapshot = load.snapshot._replace(taken_s=now_s)
                    self._loads[load.service] = _Load(load.epoch, snapshot, now_s)
        self._step_requested.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._step_requested.wait(STEP_INTERVAL_S)
            self._step_requested.clear()
            try:
                self._step()
                pause_s = STEP_PAUSE_S
            except PlatformError as error:
                _log.info("machine_control_delayed", reason=str(error))
                pause_s = RETRY_S
            except Exception:
                # The thread must survive any error, or no host would be moved again.
                _log.exception("fleet_controller_step_failed")
                pause_s = RETRY_S
            self._stopped.wait(pause_s)
        self._sender.close()

    def _step(self) -> None:
        if self._stopped.is_set():
            return
        snapshots = self._snapshots()
        # Waiting tasks take precedence over upkeep, whose waves leave time to spare.
        self._capacity.step(
            snapshots, self._upkeep.upkeep_hosts, self._upkeep.due_hosts
        )
        self._step_upkeep(snapshots)
        self._write_marks(snapshots)
        # Last, since a slow store must not delay moves and marks for it.
        self._forecast.store_rises()
        self._store_host_sizes()

    def _snapshots(self) -> dict[str, PoolSnapshot]:
        """
        :returns: recent loads by service, with the marks that the service owners have
            applied.
        """
        limit_s = self._clock.monotonic_s() - LOAD_AGE_LIMIT_S
        names = {s.name for s in self._view.services() if not s.is_standby}
        with self._lock:
            recent = {
                name: load.snapshot
                for name, load in self._loads.items()
                if load.received_s > limit_s and name in names
            }
        return {name: self._marks.with_applied_marks(s) for name, s in recent.items()}

    def _step_upkeep(self, snapshots: dict[str, PoolSnapshot]) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_upkeep_s:
            return
        self._next_upkeep_s = now_s + UPKEEP_INTERVAL_S
        pools = [Pool(name, snapshot) for name, snapshot in snapshots.items()]
        pools += [Pool(name, None) for name in self._standby_pools()]
        self._upkeep_marks = self._upkeep.step(self._view.waves(), pools)

    def _write_marks(self, snapshots: dict[str, PoolSnapshot]) -> None:
        wanted = {}
        for name in snapshots:
            marks = self._upkeep_marks.get(name, WorkerMarks())
            reserved = self._capacity.reserved_workers(name)
            wanted[name] = marks._replace(reserved=marks.reserved | reserved)
        self._marks.write(wanted)

    def _store_host_sizes(self) -> None:
        """Stores the distinct host sizes, with which entry hosts check task sizes."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_host_sizes_s:
            return
        self._next_host_sizes_s = now_s + HOST_SIZES_INTERVAL_S
        sizes = frozenset(host.capacity for host in self._calls.list_hosts())
        if sizes == self._host_sizes:
            return
        value = encode_row(HostSizesRow(tuple(sorted(sizes))))
        put = Put(OWNERS_TABLE, HOST_SIZES_KEY, value, FLEET_CONTROLLER_CLAIM)
        self._tables.transact((self._owner_check,), (put,), purpose=StorePurpose.POOLS)
        self._host_sizes = sizes
