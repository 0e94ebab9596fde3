"""Thread that carries out planned work on the pools that this host owns."""

import threading
from collections.abc import Callable

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.errors import RecordError
from sycamorecroft.platform import (
    HttpMachineCalls,
    decode_wave,
    encode_wave_status,
)
from sycamorecroft.platform.names import STATUS_TABLE, WAVE_PREFIX
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.interfaces import PartitionedTableService, Put, Row
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.upkeep.controller import (
    Pool,
    UpkeepController,
    UpkeepSettings,
    step_safely,
)
from sycamorecroft.upkeep.ledger import WaveLedger
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)

STEP_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0


class PoolControl:
    """Follows the operator's waves and runs the controller of upkeep.

    :param pools: pools that this host owns now.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tables: PartitionedTableService,
        clock: Clock,
        pools: Callable[[], tuple[Pool, ...]],
    ) -> None:
        self._pools = pools
        self._lock = threading.Lock()
        self._waves: dict[int, Wave] = {}
        calls = HttpMachineCalls(
            PlatformConnection(settings.machines.address, timeout_s=CALL_TIMEOUT_S)
        )
        self._controller = UpkeepController(
            WaveLedger(tables, settings.host),
            calls,
            clock,
            UpkeepSettings(settings.bounds.upkeep_s, settings.machines.lease_ms),
            _status_put,
        )
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

    def _step(self) -> None:
        with self._lock:
            waves = tuple(self._waves.values())
        if waves:
            step_safely(self._controller, waves, self._pools())

    def forget_pool(self, name: str) -> None:
        """Forgets a pool that has another owner now."""
        self._controller.forget_pool(name)


def _status_put(key: str, is_complete: bool) -> Put:
    return Put(STATUS_TABLE, WAVE_PREFIX + key, encode_wave_status(is_complete))
