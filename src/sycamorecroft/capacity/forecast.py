"""Forecasts when the demand of a pool rises, from the times of earlier rises.

The next rise of a pool is predicted from the last rise of a source, which is the pool
itself or another one, and the usual delay between them. For each source a record says
how often the predictions were right and by how much they were wrong.
"""

from collections.abc import Mapping
from enum import StrEnum
from statistics import median
from typing import NamedTuple

# Delays, outcomes and peaks kept of each source and pool. One rise that is missing or
# additional changes two delays, which must not change their median.
RECORD_COUNT = 5
# A rise is demand above this many times the level, and above what the pool can serve
# at its minimum size. Variations of a steady load stay below that.
RISE_RATIO = 2.0
# Time constant of the moving average of demand that is taken as the level.
LEVEL_MS = 60_000
# Loads are reported, and steps taken, up to this much later than demand changes.
MINIMUM_ERROR_MS = 250
# A prediction counts as right if its error is at most this share of the delay, and at
# most the time of LEAD_MOVES_COUNT moves.
TOLERANCE_RATIO = 0.25
# Preparation begins this many moves ahead, so that hosts whose draining ends within
# the first of them can still arrive before the rise.
LEAD_MOVES_COUNT = 2


class ForecastOutcome(StrEnum):
    """How a forecast compares with the actual rise."""

    RIGHT = "right"
    EARLY = "early"
    LATE = "late"
    NOT_COME = "not_come"


class SourceRecord(NamedTuple):
    """Record of the predictions of a pool's rise from the rise of one source.

    ``errors_ms``: absolute error of each right prediction. ``outcomes``: whether each
    prediction was right. The latest ones come last.
    """

    delays_ms: tuple[int, ...] = ()
    errors_ms: tuple[int, ...] = ()
    outcomes: tuple[bool, ...] = ()

    @property
    def right_ratio(self) -> float:
        """Share of the latest predictions that were right."""
        return sum(self.outcomes) / len(self.outcomes) if self.outcomes else 0.0

    @property
    def is_trusted(self) -> bool:
        """Whether predictions may be acted on."""
        return any(self.outcomes) and self.right_ratio >= 0.5

    @property
    def error_ms(self) -> int:
        """Usual error of right predictions."""
        usual_ms = int(median(self.errors_ms)) if self.errors_ms else 0
        return max(MINIMUM_ERROR_MS, usual_ms)

    def with_delay(self, delay_ms: int) -> "SourceRecord":
        """
        :returns: the record with a further delay.
        """
        return self._replace(delays_ms=(*self.delays_ms, delay_ms)[-RECORD_COUNT:])

    def with_outcome(self, error_ms: int, is_right: bool) -> "SourceRecord":
        """
        :returns: the record with a further outcome.
        """
        record = self._replace(outcomes=(*self.outcomes, is_right)[-RECORD_COUNT:])
        if not is_right:
            return record
        errors_ms = (*self.errors_ms, abs(error_ms))[-RECORD_COUNT:]
        return record._replace(errors_ms=errors_ms)


class PoolRecord(NamedTuple):
    """What is known of the rises of a pool.

    ``rise_ms``: store time of the last rise, 0 if there was none. ``peaks_count``:
    demand of the latest peaks, in hosts. ``peak_errors_count``: how far each was from
    the median of those before. ``sources``: records by source.
    """

    rise_ms: int = 0
    peaks_count: tuple[float, ...] = ()
    peak_errors_count: tuple[float, ...] = ()
    sources: dict[str, SourceRecord] = {}

    @property
    def hosts_count(self) -> float:
        """Usual demand of a peak less its usual error, in hosts.

        Hosts beyond that are more often moved in vain than not.
        """
        if not self.peaks_count:
            return 0.0
        errors_count = self.peak_errors_count or (0.0,)
        return max(0.0, median(self.peaks_count) - median(errors_count))

    def with_peak_error(self) -> "PoolRecord":
        """
        :returns: the record with the error of the latest peak.
        """
        if len(self.peaks_count) < 2:
            return self
        error_count = abs(self.peaks_count[-1] - median(self.peaks_count[:-1]))
        errors_count = (*self.peak_errors_count, error_count)[-RECORD_COUNT:]
        return self._replace(peak_errors_count=errors_count)


