"""A daemon: its actors, servers, tickers and controllers, started and stopped."""

import math
import random
import secrets
import threading
import time
from collections.abc import Callable
from datetime import datetime

import pykka
import structlog

from sycamorecroft.admission.entry_limit import EntryLimit
from sycamorecroft.claims.service import ClaimService
from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Published, Ticker
from sycamorecroft.configuration.actor import (
    NO_CONFIGURATION,
    ConfigurationActor,
    ConfigurationStatus,
    PollConfiguration,
    StagedVersions,
)
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import VersionGate
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.daemon.controllers import ControllerRunner
from sycamorecroft.daemon.demand import demand_hosts, demands_of
from sycamorecroft.daemon.gauges import Gauges
from sycamorecroft.daemon.job_controllers import JobControllers, JobParts
from sycamorecroft.daemon.operator_stores import operator_stores
from sycamorecroft.daemon.peers import DaemonPeerHandler, HandlerActors, SnapshotPeers
from sycamorecroft.daemon.registration import (
    REGISTRATION_INTERVAL_S,
    GrantReport,
    RegistrationReporter,
    registered_entries,
)
from sycamorecroft.daemon.retention import Retention
from sycamorecroft.daemon.routing_ticks import RoutingTicks
from sycamorecroft.daemon.store import connect_platform
from sycamorecroft.entry.application import Application, Readiness
from sycamorecroft.entry.callers import CallerHandlers
from sycamorecroft.entry.jobs import JobHandlers
from sycamorecroft.entry.operator_interface import OperatorState
from sycamorecroft.entry.operators import operator_routes
from sycamorecroft.entry.request_record import RequestRecords
from sycamorecroft.entry.request_report import RequestReporter
from sycamorecroft.entry.server import EntryServer
from sycamorecroft.errors import PlatformError
from sycamorecroft.jobs import JobStore
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.maintenance import MaintenanceController
from sycamorecroft.membership.actor import (
    CheckPeer,
    GossipTick,
    MembershipActor,
    OwnVersions,
    SetRegistered,
    StartLeaving,
)
from sycamorecroft.membership.state import (
    MemberDigest,
    MembershipState,
    MembershipView,
)
from sycamorecroft.pools.controller import LEASE_NAME as POOLS_LEASE, PoolController
from sycamorecroft.pools.registration import EntryRegistration
from sycamorecroft.pools.state import PoolView
from sycamorecroft.pools.view import PoolViewReader
from sycamorecroft.pools.view_actor import PeerViewVersions, PollView, ViewActor
from sycamorecroft.routing.dispatch import Dispatcher
from sycamorecroft.routing.execution import RequestExecutor
from sycamorecroft.routing.owner_actor import (
    ConfigurationChanged,
    GrantedHostsRequest,
    MembershipChanged,
    OwnerActor,
    OwnerStatuses,
    OwnerTick,
    ViewChanged,
)
from sycamorecroft.routing.requester_actor import (
    ActorSlotSource,
    FromOwner,
    RequesterActor,
    RequesterStatusRequest,
    RequesterTick,
)
from sycamorecroft.routing.retry import RetryBudget
from sycamorecroft.rpc.client import PeerClient
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.rpc.loop import RpcLoop
from sycamorecroft.rpc.server import OwnerOutboxes, PeerServer
from sycamorecroft.settings import DaemonSettings
from sycamorecroft.telemetry import Telemetry

_log = structlog.get_logger()

_ACTOR_TIMEOUT_S = 1.0
_REGISTERED_INTERVAL_S = 3.0
_STOP_TIMEOUT_S = 600.0
# Contact age told by gossip when the store was never reached.
_NO_CONTACT_AGE_MS = 2**32 - 1


