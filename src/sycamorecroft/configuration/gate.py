"""Decides which configuration version is in force on a daemon.

The gate does no I/O: the caller reads from the store and the peers and passes in their
responses.

A version is in force once a majority of the entry hosts has claimed it. Entry hosts
lose all state when they restart. Three rules ensure that the version in force still
never decreases (invariant I8):

1. Only a process that has read the head from the store claims versions, in gossip and
   in snapshots. Once an entry host has claimed a version, each later process of it that
   claims holds this version or a higher one, since the head that it read was at least
   as high. Claims therefore stay valid across restarts, and may arrive late, more than
   once or by way of other entry hosts.
2. A starting process first determines an upper bound of the versions that were in force
   before its start: the head of the store, or the highest claim in the responses of a
   majority of the entry hosts. This majority has an entry host in common with the
   majority that claimed the version in force.
3. It puts no version in force that is below the bound or, as for any daemon, that a
   majority has not claimed. The next majority that it asks might not know of a version
   that it had put in force without a majority.

A process that started from the snapshots of peers must not claim: its predecessor may
have claimed a later version, and daemons that know of that claim would count the entry
host twice. Compare E. Michael et al., "Recovering Shared Objects Without Stable
Storage", DISC 2017, which attaches crash counts to messages instead.

The rules assume that reads of the store return the last commit, and that at most one
process at a time serves the address that the settings give for an entry host.
"""

from collections.abc import Collection
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.invariants import check_version_never_falls

# Limit of staged versions. They accumulate only while no majority claims any of them. A
# starting daemon may get a different version from each of nine entry hosts.
STAGED_LIMIT_COUNT = 16


class PeerSnapshot(NamedTuple):
    """Response of a peer to a snapshot request of this process.

    ``claimed_version``, ``configuration`` and ``in_force_version`` are the peer's
    :attr:`VersionGate.claimed_version`, :attr:`VersionGate.staged` and
    :attr:`VersionGate.in_force_version`.
    """

    entry_host: str
    claimed_version: int
    configuration: FleetConfiguration | None
    in_force_version: int = 0


class VersionGate:
    """Staged and in-force versions of one daemon (section 5.6 of docs/design.md).

    :param entry_host: name of this entry host.
    :param entry_hosts: names of all entry hosts in the settings.
    """

    def __init__(self, entry_host: str, entry_hosts: Collection[str]) -> None:
        self._entry_host = entry_host
        self._entry_hosts = frozenset(entry_hosts) | {entry_host}
        self._staged: dict[int, FleetConfiguration] = {}
        self._in_force: FleetConfiguration | None = None
        self._claims: dict[str, int] = {}
        self._in_force_elsewhere_version = 0
        self._has_read_head = False
        self._start_claims: dict[str, int] = {}
        self._start_bound: int | None = None

    @property
    def majority_count(self) -> int:
        """Number of entry hosts that form a majority of those in the settings."""
        return len(self._entry_hosts) // 2 + 1

    @property
    def staged(self) -> FleetConfiguration | None:
        """The highest version that this daemon holds, ``None`` if it holds none."""
        return self._staged[max(self._staged)] if self._staged else None

    @property
    def in_force(self) -> FleetConfiguration | None:
        """Configuration that serves requests, ``None`` until the daemon is ready."""
        return self._in_force

    @property
    def in_force_version(self) -> int:
        """Version number of :attr:`in_force`, 0 for none."""
        return self._in_force.version if self._in_force else 0

    @property
    def claimed_version(self) -> int:
        """The version to announce as staged in gossip, snapshots and registration.

        0 until this process has read the head from the store.
        """
        return max(self._staged, default=0) if self._has_read_head else 0

    @property
    def is_ready(self) -> bool:
        """Whether the daemon may serve requests."""
        return self._in_force is not None

    @property
    def missing_version(self) -> int | None:
        """Highest version claimed by a peer, if it is higher than those held here."""
        highest = max(self._claims.values(), default=0)
        return highest if highest > max(self._staged, default=0) else None

    def record_head(
        self, configuration: FleetConfiguration | None
    ) -> FleetConfiguration | None:
        """Processes the head of the store, as read by this process.

        :param configuration: configuration at the head, ``None`` if unchanged or if the
            store has none.
        :returns: the configuration that this puts in force, if any.
        """
        if configuration is not None:
            self._has_read_head = True
            self._stage(configuration)
            self._lower_start_bound(configuration.version)
        return self._advance()

    def record_snapshot(self, snapshot: PeerSnapshot) -> FleetConfiguration | None:
        """Processes a peer's response to a snapshot request of this process.

        :returns: the configuration that this puts in force, if any.
        """
        if (
            snapshot.entry_host not in self._entry_hosts
            or snapshot.entry_host == self._entry_host
        ):
            return None
        if snapshot.configuration is not None:
            self._stage(snapshot.configuration)
        if snapshot.claimed_version > 0:
            self._start_claims.setdefault(snapshot.entry_host, snapshot.claimed_version)
        if len(self._start_claims) >= self.majority_count:
            # Each majority of responses gives a valid bound; this is the lowest one.
            claims = sorted(self._start_claims.values())
            self._lower_start_bound(claims[self.majority_count - 1])
        return self.record_claim(
            snapshot.entry_host, snapshot.claimed_version, snapshot.in_force_version
        )

    def record_claim(
        self, entry_host: str, claimed_version: int, in_force_version: int = 0
    ) -> FleetConfiguration | None:
        """Processes the versions that a peer announces in gossip or its registration.

        :param claimed_version: version that the peer claims to hold.
        :param in_force_version: version in force at the peer, 0 for none.
        :returns: the configuration that this puts in force, if any.
        """
        if entry_host in self._entry_hosts and entry_host != self._entry_host:
            known = self._claims.get(entry_host, 0)
            self._claims[entry_host] = max(known, claimed_version)
            self._in_force_elsewhere_version = max(
                self._in_force_elsewhere_version, in_force_version
            )
        return self._advance()

    def _stage(self, configuration: FleetConfiguration) -> None:
        if configuration.version <= self.in_force_version:
            return
        self._staged[configuration.version] = configuration
        if len(self._staged) > STAGED_LIMIT_COUNT:
            del self._staged[min(self._staged)]

    def _lower_start_bound(self, version: int) -> None:
        bound = self._start_bound
        self._start_bound = version if bound is None else min(bound, version)

    def _advance(self) -> FleetConfiguration | None:
        if self._start_bound is None:
            return None
        lowest = max(self.in_force_version + 1, self._start_bound)
        supported = [
            version
            for version in self._staged
            if version >= lowest and self._is_supported(version)
        ]
        return self._put_in_force(max(supported)) if supported else None

    def _is_supported(self, version: int) -> bool:
        if version <= self._in_force_elsewhere_version:
            return True
        supporters_count = sum(claim >= version for claim in self._claims.values())
        supporters_count += self.claimed_version >= version
        return supporters_count >= self.majority_count

    def _put_in_force(self, version: int) -> FleetConfiguration:
        check_version_never_falls(self.in_force_version, version)
        self._in_force = self._staged[version]
        self._staged = {
            staged_version: configuration
            for staged_version, configuration in self._staged.items()
            if staged_version >= version
        }
        return self._in_force