class Forecast(NamedTuple):
    """Predicted rise of a pool.

    ``hosts_count``: demand of the peak in hosts. ``right_ratio``: share of the latest
    predictions from the same source that were right.
    """

    pool: str
    source: str
    expected_ms: int
    error_ms: int
    hosts_count: float
    right_ratio: float

    def is_due(self, now_ms: int, move_ms: int) -> bool:
        """Whether hosts must be prepared or kept for the rise now."""
        lead_ms = LEAD_MOVES_COUNT * move_ms + self.error_ms
        return self.expected_ms - lead_ms <= now_ms <= self.expected_ms + self.error_ms


class ForecastResult(NamedTuple):
    """Outcome of a forecast; ``rise_ms`` is ``None`` if the rise didn't come."""

    forecast: Forecast
    outcome: ForecastOutcome
    rise_ms: int | None


class Observation(NamedTuple):
    """What the present demand of a pool shows.

    ``result``: outcome of the pool's forecast, if it is known now. ``peak_count``:
    demand of the peak that has ended now, in hosts.
    """

    is_rise: bool = False
    result: ForecastResult | None = None
    peak_count: float | None = None


class _Prediction(NamedTuple):
    expected_ms: int
    tolerance_ms: int

    def outcome(self, now_ms: int) -> ForecastOutcome:
        if now_ms < self.expected_ms - self.tolerance_ms:
            return ForecastOutcome.EARLY
        if now_ms > self.expected_ms + self.tolerance_ms:
            return ForecastOutcome.LATE
        return ForecastOutcome.RIGHT

    def is_expired(self, now_ms: int) -> bool:
        return now_ms > self.expected_ms + 2 * self.tolerance_ms


class RiseDetector:
    """Detects when demand rises well above its level, and when it is back."""

    def __init__(self) -> None:
        self._level_count = 0.0
        self._observed_ms = 0
        self._since_ms = 0
        self.is_peak = False

    def observe(self, hosts_count: float, minimum_count: float, now_ms: int) -> bool:
        """
        :param minimum_count: demand that the pool can serve at its minimum size, which
            requires no hosts of others.
        :returns: whether demand has risen now.
        """
        if not self._since_ms:
            self._since_ms = self._observed_ms = now_ms
            self._level_count = hosts_count
            return False
        threshold_count = max(minimum_count, RISE_RATIO * self._level_count)
        is_rise = not self.is_peak and hosts_count > threshold_count
        if is_rise:
            self.is_peak = True
        elif hosts_count < self._level_count:
            self.is_peak = False
        self._update_level(hosts_count, now_ms)
        return is_rise

    def _update_level(self, hosts_count: float, now_ms: int) -> None:
        elapsed_ms = now_ms - self._observed_ms
        window_ms = min(LEVEL_MS, max(1, now_ms - self._since_ms))
        weight = min(1.0, elapsed_ms / window_ms)
        self._level_count += (hosts_count - self._level_count) * weight
        self._observed_ms = now_ms


