"""Tests that heartbeats replace only digests that the receiver knows."""

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.gossip import GossipCodec


def make_digest(entry: str, counter: int, staged_version: int = 1) -> MemberDigest:
    return MemberDigest(entry, "i1", counter, staged_version, 1, 7, counter * 10, True)


def exchange(
    sender: GossipCodec, receiver: GossipCodec, *digests: MemberDigest
) -> tuple[int, tuple[MemberDigest, ...]]:
    """
    :returns: number of heartbeats in the message, and the digests that the receiver
        decodes.
    """
    message = sender.encode("b", digests)
    return len(message.heartbeats), receiver.decode("a", message)


def test_heartbeats_advance_counters_of_digests_that_the_peer_knows():
    """Guards against full digests in every round, and against counters lost in them."""
    a, b = GossipCodec("a"), GossipCodec("b")
    assert exchange(a, b, make_digest("a", 1), make_digest("c", 5))[0] == 0
    a.decode(
        "b",
        b.encode("a", [make_digest("a", 1), make_digest("b", 1), make_digest("c", 5)]),
    )
    count, received = exchange(a, b, make_digest("a", 2), make_digest("c", 6))
    assert count == 2
    assert set(received) == {make_digest("a", 2), make_digest("c", 6)}


def test_changed_digest_is_sent_in_full():
    """Guards against a heartbeat that hides a new staged version from the peer."""
    a, b = GossipCodec("a"), GossipCodec("b")
    a.decode("b", b.encode("a", [make_digest("a", 1)]))
    count, received = exchange(a, b, make_digest("a", 2, staged_version=2))
    assert count == 0
    assert received == (make_digest("a", 2, staged_version=2),)


def test_restarted_peer_gets_full_digests_again():
    """Guards against heartbeats for digests that a restarted daemon no longer knows."""
    a, b = GossipCodec("a"), GossipCodec("b")
    a.decode("b", b.encode("a", [make_digest("c", 5)]))
    restarted = GossipCodec("b")
    count, received = exchange(a, restarted, make_digest("c", 6))
    assert (count, received) == (1, ())
    a.decode("b", restarted.encode("a", [make_digest("b", 1)]))
    assert exchange(a, restarted, make_digest("c", 7)) == (0, (make_digest("c", 7),))


def test_callers_with_invented_names_are_not_remembered_without_end():
    """Guards against a caller that makes a daemon remember what thousands of peers
    know, under a new name each time."""
    codec = GossipCodec("a")
    message = GossipCodec("b").encode("a", ())
    for number in range(10_000):
        codec.decode(f"peer-{number}", message)
    assert len(codec._peer_fingerprints) < 1000
