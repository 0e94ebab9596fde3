"""Actor that owns the membership state and gossips with peers."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import DaemonActor, PublishedValue
from sycamorecroft.membership.state import (
    Evidence,
    MemberDigest,
    MembershipState,
    MembershipView,
    ServiceDemand,
    without_counters,
)

_log = structlog.get_logger()

GOSSIP_FANOUT_COUNT = 1


class OwnVersions(NamedTuple):
    """What this daemon tells about itself in each gossip round."""

    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool
    demands: tuple[ServiceDemand, ...] = ()


class GossipTick(NamedTuple):
    """Start a gossip round."""


class GossipReceived(NamedTuple):
    """A peer sent its digests; the answer is a tuple of digests."""

    sender: str
    digests: tuple[MemberDigest, ...]


class GossipAnswered(NamedTuple):
    """A peer answered with its digests, or not in time."""

    peer: str
    digests: tuple[MemberDigest, ...] | None


class CheckPeer(NamedTuple):
    """Check directly whether a peer is alive."""

    peer: str


class PeerChecked(NamedTuple):
    """Result of a direct check; ``evidence`` ``None`` means alive."""

    peer: str
    evidence: Evidence | None


class SetRegistered(NamedTuple):
    """Entry hosts that hold a registration that hasn't expired."""

    entries: frozenset[str]


class StartLeaving(NamedTuple):
    """This daemon stops owning queues before a planned stop."""


class GossipPeer(ABC):
    """A peer to gossip with."""

    @abstractmethod
    def gossip(
        self,
        digests: tuple[MemberDigest, ...],
        callback: Callable[[str, tuple[MemberDigest, ...] | None], None],
    ) -> None:
        """Sends digests without waiting for the answer."""

    @abstractmethod
    def probe(self) -> Evidence | None:
        """
        :returns: ``None`` if the peer answers.
        """


class MembershipActor(DaemonActor):
    """Owner of the membership state.

    :param own_versions: returns the versions of this daemon; must not block.
    :param published: holder that this actor publishes each view to.
    :param listener: called in this actor when a view differs in more than counters
        and ages; must not block.
    """

    def __init__(
        self,
        state: MembershipState,
        peers: Mapping[str, GossipPeer],
        clock: Clock,
        own_versions: Callable[[], OwnVersions],
        published: PublishedValue[MembershipView | None],
        listener: Callable[[MembershipView], None],
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._state = state
        self._peers = peers
        self._clock = clock
        self._own_versions = own_versions
        self._published = published
        self._listener = listener
        self._random = rng
        self._is_leaving = False
        self._live: tuple[str, ...] = ()
        self._stable: MembershipView | None = None
        self._checking: set[str] = set()
        self._executor = ThreadPoolExecutor(max(1, len(peers)), "peer-check")

    def on_stop(self) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def handle(self, message: object) -> object:
        match message:
            case GossipTick():
                self._gossip()
            case GossipReceived(sender, digests):
                return self._receive(sender, digests)
            case GossipAnswered(peer, digests):
                self._answered(peer, digests)
            case CheckPeer(peer):
                self._check(peer)
            case PeerChecked(peer, evidence):
                self._checked(peer, evidence)
            case SetRegistered(entries):
                self._state.set_registered(entries)
                self._publish()
            case StartLeaving():
                self._is_leaving = True
                self._gossip(fanout_count=len(self._peers))
        return None

    def _gossip(self, fanout_count: int = GOSSIP_FANOUT_COUNT) -> None:
        self._refresh_own()
        digests = self._state.digests()
        names = sorted(self._peers)
        for name in self._random.sample(names, min(fanout_count, len(names))):
            self._peers[name].gossip(digests, self._forward_answer)
        self._publish()

    def _refresh_own(self) -> None:
        versions = self._own_versions()
        if self._is_leaving:
            versions = versions._replace(may_own_queues=False)
        self._state.advance(self._state.own._replace(**versions._asdict()))

    def _forward_answer(
        self, peer: str, digests: tuple[MemberDigest, ...] | None
    ) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(GossipAnswered(peer, digests))

    def _receive(
        self, sender: str, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...]:
        self._merge(sender, digests)
        return self._state.digests()

    def _answered(self, peer: str, digests: tuple[MemberDigest, ...] | None) -> None:
        if digests is None:
            self._check(peer)
            return
        self._merge(peer, digests)

    def _merge(self, peer: str, digests: tuple[MemberDigest, ...]) -> None:
        """Merges digests; publishes only news, as each gossip round publishes all."""
        now_s = self._clock.monotonic_s()
        is_changed = self._state.merge(digests, now_s)
        if self._state.hear_from(peer, now_s) or is_changed:
            self._publish()

    def _check(self, peer: str) -> None:
        if peer not in self._peers or peer in self._checking:
            return
        self._checking.add(peer)
        self._executor.submit(self._run_check, peer)

    def _run_check(self, peer: str) -> None:
        evidence = self._peers[peer].probe()
        if self.actor_ref.is_alive():
            self.actor_ref.tell(PeerChecked(peer, evidence))

    def _checked(self, peer: str, evidence: Evidence | None) -> None:
        self._checking.discard(peer)
        if evidence is None:
            self._state.hear_from(peer, self._clock.monotonic_s())
        else:
            self._state.suspect(peer, evidence)
        self._publish()

    def _publish(self) -> None:
        view = self._state.view(self._clock.monotonic_s())
        if view.live != self._live:
            _log.info(
                "membership_changed",
                live=list(view.live),
                reached_count=len(view.reached),
                expected_count=view.expected_count,
            )
            self._live = view.live
        self._published.set(view)
        stable = view._replace(digests=tuple(map(without_counters, view.digests)))
        if stable != self._stable:
            self._stable = stable
            self._listener(view)