class DemandForecaster:
    """Learns from the rises of all pools and forecasts the next ones.

    Not thread-safe. Times are on the store's steady clock.
    """

    def __init__(
        self, records: Mapping[str, PoolRecord], move_ms: int, now_ms: int
    ) -> None:
        """
        :param records: what was learned before, by pool.
        :param move_ms: time of a move of a host.
        """
        self.records = dict(records)
        self.move_ms = move_ms
        self._detectors: dict[str, RiseDetector] = {}
        self._predictions: dict[str, dict[str, _Prediction]] = {}
        for pool in self.records:
            self._predict_from(pool)
        # Whether a rise came while nobody observed the pools isn't known.
        for pool, predictions in self._predictions.items():
            self._predictions[pool] = {
                source: prediction
                for source, prediction in predictions.items()
                if not prediction.is_expired(now_ms)
            }

    def observe(
        self, pool: str, hosts_count: float, minimum_count: float, now_ms: int
    ) -> Observation:
        """Records the demand of a pool.

        :param hosts_count: demand of the pool in hosts.
        :param minimum_count: demand that the pool can serve at its minimum size.
        :returns: what the demand shows.
        """
        detector = self._detectors.setdefault(pool, RiseDetector())
        was_peak = detector.is_peak
        if detector.observe(hosts_count, minimum_count, now_ms):
            return Observation(True, self._apply_rise(pool, hosts_count, now_ms))
        peak_count = None
        if detector.is_peak:
            self._raise_peak(pool, hosts_count)
        elif was_peak:
            self.records[pool] = self.records[pool].with_peak_error()
            peak_count = self.records[pool].peaks_count[-1]
        return Observation(False, self._expire(pool, now_ms), peak_count)

    def forecast(self, pool: str) -> Forecast | None:
        """
        :returns: the forecast of the pool's next rise, from the trusted source with the
            smallest error; ``None`` if there is none.
        """
        record = self.records.get(pool)
        if record is None:
            return None
        trusted = [
            (record.sources[source].error_ms, source)
            for source in self._predictions.get(pool, ())
            if record.sources[source].is_trusted
        ]
        if not trusted:
            return None
        error_ms, source = min(trusted)
        return Forecast(
            pool,
            source,
            self._predictions[pool][source].expected_ms,
            error_ms,
            record.hosts_count,
            record.sources[source].right_ratio,
        )

    def is_peak(self, pool: str) -> bool:
        """Whether the pool's demand has risen and isn't back at its level."""
        detector = self._detectors.get(pool)
        return detector is not None and detector.is_peak

    def _apply_rise(
        self, pool: str, hosts_count: float, now_ms: int
    ) -> ForecastResult | None:
        forecast = self.forecast(pool)
        result = None
        if forecast is not None:
            prediction = self._predictions[pool][forecast.source]
            result = ForecastResult(forecast, prediction.outcome(now_ms), now_ms)
        for source in list(self._predictions.get(pool, ())):
            self._resolve(pool, source, now_ms)
        record = self.records.get(pool, PoolRecord())
        sources = dict(record.sources)
        for source, other in self.records.items():
            # A source that has not risen since the pool's last rise predicts nothing.
            if other.rise_ms and other.rise_ms >= record.rise_ms:
                known = sources.get(source, SourceRecord())
                sources[source] = known.with_delay(now_ms - other.rise_ms)
        peaks_count = (*record.peaks_count, hosts_count)[-RECORD_COUNT:]
        self.records[pool] = record._replace(
            rise_ms=now_ms, peaks_count=peaks_count, sources=sources
        )
        self._predict_from(pool)
        return result

    def _raise_peak(self, pool: str, hosts_count: float) -> None:
        record = self.records[pool]
        if hosts_count > record.peaks_count[-1]:
            peaks_count = (*record.peaks_count[:-1], hosts_count)
            self.records[pool] = record._replace(peaks_count=peaks_count)

    def _expire(self, pool: str, now_ms: int) -> ForecastResult | None:
        predictions = self._predictions.get(pool, {})
        expired = [s for s, p in predictions.items() if p.is_expired(now_ms)]
        if not expired:
            return None
        forecast = self.forecast(pool)
        for source in expired:
            self._resolve(pool, source, now_ms)
        if forecast is None or forecast.source not in expired:
            return None
        return ForecastResult(forecast, ForecastOutcome.NOT_COME, None)

    def _resolve(self, pool: str, source: str, now_ms: int) -> None:
        """Counts the outcome of a prediction at a rise, or when it has expired.

        After an early rise the prediction of a trusted source stays: the rise may be
        an additional one.
        """
        prediction = self._predictions[pool][source]
        outcome = prediction.outcome(now_ms)
        record = (
            self.records[pool]
            .sources[source]
            .with_outcome(
                now_ms - prediction.expected_ms, outcome is ForecastOutcome.RIGHT
            )
        )
        self.records[pool].sources[source] = record
        if outcome is not ForecastOutcome.EARLY or not record.is_trusted:
            del self._predictions[pool][source]

    def _predict_from(self, source: str) -> None:
        rise_ms = self.records[source].rise_ms
        for pool, record in self.records.items():
            known = record.sources.get(source)
            predictions = self._predictions.setdefault(pool, {})
            if known is None or not known.delays_ms or source in predictions:
                continue
            if pool != source and record.rise_ms > rise_ms:
                continue
            delay_ms = int(median(known.delays_ms))
            tolerance_ms = min(
                LEAD_MOVES_COUNT * self.move_ms, int(delay_ms * TOLERANCE_RATIO)
            )
            predictions[source] = _Prediction(rise_ms + delay_ms, tolerance_ms)
