"""Membership of the entry hosts as one daemon sees it."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

# Digests spread over 9 entry hosts in about 4 rounds of 0.5 s. Owners that stop or
# freeze are found sooner, by a broken stream or an unacknowledged ticket.
SUSPICION_TIMEOUT_S = 3.0


class ServiceDemand(NamedTuple):
    """Slots of a service in use and requests that wait for one, at its owner."""

    service: str
    slots_count: int


class MemberDigest(NamedTuple):
    """What a daemon tells its peers about itself or relays about another.

    ``counter`` rises with each gossip round of that daemon. Incarnations compare as
    strings; the higher one is the later start of the daemon.
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
    """Why a member is taken for dead.

    A refused connection proves that the daemon's process doesn't run, whereas silence
    may be a partition behind which the member still grants slots.
    """

    REFUSED = "refused"
    UNREACHABLE = "silent"


class MembershipView(NamedTuple):
    """Immutable snapshot of the membership.

    ``live`` are entry hosts that may own queues; ``reached`` are those that answer,
    which adds entry hosts that aren't registered yet or are about to stop. This one is
    included in ``reached``.
    ``expected_count`` is the number of entry hosts that may be running: those reached
    and those with a registration, less those known to be stopped. A queue owner may
    use the share ``len(reached) / expected_count`` of a pool's slots.
    """

    own_entry: str
    live: tuple[str, ...]
    reached: tuple[str, ...]
    expected_count: int
    digests: tuple[MemberDigest, ...]


class _Peer:
    """Latest digest of a peer and when its counter last rose."""

    def __init__(self) -> None:
        self.digest: MemberDigest | None = None
        self.counter_advanced_s = float("-inf")
        self.evidence: FailureEvidence | None = FailureEvidence.UNREACHABLE

    def is_live(self, now_s: float) -> bool:
        if self.digest is None or self.evidence is not None:
            return False
        return now_s - self.counter_advanced_s < SUSPICION_TIMEOUT_S

    def is_stopped(self) -> bool:
        return self.evidence is FailureEvidence.REFUSED


class MembershipState:
    """Merges digests and decides which entry hosts are live.

    :param own: digest of this daemon at its start.
    :param entries: names of all entry hosts in the settings, this one included.
    """

    def __init__(self, own: MemberDigest, entries: Iterable[str]) -> None:
        self._own = own
        self._peers = {entry: _Peer() for entry in entries if entry != own.entry}
        self._registered: frozenset[str] = frozenset(self._peers)

    @property
    def own(self) -> MemberDigest:
        """Latest digest of this daemon."""
        return self._own

    def start_round(self, own: MemberDigest) -> None:
        """Starts a gossip round with fresh versions of this daemon.

        :param own: the versions to tell; entry, incarnation and counter are kept.
        """
        self._own = own._replace(
            entry=self._own.entry,
            incarnation=self._own.incarnation,
            counter=self._own.counter + 1,
        )

    def digests(self) -> tuple[MemberDigest, ...]:
        """
        :returns: digest of this daemon first, then those of all peers heard of.
        """
        peers = (peer.digest for peer in self._peers.values())
        return (self._own, *(digest for digest in peers if digest is not None))

    def merge(self, digests: Iterable[MemberDigest], now_s: float) -> bool:
        """Takes over each digest that is newer than the one held.

        :param now_s: monotonic time in seconds.
        :returns: whether the view differs in more than counters, ages and demands.
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
        """Takes a later incarnation than one of this entry host that peers relay.

        A replaced entry host whose wall clock is behind its predecessor's would
        otherwise be ignored by its peers.

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
            # A relayed digest of the stopped incarnation may still arrive late.
            peer.digest = digest
            return
        peer.digest = digest
        peer.counter_advanced_s = now_s
        peer.evidence = None

    def record_contact(self, entry: str, now_s: float) -> bool:
        """Records that ``entry`` itself answered or called just now.

        :returns: whether it was taken for dead before.
        """
        peer = self._peers.get(entry)
        if peer is None or peer.digest is None:
            return False
        was_live = peer.is_live(now_s)
        peer.evidence = None
        peer.counter_advanced_s = now_s
        return not was_live

    def suspect(self, entry: str, evidence: FailureEvidence) -> None:
        """Takes ``entry`` for dead until it is heard of again."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.evidence = evidence

    def set_registered(self, entries: Iterable[str]) -> None:
        """Sets which entry hosts hold a registration that hasn't expired."""
        self._registered = frozenset(entries)

    def view(self, now_s: float) -> MembershipView:
        """
        :param now_s: monotonic time in seconds.
        :returns: snapshot of the membership.
        """
        reached = {entry for entry, peer in self._peers.items() if peer.is_live(now_s)}
        stopped = {entry for entry, peer in self._peers.items() if peer.is_stopped()}
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
        :returns: entry hosts among which queues are assigned. If none is registered,
            because all were replaced during one store outage, all of them are: no
            move can complete while the store is down.
        """
        registered = {digest.entry for digest in digests if digest.may_own_queues}
        return (reached & registered) or reached


def without_volatile_fields(digest: MemberDigest) -> MemberDigest:
    """
    :returns: the digest without what changes in each round: counter, age and demands.
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
