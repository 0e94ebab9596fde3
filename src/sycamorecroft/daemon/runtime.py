"""A daemon: its actors, servers, tickers and controllers, started and stopped."""

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
from sycamorecroft.daemon.control import Control, ControlInputs
from sycamorecroft.daemon.demand import demands_of
from sycamorecroft.daemon.gauges import Gauges
from sycamorecroft.daemon.operator_stores import operator_stores
from sycamorecroft.daemon.peers import DaemonPeerHandler, HandlerActors, SnapshotPeers
from sycamorecroft.daemon.registration import (
    REGISTERED_INTERVAL_S,
    REGISTRATION_INTERVAL_S,
    GrantReport,
    RegistrationReporter,
    new_incarnation,
    registered_entries,
)
from sycamorecroft.daemon.request_path import build_request_path
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
from sycamorecroft.jobs import JobStore
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
    FromOwner,
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
        self._configuration = PublishedValue[ConfigurationStatus](NO_CONFIGURATION)
        self._view = PublishedValue[PoolView](PoolView(0, {}))
        self._membership = PublishedValue[MembershipView | None](None)
        self._queues = PublishedValue[OwnerStatuses]({})
        self._incarnation = new_incarnation(clock.now())
        self._telemetry = Telemetry()
        self._requests = RequestRecords(clock)
        self._platform = connect_platform(settings, clock)
        self._build_peers()
        self._build_actors()
        self._build_requests()
        self._build_controllers()
        self._build_servers()
        self._build_tickers()

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
        self._registration = EntryHostRegistration(
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
        self._path = build_request_path(
            self._settings,
            self._platform,
            self._requester,
            self._clock,
            self._routing_ticks.wake,
        )

    def _build_controllers(self) -> None:
        inputs = ControlInputs(self._configuration, self._view, self._membership)
        holder = f"{self._settings.entry}/{self._incarnation}"
        self._control = Control(self._platform, inputs, self._clock, holder)
        self._job_store = JobStore(self._platform.tables, self._clock)

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
            self._path.executor,
            self._path.limit,
            lambda: self._configuration.get().in_force,
            self._clock,
            RequestReporter(self._telemetry, self._requests, self._clock),
        )
        jobs = JobHandlers(
            self._job_store, lambda: self._configuration.get().in_force, self._clock
        )
        state = self._operator_state()
        stores = operator_stores(
            self._platform, self._clock, self._control.maintenance, self._job_store
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
            lambda: self._path.limit.admitted_count,
            self._control.held_leases,
            self._requests,
        )

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
            message_ticker(
                "gossip", settings.gossip_interval_s, self._members, GossipTick()
            ),
            message_ticker(
                "configuration", poll_s, self._configurations, PollConfiguration()
            ),
            message_ticker("view", poll_s, self._views, PollView()),
            Ticker("registration", REGISTRATION_INTERVAL_S, reporter.report),
            Ticker("registered", REGISTERED_INTERVAL_S, self._tell_registered),
        )

    def start(self) -> None:
        """Starts all parts; the HTTP listener comes last."""
        self._path.claims.start()
        self._job_store.start()
        self._peer_server.start()
        for client in self._clients.values():
            client.start(self._peer_handler)
        self._routing_ticks.start()
        for ticker in self._tickers:
            ticker.start()
        self._control.start()
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
        self._control.stop()
        time.sleep(self._settings.drain_grace_s)
        is_drained = self._server.stop(_STOP_TIMEOUT_S)
        self._path.claims.stop()
        self._job_store.stop()
        self._stop_parts()
        _log.info("daemon_stopped", is_drained=is_drained)
        return is_drained

    def _stop_parts(self) -> None:
        self._routing_ticks.stop()
        for ticker in self._tickers:
            ticker.stop()
        for client in self._clients.values():
            client.stop()
        self._peer_server.stop(grace_s=0.1)
        self._rpc.stop()
        self._path.dispatcher.close()
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

    def _is_routing_busy(self) -> bool:
        return bool(self._path.limit.admitted_count or self._owner_is_busy.get())

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
        self._path.limit.set_services_count(len(configuration.services))
        changed = ConfigurationChanged(configuration)
        self._routing_ticks.wake()
        self._owner.tell(changed)
        self._requester.tell(changed)

    def _view_changed(self, view: PoolView) -> None:
        self._owner.tell(ViewChanged(view))

    def _grant_report(self) -> GrantReport:
        granted = self._owner.ask(GrantedHostsRequest(), timeout=_ACTOR_TIMEOUT_S)
        held = self._requester.ask(RequesterStatusRequest(), timeout=_ACTOR_TIMEOUT_S)
        hosts = granted.hosts | held.granted_hosts | self._control.busy_workers()
        return GrantReport(granted.view_version, hosts)

    def _tell_registered(self) -> None:
        entries = registered_entries(self._platform.tables, self._clock.now())
        if entries is not None:
            self._members.tell(SetRegistered(entries))
