"""Index of workers by load, for a choice whose cost doesn't grow with their number."""

from random import Random

LEVELS_COUNT = 16
"""Load levels of the index; workers of a level count as equally loaded."""

SAMPLE_COUNT = 4
"""Workers of the least loaded level that are compared (power of d choices)."""


class _Level:
    """Set with constant-time add, remove and random access."""

    __slots__ = ("members", "_positions")

    def __init__(self) -> None:
        self.members: list[str] = []
        self._positions: dict[str, int] = {}

    def add(self, host: str) -> None:
        self._positions[host] = len(self.members)
        self.members.append(host)

    def remove(self, host: str) -> None:
        position = self._positions.pop(host)
        last = self.members.pop()
        if last != host:
            self.members[position] = last
            self._positions[last] = position


class WorkerIndex:
    """Workers that may take a grant, by load level."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._levels = [_Level() for _ in range(LEVELS_COUNT)]
        self._level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def place(self, host: str, level: int | None) -> None:
        """
        :param level: load level from 0, ``None`` when the worker takes no grant.
        """
        current = self._level_of.get(host)
        if current == level:
            return
        if current is not None:
            self._levels[current].remove(host)
            del self._level_of[host]
        if level is not None:
            self._levels[level].add(host)
            self._level_of[host] = level

    def sample(self, excluded: tuple[str, ...]) -> list[str]:
        """
        :returns: up to ``SAMPLE_COUNT`` workers of the least loaded level that has
            any outside ``excluded``; empty if there are none.
        """
        for level in self._levels:
            if level.members:
                hosts = self._sample_level(level.members, excluded)
                if hosts:
                    return hosts
        return []

    def _sample_level(self, members: list[str], excluded: tuple[str, ...]) -> list[str]:
        count = min(len(members), SAMPLE_COUNT + len(excluded))
        start = self._random.randrange(len(members))
        hosts = []
        for offset in range(count):
            host = members[(start + offset) % len(members)]
            if host not in excluded:
                hosts.append(host)
        return hosts[:SAMPLE_COUNT]
