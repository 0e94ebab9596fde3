"""Metrics of a daemon: OpenTelemetry instruments with a Prometheus exporter."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

_UNKNOWN_SERVICE = "unknown"


class GaugeValue(NamedTuple):
    """Value of a gauge with its attributes."""

    value: float
    attributes: Mapping[str, str]


GaugeReader = Callable[[], Iterable[GaugeValue]]


class Telemetry:
    """Counters, histograms and gauges of one daemon."""

    def __init__(self) -> None:
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter("sycamorecroft")
        self._meter = meter
        self._requests = meter.create_counter(
            "sycamorecroft.requests", description="Requests of callers by outcome"
        )
        self._refusals = meter.create_counter(
            "sycamorecroft.refusals", description="Requests not run, by reason"
        )
        self._retries = meter.create_counter(
            "sycamorecroft.retries", description="Repeated attempts, by reason"
        )
        self._store_calls = meter.create_counter(
            "sycamorecroft.store.calls", description="Calls to the table service"
        )
        self._queue_time = meter.create_histogram(
            "sycamorecroft.queue.time", unit="s", description="Wait for a slot"
        )
        self._service_time = meter.create_histogram(
            "sycamorecroft.service.time", unit="s", description="Attempt at a worker"
        )

    def count_request(self, service: str | None, outcome: str) -> None:
        """
        :param service: a configured service; ``None`` for any other name, so that
            callers can't create series.
        """
        self._requests.add(
            1, {"service": service or _UNKNOWN_SERVICE, "outcome": outcome}
        )

    def count_refusal(self, service: str | None, reason: str) -> None:
        """
        :param reason: bounded reason code.
        """
        self._refusals.add(
            1, {"service": service or _UNKNOWN_SERVICE, "reason": reason}
        )

    def count_retry(self, service: str, reason: str) -> None:
        """
        :param reason: bounded reason code.
        """
        self._retries.add(1, {"service": service, "reason": reason})

    def count_store_call(self, purpose: str, kind: str, result: str) -> None:
        """
        :param kind: ``read`` or ``write``.
        :param result: bounded result code.
        """
        self._store_calls.add(1, {"purpose": purpose, "kind": kind, "result": result})

    def record_queue_time(self, service: str, duration_s: float) -> None:
        """Records the time a request waited for a slot."""
        self._queue_time.record(duration_s, {"service": service})

    def record_service_time(self, service: str, duration_s: float) -> None:
        """Records the time of one attempt at a worker."""
        self._service_time.record(duration_s, {"service": service})

    def add_gauge(self, name: str, description: str, reader: GaugeReader) -> None:
        """Registers a gauge that is read when metrics are scraped.

        :param reader: returns the values; it must not block.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            del options
            return [
                Observation(value.value, dict(value.attributes)) for value in reader()
            ]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def render(self) -> bytes:
        """
        :returns: all metrics in the Prometheus text format.
        """
        return generate_latest(REGISTRY)

    def shutdown(self) -> None:
        """Stops the exporter."""
        self._provider.shutdown()
