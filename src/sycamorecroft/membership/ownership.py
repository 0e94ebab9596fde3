"""Assignment of service queues to live entry hosts by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

_WEIGHT_SIZE_BYTES = 8


def _rendezvous_weight(key: str, entry_host: str) -> bytes:
    text = f"{key}\0{entry_host}".encode()
    return blake2b(text, digest_size=_WEIGHT_SIZE_BYTES).digest()


def rank_owners(key: str, entry_hosts: Iterable[str]) -> tuple[str, ...]:
    """Ranks entry hosts by their rendezvous weight for a key.

    When an entry host fails, only the keys that it owned change their owner, and they
    spread over all remaining ones (highest random weight, Thaler and Ravishankar 1998).

    :param key: name of a service queue or a lease.
    :param entry_hosts: names of entry hosts.
    :returns: entry hosts in failover order, starting with the owner.
    """
    return tuple(
        sorted(
            entry_hosts,
            key=lambda entry_host: _rendezvous_weight(key, entry_host),
            reverse=True,
        )
    )


def owner_of(key: str, entry_hosts: Iterable[str]) -> str | None:
    """Selects the entry host with the highest rendezvous weight for a key.

    :returns: the owner of ``key``, or ``None`` if ``entry_hosts`` is empty.
    """
    return max(
        entry_hosts,
        key=lambda entry_host: _rendezvous_weight(key, entry_host),
        default=None,
    )
