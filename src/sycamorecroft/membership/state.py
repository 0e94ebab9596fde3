"""Failure detection and membership of the entry hosts, as seen by one daemon."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

# Digests reach all of 9 entry hosts in about 4 rounds of 0.5 s. Queue owners that stop
# or freeze are detected sooner, by a broken stream or an unacknowledged ticket.
SUSPICION_TIMEOUT_S = 3.0


class ServiceDemand(NamedTuple):
    """Slots of a service in use plus requests waiting for one, counted at its owner."""

    service: str
    slots_count: int


class MemberDigest(NamedTuple):
    """State of a daemon as gossiped by itself or relayed by a peer.

    ``counter`` increases with each gossip round of that daemon. Incarnations compare as
    strings; the greater one belongs to the later start of the daemon.
    """

    entry: str
    incarnation: str
    counter: int
    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool
    demands: tuple[ServiceDemand, ...] = ()


class FailureEvidence(StrEnum):
    """Why a member is suspected to have failed.

    A refused connection proves that the daemon's process is not running. An unreachable
    member may be behind a network partition and still grant slots.
    """

    REFUSED = "refused"
    UNREACHABLE = "silent"


class MembershipView(NamedTuple):
    """Immutable snapshot of the membership.

    ``live`` holds the entry hosts that may own queues. ``reached`` holds those that
    reply, including this one, entry hosts that are not registered yet and those about
    to stop. ``expected_count`` is the number of entry hosts that may be running: those
    reached and those registered, except those known to have stopped. A queue owner may
    use the share ``len(reached) / expected_count`` of a pool's slots.
    """

    own_entry: str
    live: tuple[str, ...]
    reached: tuple[str, ...]
    expected_count: int
    digests: tuple[MemberDigest, ...]


class _Peer:
    """Latest digest of a peer, and when it last made progress or was in contact."""

    def __init__(self) -> None:
        self.digest: MemberDigest | None = None
        self.last_contact_s = float("-inf")
        self.evidence: FailureEvidence | None = FailureEvidence.UNREACHABLE

    def is_live(self, now_s: float) -> bool:
        if self.digest is None or self.evidence is not None:
            return False
        return now_s - self.last_contact_s < SUSPICION_TIMEOUT_S

    def is_stopped(self) -> bool:
        return self.evidence is FailureEvidence.REFUSED


class MembershipState:
    """Merges digests and determines which entry hosts are live.

    :param own: initial digest of this daemon.
    :param entry_hosts: names of all entry hosts in the settings, this one included.
    """

    def __init__(self, own: MemberDigest, entry_hosts: Iterable[str]) -> None:
        self._own = own
        self._peers = {
            entry_host: _Peer() for entry_host in entry_hosts if entry_host != own.entry
        }
        self._registered: frozenset[str] = frozenset(self._peers)

    @property
    def own(self) -> MemberDigest:
        """Latest digest of this daemon."""
        return self._own

    def start_round(self, own: MemberDigest) -> None:
        """Starts a gossip round with the current versions of this daemon.

        :param own: versions to gossip; its entry, incarnation and counter are ignored.
        """
        self._own = own._replace(
            entry=self._own.entry,
            incarnation=self._own.incarnation,
            counter=self._own.counter + 1,
        )

    def digests(self) -> tuple[MemberDigest, ...]:
        """
        :returns: the digest of this daemon, followed by those known of peers.
        """
        peers = (peer.digest for peer in self._peers.values())
        return (self._own, *(digest for digest in peers if digest is not None))

    def merge(self, digests: Iterable[MemberDigest], now_s: float) -> bool:
        """Stores each digest that is newer than the known one of the same entry host.

        :param now_s: monotonic time in seconds.
        :returns: whether the view changed in more than counters, ages and demands.
        """
        is_changed = False
        for digest in digests:
            if digest.entry == self._own.entry:
                is_changed |= self._adopt_later_incarnation(digest)
            elif digest.entry in self._peers:
                peer = self._peers[digest.entry]
                previous, was_live = peer.digest, peer.is_live(now_s)
                self._merge_peer(peer, digest, now_s)
                is_changed |= peer.is_live(now_s) != was_live
                is_changed |= _has_stable_change(previous, peer.digest)
        return is_changed

    def _adopt_later_incarnation(self, digest: MemberDigest) -> bool:
        """Raises this daemon's incarnation above one that peers relay for it.

        Otherwise, peers would ignore a replaced entry host whose wall clock is behind
        that of its predecessor.

        :returns: whether the incarnation changed.
        """
        is_superseded = digest.incarnation > self._own.incarnation
        if is_superseded:
            self._own = self._own._replace(incarnation=f"{digest.incarnation}+")
        return is_superseded

    @staticmethod
    def _merge_peer(peer: _Peer, digest: MemberDigest, now_s: float) -> None:
        current = peer.digest
        is_newer = current is None or (digest.incarnation, digest.counter) > (
            current.incarnation,
            current.counter,
        )
        if not is_newer:
            return
        has_restarted = current is not None and digest.incarnation > current.incarnation
        if peer.evidence is FailureEvidence.REFUSED and not has_restarted:
            # Peers may still relay digests of the incarnation that has stopped.
            peer.digest = digest
            return
        peer.digest = digest
        peer.last_contact_s = now_s
        peer.evidence = None

    def record_contact(self, entry_host: str, now_s: float) -> bool:
        """Records direct contact with ``entry_host``: it just replied or called.

        :returns: whether it was suspected before.
        """
        peer = self._peers.get(entry_host)
        if peer is None or peer.digest is None:
            return False
        was_live = peer.is_live(now_s)
        peer.evidence = None
        peer.last_contact_s = now_s
        return not was_live

    def suspect(self, entry_host: str, evidence: FailureEvidence) -> None:
        """Marks ``entry_host`` as suspected until the next contact or newer digest."""
        peer = self._peers.get(entry_host)
        if peer is not None:
            peer.evidence = evidence

    def set_registered(self, entry_hosts: Iterable[str]) -> None:
        """Sets the entry hosts whose registration has not expired."""
        self._registered = frozenset(entry_hosts)

    def view(self, now_s: float) -> MembershipView:
        """
        :param now_s: monotonic time in seconds.
        :returns: snapshot of the membership.
        """
        reached = {
            entry_host
            for entry_host, peer in self._peers.items()
            if peer.is_live(now_s)
        }
        stopped = {
            entry_host for entry_host, peer in self._peers.items() if peer.is_stopped()
        }
        expected = reached | ((self._registered & set(self._peers)) - stopped)
        reached.add(self._own.entry)
        digests = self.digests()
        return MembershipView(
            own_entry=self._own.entry,
            live=tuple(sorted(self._eligible_owners(reached, digests))),
            reached=tuple(sorted(reached)),
            expected_count=len(expected) + 1,
            digests=digests,
        )

    @staticmethod
    def _eligible_owners(
        reached: set[str], digests: Iterable[MemberDigest]
    ) -> set[str]:
        """
        :returns: entry hosts to which queues are assigned: those registered, or all
            reached ones if none is registered. The latter happens when all were
            replaced during one store outage and is safe, since no host move can
            complete while the store is unavailable.
        """
        registered = {digest.entry for digest in digests if digest.may_own_queues}
        return (reached & registered) or reached


def without_volatile_fields(digest: MemberDigest) -> MemberDigest:
    """
    :returns: the digest without the fields that change in each gossip round, which are
        counter, store contact age and demands.
    """
    return digest._replace(counter=0, store_contact_age_ms=0, demands=())


def _has_stable_change(
    previous: MemberDigest | None, digest: MemberDigest | None
) -> bool:
    if previous is digest:
        return False
    if previous is None or digest is None:
        return True
    return without_volatile_fields(previous) != without_volatile_fields(digest)
