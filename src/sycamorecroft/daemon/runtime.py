"""Wiring and life cycle of a daemon: actors, servers, tickers and controllers."""

import random
import threading
import time

import pykka
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import PublishedValue, Ticker, message_ticker
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
from sycamorecroft.daemon.controller_manager import ControllerInputs, ControllerManager
from sycamorecroft.daemon.demand import service_demands
from sycamorecroft.daemon.gauges import Gauges
from sycamorecroft.daemon.listener_refusals import refusal_fields
from sycamorecroft.daemon.operator_stores import operator_stores
from sycamorecroft.daemon.peers import (
    DaemonPeerHandler,
    PeerHandlerActors,
    PeerSnapshotSource,
)
from sycamorecroft.daemon.registration import (
    REGISTRATION_INTERVAL_S,
    REGISTRATIONS_READ_INTERVAL_S,
    GrantReport,
    RegistrationReporter,
    new_incarnation,
    registered_entry_hosts,
)
from sycamorecroft.daemon.request_path import build_request_path
from sycamorecroft.daemon.routing_ticker import RoutingTicker
from sycamorecroft.daemon.store import connect_platform
from sycamorecroft.entry.application import Application, Readiness
from sycamorecroft.entry.callers import CallerHandlers
from sycamorecroft.entry.jobs import JobHandlers
from sycamorecroft.entry.listener import ListenerResources
from sycamorecroft.entry.memory_budget import MemoryBudget
from sycamorecroft.entry.operator_interface import OperatorState
from sycamorecroft.entry.operator_routes import operator_routes
from sycamorecroft.entry.request_records import RequestRecords
from sycamorecroft.entry.request_report import RequestReporter
from sycamorecroft.entry.server import HttpServer
from sycamorecroft.jobs import JobStore
from sycamorecroft.membership.actor import (
    GossipTick,
    LocalVersions,
    MembershipActor,
    ProbePeer,
    SetRegistered,
    StartLeaving,
)
from sycamorecroft.membership.state import (
    MemberDigest,
    MembershipState,
    MembershipView,
)
from sycamorecroft.pools.registration import EntryHostRegistration
from sycamorecroft.pools.state import PoolView
from sycamorecroft.pools.view import PoolViewReader
from sycamorecroft.pools.view_actor import PeerViewVersions, PollView, ViewActor
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
    OwnerBatchReceived,
    RequesterActor,
    RequesterStatusRequest,
    RequesterTick,
)
from sycamorecroft.rpc.client import PeerClient
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.rpc.loop import RpcLoop
from sycamorecroft.rpc.server import OwnerOutboxes, PeerServer
from sycamorecroft.settings import DaemonSettings
from sycamorecroft.telemetry import Telemetry

_log = structlog.get_logger()

_ACTOR_TIMEOUT_S = 1.0
_STOP_TIMEOUT_S = 600.0
# The kernel doubles it, and may fill all of that with what isn't read yet.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Store contact age that is gossiped while the store has never been reached.
_NO_CONTACT_AGE_MS = 2**32 - 1


