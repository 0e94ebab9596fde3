"""Gossip messages carry heartbeats only for digests that the receiver holds."""

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.gossip import GossipCodec


def digest(entry: str, counter: int, staged_version: int = 1) -> MemberDigest:
    return MemberDigest(entry, "i1", counter, staged_version, 1, 7, counter * 10, True)


def exchange(
    sender: GossipCodec, receiver: GossipCodec, *digests: MemberDigest
) -> tuple[int, tuple[MemberDigest, ...]]:
    """
    :returns: number of heartbeats, and what the receiver makes of the message.
    """
    message = sender.encode("b", digests)
    return len(message.heartbeats), receiver.decode("a", message)


def test_heartbeats_raise_counters_of_digests_that_the_peer_named():
    a, b = GossipCodec("a"), GossipCodec("b")
    assert exchange(a, b, digest("a", 1), digest("c", 5))[0] == 0
    a.decode("b", b.encode("a", [digest("a", 1), digest("b", 1), digest("c", 5)]))
    count, received = exchange(a, b, digest("a", 2), digest("c", 6))
    assert count == 2
    assert set(received) == {digest("a", 2), digest("c", 6)}


def test_a_changed_digest_is_sent_whole():
    """A heartbeat would hide a staged version until some other change."""
    a, b = GossipCodec("a"), GossipCodec("b")
    a.decode("b", b.encode("a", [digest("a", 1)]))
    count, received = exchange(a, b, digest("a", 2, staged_version=2))
    assert count == 0
    assert received == (digest("a", 2, staged_version=2),)


def test_a_restarted_peer_gets_whole_digests_again():
    """A restarted daemon holds nothing that heartbeats could refer to."""
    a, b = GossipCodec("a"), GossipCodec("b")
    a.decode("b", b.encode("a", [digest("c", 5)]))
    restarted = GossipCodec("b")
    count, received = exchange(a, restarted, digest("c", 6))
    assert (count, received) == (1, ())
    a.decode("b", restarted.encode("a", [digest("b", 1)]))
    assert exchange(a, restarted, digest("c", 7)) == (0, (digest("c", 7),))
