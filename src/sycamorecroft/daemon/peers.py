"""Calls between a daemon and its peers, in both directions."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
import pykka

from sycamorecroft.configuration.actor import ConfigurationPeers, ConfigurationStatus
from sycamorecroft.configuration.codec import decode_configuration, encode_configuration
from sycamorecroft.configuration.gate import PeerSnapshot
from sycamorecroft.errors import ConfigurationError
from sycamorecroft.membership.actor import GossipReceived, ProbePeer
from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.pools.state import PoolView
from sycamorecroft.pools.view_actor import ViewPeers, decode_view, encode_view
from sycamorecroft.routing.requester_actor import OwnerBatchReceived, StreamOpened
from sycamorecroft.rpc.client import PeerClient
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch
from sycamorecroft.rpc.interfaces import DaemonSnapshot, OwnerListener, PeerHandler

_GOSSIP_REPLY_TIMEOUT_S = 0.25


class PeerSnapshotSource(ConfigurationPeers, ViewPeers):
    """Source of configurations and pool views that fetches snapshots from peers."""

    def __init__(self, clients: Mapping[str, PeerClient]) -> None:
        self._clients = clients

    def names(self) -> tuple[str, ...]:
        return tuple(self._clients)

    def fetch(self, entry: str) -> PeerSnapshot | None:
        snapshot = self._clients[entry].snapshot()
        if snapshot is None:
            return None
        try:
            configuration = (
                decode_configuration(snapshot.configuration)
                if snapshot.configuration
                else None
            )
        except ConfigurationError:
            return None
        return PeerSnapshot(entry, snapshot.staged_version, configuration)

    def fetch_view(self, entry: str) -> PoolView | None:
        snapshot = self._clients[entry].snapshot()
        if snapshot is None or not snapshot.view_version:
            return None
        try:
            return decode_view(snapshot.view_version, snapshot.pool_view)
        except msgspec.MsgspecError:
            return None


class PeerHandlerActors(NamedTuple):
    """Actors that process the messages of peers."""

    membership: pykka.ActorRef
    owner: pykka.ActorRef
    requester: pykka.ActorRef


class DaemonPeerHandler(PeerHandler, OwnerListener):
    """Forwards calls and messages of peers to the actors of this daemon.

    :param configuration: returns the configuration status of this daemon.
    :param view: returns the pool view of this daemon.
    :param wake: called for each batch of a requester, so that ticks become frequent.
    """

    def __init__(
        self,
        actors: PeerHandlerActors,
        configuration: Callable[[], ConfigurationStatus],
        view: Callable[[], PoolView],
        wake: Callable[[], object],
    ) -> None:
        self._actors = actors
        self._configuration = configuration
        self._view = view
        self._wake = wake

    def gossip(
        self, sender: str, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...]:
        return self._actors.membership.ask(
            GossipReceived(sender, digests), timeout=_GOSSIP_REPLY_TIMEOUT_S
        )

    def snapshot(self) -> DaemonSnapshot | None:
        status = self._configuration()
        view = self._view()
        staged = encode_configuration(status.staged) if status.staged else b""
        return DaemonSnapshot(
            staged_version=status.staged_version,
            in_force_version=status.in_force_version,
            configuration=staged,
            view_version=view.version,
            pool_view=encode_view(view),
        )

    def receive_from_requester(self, batch: RequesterBatch) -> None:
        self._wake()
        self._actors.owner.tell(batch)

    def receive_from_owner(self, owner: str, batch: OwnerBatch) -> None:
        self._actors.requester.tell(OwnerBatchReceived(owner, batch))

    def on_stream_opened(self, owner: str) -> None:
        self._actors.requester.tell(StreamOpened(owner))

    def on_stream_broken(self, owner: str) -> None:
        self._actors.membership.tell(ProbePeer(owner))