class Daemon(Readiness):
    """Creates all components of one daemon, and starts and stops them.

    :param settings: validated settings.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stopping = threading.Event()
        # Set once a later start of this entry host has registered.
        self.superseded = threading.Event()
        self._configuration = PublishedValue[ConfigurationStatus](NO_CONFIGURATION)
        self._view = PublishedValue[PoolView](PoolView(0, {}))
        self._membership = PublishedValue[MembershipView | None](None)
        self._queues = PublishedValue[OwnerStatuses]({})
        self._incarnation = new_incarnation(clock.now())
        self._telemetry = Telemetry()
        self._request_records = RequestRecords(clock)
        self._platform = connect_platform(settings, clock)
        self._build_peers()
        self._build_actors()
        self._build_request_path()
        self._build_controllers()
        self._build_servers()
        self._build_tickers()

    def _build_peers(self) -> None:
        own_entry_host = self._settings.entry
        self._rpc = RpcLoop()
        self._gossip_codec = GossipCodec(own_entry_host)
        self._peer_clients = {
            entry_host.name: PeerClient(
                self._rpc,
                own_entry_host,
                entry_host.name,
                entry_host.grpc_address,
                self._clock,
                self._gossip_codec,
            )
            for entry_host in self._settings.entries
            if entry_host.name != own_entry_host
        }
        self._outboxes = OwnerOutboxes(self._rpc)
        self._snapshots = PeerSnapshotSource(self._peer_clients)

    def _build_actors(self) -> None:
        settings = self._settings
        self._requester_actor = RequesterActor.start(
            settings.entry, self._clock, self._send_to_owner, self._request_probe
        )
        self._owner_actor = OwnerActor.start(
            self._clock, self._send_to_requester, self._request_probe, self._queues
        )
        self._owner_is_busy = self._owner_actor.proxy().is_busy.get()
        self._routing_ticker = RoutingTicker(self._tick_routing, self._is_routing_busy)
        entry_hosts = [entry_host.name for entry_host in settings.entries]
        digest = MemberDigest(
            settings.entry, self._incarnation, 0, 0, 0, 0, _NO_CONTACT_AGE_MS, False
        )
        self._registration = EntryHostRegistration(
            self._platform.tables,
            self._clock,
            entry=settings.entry,
            incarnation=self._incarnation,
        )
        self._membership_actor = MembershipActor.start(
            MembershipState(digest, entry_hosts),
            self._peer_clients,
            self._clock,
            self._local_versions,
            self._membership,
            self._on_membership_changed,
            random.Random(),
        )
        self._configuration_actor = ConfigurationActor.start(
            VersionGate(settings.entry, entry_hosts),
            ConfigurationStore(self._platform.tables, self._clock),
            self._snapshots,
            self._configuration,
            self._on_configuration_changed,
        )
        self._view_actor = ViewActor.start(
            PoolViewReader(self._platform.tables),
            self._snapshots,
            self._view,
            self._on_view_changed,
        )
        self._changed_view_version = self._view_actor.proxy().changed_version.get()

    def _build_request_path(self) -> None:
        self._request_path = build_request_path(
            self._settings,
            self._platform,
            self._requester_actor,
            self._clock,
            self._routing_ticker.wake,
        )

    def _build_controllers(self) -> None:
        inputs = ControllerInputs(self._configuration, self._view, self._membership)
        holder = f"{self._settings.entry}/{self._incarnation}"
        self._controllers = ControllerManager(
            self._platform, inputs, self._clock, holder
        )
        self._job_store = JobStore(self._platform.tables, self._clock)

    def _build_servers(self) -> None:
        settings = self._settings
        actors = PeerHandlerActors(
            self._membership_actor, self._owner_actor, self._requester_actor
        )
        self._peer_handler = DaemonPeerHandler(
            actors,
            self._configuration.get,
            self._view.get,
            self._routing_ticker.wake,
        )
        self._peer_server = PeerServer(
            self._rpc,
            settings.grpc_address,
            self._peer_handler,
            self._outboxes,
            self._clock,
            self._gossip_codec,
            len(settings.entries),
        )
        callers = CallerHandlers(
            self._request_path.executor,
            self._request_path.limit,
            lambda: self._configuration.get().in_force,
            self._clock,
            RequestReporter(self._telemetry, self._request_records, self._clock),
        )
        jobs = JobHandlers(
            self._job_store, lambda: self._configuration.get().in_force, self._clock
        )
        state = self._operator_state()
        stores = operator_stores(
            self._platform, self._clock, self._controllers.maintenance, self._job_store
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
        resources = ListenerResources(
            # Buffers grow in steps of an eighth.
            budget=MemoryBudget(settings.in_flight_limit_bytes * 9 // 8),
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
            refusal_fields=refusal_fields,
            clock=self._clock,
        )
        self._http_server = HttpServer(application, settings, resources)

    def _operator_state(self) -> OperatorState:
        return OperatorState(
            self._configuration.get,
            self._view.get,
            self._membership.get,
            self._queues.get,
            self._platform.tables.health,
            lambda: self._request_path.limit.admitted_count,
            self._controllers.held_leases,
            self._request_records,
        )

    def _build_tickers(self) -> None:
        settings = self._settings
        reporter = RegistrationReporter(
            self._registration,
            grants=self._grant_report,
            view=self._view.get,
            staged_version=lambda: self._configuration.get().staged_version,
            on_superseded=self.superseded.set,
        )

        poll_s = settings.poll_interval_s
        self._tickers = (
            message_ticker(
                "gossip",
                settings.gossip_interval_s,
                self._membership_actor,
                GossipTick(),
            ),
            message_ticker(
                "configuration", poll_s, self._configuration_actor, PollConfiguration()
            ),
            message_ticker("view", poll_s, self._view_actor, PollView()),
            Ticker("registration", REGISTRATION_INTERVAL_S, reporter.report),
            Ticker(
                "registered", REGISTRATIONS_READ_INTERVAL_S, self._update_registered
            ),
        )

    def start(self) -> None:
        """Starts all components, the HTTP server last."""
        self._request_path.claims.start()
        self._job_store.start()
        self._peer_server.start()
        for client in self._peer_clients.values():
            client.start(self._peer_handler)
        self._routing_ticker.start()
        for ticker in self._tickers:
            ticker.start()
        self._controllers.start()
        self._http_server.start()
        _log.info("daemon_started", incarnation=self._incarnation)

    def stop(self) -> bool:
        """Fails readiness, waits for requests in flight, then stops all components.

        :returns: whether all requests completed.
        """
        self._stopping.set()
        self._http_server.start_shutdown()
        self._membership_actor.tell(StartLeaving())
        _log.info("daemon_stopping", grace_s=self._settings.drain_grace_s)
        self._controllers.stop()
        time.sleep(self._settings.drain_grace_s)
        is_drained = self._http_server.stop(_STOP_TIMEOUT_S)
        self._request_path.claims.stop()
        self._job_store.stop()
        self._stop_components()
        _log.info("daemon_stopped", is_drained=is_drained)
        return is_drained

    def _stop_components(self) -> None:
        self._routing_ticker.stop()
        for ticker in self._tickers:
            ticker.stop()
        for client in self._peer_clients.values():
            client.stop()
        self._peer_server.stop(grace_s=0.1)
        self._rpc.stop()
        self._request_path.dispatcher.close()
        pykka.ActorRegistry.stop_all(timeout=_ACTOR_TIMEOUT_S)
        self._platform.connection.close()
        self._telemetry.shutdown()

    def reasons_not_ready(self) -> tuple[str, ...]:
        reasons = []
        if self._stopping.is_set():
            reasons.append("stopping")
        if self._configuration.get().in_force is None:
            reasons.append("no configuration in force")
        if not self._view.get().version:
            reasons.append("no view of the hosts")
        return tuple(reasons)

    # Callbacks that connect the components.

    def _send_to_owner(self, owner: str, batch: RequesterBatch) -> None:
        if owner == self._settings.entry:
            self._owner_actor.tell(batch)
        elif owner in self._peer_clients:
            self._peer_clients[owner].send(batch)

    def _send_to_requester(self, requester: str, batch: OwnerBatch) -> None:
        if requester == self._settings.entry:
            self._requester_actor.tell(OwnerBatchReceived(requester, batch))
        else:
            self._outboxes.send(requester, batch)

    def _request_probe(self, entry_host: str) -> None:
        self._membership_actor.tell(ProbePeer(entry_host))

    def _local_versions(self) -> LocalVersions:
        configuration = self._configuration.get()
        age_s = self._platform.tables.health().contact_age_s
        age_ms = _NO_CONTACT_AGE_MS if age_s is None else int(age_s * 1000)
        return LocalVersions(
            configuration.staged_version,
            configuration.in_force_version,
            self._changed_view_version.get(),
            min(age_ms, _NO_CONTACT_AGE_MS),
            self._registration.may_own_queues(self._view.get().version),
            service_demands(self._queues.get()),
        )

    def _is_routing_busy(self) -> bool:
        return bool(
            self._request_path.limit.admitted_count or self._owner_is_busy.get()
        )

    def _tick_routing(self) -> None:
        self._owner_actor.tell(OwnerTick())
        self._requester_actor.tell(RequesterTick())

    def _on_membership_changed(self, view: MembershipView) -> None:
        peers = [digest for digest in view.digests if digest.entry != view.own_entry]
        message = MembershipChanged(view)
        # A change may start takeovers, whose waits are short and need frequent ticks.
        self._routing_ticker.wake()
        self._owner_actor.tell(message)
        self._requester_actor.tell(message)
        staged = {digest.entry: digest.staged_version for digest in peers}
        self._configuration_actor.tell(StagedVersions(staged))
        views = {digest.entry: digest.view_version for digest in peers}
        self._view_actor.tell(PeerViewVersions(views))

    def _on_configuration_changed(self, configuration: FleetConfiguration) -> None:
        self._request_path.limit.set_services_count(len(configuration.services))
        message = ConfigurationChanged(configuration)
        self._routing_ticker.wake()
        self._owner_actor.tell(message)
        self._requester_actor.tell(message)

    def _on_view_changed(self, view: PoolView) -> None:
        self._owner_actor.tell(ViewChanged(view))

    def _grant_report(self) -> GrantReport:
        granted = self._owner_actor.ask(GrantedHostsRequest(), timeout=_ACTOR_TIMEOUT_S)
        held = self._requester_actor.ask(
            RequesterStatusRequest(), timeout=_ACTOR_TIMEOUT_S
        )
        hosts = granted.hosts | held.granted_hosts | self._controllers.busy_workers()
        return GrantReport(granted.view_version, hosts)

    def _update_registered(self) -> None:
        registered = registered_entry_hosts(self._platform.tables, self._clock.now())
        if registered is not None:
            self._membership_actor.tell(SetRegistered(registered))
