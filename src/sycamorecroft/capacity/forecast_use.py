"""Hosts that pools need before their demand rises, for the capacity controller."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

import structlog

from sycamorecroft.capacity.forecast import (
    DemandForecaster,
    Forecast,
    ForecastResult,
)
from sycamorecroft.capacity.forecast_store import ForecastStore
from sycamorecroft.capacity.planning import (
    GROWTH_LOAD_RATIO,
    PoolDemand,
    demand_hosts_count,
)
from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError
from sycamorecroft.metrics import FORECASTS
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot

_log = structlog.get_logger(__name__)

# Assumed until a move has been observed.
INITIAL_MOVE_S = 1.5
# Weight of the latest move in the average time of a move.
MOVE_WEIGHT = 0.2
# Minimum interval between two attempts to read the rows.
LOAD_INTERVAL_S = 1.0
# Nothing is forecast for this time after an unexpected error.
ERROR_PAUSE_S = 1.0


class ForecastUse(ABC):
    """Tells the capacity controller which hosts to prepare. Not thread-safe."""

    @abstractmethod
    def update(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        demands: Mapping[str, PoolDemand],
        minimum_counts: Mapping[str, int],
    ) -> dict[str, int]:
        """Learns from the present load.

        :param minimum_counts: minimum size of each pool.
        :returns: by pool whose demand is expected to rise soon, the number of hosts
            that it should gain before, which may be 0. These pools keep their hosts
            unless tasks of another one wait.
        """

    @abstractmethod
    def record_move(self, duration_s: float) -> None:
        """Records how long a host took from the order of a move to its registration."""

    @abstractmethod
    def store_rises(self) -> None:
        """Stores what was learned from the rises since the last call."""


class NoForecast(ForecastUse):
    """Forecasts nothing."""

    def update(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        demands: Mapping[str, PoolDemand],
        minimum_counts: Mapping[str, int],
    ) -> dict[str, int]:
        return {}

    def record_move(self, duration_s: float) -> None:
        pass

    def store_rises(self) -> None:
        pass


class DemandForecastUse(ForecastUse):
    """Prepares hosts for the rises that are forecast."""

    def __init__(self, store: ForecastStore, clock: Clock, recorder: Recorder) -> None:
        self._store = store
        self._clock = clock
        self._recorder = recorder
        self._forecaster: DemandForecaster | None = None
        self._offset_ms = 0
        self._next_load_s = 0.0
        self._move_s = INITIAL_MOVE_S
        self._risen: set[str] = set()
        self._acted_on: dict[str, Forecast] = {}
        # Forecasts that were acted on and whose peak isn't over yet.
        self._peaks_met: dict[str, ForecastResult] = {}
        self._paused_until_s = float("-inf")

    def update(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        demands: Mapping[str, PoolDemand],
        minimum_counts: Mapping[str, int],
    ) -> dict[str, int]:
        now_s = self._clock.monotonic_s()
        if now_s < self._paused_until_s:
            return {}
        try:
            return self._update(snapshots, demands, minimum_counts)
        except Exception:
            # Moves for tasks that wait must go on.
            self._paused_until_s = now_s + ERROR_PAUSE_S
            _log.exception("demand_not_forecast")
            return {}

    def _update(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        demands: Mapping[str, PoolDemand],
        minimum_counts: Mapping[str, int],
    ) -> dict[str, int]:
        forecaster = self._loaded()
        if forecaster is None:
            return {}
        forecaster.move_ms = int(self._move_s * 1000)
        now_ms = self._now_ms()
        for pool, snapshot in snapshots.items():
            hosts_count = demand_hosts_count(snapshot)
            minimum_count = minimum_counts[pool] * GROWTH_LOAD_RATIO
            if hosts_count is not None:
                self._observe(forecaster, pool, hosts_count, minimum_count, now_ms)
        return {
            pool: self._missing_count(forecast, demands[pool], minimum_counts[pool])
            for pool in snapshots
            if (forecast := self._due(forecaster, pool, now_ms)) is not None
        }

    def record_move(self, duration_s: float) -> None:
        self._move_s += (duration_s - self._move_s) * MOVE_WEIGHT

    def store_rises(self) -> None:
        forecaster = self._forecaster
        if forecaster is None:
            return
        for pool in sorted(self._risen):
            # While the store is down, each attempt would delay the next step by a
            # time-out.
            if not self._store.write(pool, forecaster.records[pool]):
                break
        self._risen.clear()

    def _now_ms(self) -> int:
        return int(self._clock.monotonic_s() * 1000) + self._offset_ms

    def _loaded(self) -> DemandForecaster | None:
        now_s = self._clock.monotonic_s()
        if self._forecaster is None and now_s >= self._next_load_s:
            self._next_load_s = now_s + LOAD_INTERVAL_S
            try:
                records = self._store.load()
            except PlatformError as error:
                _log.info("forecasts_not_read", reason=str(error))
                return None
            self._offset_ms = self._store.store_time_ms - int(now_s * 1000)
            self._forecaster = DemandForecaster(
                records, int(self._move_s * 1000), self._now_ms()
            )
        return self._forecaster

    def _observe(
        self,
        forecaster: DemandForecaster,
        pool: str,
        hosts_count: float,
        minimum_count: float,
        now_ms: int,
    ) -> None:
        seen = forecaster.observe(pool, hosts_count, minimum_count, now_ms)
        if seen.is_rise:
            self._risen.add(pool)
        if seen.result is not None:
            self._report(seen.result, hosts_count)
        if seen.peak_count is not None and pool in self._peaks_met:
            self._report_actual(self._peaks_met.pop(pool), seen.peak_count)

    def _due(
        self, forecaster: DemandForecaster, pool: str, now_ms: int
    ) -> Forecast | None:
        forecast = forecaster.forecast(pool)
        if forecast is None or forecaster.is_peak(pool):
            return None
        if not forecast.is_due(now_ms, forecaster.move_ms):
            return None
        previous = self._acted_on.get(pool)
        if previous is None or previous.expected_ms != forecast.expected_ms:
            self._acted_on[pool] = forecast
            _log_forecast(forecast, expected_in_ms=forecast.expected_ms - now_ms)
        return forecast

    def _report(self, result: ForecastResult, hosts_count: float) -> None:
        """Counts an outcome, and logs it after the peak if hosts were prepared."""
        pool = result.forecast.pool
        self._recorder.count(FORECASTS, service=pool, outcome=result.outcome)
        if self._acted_on.pop(pool, None) is None:
            return
        if result.rise_ms is None:
            self._report_actual(result, hosts_count)
        else:
            self._peaks_met[pool] = result

    @staticmethod
    def _report_actual(result: ForecastResult, hosts_count: float) -> None:
        forecast = result.forecast
        rise_ms = result.rise_ms
        _log_forecast(
            forecast,
            outcome=result.outcome,
            late_ms=None if rise_ms is None else rise_ms - forecast.expected_ms,
            actual_hosts_count=round(hosts_count, 1),
        )

    @staticmethod
    def _missing_count(
        forecast: Forecast, demand: PoolDemand, minimum_count: int
    ) -> int:
        """Counts the hosts to gain.

        A move has a cost, so a source that was right less often moves fewer hosts. They
        are counted from the minimum size, which doesn't change as hosts arrive.
        """
        needed_count = math.ceil(forecast.hosts_count / GROWTH_LOAD_RATIO)
        growth_count = int((needed_count - minimum_count) * forecast.right_ratio)
        return max(0, minimum_count + growth_count - demand.usable_count)


def _log_forecast(forecast: Forecast, **fields: object) -> None:
    _log.info(
        "demand_forecast",
        pool=forecast.pool,
        source=forecast.source,
        expected_ms=forecast.expected_ms,
        expected_hosts_count=round(forecast.hosts_count, 1),
        error_ms=forecast.error_ms,
        right_ratio=round(forecast.right_ratio, 2),
        **fields,
    )
