"""Wires the parts of a node together."""

import threading
import uuid

import structlog
from opentelemetry.metrics import Observation

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Published, Ticker
from sycamorecroft.entry.server import EntryServer, ServerSettings
from sycamorecroft.errors import PlatformError, RecordError
from sycamorecroft.logs import LineWriter
from sycamorecroft.metrics import (
    LOG_LINES_DROPPED,
    NODE_CONFIGURATION,
    NODE_CONTACT_AGE,
    SERVICES_OWNED,
    TAKEOVERS,
)
from sycamorecroft.node.advice_link import AdviceLink
from sycamorecroft.node.owned_service import OwnedService
from sycamorecroft.node.pool_control import PoolControl
from sycamorecroft.node.readiness import Readiness
from sycamorecroft.node.table_follower import TableFollower
from sycamorecroft.node.telemetry import NodeTelemetry
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.owner import ClaimedService, OwnershipTimes
from sycamorecroft.ownership.rows import OWNERS_TABLE
from sycamorecroft.platform import (
    HttpAdviceCalls,
    HttpWorkerCalls,
    PlatformTables,
    decode_fleet,
    decode_job,
    decode_worker,
)
from sycamorecroft.platform.names import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    WORKERS_TABLE,
)
from sycamorecroft.scheduling.model import FleetSnapshot, WorkerEntry
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.scheduling.service_actor import ServiceContext
from sycamorecroft.serving.application import JobApplication, ServingSettings
from sycamorecroft.serving.job_store import JobStore
from sycamorecroft.serving.router import Router
from sycamorecroft.settings import NodeSettings
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.interfaces import Row, StorePurpose
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.upkeep.controller import Pool

