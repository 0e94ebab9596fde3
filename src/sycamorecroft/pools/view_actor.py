"""Actor that keeps the pool view of a daemon current, from the store or from peers."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.concurrency import DaemonActor, PublishedValue
from sycamorecroft.errors import PlatformError
from sycamorecroft.pools.state import HostRecord, PoolView
from sycamorecroft.pools.view import PoolViewReader

_log = structlog.get_logger()


class PollView(NamedTuple):
    """Requests a read of the changed host rows."""


class PeerViewVersions(NamedTuple):
    """Versions of the last host change that peers report by gossip, by entry host."""

    by_entry: Mapping[str, int]


class ViewPeers(ABC):
    """Access to the pool views of peers, for when the store is unavailable."""

    @abstractmethod
    def fetch_view(self, entry: str) -> PoolView | None:
        """
        :returns: the view of a peer, ``None`` if it doesn't answer before the timeout.
        """


def encode_view(view: PoolView) -> bytes:
    """
    :returns: host records as JSON, to send to a peer.
    """
    return msgspec.json.encode(dict(view.hosts))


def decode_view(version: int, text: bytes) -> PoolView:
    """
    :raises msgspec.MsgspecError: when ``text`` isn't JSON of host records.
    """
    return PoolView(version, msgspec.json.decode(text, type=dict[str, HostRecord]))


class ViewActor(DaemonActor):
    """Refreshes and publishes the pool view.

    :param reader: used by this actor only.
    :param view: published view, updated by this actor.
    :param listener: called on this actor's thread with each view in which a host
        changed.
    """

    def __init__(
        self,
        reader: PoolViewReader,
        peers: ViewPeers,
        view: PublishedValue[PoolView],
        listener: Callable[[PoolView], None],
    ) -> None:
        super().__init__()
        self._reader = reader
        self._peers = peers
        self._view = view
        self._listener = listener
        self._peer_versions: Mapping[str, int] = {}
        self._changed_version = PublishedValue(0)

    @property
    def changed_version(self) -> PublishedValue[int]:
        """Version of the newest view in which a host changed.

        Unlike the version of the view, which rises with each commit to any table, it
        shows peers whether a host has changed.
        """
        return self._changed_version

    def handle(self, message: object) -> object:
        match message:
            case PollView():
                self._poll()
            case PeerViewVersions(by_entry):
                self._record_peer_versions(by_entry)

    def _record_peer_versions(self, by_entry: Mapping[str, int]) -> None:
        self._peer_versions = by_entry
        if max(by_entry.values(), default=0) > self._reader.view.version:
            self._poll()

    def _poll(self) -> None:
        try:
            self._reader.refresh()
        except PlatformError as error:
            _log.info("view_store_unavailable", error=str(error))
            self._adopt_newest_peer_view()
        self._publish()

    def _adopt_newest_peer_view(self) -> None:
        versions = self._peer_versions
        newest = max(versions, key=lambda entry: versions[entry], default=None)
        if newest is None or versions[newest] <= self._reader.view.version:
            return
        view = self._peers.fetch_view(newest)
        if view is not None:
            self._reader.adopt(view)

    def _publish(self) -> None:
        view = self._reader.view
        previous = self._view.get()
        if view.version <= previous.version:
            return
        self._view.set(view)
        if view.hosts != previous.hosts:
            self._changed_version.set(view.version)
            self._listener(view)
