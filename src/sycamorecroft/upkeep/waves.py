"""Waves of upkeep that the operator asks for."""

from typing import NamedTuple


class Wave(NamedTuple):
    """Machines that are due for upkeep within ``duration_s`` seconds."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    concurrent_limit_count: int