class Daemon(Readiness):
    """All parts of one daemon.

    :param settings: checked settings.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stopping = threading.Event()
        # Set when a later start of this entry host has registered.
        self.superseded = threading.Event()
        self._configuration = Published[ConfigurationStatus](NO_CONFIGURATION)
        self._view = Published[PoolView](PoolView(0, {}))
        self._membership = Published[MembershipView | None](None)
        self._queues = Published[OwnerStatuses]({})
        self._incarnation = _new_incarnation(clock.now())
        self._telemetry = Telemetry()
        self._requests = RequestRecords(clock)
        self._platform = connect_platform(settings, clock)
        self._build_peers()
        self._build_actors()
        self._build_requests()
        self._build_controllers()
        self._build_servers()
        self._build_tickers()

    # Construction, in the order of use.

    def _build_peers(self) -> None:
        own = self._settings.entry
        self._rpc = RpcLoop()
        self._gossip = GossipCodec(own)
        self._clients = {
            entry.name: PeerClient(
                self._rpc,
                own,
                entry.name,
                entry.grpc_address,
                self._clock,
                self._gossip,
            )
            for entry in self._settings.entries
            if entry.name != own
        }
        self._outboxes = OwnerOutboxes(self._rpc)
        self._snapshots = SnapshotPeers(self._clients)

    def _build_actors(self) -> None:
        settings = self._settings
        self._requester = RequesterActor.start(
            settings.entry, self._clock, self._send_to_owner, self._check_peer
        )
        self._owner = OwnerActor.start(
            self._clock, self._send_to_requester, self._check_peer, self._queues
        )
        self._owner_is_busy = self._owner.proxy().is_busy.get()
        self._routing_ticks = RoutingTicks(self._tick_routing, self._is_routing_busy)
        entries = [entry.name for entry in settings.entries]
        digest = MemberDigest(
            settings.entry, self._incarnation, 0, 0, 0, 0, _NO_CONTACT_AGE_MS, False
        )
        self._registration = EntryRegistration(
            self._platform.tables,
            self._clock,
            entry=settings.entry,
            incarnation=self._incarnation,
        )
        self._members = MembershipActor.start(
            MembershipState(digest, entries),
            self._clients,
            self._clock,
            self._own_versions,
            self._membership,
            self._membership_changed,
            random.Random(),
        )
        self._configurations = ConfigurationActor.start(
            VersionGate(settings.entry, entries),
            ConfigurationStore(self._platform.tables, self._clock),
            self._snapshots,
            self._configuration,
            self._configuration_changed,
        )
        self._views = ViewActor.start(
            PoolViewReader(self._platform.tables),
            self._snapshots,
            self._view,
            self._view_changed,
        )
        self._changed_view_version = self._views.proxy().changed_version.get()

    def _build_requests(self) -> None:
        settings = self._settings
        self._limit = EntryLimit(
            1,
            places_count=settings.admitted_limit_count,
            body_budget_bytes=settings.in_flight_limit_bytes,
        )
        self._claims = ClaimService(
            self._platform.tables, self._platform.objects, self._clock
        )
        self._dispatcher = Dispatcher(
            self._clock, response_limit_bytes=settings.body_limit_bytes
        )
        self._executor = RequestExecutor(
            slots=ActorSlotSource(
                self._requester, self._clock, self._routing_ticks.wake
            ),
            claims=self._claims,
            dispatcher=self._dispatcher,
            retry_budget=RetryBudget(),
            clock=self._clock,
        )

    def _build_controllers(self) -> None:
        platform, clock = self._platform, self._clock
        pools_lease = self._lease(POOLS_LEASE)
        pools = PoolController(platform.tables, platform.host_list, pools_lease, clock)
        maintenance_lease = self._lease("maintenance")
        self._maintenance = MaintenanceController(
            platform.tables,
            platform.host_list,
            platform.host_control,
            maintenance_lease,
            clock,
        )
        self._controllers = (
            self._runner(POOLS_LEASE, lambda: self._step_pools(pools), pools_lease),
            self._runner("maintenance", self._step_maintenance, maintenance_lease),
            ControllerRunner(
                "retention",
                Retention(platform.tables, platform.objects, clock).step,
                lambda: False,
                self._membership.get,
            ),
        )
        self._leases = (pools_lease, maintenance_lease)
        self._job_store = JobStore(platform.tables, clock)
        parts = JobParts(
            platform.tables,
            platform.tasks,
            platform.host_list,
            lambda: self._configuration.get().in_force,
            self._view.get,
            self._membership.get,
        )
        self._jobs = JobControllers(parts, self._lease, clock)

    def _lease(self, name: str) -> ControllerLease:
        holder = f"{self._settings.entry}/{self._incarnation}"
        return ControllerLease(
            self._platform.tables, self._clock, name=name, holder=holder
        )

    def _runner(
        self, name: str, step: Callable[[], object], lease: ControllerLease
    ) -> ControllerRunner:
        def logged_step() -> None:
            report = step()
            problem = getattr(report, "problem", "")
            if problem:
                _log.info("controller_problem", controller=name, problem=problem)

        return ControllerRunner(
            name, logged_step, lambda: lease.is_held, self._membership.get
        )

    def _build_servers(self) -> None:
        settings = self._settings
        actors = HandlerActors(self._members, self._owner, self._requester)
        self._peer_handler = DaemonPeerHandler(
            actors,
            self._configuration.get,
            self._view.get,
            self._routing_ticks.wake,
        )
        self._peer_server = PeerServer(
            self._rpc,
            settings.grpc_address,
            self._peer_handler,
            self._outboxes,
            self._clock,
            self._gossip,
        )
        callers = CallerHandlers(
            self._executor,
            self._limit,
            lambda: self._configuration.get().in_force,
            self._clock,
            RequestReporter(self._telemetry, self._requests, self._clock),
        )
        jobs = JobHandlers(
            self._job_store, lambda: self._configuration.get().in_force, self._clock
        )
        state = self._operator_state()
        stores = operator_stores(
            self._platform, self._clock, self._maintenance, self._job_store
        )
        Gauges(state, self._platform.tables).register(self._telemetry)
        routes = (
            *callers.routes(),
            *jobs.routes(),
            *operator_routes(state, stores),
        )
        application = Application(
            routes, self, self._telemetry, settings.operator_token
        )
        self._server = EntryServer(application, settings)

    def _operator_state(self) -> OperatorState:
        return OperatorState(
            self._configuration.get,
            self._view.get,
            self._membership.get,
            self._queues.get,
            self._platform.tables.health,
            lambda: self._limit.admitted_count,
            self._held_leases,
            self._requests,
        )

    def _held_leases(self) -> tuple[str, ...]:
        leases = (*self._leases, *self._jobs.leases())
        return tuple(sorted(lease.name for lease in leases if lease.is_held))

    def _build_tickers(self) -> None:
        settings = self._settings
        reporter = RegistrationReporter(
            self._registration,
            grants=self._grant_report,
            view=self._view.get,
            staged_version=lambda: self._configuration.get().staged_version,
            superseded=self.superseded.set,
        )

        poll_s = settings.poll_interval_s
        self._tickers = (
            _message_ticker(
                "gossip", settings.gossip_interval_s, self._members, GossipTick()
            ),
            _message_ticker(
                "configuration", poll_s, self._configurations, PollConfiguration()
            ),
            _message_ticker("view", poll_s, self._views, PollView()),
            Ticker("registration", REGISTRATION_INTERVAL_S, reporter.report),
            Ticker("registered", _REGISTERED_INTERVAL_S, self._read_registered),
        )

    # Life of the daemon.

    def start(self) -> None:
        """Starts all parts; the HTTP listener comes last."""
        self._claims.start()
        self._job_store.start()
        self._peer_server.start()
        for client in self._clients.values():
            client.start(self._peer_handler)
        self._routing_ticks.start()
        for ticker in self._tickers:
            ticker.start()
        for controller in self._controllers:
            controller.start()
        self._jobs.start()
        self._server.start()
        _log.info("daemon_started", incarnation=self._incarnation)

    def stop(self) -> bool:
        """Planned stop: fails readiness, waits for requests, then ends all parts.

        :returns: whether no request was cut off.
        """
        self._stopping.set()
        self._server.begin_stop()
        self._members.tell(StartLeaving())
        _log.info("daemon_stopping", grace_s=self._settings.drain_grace_s)
        for controller in self._controllers:
            controller.stop(_ACTOR_TIMEOUT_S)
        self._leases += self._jobs.stop(_ACTOR_TIMEOUT_S)
        self._release_leases()
        time.sleep(self._settings.drain_grace_s)
        is_drained = self._server.stop(_STOP_TIMEOUT_S)
        self._claims.stop()
        self._job_store.stop()
        self._stop_parts()
        _log.info("daemon_stopped", is_drained=is_drained)
        return is_drained

    def _release_leases(self) -> None:
        for lease in self._leases:
            try:
                lease.release()
            except PlatformError as error:
                _log.info("lease_not_released", error=str(error))

    def _stop_parts(self) -> None:
        self._routing_ticks.stop()
        for ticker in self._tickers:
            ticker.stop()
        for client in self._clients.values():
            client.stop()
        self._peer_server.stop(grace_s=0.1)
        self._rpc.stop()
        self._dispatcher.close()
        pykka.ActorRegistry.stop_all(timeout=_ACTOR_TIMEOUT_S)
        self._platform.connection.close()
        self._telemetry.shutdown()

    # Readiness.

    def reasons_not_ready(self) -> tuple[str, ...]:
        reasons = []
        if self._stopping.is_set():
            reasons.append("stopping")
        if self._configuration.get().in_force is None:
            reasons.append("no configuration in force")
        if not self._view.get().version:
            reasons.append("no view of the hosts")
        return tuple(reasons)

    # Connections between the parts.

    def _send_to_owner(self, owner: str, batch: RequesterBatch) -> None:
        if owner == self._settings.entry:
            self._owner.tell(batch)
        elif owner in self._clients:
            self._clients[owner].send(batch)

    def _send_to_requester(self, requester: str, batch: OwnerBatch) -> None:
        if requester == self._settings.entry:
            self._requester.tell(FromOwner(requester, batch))
        else:
            self._outboxes.send(requester, batch)

    def _check_peer(self, entry: str) -> None:
        self._members.tell(CheckPeer(entry))

    def _own_versions(self) -> OwnVersions:
        configuration = self._configuration.get()
        age_s = self._platform.tables.health().contact_age_s
        age_ms = _NO_CONTACT_AGE_MS if age_s is None else int(age_s * 1000)
        return OwnVersions(
            configuration.staged_version,
            configuration.in_force_version,
            self._changed_view_version.get(),
            min(age_ms, _NO_CONTACT_AGE_MS),
            self._registration.may_own_queues(self._view.get().version),
            demands_of(self._queues.get()),
        )

    def _step_pools(self, pools: PoolController) -> object:
        in_force = self._configuration.get().in_force
        if in_force is None:
            return None
        pools.configure(in_force.pools)
        pools.observe_demand(self._demand_hosts(in_force))
        return pools.step()

    def _step_maintenance(self) -> object:
        in_force = self._configuration.get().in_force
        if in_force is not None:
            demand = self._demand_hosts(in_force)
            needed = {pool: math.ceil(hosts) for pool, hosts in demand.items()}
            self._maintenance.observe_demand(needed)
        return self._maintenance.step(self._clock.now())

    def _demand_hosts(self, configuration: FleetConfiguration) -> dict[str, float]:
        return demand_hosts(configuration, self._membership.get(), self._view.get())

    def _is_routing_busy(self) -> bool:
        return bool(self._limit.admitted_count or self._owner_is_busy.get())

    def _tick_routing(self) -> None:
        self._owner.tell(OwnerTick())
        self._requester.tell(RequesterTick())

    def _membership_changed(self, view: MembershipView) -> None:
        peers = [d for d in view.digests if d.entry != view.own_entry]
        changed = MembershipChanged(view)
        # A change may start takeovers, whose waits are short.
        self._routing_ticks.wake()
        self._owner.tell(changed)
        self._requester.tell(changed)
        staged = {digest.entry: digest.staged_version for digest in peers}
        self._configurations.tell(StagedVersions(staged))
        views = {digest.entry: digest.view_version for digest in peers}
        self._views.tell(PeerViewVersions(views))

    def _configuration_changed(self, configuration: FleetConfiguration) -> None:
        self._limit.set_services_count(len(configuration.services))
        changed = ConfigurationChanged(configuration)
        self._routing_ticks.wake()
        self._owner.tell(changed)
        self._requester.tell(changed)

    def _view_changed(self, view: PoolView) -> None:
        self._owner.tell(ViewChanged(view))

    def _grant_report(self) -> GrantReport:
        granted = self._owner.ask(GrantedHostsRequest(), timeout=_ACTOR_TIMEOUT_S)
        held = self._requester.ask(RequesterStatusRequest(), timeout=_ACTOR_TIMEOUT_S)
        hosts = granted.hosts | held.granted_hosts | self._jobs.busy_workers()
        return GrantReport(granted.view_version, hosts)

    def _read_registered(self) -> None:
        try:
            entries = registered_entries(self._platform.tables, self._clock.now())
        except PlatformError as error:
            _log.info("registrations_unavailable", error=str(error))
            return
        self._members.tell(SetRegistered(entries))


def _message_ticker(
    name: str, interval_s: float, actor: pykka.ActorRef, message: object
) -> Ticker:
    return Ticker(name, interval_s, lambda: actor.tell(message))


def _new_incarnation(now: datetime) -> str:
    """Incarnations compare as strings in the order of their start."""
    return f"{now:%Y%m%dT%H%M%S.%f}-{secrets.token_hex(4)}"
