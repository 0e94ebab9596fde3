"""Wires the parts of a node together."""

import threading
import uuid
from functools import partial

import structlog
from opentelemetry.metrics import Observation

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Published
from sycamorecroft.entry.server import EntryServer, ServerSettings
from sycamorecroft.errors import RecordError
from sycamorecroft.logs import LineWriter
from sycamorecroft.metrics import (
    LOG_LINES_DROPPED,
    NODE_CONFIGURATION,
    NODE_CONTACT_AGE,
    SERVICES_OWNED,
)
from sycamorecroft.node.advice_link import AdviceLink
from sycamorecroft.node.machine_control import FleetView, MachineControl
from sycamorecroft.node.owned_service import OwnedService
from sycamorecroft.node.readiness import Readiness
from sycamorecroft.node.service_keeper import OwnedParts, ServiceKeeper
from sycamorecroft.node.table_follower import TableFollower
from sycamorecroft.node.telemetry import NodeTelemetry
from sycamorecroft.node.wave_book import WaveBook
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.owner import ClaimedService, OwnershipTimes
from sycamorecroft.ownership.rows import OWNERS_TABLE
from sycamorecroft.platform import (
    HttpAdviceCalls,
    HttpWorkerCalls,
    PlatformTables,
    decode_fleet,
    decode_job,
)
from sycamorecroft.platform.names import CONFIGURATION_KEY, OPERATOR_TABLE
from sycamorecroft.scheduling.model import (
    FleetSnapshot,
    Resources,
    Service,
    WorkerEntry,
)
from sycamorecroft.scheduling.pool_rows import SIZES_KEY, MachineSizesRow
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.scheduling.service_actor import ServiceContext
from sycamorecroft.serving.application import JobApplication, ServingSettings
from sycamorecroft.serving.job_store import JobStore
from sycamorecroft.serving.router import Router
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.interfaces import Row
from sycamorecroft.store.transport import PlatformConnection

_log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 2.0
ADVICE_TIMEOUT_S = 5.0
# Workers run this long without being reached, so that a change of owner doesn't end
# their tasks; tasks on a worker that is gone wait as long for their restart.
LEASE_S = 6.0
# An owner that can't reach the store for longer than this gives no lease.
UNCONFIRMED_S = 10.0
RETENTION_MARGIN_S = 60.0
BODY_LIMIT_BYTES = 1024 * 1024
CONNECTION_LIMIT_COUNT = 2000
SLOW_SENDER_TIMEOUT_S = 10
READY_THREAD_COUNT = 2
# After SIGTERM the balancer needs this long to send new connections elsewhere.
UNREADY_S = 2.5
STOP_MARGIN_S = 1.0


