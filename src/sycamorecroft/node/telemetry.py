"""Metrics of a node: OpenTelemetry instruments, exported in the Prometheus format."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from sycamorecroft.metrics import NODE_METRICS, Metric, MetricKind
from sycamorecroft.recorder import Recorder

GaugeReader = Callable[[], Iterable[Observation]]


class NodeTelemetry(Recorder):
    """Instruments of a node, and the WSGI application that exports them."""

    def __init__(self) -> None:
        reader = PrometheusMetricReader(scope_info_enabled=False)
        self._meter = MeterProvider(metric_readers=[reader]).get_meter("sycamorecroft")
        self._counters = {}
        self._histograms = {}
        for metric in NODE_METRICS:
            self._create_instrument(metric)

    def _create_instrument(self, metric: Metric) -> None:
        if metric.kind is MetricKind.COUNTER:
            self._counters[metric] = self._meter.create_counter(
                metric.name, description=metric.description
            )
        elif metric.kind is MetricKind.HISTOGRAM:
            self._histograms[metric] = self._meter.create_histogram(
                metric.name,
                unit=metric.unit,
                description=metric.description,
                explicit_bucket_boundaries_advisory=metric.buckets,
            )

    def count(self, metric: Metric, **attributes: str) -> None:
        self._counters[metric].add(1, attributes)

    def record(self, metric: Metric, duration_s: float, **attributes: str) -> None:
        self._histograms[metric].record(duration_s, attributes)

    def observe(self, metric: Metric, read: GaugeReader) -> None:
        """Registers a gauge that is read at each export.

        :param read: returns the values; must not block.
        """

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            del options
            return read()

        self._meter.create_observable_gauge(
            metric.name,
            callbacks=[callback],
            unit=metric.unit,
            description=metric.description,
        )

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        del environ
        body = generate_latest(REGISTRY)
        status = HTTPStatus.OK
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]
