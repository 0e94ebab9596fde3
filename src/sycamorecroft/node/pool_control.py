"""Thread that carries out planned work on the pools that this host owns."""

import threading
from collections.abc import Callable

import structlog

from sycamorecroft.capacity.controller import CapacityController, CapacitySettings
from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.errors import PlatformError, RecordError
from sycamorecroft.platform import (
    HttpMachineCalls,
    decode_wave,
    encode_wave_status,
)
from sycamorecroft.platform.names import STATUS_TABLE, WAVE_PREFIX
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.interfaces import PartitionedTableService, Put, Row
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.upkeep.controller import (
    Pool,
    UpkeepController,
    UpkeepSettings,
)
from sycamorecroft.upkeep.ledger import WaveLedger
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)

STEP_INTERVAL_S = 0.25
UPKEEP_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0


class PoolControl:
    """Follows the operator's waves and runs the controller of upkeep.

    :param pools: pools that this host owns now.
    :param standby_pools: pools whose machines are off.
    :param mark: tells a pool's scheduler which workers planned work concerns.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tables: PartitionedTableService,
        clock: Clock,
        pools: Callable[[], tuple[Pool, ...]],
        standby_pools: Callable[[], frozenset[str]],
        mark: Callable[[str, WorkerMarks], None],
    ) -> None:
        self._pools = pools
        self._lock = threading.Lock()
        self._waves: dict[int, Wave] = {}
        calls = HttpMachineCalls(
            PlatformConnection(settings.machines.address, timeout_s=CALL_TIMEOUT_S)
        )
        ledger = WaveLedger(tables, settings.host)
        lease_ms = settings.machines.lease_ms
        self._clock = clock
        self._upkeep = UpkeepController(
            ledger,
            calls,
            clock,
            UpkeepSettings(settings.bounds.upkeep_s, lease_ms),
            _status_put,
        )
        self._capacity = CapacityController(
            ledger, calls, clock, CapacitySettings(lease_ms), standby_pools
        )
        self._mark = mark
        self._marks: dict[str, WorkerMarks] = {}
        self._upkeep_marks: dict[str, WorkerMarks] = {}
        self._next_upkeep_s = 0.0
        self._ticker = Ticker("pool-control", STEP_INTERVAL_S, self._step)

    def start(self) -> None:
        """Starts the thread."""
        self._ticker.start()

    def stop(self) -> None:
        """Ends the thread after the step in progress."""
        self._ticker.stop()

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Takes in rows of the operator."""
        for row in rows:
            if not row.key.startswith(WAVE_PREFIX) or row.value is None:
                continue
            try:
                wave = decode_wave(row.value)
            except RecordError as error:
                _log.error("wave_not_understood", key=row.key, error=str(error))
                continue
            with self._lock:
                is_new = wave.number not in self._waves
                self._waves[wave.number] = wave
            if is_new:
                _log.info(
                    "wave_seen",
                    wave=wave.number,
                    version=row.version,
                    machines_count=len(wave.machines),
                    concurrent_limit_count=wave.concurrent_limit_count,
                    duration_s=wave.duration_s,
                )

    @property
    def is_expecting(self) -> bool:
        """Whether machines are on their way to a pool of this host."""
        return self._capacity.is_expecting

    def _step(self) -> None:
        pools = self._pools()
        try:
            self._step_upkeep(pools)
            loads = tuple(
                (pool.name, pool.snapshot)
                for pool in pools
                if pool.snapshot is not None
            )
            self._capacity.step(loads, self._upkeep.busy_machines)
        except PlatformError as error:
            _log.info("pool_control_delayed", reason=str(error))
        self._mark_workers(pools)

    def _step_upkeep(self, pools: tuple[Pool, ...]) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_upkeep_s:
            return
        self._next_upkeep_s = now_s + UPKEEP_INTERVAL_S
        with self._lock:
            waves = tuple(self._waves.values())
        self._upkeep_marks = self._upkeep.step(waves, pools)

    def _mark_workers(self, pools: tuple[Pool, ...]) -> None:
        for pool in pools:
            marks = self._upkeep_marks.get(pool.name, WorkerMarks())
            leaving = self._capacity.reserved_workers(pool.name)
            marks = marks._replace(reserved=marks.reserved | leaving)
            if self._marks.get(pool.name, WorkerMarks()) != marks:
                self._marks[pool.name] = marks
                self._mark(pool.name, marks)

    def forget_pool(self, name: str) -> None:
        """Forgets a pool that has another owner now."""
        self._marks.pop(name, None)
        self._capacity.forget_pool(name)


def _status_put(key: str, is_complete: bool) -> Put:
    return Put(STATUS_TABLE, WAVE_PREFIX + key, encode_wave_status(is_complete))
