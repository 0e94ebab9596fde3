"""Logs how much of its link and processor time this entry host uses."""

import resource
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import structlog
from opentelemetry.metrics import Observation

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.metrics import (
    LINK_RATIO,
    PROCESSOR_RATIO,
    RECEIVED_RATE,
    SENT_RATE,
    Metric,
)
from sycamorecroft.node.telemetry import GaugeReader
from sycamorecroft.settings.node import HostCapacitySettings
from sycamorecroft.traffic import Traffic, TrafficMeter

_log = structlog.get_logger(__name__)

REPORT_INTERVAL_S = 1.0
BYTES_PER_MBIT = 125_000
# An entry host that owns no service logs its load from this share of its capacity on.
LOGGED_LOAD_RATIO = 0.5


class HostLoad(NamedTuple):
    """Load of an entry host over an interval.

    ``traffic_per_s``: bytes per second by use. ``link_ratio``: share of the link's
    bandwidth in the busier direction. ``processor_ratio``: share of the processor time
    that the node may use.
    """

    traffic_per_s: Mapping[str, Traffic]
    link_ratio: float
    processor_ratio: float


def measure_load(
    before: Mapping[str, Traffic],
    after: Mapping[str, Traffic],
    processor_s: float,
    duration_s: float,
    capacity: HostCapacitySettings,
) -> HostLoad:
    """
    :param before: total traffic by use at the start of the interval.
    :param after: total traffic by use at its end.
    :param processor_s: processor time used in the interval.
    :param duration_s: length of the interval, greater than 0.
    :returns: load of the entry host in the interval.
    """
    traffic_per_s = {
        use: _rate(before.get(use, Traffic()), total, duration_s)
        for use, total in after.items()
    }
    sent_bytes_per_s = sum(rate.sent_bytes for rate in traffic_per_s.values())
    received_bytes_per_s = sum(rate.received_bytes for rate in traffic_per_s.values())
    busier_bytes_per_s = max(sent_bytes_per_s, received_bytes_per_s)
    return HostLoad(
        traffic_per_s,
        busier_bytes_per_s / (capacity.link_mbps * BYTES_PER_MBIT),
        processor_s / duration_s / capacity.cores_count,
    )


def _rate(before: Traffic, after: Traffic, duration_s: float) -> Traffic:
    return Traffic(
        round((after.sent_bytes - before.sent_bytes) / duration_s),
        round((after.received_bytes - before.received_bytes) / duration_s),
    )


class HostLoadReporter:
    """Measures and logs the load of this entry host once a second.

    :ivar load: latest load; ``None`` before the first interval has ended.
    """

    def __init__(
        self,
        traffic: TrafficMeter,
        clock: Clock,
        capacity: HostCapacitySettings,
        owned_services: Callable[[], Sequence[str]],
    ) -> None:
        """
        :param owned_services: returns the names of the services that this entry host
            owns.
        """
        self._traffic = traffic
        self._clock = clock
        self._capacity = capacity
        self._owned_services = owned_services
        self._totals = traffic.totals()
        self._processor_s = _used_processor_s()
        self._measured_s = clock.monotonic_s()
        self.load: HostLoad | None = None
        self._ticker = Ticker("host-load", REPORT_INTERVAL_S, self.report)

    def start(self) -> None:
        """Starts the thread."""
        self._ticker.start()

    def register_gauges(self, observe: Callable[[Metric, GaugeReader], None]) -> None:
        """Exports the load as metrics.

        :param observe: registers a gauge that is read at each export.
        """
        observe(SENT_RATE, lambda: self._observe_traffic(lambda rate: rate.sent_bytes))
        observe(
            RECEIVED_RATE,
            lambda: self._observe_traffic(lambda rate: rate.received_bytes),
        )
        observe(LINK_RATIO, lambda: self._observe_load(lambda load: load.link_ratio))
        observe(
            PROCESSOR_RATIO,
            lambda: self._observe_load(lambda load: load.processor_ratio),
        )

    def _observe_traffic(self, read: Callable[[Traffic], int]) -> list[Observation]:
        rates = self.load.traffic_per_s if self.load else {}
        return [Observation(read(rate), {"use": use}) for use, rate in rates.items()]

    def _observe_load(self, read: Callable[[HostLoad], float]) -> list[Observation]:
        return [Observation(read(self.load))] if self.load else []

    def report(self) -> None:
        """Measures the load since the last call and logs it if it is of interest."""
        totals = self._traffic.totals()
        processor_s = _used_processor_s()
        now_s = self._clock.monotonic_s()
        if now_s <= self._measured_s:
            return
        load = measure_load(
            self._totals,
            totals,
            processor_s - self._processor_s,
            now_s - self._measured_s,
            self._capacity,
        )
        self._totals = totals
        self._processor_s = processor_s
        self._measured_s = now_s
        self.load = load
        services = self._owned_services()
        if services or max(load.link_ratio, load.processor_ratio) >= LOGGED_LOAD_RATIO:
            self._log_load(load, services)

    def _log_load(self, load: HostLoad, services: Sequence[str]) -> None:
        _log.info(
            "host_load",
            services=services,
            link_ratio=round(load.link_ratio, 3),
            processor_ratio=round(load.processor_ratio, 3),
            link_mbps=self._capacity.link_mbps,
            traffic_bytes_per_s={
                use: list(rate) for use, rate in load.traffic_per_s.items() if any(rate)
            },
        )


def _used_processor_s() -> float:
    """Returns the processor time of this process.

    The clock of processor time isn't used: where the node's clocks are simulated, it
    runs with the monotonic clock.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
