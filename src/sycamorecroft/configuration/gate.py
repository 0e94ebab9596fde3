"""Decides which configuration version of a daemon is in force.

Pure: the caller reads the store and the peers and passes in what they answered.

A version is in force once a majority of the entry hosts has claimed it. Three rules
keep it from falling when entry hosts restart, which lose all they hold (I8):

1. Only a process that has read the head from the store claims versions, in gossip and
   in snapshots. An entry host that has ever claimed a version therefore holds it, or a
   later one, whenever any process of it claims again: the head that the new process
   read was at least as high. Claims then hold across restarts, and may arrive late,
   twice or by way of others.
2. A starting process first learns a bound that no version in force before its start
   exceeds: the head of the store, or the highest claim in the answers of a majority of
   the entry hosts. This majority shares an entry host with the one that claimed the
   version in force.
3. It puts nothing in force below the bound and, like any daemon, nothing that a
   majority has not claimed. A version that it put in force without this majority could
   be missing from the next majority that it asks.

A process that started from peers must not claim: its predecessor may have claimed a
later version, and daemons that heard of it would count the entry host twice. Source of
the idea: E. Michael et al., "Recovering Shared Objects Without Stable Storage",
DISC 2017, which attaches counts of crashes to messages instead.

The rules assume that reads of the store return the last commit, and that at most one
process at a time serves the address that the settings name for an entry host.
"""

from collections.abc import Collection
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.invariants import check_version_never_falls

# Versions held at most; more pile up only while no majority claims any of them. A
# starting daemon may get a different version from each of nine entry hosts.
STAGED_LIMIT_COUNT = 16


class PeerSnapshot(NamedTuple):
    """Answer of a peer to a snapshot request that this process sent.

    ``claimed_version``, ``configuration`` and ``in_force_version`` are the peer's
    :attr:`VersionGate.claimed_version`, :attr:`VersionGate.staged` and
    :attr:`VersionGate.in_force_version`.
    """

    entry: str
    claimed_version: int
    configuration: FleetConfiguration | None
    in_force_version: int = 0


class VersionGate:
    """Staged and in-force versions of one daemon (section 5.6 of docs/design.md).

    :param entry: name of this entry host.
    :param entries: names of all entry hosts in the settings.
    """

    def __init__(self, entry: str, entries: Collection[str]) -> None:
        self._entry = entry
        self._entries = frozenset(entries) | {entry}
        self._staged: dict[int, FleetConfiguration] = {}
        self._in_force: FleetConfiguration | None = None
        self._claims: dict[str, int] = {}
        self._in_force_elsewhere_version = 0
        self._has_read_head = False
        self._start_claims: dict[str, int] = {}
        self._start_bound: int | None = None

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
        """The version to announce as staged in gossip, snapshots and registration.

        0 until this process has read the head from the store.
        """
        return max(self._staged, default=0) if self._has_read_head else 0

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
        """Takes up the head of the store from a read that this process sent.

        :param configuration: content of the head, ``None`` if the store has none.
        :returns: the configuration that this puts in force, if any.
        """
        if configuration is not None:
            self._has_read_head = True
            self._stage(configuration)
            self._lower_start_bound(configuration.version)
        return self._advance()

    def record_snapshot(self, snapshot: PeerSnapshot) -> FleetConfiguration | None:
        """Takes up a peer's answer to a snapshot request that this process sent.

        :returns: the configuration that this puts in force, if any.
        """
        if snapshot.entry not in self._entries or snapshot.entry == self._entry:
            return None
        if snapshot.configuration is not None:
            self._stage(snapshot.configuration)
        if snapshot.claimed_version > 0:
            self._start_claims.setdefault(snapshot.entry, snapshot.claimed_version)
        if len(self._start_claims) >= self.majority_count:
            # Each majority of answers gives a bound; this is the lowest of them.
            claims = sorted(self._start_claims.values())
            self._lower_start_bound(claims[self.majority_count - 1])
        return self.record_claim(
            snapshot.entry, snapshot.claimed_version, snapshot.in_force_version
        )

    def record_claim(
        self, entry: str, claimed_version: int, in_force_version: int = 0
    ) -> FleetConfiguration | None:
        """Takes up what a peer announces, in gossip or in its registration row.

        :param claimed_version: version that the peer claims to hold.
        :param in_force_version: version in force at the peer, 0 for none.
        :returns: the configuration that this puts in force, if any.
        """
        if entry in self._entries and entry != self._entry:
            known = self._claims.get(entry, 0)
            self._claims[entry] = max(known, claimed_version)
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
            held: configuration
            for held, configuration in self._staged.items()
            if held >= version
        }
        return self._in_force
