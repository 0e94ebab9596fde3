"""Actor that keeps the pool view of one daemon up to date."""

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
    """Read the rows that changed."""


class PeerViewVersions(NamedTuple):
    """Versions of the last change that peers tell by gossip, by entry host."""

    by_entry: Mapping[str, int]


class ViewPeers(ABC):
    """Peers from which a pool view can be had while the store is down."""

    @abstractmethod
    def fetch_view(self, entry: str) -> PoolView | None:
        """
        :returns: the view of a peer, ``None`` if it doesn't answer in time.
        """


def encode_view(view: PoolView) -> bytes:
    """
    :returns: JSON text of the host records, for a peer.
    """
    return msgspec.json.encode(dict(view.hosts))


def decode_view(version: int, text: bytes) -> PoolView:
    """
    :raises msgspec.MsgspecError: when ``text`` isn't JSON of host records.
    """
    return PoolView(version, msgspec.json.decode(text, type=dict[str, HostRecord]))


class ViewActor(DaemonActor):
    """Owner of the pool view reader.

    :param view: holder that this actor publishes to.
    :param listener: called in this actor with each view in which a host changed.
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
        """Version of the view in which a host changed last.

        The version of a view rises with each commit to any table, so it can't tell
        peers whether there is news.
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
            self._poll_newest_peer()
        self._publish()

    def _poll_newest_peer(self) -> None:
        versions = self._peer_versions
        newest = max(versions, key=lambda entry: versions[entry], default=None)
        if newest is None or versions[newest] <= self._reader.view.version:
            return
        view = self._peers.fetch_view(newest)
        if view is not None:
            self._reader.adopt(view)

    def _publish(self) -> None:
        view = self._reader.view
        former = self._view.get()
        if view.version <= former.version:
            return
        self._view.set(view)
        if view.hosts != former.hosts:
            self._changed_version.set(view.version)
            self._listener(view)
