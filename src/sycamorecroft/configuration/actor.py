"""Actor that fetches configuration versions and puts them in force on one daemon."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import structlog

from sycamorecroft.concurrency import DaemonActor, PublishedValue
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import PeerSnapshot, VersionGate
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.errors import ConfigurationError, PlatformError

_log = structlog.get_logger()


class ConfigurationStatus(NamedTuple):
    """Configurations held by this daemon.

    ``in_force`` is ``None`` until the daemon is ready. ``staged_version`` is the
    version that the daemon announces as staged, 0 for none.
    """

    in_force: FleetConfiguration | None
    staged: FleetConfiguration | None
    staged_version: int

    @property
    def in_force_version(self) -> int:
        """Version number of ``in_force``, 0 for none."""
        return self.in_force.version if self.in_force else 0


NO_CONFIGURATION = ConfigurationStatus(None, None, 0)


class PollConfiguration(NamedTuple):
    """Message: read the head of the store, or ask the peers while it is unavailable."""


class StagedVersions(NamedTuple):
    """Message: versions that peers announce as staged by gossip, by entry host."""

    by_entry: Mapping[str, int]


class ConfigurationPeers(ABC):
    """Peers from which the configuration is fetched during a store outage."""

    @abstractmethod
    def names(self) -> tuple[str, ...]:
        """
        :returns: names of all peers listed in the settings.
        """

    @abstractmethod
    def fetch(self, entry_host: str) -> PeerSnapshot | None:
        """
        :returns: snapshot of the peer, ``None`` if it does not respond before the
            timeout or its configuration is malformed.
        """


class ConfigurationActor(DaemonActor):
    """Owns the version gate.

    :param status: publishes the status to other threads.
    :param listener: called on this actor's thread with each configuration put in force.
    """

    def __init__(
        self,
        gate: VersionGate,
        store: ConfigurationStore,
        peers: ConfigurationPeers,
        status: PublishedValue[ConfigurationStatus],
        listener: Callable[[FleetConfiguration], None],
    ) -> None:
        super().__init__()
        self._gate = gate
        self._store = store
        self._peers = peers
        self._status = status
        self._listener = listener
        self._head_version = 0
        self._executor = ThreadPoolExecutor(
            max(1, len(peers.names())), "configuration-peers"
        )

    def on_stop(self) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def handle(self, message: object) -> object:
        match message:
            case PollConfiguration():
                self._poll()
            case StagedVersions(by_entry):
                self._record_staged_versions(by_entry)

    def _poll(self) -> None:
        try:
            self._poll_store()
        except PlatformError as error:
            _log.info("configuration_store_unavailable", error=str(error))
            self._poll_peers()
        except ConfigurationError as error:
            _log.error("configuration_undecodable", error=str(error))

    def _poll_store(self) -> None:
        head_version = self._store.head_version()
        if self._gate.is_ready and head_version <= self._head_version:
            self._apply(self._gate.record_head(None))
            return
        head = self._store.read_version(head_version) if head_version else None
        self._apply(self._gate.record_head(head))
        self._head_version = head_version

    def _poll_peers(self) -> None:
        is_up_to_date = self._gate.is_ready and self._gate.missing_version is None
        if is_up_to_date:
            return
        snapshots = self._executor.map(self._peers.fetch, self._peers.names())
        for snapshot in snapshots:
            if snapshot is not None:
                self._apply(self._gate.record_snapshot(snapshot))

    def _record_staged_versions(self, by_entry: Mapping[str, int]) -> None:
        for entry_host, staged_version in by_entry.items():
            self._apply(self._gate.record_claim(entry_host, staged_version))
        if self._gate.missing_version is not None:
            self._poll()

    def _apply(self, in_force: FleetConfiguration | None) -> None:
        gate = self._gate
        status = ConfigurationStatus(gate.in_force, gate.staged, gate.claimed_version)
        self._status.set(status)
        if in_force is not None:
            _log.info("configuration_in_force", version=in_force.version)
            self._listener(in_force)
