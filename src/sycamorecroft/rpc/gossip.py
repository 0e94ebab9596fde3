"""Encoding of gossip messages, with heartbeats in place of unchanged digests."""

from collections.abc import Iterable, Iterator
from zlib import crc32

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.codec import decode_digest, encode_digest
from sycamorecroft.rpc.generated import peer_pb2

# The settings list fewer entry hosts.
_ENTRIES_LIMIT_COUNT = 128


class _DigestFingerprint:
    """Digest of a member with the fingerprint of its rarely changing fields."""

    def __init__(self, digest: MemberDigest) -> None:
        self.stable = _without_heartbeat_fields(digest)
        self.fingerprint = crc32(encode_digest(self.stable).SerializeToString())


class GossipCodec:
    """Converts digests to gossip messages for each peer and back.

    Each message lists all digests that its sender knows. A digest whose fingerprint was
    in the peer's last message is sent as a heartbeat, which carries only its counter
    and store contact age. A peer that restarted no longer lists the digests it lost, so
    it gets full digests again. A heartbeat with an unknown fingerprint is ignored. If
    two digests have the same fingerprint, an update is delayed until the next change.

    Not thread-safe; called on the event loop only.

    :param own_entry_host: name of this entry host.
    """

    def __init__(self, own_entry_host: str) -> None:
        self._own_entry_host = own_entry_host
        self._fingerprints: dict[str, _DigestFingerprint] = {}
        self._peer_fingerprints: dict[str, dict[str, int]] = {}

    def encode(
        self, peer: str, digests: Iterable[MemberDigest]
    ) -> peer_pb2.GossipDigest:
        """
        :param peer: name of the entry host that receives the message.
        :param digests: all digests that this daemon knows; an empty message requests
            all digests of the peer in full.
        :returns: the message, in which digests that the peer knows are heartbeats.
        """
        peer_fingerprints = self._peer_fingerprints.get(peer, {})
        members, heartbeats = [], []
        for digest in digests:
            fingerprint = self._fingerprint(digest)
            if peer_fingerprints.get(digest.entry) != fingerprint:
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
            sender=self._own_entry_host, members=members, heartbeats=heartbeats
        )

    def decode(
        self, peer: str, message: peer_pb2.GossipDigest
    ) -> tuple[MemberDigest, ...]:
        """
        :param peer: name of the entry host that sent the message.
        :returns: full digests, and digests rebuilt from heartbeats whose fingerprint is
            known here.
        """
        members = [decode_digest(member) for member in message.members]
        peer_fingerprints = {
            heartbeat.entry: heartbeat.fingerprint for heartbeat in message.heartbeats
        }
        peer_fingerprints.update(
            (digest.entry, _DigestFingerprint(digest).fingerprint) for digest in members
        )
        self._remember(peer, peer_fingerprints)
        return (*members, *self._expand_heartbeats(message.heartbeats))

    def _remember(self, peer: str, fingerprints: dict[str, int]) -> None:
        """Keeps what a peer knows, within the size of a fleet, whoever calls."""
        if len(fingerprints) > _ENTRIES_LIMIT_COUNT:
            fingerprints = {}
        self._peer_fingerprints.pop(peer, None)
        self._peer_fingerprints[peer] = fingerprints
        if len(self._peer_fingerprints) > _ENTRIES_LIMIT_COUNT:
            del self._peer_fingerprints[next(iter(self._peer_fingerprints))]

    def _fingerprint(self, digest: MemberDigest) -> int:
        known = self._fingerprints.get(digest.entry)
        if known is None or known.stable != _without_heartbeat_fields(digest):
            known = self._fingerprints[digest.entry] = _DigestFingerprint(digest)
        return known.fingerprint

    def _expand_heartbeats(
        self, heartbeats: Iterable[peer_pb2.Heartbeat]
    ) -> Iterator[MemberDigest]:
        for heartbeat in heartbeats:
            known = self._fingerprints.get(heartbeat.entry)
            if known is not None and known.fingerprint == heartbeat.fingerprint:
                yield known.stable._replace(
                    counter=heartbeat.counter,
                    store_contact_age_ms=heartbeat.store_contact_age_ms,
                )


def _without_heartbeat_fields(digest: MemberDigest) -> MemberDigest:
    return digest._replace(counter=0, store_contact_age_ms=0)