_log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 2.0
ADVICE_TIMEOUT_S = 5.0
OWNERSHIP_INTERVAL_S = 0.7
JOIN_CHECK_S = 0.1
WORKERS_INTERVAL_S = 1.0
# While machines are on their way to a pool, their workers are looked for this often.
EXPECTING_INTERVAL_S = 0.25
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
        self._stopping = threading.Event()
        self._router: Published[Router | None] = Published(None)
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
        self._ownership_lock = threading.RLock()
        self._ownership_due = threading.Event()
        self._owned: dict[str, OwnedService] = {}
        self._workers: dict[str, tuple[WorkerEntry, ...]] = {}
        self._followers = (
            TableFollower(self._tables, OPERATOR_TABLE, self._apply_operator_rows),
            TableFollower(
                self._tables, OWNERS_TABLE, self._apply_owner_rows, part=None
            ),
        )
        self._next_listing_s = 0.0
        self._snapshots: dict[str, PoolSnapshot] = {}
        self._standby: set[str] = set()
        self._pool_control = PoolControl(
            settings,
            self._tables,
            clock,
            self._owned_pools,
            lambda: frozenset(self._standby),
            self._mark_workers,
        )
        self._advice = AdviceLink(self._connect_advice())
        self._workers_ticker = Ticker(
            "list-workers", EXPECTING_INTERVAL_S, self._list_workers
        )
        self._servers = self._create_servers()

    def _connect_store(self) -> PlatformTables:
        address = self._settings.store.address
        record_contact = self._readiness.record_contact
        return PlatformTables(
            PlatformConnection(
                address, adaptive_timeout=AdaptiveTimeout(), on_answer=record_contact
            ),
            PlatformConnection(
                address, timeout_s=STORE_TIMEOUT_S, on_answer=record_contact
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

    def _version(self) -> int:
        router = self._router.get()
        return router.fleet.version if router is not None else 0

    def start(self) -> None:
        """Starts to serve."""
        self._observe()
        for server in self._servers:
            server.start()
        for follower in self._followers:
            follower.start()
        threading.Thread(target=self._own, name="ownership", daemon=True).start()
        self._workers_ticker.start()
        self._pool_control.start()
        self._advice.start()
        _log.info("node_started", host=self._settings.host)

    def stop(self) -> bool:
        """Hands services over, lets requests in flight end, then closes.

        :returns: whether every request had ended.
        """
        _log.info("node_stopping", host=self._settings.host)
        self._stopping.set()
        self._readiness.begin_stop()
        self._pool_control.stop()
        with self._ownership_lock:
            for service in list(self._ownership.owned):
                self._stop_owned(service)
                self._ownership.release(service)
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
        self._pool_control.apply_rows(rows)
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
        self._standby = {s.name for s in fleet.services if s.is_standby}
        self._router.set(Router(fleet))
        _log.info(
            "configuration_in_force",
            version=fleet.version,
            row_version=row.version,
            queues_count=len(fleet.queues),
        )
        self._ownership_due.set()

    def _apply_owner_rows(self, rows: tuple[Row, ...]) -> None:
        with self._ownership_lock:
            self._ownership.apply_owner_rows(rows)
        self._ownership_due.set()

    def _own(self) -> None:
        next_beat_s = 0.0
        while not self._stopping.is_set():
            now_s = self._clock.monotonic_s()
            try:
                if now_s >= next_beat_s:
                    next_beat_s = now_s + OWNERSHIP_INTERVAL_S
                    self._ownership.beat()
                self._update_owned()
            except PlatformError as error:
                _log.debug("ownership_not_renewed", error=str(error))
            except Exception:
                # The thread must outlive any error, or the host would lose all.
                _log.exception("ownership_failed")
            wait_s = max(0.05, next_beat_s - self._clock.monotonic_s())
            if self._ownership.is_joining:
                wait_s = JOIN_CHECK_S
            self._ownership_due.wait(wait_s)
            self._ownership_due.clear()

    def _update_owned(self) -> None:
        router = self._router.get()
        if router is None:
            return
        with self._ownership_lock:
            if self._stopping.is_set():
                return
            for service in self._ownership.lost_services():
                self._stop_owned(service)
            for claimed in self._ownership.claim_orphans(_services(router.fleet)):
                self._begin(claimed)

    def _stop_owned(self, service: str) -> None:
        owned = self._owned.pop(service, None)
        self._snapshots.pop(service, None)
        self._pool_control.forget_pool(service)
        if owned is not None:
            owned.stop()

    def _owned_pools(self) -> tuple[Pool, ...]:
        with self._ownership_lock:
            names = tuple(self._ownership.owned)
            return tuple(
                Pool(name, self._snapshots.get(name))
                for name in names
                if name in self._standby or name in self._snapshots
            )

    def _mark_workers(self, service: str, marks: WorkerMarks) -> None:
        owned = self._owned.get(service)
        if owned is not None:
            owned.mark_workers(marks)

    def _begin(self, claimed: ClaimedService) -> None:
        claim = claimed.claim
        self._stop_owned(claim.service)
        if claim.service in self._standby:
            return

        def connect(entry: WorkerEntry) -> HttpWorkerCalls:
            return HttpWorkerCalls(entry.address, entry.worker_id, claim.epoch)

        context = ServiceContext(
            clock=self._clock,
            lease_s=self._lease_s,
            connect=connect,
            lease_limit_s=self._lease_limit_s,
            on_lost=self._on_lost,
            ask_advice=self._advice.ask,
            publish=lambda snapshot: self._publish(claim.service, snapshot),
        )
        try:
            self._read_workers()
            self._owned[claim.service] = OwnedService(
                self._tables,
                claimed,
                self._workers.get(claim.service, ()),
                context,
                self._confirm,
                self._settings.bounds.status_s + RETENTION_MARGIN_S,
                self._telemetry,
            )
            self._telemetry.count(TAKEOVERS, change="claimed")
        except PlatformError as error:
            _log.warning("service_not_begun", service=claim.service, error=str(error))
            self._ownership.owned.pop(claim.service, None)

    def _publish(self, service: str, snapshot: PoolSnapshot) -> None:
        if service in self._owned:
            self._snapshots[service] = snapshot

    def _on_lost(self, service: str) -> None:
        """Called by a service's actor, which must not wait for the lock."""
        threading.Thread(target=self._drop, args=(service,), daemon=True).start()

    def _drop(self, service: str) -> None:
        self._telemetry.count(TAKEOVERS, change="lost")
        with self._ownership_lock:
            self._ownership.owned.pop(service, None)
            self._stop_owned(service)

    def _list_workers(self) -> None:
        if not self._owned or self._stopping.is_set():
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._next_listing_s and not self._pool_control.is_expecting:
            return
        self._next_listing_s = now_s + WORKERS_INTERVAL_S
        try:
            self._read_workers()
        except PlatformError as error:
            _log.debug("workers_not_listed", error=str(error))
            return
        for service, owned in list(self._owned.items()):
            owned.list_workers(self._workers.get(service, ()))

    def _read_workers(self) -> None:
        scan = self._tables.scan_part(WORKERS_TABLE, "", purpose=StorePurpose.VIEW)
        workers: dict[str, list[WorkerEntry]] = {}
        for row in scan.rows:
            try:
                entry = decode_worker(row.key, row.value or b"")
            except RecordError as error:
                _log.debug("worker_entry_not_understood", error=str(error))
                continue
            workers.setdefault(entry.service, []).append(entry)
        self._workers = {name: tuple(found) for name, found in workers.items()}


def _services(fleet: FleetSnapshot) -> list[str]:
    return [service.name for service in fleet.services]
