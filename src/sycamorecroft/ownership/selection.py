"""Selects the entry host that should own a service."""

import hashlib
from collections.abc import Mapping

from sycamorecroft.ownership.capacity import EntryHostLoad

# An owner hands a service over to an entry host whose cost would be lower by this
# factor. A change of owner delays starts by some tenths of a second, so that small
# differences aren't worth it.
HANDOVER_COST_RATIO = 4.0
# Others must have been better for this long, so that services don't move while entry
# hosts start or fail.
HANDOVER_DELAY_S = 3.0


def preferred_entry_host(service: str, loads: Mapping[str, EntryHostLoad]) -> str:
    """
    :param loads: load of each candidate, at least one.
    :returns: the candidate that would own the fewest services for its capacity. Ties
        are broken by rendezvous hashing (Thaler and Ravishankar, 1998).
    """

    def rank(entry_host: str) -> tuple[float, bytes]:
        text = f"{service}/{entry_host}".encode()
        cost = loads[entry_host].with_another_service().cost
        return (cost, hashlib.blake2b(text, digest_size=8).digest())

    return min(loads, key=rank)


class HandoverTimer:
    """Decides when an owner hands a service over. Not thread-safe."""

    def __init__(self) -> None:
        self._overloaded_since_s: float | None = None

    def is_due(
        self, entry_host: str, loads: Mapping[str, EntryHostLoad], now_s: float
    ) -> bool:
        """
        :param entry_host: an owner.
        :param loads: load of each candidate; empty while services have no owner.
        :param now_s: monotonic time.
        :returns: whether another entry host has had much more capacity to spare for
            :data:`HANDOVER_DELAY_S`. The time then starts anew.
        """
        if not _is_overloaded(entry_host, loads):
            self._overloaded_since_s = None
            return False
        if self._overloaded_since_s is None:
            self._overloaded_since_s = now_s
        if now_s - self._overloaded_since_s < HANDOVER_DELAY_S:
            return False
        self._overloaded_since_s = None
        return True


def _is_overloaded(entry_host: str, loads: Mapping[str, EntryHostLoad]) -> bool:
    others = [load for name, load in loads.items() if name != entry_host]
    if entry_host not in loads or not others:
        return False
    best_cost = min(load.with_another_service().cost for load in others)
    return loads[entry_host].cost >= HANDOVER_COST_RATIO * best_cost
