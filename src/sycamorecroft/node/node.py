"""Wiring of a node's components, and its start and stop."""

import threading
import uuid
from functools import partial

import structlog
from opentelemetry.metrics import Observation

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import PublishedValue
from sycamorecroft.errors import RecordError
from sycamorecroft.explanations.explainer import NodeAges, PlacementAnswers
from sycamorecroft.explanations.interface import OperatorInterface
from sycamorecroft.logs import LineWriter
from sycamorecroft.metrics import (
    LOG_LINES_DROPPED,
    NODE_CONFIGURATION_AGE,
    NODE_CONFIGURATION_VERSION,
    NODE_STORE_CONTACT_AGE,
    SERVICES_OWNED,
)
from sycamorecroft.node.advice_requester import AdviceRequester
from sycamorecroft.node.configuration_cache import ConfigurationCache
from sycamorecroft.node.fleet_controller import FleetController, FleetView
from sycamorecroft.node.host_load_reporter import HostLoadReporter
from sycamorecroft.node.node_servers import NodeServers
from sycamorecroft.node.owned_service import OwnedService, retention_s
from sycamorecroft.node.readiness import Readiness
from sycamorecroft.node.service_owners import ServiceOwners
from sycamorecroft.node.service_supervisor import (
    OwnedServiceFactories,
    ServiceSupervisor,
)
from sycamorecroft.node.table_watcher import TableWatcher
from sycamorecroft.node.telemetry import NodeTelemetry
from sycamorecroft.node.wave_cache import WaveCache
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.capacity import CapacityRow
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.confirmations import ClaimConfirmations
from sycamorecroft.ownership.heartbeats import EntryHost
from sycamorecroft.ownership.owner import ClaimedService
from sycamorecroft.ownership.rows import OWNERS_TABLE
from sycamorecroft.platform import (
    HttpAdviceCalls,
    HttpWorkerCalls,
    PlatformTables,
    decode_job,
    read_key_digest,
)
from sycamorecroft.platform.names import CONFIGURATION_KEY, OPERATOR_TABLE
from sycamorecroft.scheduling.model import (
    Resources,
    Service,
    WorkerRegistration,
)
from sycamorecroft.scheduling.pool_rows import HOST_SIZES_KEY, HostSizesRow
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.scheduling.service_actor import ServiceContext
from sycamorecroft.serving.admission import Admission
from sycamorecroft.serving.application import JobApplication, ServingSettings
from sycamorecroft.serving.authentication import Authentication
from sycamorecroft.serving.configuration_lookup import ConfigurationLookup
from sycamorecroft.serving.job_store import JobStore
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.interfaces import Row, StorePurpose
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.traffic import TrafficMeter

_log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 2.0
ADVICE_TIMEOUT_S = 5.0
# Workers continue their runs for this long without contact, so that a change of owner
# doesn't end them; tasks of a failed worker wait as long for their restart.
LEASE_S = 6.0
# An owner grants no lease that ends later than this after it last reached the store.
UNCONFIRMED_LIMIT_S = 10.0
# Calls with an unknown key may occupy a quarter of the threads that serve callers while
# the configuration is read for them.
LOOKUP_THREADS_DIVISOR = 4
# The balancer needs this long after SIGTERM to send new connections elsewhere.
BALANCER_UPDATE_S = 2.5
STOP_MARGIN_S = 1.0


