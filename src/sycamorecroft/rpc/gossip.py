"""Gossip messages in which unchanged digests are named by fingerprints."""

from collections.abc import Iterable, Iterator
from zlib import crc32

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.codec import decode_digest, encode_digest
from sycamorecroft.rpc.generated import peer_pb2


class _Facts:
    """A digest of a member and the fingerprint of what changes rarely in it."""

    def __init__(self, digest: MemberDigest) -> None:
        self.stable = _without_counters(digest)
        self.fingerprint = crc32(encode_digest(self.stable).SerializeToString())


class GossipCodec:
    """Converts digests to messages for each peer and back.

    Each message names all digests that its sender holds. A digest whose fingerprint the
    peer named in its last message goes as a heartbeat: its counter and age without the
    rest. A peer that restarted names nothing it lost, so it gets whole digests again. A
    heartbeat with an unknown fingerprint is ignored, which two digests with the same
    fingerprint only delay until the next change. Not thread-safe; the loop calls it.

    :param own_entry: name of this entry host.
    """

    def __init__(self, own_entry: str) -> None:
        self._own_entry = own_entry
        self._facts: dict[str, _Facts] = {}
        self._named: dict[str, dict[str, int]] = {}

    def encode(
        self, peer: str, digests: Iterable[MemberDigest]
    ) -> peer_pb2.GossipDigest:
        """
        :param peer: name of the entry host that gets the message.
        :param digests: all digests that this daemon holds; none asks for all of the
            peer's.
        """
        named = self._named.get(peer, {})
        members, heartbeats = [], []
        for digest in digests:
            fingerprint = self._fingerprint(digest)
            if named.get(digest.entry) != fingerprint:
                members.append(encode_digest(digest))
                continue
            heartbeat = peer_pb2.Heartbeat(
                entry=digest.entry,
                counter=digest.counter,
                fingerprint=fingerprint,
                store_contact_age_ms=digest.store_contact_age_ms,
            )
            heartbeats.append(heartbeat)
        return peer_pb2.GossipDigest(
            sender=self._own_entry, members=members, heartbeats=heartbeats
        )

    def decode(
        self, peer: str, message: peer_pb2.GossipDigest
    ) -> tuple[MemberDigest, ...]:
        """
        :param peer: name of the entry host that sent the message.
        :returns: whole digests, and heartbeats of members whose digests are held.
        """
        members = [decode_digest(member) for member in message.members]
        named = {beat.entry: beat.fingerprint for beat in message.heartbeats}
        named.update((digest.entry, _Facts(digest).fingerprint) for digest in members)
        self._named[peer] = named
        return (*members, *self._revive(message.heartbeats))

    def _fingerprint(self, digest: MemberDigest) -> int:
        facts = self._facts.get(digest.entry)
        if facts is None or facts.stable != _without_counters(digest):
            facts = self._facts[digest.entry] = _Facts(digest)
        return facts.fingerprint

    def _revive(
        self, heartbeats: Iterable[peer_pb2.Heartbeat]
    ) -> Iterator[MemberDigest]:
        for beat in heartbeats:
            facts = self._facts.get(beat.entry)
            if facts is not None and facts.fingerprint == beat.fingerprint:
                yield facts.stable._replace(
                    counter=beat.counter,
                    store_contact_age_ms=beat.store_contact_age_ms,
                )


def _without_counters(digest: MemberDigest) -> MemberDigest:
    return digest._replace(counter=0, store_contact_age_ms=0)
