"""Listeners of a node: callers, readiness and metrics, with one budget of bytes."""

import threading
from collections.abc import Callable, Iterable, Iterator

from opentelemetry.metrics import Observation

from sycamorecroft.clock import Clock
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.listener import ListenerResources
from sycamorecroft.entry.memory_budget import MemoryBudget
from sycamorecroft.entry.server import (
    HEADER_LIMIT_BYTES,
    HttpServer,
    ServerSettings,
)
from sycamorecroft.metrics import (
    BYTES_HELD,
    BYTES_HELD_LIMIT,
    CONNECTIONS,
    Metric,
)
from sycamorecroft.node.host_limits import (
    COPIES_RATIO,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    host_limits,
    limits_in_force,
)
from sycamorecroft.node.telemetry import GaugeReader
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import FleetSnapshot
from sycamorecroft.settings import NodeSettings

BODY_LIMIT_BYTES = 1024 * 1024
SLOW_SENDER_TIMEOUT_S = 10.0
READY_THREAD_COUNT = 2
_DEFAULT_LIMITS = ConnectionLimits(
    HEADER_LIMIT_BYTES, BODY_LIMIT_BYTES, SLOW_SENDER_TIMEOUT_S, SLOW_SENDER_TIMEOUT_S
)

WsgiApplication = Callable[[dict, Callable], Iterable[bytes]]


class NodeServers:
    """HTTP servers of a node.

    :param callers: application for callers.
    :param readiness: application of the readiness probe.
    :param metrics: application that exports metrics.
    :ivar front: server for callers.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        recorder: Recorder,
        *,
        callers: WsgiApplication,
        readiness: WsgiApplication,
        metrics: WsgiApplication,
    ) -> None:
        self._limits = host_limits(settings.capacity)
        self._budget = MemoryBudget(self._limits.budget_bytes)
        self._clock = clock
        self._recorder = recorder
        self._lock = threading.Lock()
        self._version = 0
        connections_count = self._limits.connections_count
        probes_count = self._limits.probe_connections_count
        self.front = self._create_server(
            "front",
            callers,
            _settings(settings.front_address, settings.thread_count, connections_count),
        )
        self._servers = {
            "front": self.front,
            "ready": self._create_server(
                "ready",
                readiness,
                _settings(settings.ready_address, READY_THREAD_COUNT, probes_count),
            ),
            "metrics": self._create_server(
                "metrics",
                metrics,
                _settings(settings.metrics_address, READY_THREAD_COUNT, probes_count),
            ),
        }

    def _create_server(
        self, name: str, application: WsgiApplication, settings: ServerSettings
    ) -> HttpServer:
        resources = ListenerResources(
            name=name,
            budget=self._budget,
            copies_ratio=COPIES_RATIO,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
            send_buffer_bytes=SEND_BUFFER_BYTES,
            recorder=self._recorder,
            clock=self._clock,
        )
        return HttpServer(application, settings, resources)

    def start(self) -> None:
        """Starts all servers."""
        for server in self._servers.values():
            server.start()

    def apply_configuration(self, fleet: FleetSnapshot) -> None:
        """Applies the limits of a configuration in force to all connections.

        A version that is older than the last one is ignored. Thread-safe.
        """
        limits = limits_in_force(fleet, _DEFAULT_LIMITS)
        with self._lock:
            if fleet.version < self._version:
                return
            self._version = fleet.version
            for server in self._servers.values():
                server.apply_limits(limits)

    def register_gauges(self, observe: Callable[[Metric, GaugeReader], None]) -> None:
        """Exports what is held as metrics.

        :param observe: registers a gauge that is read at each export.
        """
        budget = self._budget
        observe(BYTES_HELD, lambda: [Observation(budget.held_bytes)])
        observe(BYTES_HELD_LIMIT, lambda: [Observation(budget.limit_bytes)])
        observe(CONNECTIONS, lambda: list(self._observe_connections()))

    def _observe_connections(self) -> Iterator[Observation]:
        for name, server in self._servers.items():
            for phase, count in server.connection_counts().items():
                yield Observation(count, {"listener": name, "state": phase.value})


def _settings(
    address: str, thread_count: int, connections_count: int
) -> ServerSettings:
    return ServerSettings(
        address,
        thread_count,
        connections_count,
        BODY_LIMIT_BYTES,
        SLOW_SENDER_TIMEOUT_S,
    )
