"""Cache of the upkeep waves that operators have requested."""

import threading
from collections.abc import Iterable

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.platform import decode_wave
from sycamorecroft.platform.names import WAVE_PREFIX
from sycamorecroft.store.interfaces import Row
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)


class WaveCache:
    """Upkeep waves read from the operator table. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waves: dict[int, Wave] = {}

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Applies rows of the operator table; rows of other kinds are skipped."""
        for row in rows:
            if not row.key.startswith(WAVE_PREFIX) or row.value is None:
                continue
            try:
                wave = decode_wave(row.value)
            except RecordError as error:
                _log.error("wave_malformed", key=row.key, error=str(error))
                continue
            self._add(wave, row.version)

    def _add(self, wave: Wave, row_version: int) -> None:
        with self._lock:
            is_new = wave.number not in self._waves
            self._waves[wave.number] = wave
        if is_new:
            _log.info(
                "wave_seen",
                wave=wave.number,
                version=row_version,
                machines_count=len(wave.hosts),
                concurrent_limit_count=wave.concurrent_limit_count,
                duration_s=wave.duration_s,
            )

    def waves(self) -> tuple[Wave, ...]:
        """
        :returns: all waves read so far.
        """
        with self._lock:
            return tuple(self._waves.values())
