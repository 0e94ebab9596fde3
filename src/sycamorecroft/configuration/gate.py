"""Decides which configuration version of a daemon is in force.

Pure: the caller reads the store and the peers and passes in what they answered.
"""

from collections.abc import Collection
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.invariants import check_version_never_falls


class PeerSnapshot(NamedTuple):
    """Answer of a peer to a snapshot request that this process sent.

    ``claimed_version`` is the peer's :attr:`VersionGate.claimed_version` and
    ``configuration`` its :attr:`VersionGate.staged`.
    """

    entry: str
    claimed_version: int
    configuration: FleetConfiguration | None


class VersionGate:
    """Staged and in-force versions of one daemon, rule of section 5.6.

    :param entry: name of this entry host.
    :param entries: names of all entry hosts in the settings.
    """

    def __init__(self, entry: str, entries: Collection[str]) -> None:
        self._entry = entry
        self._entries = frozenset(entries) | {entry}
        self._staged: dict[int, FleetConfiguration] = {}
        self._in_force: FleetConfiguration | None = None
        self._claims: dict[str, int] = {}
        self._snapshots: dict[str, int] = {}
        self._has_started = False

    @property
    def majority_count(self) -> int:
        """Entry hosts that are a majority of those in the settings."""
        return len(self._entries) // 2 + 1

    @property
    def staged(self) -> FleetConfiguration | None:
        """The highest version that this daemon holds."""
        return self._staged[max(self._staged)] if self._staged else None

    @property
    def in_force(self) -> FleetConfiguration | None:
        """The version by which this daemon serves, ``None`` until it is ready."""
        return self._in_force

    @property
    def in_force_version(self) -> int:
        """Version of :attr:`in_force`, 0 for none."""
        return self._in_force.version if self._in_force else 0

    @property
    def claimed_version(self) -> int:
        """The version to announce as staged in gossip, snapshots and registration."""
        return max(self._staged, default=0) if self._has_started else 0

    @property
    def is_ready(self) -> bool:
        """Whether the daemon may serve requests."""
        return self._in_force is not None

    @property
    def wanted_version(self) -> int | None:
        """Highest version that a peer has staged and this daemon lacks."""
        highest = max(self._claims.values(), default=0)
        return highest if highest > max(self._staged, default=0) else None

    def record_head(
        self, configuration: FleetConfiguration | None
    ) -> FleetConfiguration | None:
        """Stages the head of the store, read by this process.

        :param configuration: content of the head, ``None`` if the store has none.
        :returns: the configuration that this puts in force, if any.
        """
        if not self._has_started and configuration is not None:
            self._has_started = True
            self._stage(configuration)
            return self._put_in_force(configuration)
        if configuration is not None:
            self._stage(configuration)
        return self._advance()

    def record_snapshot(self, snapshot: PeerSnapshot) -> FleetConfiguration | None:
        """Takes up a peer's answer to a snapshot request of this process.

        :returns: the configuration that this puts in force, if any.
        """
        if snapshot.configuration is not None:
            self._stage(snapshot.configuration)
        self.record_claim(snapshot.entry, snapshot.claimed_version)
        if self._has_started or snapshot.claimed_version == 0:
            return self._advance()
        self._snapshots[snapshot.entry] = snapshot.claimed_version
        if len(self._snapshots) < self.majority_count:
            return None
        self._has_started = True
        return self._put_in_force(self._staged[max(self._snapshots.values())])

    def record_claim(
        self, entry: str, claimed_version: int
    ) -> FleetConfiguration | None:
        """Takes up the version that a peer announces as staged.

        :returns: the configuration that this puts in force, if any.
        """
        if entry in self._entries and entry != self._entry:
            known = self._claims.get(entry, 0)
            self._claims[entry] = max(known, claimed_version)
        return self._advance()

    def _stage(self, configuration: FleetConfiguration) -> None:
        if configuration.version > self.in_force_version:
            self._staged[configuration.version] = configuration

    def _advance(self) -> FleetConfiguration | None:
        if not self._has_started:
            return None
        for version in sorted(self._staged, reverse=True):
            if version <= self.in_force_version:
                return None
            if self._supporters_count(version) >= self.majority_count:
                return self._put_in_force(self._staged[version])
        return None

    def _supporters_count(self, version: int) -> int:
        peers_count = sum(claim >= version for claim in self._claims.values())
        return peers_count + (self.claimed_version >= version)

    def _put_in_force(self, configuration: FleetConfiguration) -> FleetConfiguration:
        check_version_never_falls(self.in_force_version, configuration.version)
        self._in_force = configuration
        self._staged = {
            version: staged
            for version, staged in self._staged.items()
            if version >= configuration.version
        }
        return configuration
