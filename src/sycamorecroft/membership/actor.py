"""Actor that owns the membership state, gossips with peers and probes them."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import DaemonActor, PublishedValue
from sycamorecroft.membership.state import (
    FailureEvidence,
    MemberDigest,
    MembershipState,
    MembershipView,
    ServiceDemand,
    without_volatile_fields,
)

_log = structlog.get_logger()

GOSSIP_FANOUT_COUNT = 1


class LocalVersions(NamedTuple):
    """Fields of this daemon's digest that are refreshed in each gossip round."""

    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool
    demands: tuple[ServiceDemand, ...] = ()


class GossipTick(NamedTuple):
    """Starts a gossip round."""


class GossipReceived(NamedTuple):
    """A peer sent its digests; the reply is the tuple of digests known here."""

    sender: str
    digests: tuple[MemberDigest, ...]


class GossipReplied(NamedTuple):
    """Reply of a peer to gossip; ``digests`` is ``None`` if the call timed out."""

    peer: str
    digests: tuple[MemberDigest, ...] | None


class ProbePeer(NamedTuple):
    """Requests a direct probe of a peer, outside the gossip rounds."""

    peer: str


class PeerProbed(NamedTuple):
    """Result of a direct probe; ``evidence`` is ``None`` if the peer is alive."""

    peer: str
    evidence: FailureEvidence | None


class SetRegistered(NamedTuple):
    """Sets the entry hosts whose registration has not expired."""

    entry_hosts: frozenset[str]


class StartLeaving(NamedTuple):
    """Stops this daemon from owning queues, ahead of a planned stop."""


class GossipPeer(ABC):
    """Connection to a peer for gossip and direct probes."""

    @abstractmethod
    def gossip(
        self,
        digests: tuple[MemberDigest, ...],
        callback: Callable[[str, tuple[MemberDigest, ...] | None], None],
    ) -> None:
        """Sends digests without waiting for the reply.

        :param callback: called with the peer's name and its digests, or ``None`` if
            the call failed.
        """

    @abstractmethod
    def probe(self) -> FailureEvidence | None:
        """Checks directly whether the peer is alive.

        :returns: evidence that the peer failed, or ``None`` if it replies.
        """


class MembershipActor(DaemonActor):
    """Gossips with peers and publishes the membership view.

    :param local_versions: returns the versions of this daemon; must not block.
    :param published: value to which each view is published.
    :param on_change: called in this actor with each view that differs from the previous
        one in more than counters, ages and demands; must not block.
    """

    def __init__(
        self,
        state: MembershipState,
        peers: Mapping[str, GossipPeer],
        clock: Clock,
        local_versions: Callable[[], LocalVersions],
        published: PublishedValue[MembershipView | None],
        on_change: Callable[[MembershipView], None],
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._state = state
        self._peers = peers
        self._clock = clock
        self._local_versions = local_versions
        self._published = published
        self._on_change = on_change
        self._rng = rng
        self._is_leaving = False
        self._last_live: tuple[str, ...] = ()
        self._last_stable_view: MembershipView | None = None
        self._pending_probes: set[str] = set()
        self._executor = ThreadPoolExecutor(max(1, len(peers)), "peer-probe")

    def on_stop(self) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def handle(self, message: object) -> object:
        match message:
            case GossipTick():
                self._gossip()
            case GossipReceived(sender, digests):
                return self._handle_gossip(sender, digests)
            case GossipReplied(peer, digests):
                self._handle_reply(peer, digests)
            case ProbePeer(peer):
                self._start_probe(peer)
            case PeerProbed(peer, evidence):
                self._handle_probe_result(peer, evidence)
            case SetRegistered(entry_hosts):
                self._state.set_registered(entry_hosts)
                self._publish()
            case StartLeaving():
                self._is_leaving = True
                self._gossip(fanout_count=len(self._peers))
        return None

    def _gossip(self, fanout_count: int = GOSSIP_FANOUT_COUNT) -> None:
        self._refresh_own()
        digests = self._state.digests()
        names = sorted(self._peers)
        for peer in self._rng.sample(names, min(fanout_count, len(names))):
            self._peers[peer].gossip(digests, self._forward_reply)
        self._publish()

    def _refresh_own(self) -> None:
        versions = self._local_versions()
        if self._is_leaving:
            versions = versions._replace(may_own_queues=False)
        self._state.start_round(self._state.own._replace(**versions._asdict()))

    def _forward_reply(
        self, peer: str, digests: tuple[MemberDigest, ...] | None
    ) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(GossipReplied(peer, digests))

    def _handle_gossip(
        self, sender: str, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...]:
        self._merge(sender, digests)
        return self._state.digests()

    def _handle_reply(
        self, peer: str, digests: tuple[MemberDigest, ...] | None
    ) -> None:
        if digests is None:
            self._start_probe(peer)
            return
        self._merge(peer, digests)

    def _merge(self, peer: str, digests: tuple[MemberDigest, ...]) -> None:
        """Merges digests, and publishes only if the view changed.

        Counters and ages are published by each gossip round anyway.
        """
        now_s = self._clock.monotonic_s()
        is_changed = self._state.merge(digests, now_s)
        if self._state.record_contact(peer, now_s) or is_changed:
            self._publish()

    def _start_probe(self, peer: str) -> None:
        if peer not in self._peers or peer in self._pending_probes:
            return
        self._pending_probes.add(peer)
        self._executor.submit(self._run_probe, peer)

    def _run_probe(self, peer: str) -> None:
        evidence = self._peers[peer].probe()
        if self.actor_ref.is_alive():
            self.actor_ref.tell(PeerProbed(peer, evidence))

    def _handle_probe_result(self, peer: str, evidence: FailureEvidence | None) -> None:
        self._pending_probes.discard(peer)
        if evidence is None:
            self._state.record_contact(peer, self._clock.monotonic_s())
        else:
            self._state.suspect(peer, evidence)
        self._publish()

    def _publish(self) -> None:
        view = self._state.view(self._clock.monotonic_s())
        if view.live != self._last_live:
            _log.info(
                "membership_changed",
                live=list(view.live),
                reached_count=len(view.reached),
                expected_count=view.expected_count,
            )
            self._last_live = view.live
        self._published.set(view)
        stable_view = view._replace(
            digests=tuple(map(without_volatile_fields, view.digests))
        )
        if stable_view != self._last_stable_view:
            self._last_stable_view = stable_view
            self._on_change(view)
