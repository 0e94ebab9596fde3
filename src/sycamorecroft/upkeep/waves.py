"""Waves of upkeep that the operator requests."""

from typing import NamedTuple


class Wave(NamedTuple):
    """Hosts whose upkeep must complete within ``duration_s`` seconds.

    ``concurrent_limit_count``: number of hosts that may be in upkeep at the same time.
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    concurrent_limit_count: int
