"""Ownership of service queues by rendezvous hashing over the live entry hosts."""

from collections.abc import Iterable
from hashlib import blake2b

_WEIGHT_SIZE_BYTES = 8


def _rendezvous_weight(key: str, entry: str) -> bytes:
    text = f"{key}\0{entry}".encode()
    return blake2b(text, digest_size=_WEIGHT_SIZE_BYTES).digest()


def rank_owners(key: str, entries: Iterable[str]) -> tuple[str, ...]:
    """Orders entry hosts by rendezvous weight for a key.

    Only keys of a lost entry host change their owner, and they spread over all others
    (highest random weight, Thaler and Ravishankar 1998).

    :param key: name of a service queue.
    :param entries: names of entry hosts.
    :returns: entry hosts, the owner first and then the order of failover.
    """
    return tuple(
        sorted(entries, key=lambda entry: _rendezvous_weight(key, entry), reverse=True)
    )


def owner_of(key: str, entries: Iterable[str]) -> str | None:
    """
    :returns: the owner of ``key``, or ``None`` if there is no entry host.
    """
    return max(entries, key=lambda entry: _rendezvous_weight(key, entry), default=None)