class Node:
    """Daemon of one entry host."""

    def __init__(
        self, settings: NodeSettings, clock: Clock, logs: LineWriter | None = None
    ) -> None:
        """
        :param logs: writer of the log lines, whose losses are shown as a metric.
        """
        self._telemetry = NodeTelemetry()
        self._logs = logs
        self._settings = settings
        self._clock = clock
        self._router: Published[Router | None] = Published(None)
        self._sizes: Published[tuple[Resources, ...]] = Published(())
        self._confirmed_s = 0.0
        self._readiness = Readiness(clock, lambda: self._router.get() is not None)
        self._tables = self._connect_store()
        self._lease_s = min(LEASE_S, settings.bounds.lease_max_ms / 1000)
        self._ownership = Ownership(
            self._tables,
            clock,
            settings.host,
            uuid.uuid4().hex,
            OwnershipTimes(self._lease_s, UNCONFIRMED_S),
            self._confirm,
        )
        self._waves = WaveBook()
        self._advice = AdviceLink(self._connect_advice())
        self.keeper = ServiceKeeper(
            self._ownership,
            WorkerDirectory(self._tables),
            clock,
            self._fleet,
            OwnedParts(self._run_service, self._run_machines),
            self._telemetry,
        )
        self._followers = (
            TableFollower(self._tables, OPERATOR_TABLE, self._apply_operator_rows),
            TableFollower(
                self._tables, OWNERS_TABLE, self._apply_owner_rows, part=None
            ),
        )
        self._servers = self._create_servers()

    def _connect_store(self) -> PlatformTables:
        address = self._settings.store.address
        record_contact = self._readiness.record_contact
        return PlatformTables(
            PlatformConnection(
                address, adaptive_timeout=AdaptiveTimeout(), on_response=record_contact
            ),
            PlatformConnection(
                address, timeout_s=STORE_TIMEOUT_S, on_response=record_contact
            ),
        )

    def _connect_advice(self) -> HttpAdviceCalls | None:
        address = self._settings.advice_address
        if not address:
            return None
        connection = PlatformConnection(address, timeout_s=ADVICE_TIMEOUT_S)
        return HttpAdviceCalls(connection)

    def _create_servers(self) -> tuple[EntryServer, EntryServer, EntryServer]:
        settings = self._settings
        application = JobApplication(
            self._router.get,
            decode_job,
            JobStore(self._tables, self._clock, self._readiness.contact_age_s),
            self._clock,
            ServingSettings(settings.store.row_limit_bytes),
            self._telemetry,
            self._sizes.get,
        )
        front = ServerSettings(
            settings.front_address,
            settings.thread_count,
            CONNECTION_LIMIT_COUNT,
            BODY_LIMIT_BYTES,
            SLOW_SENDER_TIMEOUT_S,
        )
        ready = front._replace(
            http_address=settings.ready_address, thread_count=READY_THREAD_COUNT
        )
        metrics = ready._replace(http_address=settings.metrics_address)
        return (
            EntryServer(application, front),
            EntryServer(self._readiness, ready),
            EntryServer(self._telemetry, metrics),
        )

    def _observe(self) -> None:
        observe = self._telemetry.observe
        observe(
            SERVICES_OWNED,
            lambda: [
                Observation(claimed.claim.epoch, {"service": service})
                for service, claimed in list(self._ownership.owned.items())
            ],
        )
        observe(NODE_CONFIGURATION, lambda: [Observation(self._version())])
        observe(
            NODE_CONTACT_AGE,
            lambda: [Observation(self._readiness.contact_age_s())],
        )
        observe(
            LOG_LINES_DROPPED,
            lambda: [Observation(self._logs.dropped_count if self._logs else 0)],
        )

    def _fleet(self) -> FleetSnapshot | None:
        router = self._router.get()
        return router.fleet if router is not None else None

    def _version(self) -> int:
        fleet = self._fleet()
        return fleet.version if fleet is not None else 0

    def _services(self) -> tuple[Service, ...]:
        fleet = self._fleet()
        return fleet.services if fleet is not None else ()

    def start(self) -> None:
        """Starts to serve."""
        self._observe()
        for server in self._servers:
            server.start()
        for follower in self._followers:
            follower.start()
        self.keeper.start()
        self._advice.start()
        _log.info("node_started", host=self._settings.host)

    def stop(self) -> bool:
        """Hands services over, lets requests in flight end, then closes.

        :returns: whether every request had ended.
        """
        _log.info("node_stopping", host=self._settings.host)
        self._readiness.begin_stop()
        self.keeper.stop()
        front = self._servers[0]
        front.begin_stop()
        self._sleep(UNREADY_S)
        remaining_s = self._settings.bounds.grace_s - UNREADY_S - STOP_MARGIN_S
        is_drained = front.stop(max(0.1, remaining_s))
        _log.info("node_stopped", host=self._settings.host, is_drained=is_drained)
        return is_drained

    def _sleep(self, duration_s: float) -> None:
        threading.Event().wait(duration_s)

    def _confirm(self, sent_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def _lease_limit_s(self) -> float:
        return self._confirmed_s + UNCONFIRMED_S

    def _apply_operator_rows(self, rows: tuple[Row, ...]) -> None:
        self._waves.apply_rows(rows)
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply_configuration(row)

    def _apply_configuration(self, row: Row) -> None:
        try:
            fleet = decode_fleet(row.value)
        except RecordError as error:
            _log.error("configuration_not_understood", error=str(error))
            return
        current = self._router.get()
        if current is not None and fleet.version <= current.fleet.version:
            return
        self._router.set(Router(fleet))
        _log.info(
            "configuration_in_force",
            version=fleet.version,
            row_version=row.version,
            queues_count=len(fleet.queues),
        )
        self.keeper.wake()

    def _apply_owner_rows(self, rows: tuple[Row, ...]) -> None:
        self.keeper.apply_owner_rows(rows)
        for row in rows:
            if row.key == SIZES_KEY and row.value is not None:
                self._apply_sizes(row)

    def _apply_sizes(self, row: Row) -> None:
        try:
            sizes = decode_row(row.value, MachineSizesRow).sizes
        except RecordError as error:
            _log.error("machine_sizes_not_understood", error=str(error))
            return
        self._sizes.set(sizes)
        _log.info("machine_sizes_known", version=row.version, sizes=sizes)

    def _run_machines(self, claimed: ClaimedService) -> MachineControl:
        return MachineControl(
            self._settings,
            self._tables,
            self._clock,
            claimed.claim,
            FleetView(self._services, self._waves.waves),
        )

    def _run_service(
        self, claimed: ClaimedService, workers: tuple[WorkerEntry, ...]
    ) -> OwnedService:
        context = ServiceContext(
            clock=self._clock,
            lease_s=self._lease_s,
            connect=partial(_connect_worker, claimed.claim.epoch),
            lease_limit_s=self._lease_limit_s,
            on_lost=self.keeper.on_lost,
            ask_advice=self._advice.ask,
        )
        return OwnedService(
            self._tables,
            claimed,
            workers,
            context,
            self._confirm,
            self._settings.bounds.status_s + RETENTION_MARGIN_S,
            self._telemetry,
        )


def _connect_worker(epoch: int, entry: WorkerEntry) -> HttpWorkerCalls:
    return HttpWorkerCalls(entry.address, entry.worker_id, epoch)