class Node:
    """Daemon of one entry host."""

    def __init__(
        self, settings: NodeSettings, clock: Clock, logs: LineWriter | None = None
    ) -> None:
        """
        :param logs: writer of the log lines, whose number of dropped lines is exported
            as a metric; ``None`` if lines are written elsewhere.
        """
        self._telemetry = NodeTelemetry()
        self._traffic = TrafficMeter()
        self._logs = logs
        self._settings = settings
        self._clock = clock
        self._configuration = ConfigurationCache(self._apply_configuration)
        self._host_sizes: PublishedValue[tuple[Resources, ...]] = PublishedValue(())
        self._admission = Admission(clock)
        self._confirmations = ClaimConfirmations()
        self._readiness = Readiness(
            clock, lambda: self._configuration.router() is not None
        )
        self._tables = self._create_tables()
        self._lookup = ConfigurationLookup(
            self._read_configuration,
            clock,
            max(1, settings.thread_count // LOOKUP_THREADS_DIVISOR),
            self._telemetry,
        )
        self._lease_s = min(LEASE_S, settings.bounds.lease_max_ms / 1000)
        self._ownership = Ownership(
            self._tables,
            clock,
            EntryHost(
                settings.host,
                uuid.uuid4().hex,
                CapacityRow(settings.capacity.cores_count, settings.capacity.link_mbps),
            ),
            UNCONFIRMED_LIMIT_S,
            self._confirmations,
        )
        self._wave_cache = WaveCache()
        self._advice_requester = AdviceRequester(self._create_advice_calls())
        self.supervisor = ServiceSupervisor(
            self._ownership,
            WorkerDirectory(self._tables),
            clock,
            self._configuration.fleet,
            OwnedServiceFactories(self._create_service, self._create_fleet_controller),
            self._telemetry,
        )
        self._watchers = (
            TableWatcher(
                self._tables,
                OPERATOR_TABLE,
                self._apply_operator_rows,
                clock=clock,
                on_read=self._lookup.record_read,
                on_known=self._lookup.record_known,
            ),
            TableWatcher(
                self._tables,
                OWNERS_TABLE,
                self._apply_owner_rows,
                part=None,
                clock=clock,
                on_read=self.supervisor.confirm_claims,
            ),
        )
        self._owners = ServiceOwners(
            self._ownership, self.supervisor, self._confirmations, clock
        )
        self._servers = self._create_servers()
        self._host_load_reporter = HostLoadReporter(
            self._traffic,
            clock,
            settings.capacity,
            lambda: sorted(self.supervisor.owned),
        )

    def _create_tables(self) -> PlatformTables:
        address = self._settings.store.address
        record_contact = self._readiness.record_contact
        return PlatformTables(
            PlatformConnection(
                address,
                adaptive_timeout=AdaptiveTimeout(),
                on_response=record_contact,
                traffic=self._traffic,
            ),
            PlatformConnection(
                address,
                timeout_s=STORE_TIMEOUT_S,
                on_response=record_contact,
                traffic=self._traffic,
            ),
        )

    def _create_advice_calls(self) -> HttpAdviceCalls | None:
        address = self._settings.advice_address
        if not address:
            return None
        connection = PlatformConnection(
            address,
            timeout_s=ADVICE_TIMEOUT_S,
            traffic=self._traffic,
            traffic_use="advice",
        )
        return HttpAdviceCalls(connection)

    def _create_servers(self) -> NodeServers:
        settings = self._settings
        contact_age_s = self._readiness.contact_age_s
        application = JobApplication(
            self._configuration.router,
            decode_job,
            JobStore(self._tables, self._clock, contact_age_s),
            Authentication(read_key_digest, self._lookup, self._clock, contact_age_s),
            self._clock,
            ServingSettings(
                settings.store.row_limit_bytes, retention_s(settings.bounds)
            ),
            self._telemetry,
            self._host_sizes.get,
            self._admission,
        )
        return NodeServers(
            settings,
            self._clock,
            self._telemetry,
            callers=application,
            readiness=self._readiness,
            metrics=self._create_operator_interface(application),
        )

    def _create_operator_interface(
        self, application: JobApplication
    ) -> OperatorInterface:
        answers = PlacementAnswers(
            self._settings.host,
            self._configuration.router,
            application,
            self._owners,
            NodeAges(self._lookup.age_s, self._readiness.contact_age_s),
            self._clock,
        )
        return OperatorInterface(
            self._telemetry,
            answers.answer,
            self._settings.operator_token,
            self._clock,
            self._telemetry,
        )

    def _register_gauges(self) -> None:
        observe = self._telemetry.observe
        observe(
            SERVICES_OWNED,
            lambda: [
                Observation(claimed.claim.epoch, {"service": service})
                for service, claimed in list(self._ownership.owned.items())
            ],
        )
        observe(
            NODE_CONFIGURATION_VERSION,
            lambda: [Observation(self._configuration.version())],
        )
        observe(
            NODE_CONFIGURATION_AGE,
            lambda: [Observation(self._lookup.age_s())],
        )
        observe(
            NODE_STORE_CONTACT_AGE,
            lambda: [Observation(self._readiness.contact_age_s())],
        )
        self._host_load_reporter.register_gauges(observe)
        self._servers.register_gauges(observe)
        observe(
            LOG_LINES_DROPPED,
            lambda: [Observation(self._logs.dropped_count if self._logs else 0)],
        )

    def _services(self) -> tuple[Service, ...]:
        fleet = self._configuration.fleet()
        return fleet.services if fleet is not None else ()

    def start(self) -> None:
        """Starts all threads and listeners."""
        self._register_gauges()
        self._servers.start()
        for watcher in self._watchers:
            watcher.start()
        self.supervisor.start()
        self._advice_requester.start()
        self._host_load_reporter.start()
        _log.info("node_started", host=self._settings.host)

    def stop(self) -> bool:
        """Releases all services, waits for requests in flight, then closes.

        :returns: whether all requests ended before the grace period did.
        """
        _log.info("node_stopping", host=self._settings.host)
        self._readiness.mark_stopping()
        self.supervisor.stop()
        front = self._servers.front
        front.start_shutdown()
        self._sleep(BALANCER_UPDATE_S)
        remaining_s = self._settings.bounds.grace_s - BALANCER_UPDATE_S - STOP_MARGIN_S
        is_drained = front.stop(max(0.1, remaining_s))
        _log.info("node_stopped", host=self._settings.host, is_drained=is_drained)
        return is_drained

    def _sleep(self, duration_s: float) -> None:
        threading.Event().wait(duration_s)

    def _lease_limit_s(self, claim: ServiceClaim) -> float:
        """Returns a time that has passed if the claim has ended."""
        confirmed_s = self._confirmations.confirmed_s(claim)
        return 0.0 if confirmed_s is None else confirmed_s + UNCONFIRMED_LIMIT_S

    def _apply_operator_rows(self, rows: tuple[Row, ...]) -> None:
        self._wave_cache.apply_rows(rows)
        self._configuration.apply_rows(rows)

    def _apply_configuration(self) -> None:
        self._servers.apply_configuration(self._configuration.fleet())
        self.supervisor.wake()

    def _read_configuration(self) -> None:
        row = self._tables.read(
            OPERATOR_TABLE, CONFIGURATION_KEY, purpose=StorePurpose.CONFIGURATION
        )
        if row is not None:
            self._configuration.apply_rows((row,))

    def _apply_owner_rows(self, rows: tuple[Row, ...]) -> None:
        self.supervisor.apply_owner_rows(rows)
        self._admission.apply_rows(rows)
        for row in rows:
            if row.key == HOST_SIZES_KEY and row.value is not None:
                self._apply_host_sizes(row)

    def _apply_host_sizes(self, row: Row) -> None:
        try:
            sizes = decode_row(row.value, HostSizesRow).sizes
        except RecordError as error:
            _log.error("host_sizes_malformed", error=str(error))
            return
        self._host_sizes.set(sizes)
        _log.info("host_sizes_applied", version=row.version, sizes=sizes)

    def _create_fleet_controller(self, claimed: ClaimedService) -> FleetController:
        return FleetController(
            self._settings,
            self._tables,
            self._clock,
            claimed.claim,
            FleetView(self._services, self._wave_cache.waves),
            self._traffic,
            self._telemetry,
        )

    def _create_service(
        self, claimed: ClaimedService, workers: tuple[WorkerRegistration, ...]
    ) -> OwnedService:
        context = ServiceContext(
            clock=self._clock,
            lease_s=self._lease_s,
            connect=partial(_connect_worker, claimed.claim.epoch, self._traffic),
            lease_limit_s=partial(self._lease_limit_s, claimed.claim),
            on_lost=lambda: self.supervisor.handle_lost_service(claimed),
            request_advice=self._advice_requester.ask,
        )
        return OwnedService(
            self._tables,
            claimed,
            workers,
            self._configuration.fleet(),
            context,
            partial(self._confirmations.record, claimed.claim),
            self._settings.bounds,
            self._settings.placement,
            self._settings.store.row_limit_bytes,
            self._telemetry,
        )


def _connect_worker(
    epoch: int, traffic: TrafficMeter, registration: WorkerRegistration
) -> HttpWorkerCalls:
    return HttpWorkerCalls(registration.address, registration.worker_id, epoch, traffic)
