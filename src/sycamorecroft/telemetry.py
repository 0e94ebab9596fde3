"""Metrics of a daemon: OpenTelemetry instruments with a Prometheus exporter."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from sycamorecroft.metrics import (
    QUEUE_TIME,
    REFUSALS,
    REQUESTS,
    RETRIES,
    SERVICE_TIME,
    Metric,
    MetricKind,
)

_UNKNOWN_SERVICE = "unknown"


class MetricValue(NamedTuple):
    """Value of a metric for one set of attributes."""

    value: float
    attributes: Mapping[str, str]


ReadMetricValues = Callable[[], Iterable[MetricValue]]


class Telemetry:
    """Counters, histograms and gauges of one daemon."""

    def __init__(self) -> None:
        self._reader = PrometheusMetricReader(scope_info_enabled=False)
        self._provider = MeterProvider(metric_readers=[self._reader])
        self._meter = self._provider.get_meter("sycamorecroft")
        self._requests = self._counter(REQUESTS)
        self._refusals = self._counter(REFUSALS)
        self._retries = self._counter(RETRIES)
        self._queue_time = self._histogram(QUEUE_TIME)
        self._service_time = self._histogram(SERVICE_TIME)

    def _counter(self, metric: Metric):
        return self._meter.create_counter(metric.name, description=metric.description)

    def _histogram(self, metric: Metric):
        return self._meter.create_histogram(
            metric.name,
            unit=metric.unit,
            description=metric.description,
            explicit_bucket_boundaries_advisory=metric.buckets,
        )

    def count_request(self, service: str | None, outcome: str) -> None:
        """
        :param service: a configured service; ``None`` for any other name, so that
            callers can't create time series.
        :param outcome: outcome of bounded cardinality.
        """
        self._requests.add(
            1, {"service": service or _UNKNOWN_SERVICE, "outcome": outcome}
        )

    def count_refusal(self, service: str | None, reason: str) -> None:
        """
        :param service: as for :meth:`count_request`.
        :param reason: reason code of bounded cardinality.
        """
        self._refusals.add(
            1, {"service": service or _UNKNOWN_SERVICE, "reason": reason}
        )

    def count_retry(self, service: str | None, reason: str) -> None:
        """
        :param service: as for :meth:`count_request`.
        :param reason: reason code of bounded cardinality.
        """
        self._retries.add(1, {"service": service or _UNKNOWN_SERVICE, "reason": reason})

    def record_queue_time(self, service: str | None, duration_s: float) -> None:
        """Records how long a request waited for a slot, whether granted or not."""
        self._queue_time.record(duration_s, {"service": service or _UNKNOWN_SERVICE})

    def record_service_time(self, service: str | None, duration_s: float) -> None:
        """Records the duration of one attempt at a worker."""
        self._service_time.record(duration_s, {"service": service or _UNKNOWN_SERVICE})

    def observe(self, metric: Metric, read_values: ReadMetricValues) -> None:
        """Registers a metric whose values are read at each scrape.

        :param read_values: returns the values; it must not block.
        """

        def read(options: CallbackOptions) -> Iterable[Observation]:
            del options
            return [
                Observation(value.value, dict(value.attributes))
                for value in read_values()
            ]

        create = {
            MetricKind.GAUGE: self._meter.create_observable_gauge,
            MetricKind.COUNTER: self._meter.create_observable_counter,
        }[metric.kind]
        create(
            metric.name,
            callbacks=[read],
            unit=metric.unit,
            description=metric.description,
        )

    def render(self) -> bytes:
        """
        :returns: all metrics in the Prometheus text format.
        """
        return generate_latest(REGISTRY)

    def shutdown(self) -> None:
        """Shuts down the meter provider and its exporter."""
        self._provider.shutdown()
