"""Index of workers by load, which selects one at a cost independent of their number."""

from random import Random

LEVELS_COUNT = 16
"""Number of load levels; workers of the same level count as equally loaded."""

SAMPLE_COUNT = 4
"""Number of workers of the least loaded level that are compared (power of d
choices)."""


class _Level:
    """Set with constant-time insertion, removal and random access."""

    __slots__ = ("_index_by_host", "members")

    def __init__(self) -> None:
        self.members: list[str] = []
        self._index_by_host: dict[str, int] = {}

    def add(self, host: str) -> None:
        self._index_by_host[host] = len(self.members)
        self.members.append(host)

    def remove(self, host: str) -> None:
        position = self._index_by_host.pop(host)
        last = self.members.pop()
        if last != host:
            self.members[position] = last
            self._index_by_host[last] = position


class WorkerIndex:
    """Workers that may get a grant, by load level."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._levels = [_Level() for _ in range(LEVELS_COUNT)]
        self._level_by_host: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_by_host)

    def set_level(self, host: str, level: int | None) -> None:
        """Adds, moves or removes a worker.

        :param level: load level from 0, ``None`` if the worker may get no grant.
        """
        current = self._level_by_host.get(host)
        if current == level:
            return
        if current is not None:
            self._levels[current].remove(host)
            del self._level_by_host[host]
        if level is not None:
            self._levels[level].add(host)
            self._level_by_host[host] = level

    def sample(self, excluded: tuple[str, ...]) -> list[str]:
        """
        :returns: up to ``SAMPLE_COUNT`` workers outside ``excluded``, of the least
            loaded level that has any; empty if there are none.
        """
        for level in self._levels:
            if level.members:
                hosts = self._sample_members(level.members, excluded)
                if hosts:
                    return hosts
        return []

    def _sample_members(
        self, members: list[str], excluded: tuple[str, ...]
    ) -> list[str]:
        count = min(len(members), SAMPLE_COUNT + len(excluded))
        start = self._random.randrange(len(members))
        hosts = []
        for offset in range(count):
            host = members[(start + offset) % len(members)]
            if host not in excluded:
                hosts.append(host)
        return hosts[:SAMPLE_COUNT]
