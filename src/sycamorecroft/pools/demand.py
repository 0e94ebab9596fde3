"""Number of hosts that each pool needs, derived from measured demand."""

import math
from collections import deque
from typing import NamedTuple

# Demand is averaged over this window, so that peaks of a few seconds are absorbed by
# queueing.
AVERAGE_WINDOW_S = 60.0
# A pool releases a host only after its need was lower for this time (hysteresis).
RELEASE_WINDOW_S = 600.0


class PoolNeed(NamedTuple):
    """Number of hosts that a pool needs.

    ``release_count`` is the highest need within the release window; the pool releases
    only hosts beyond it. ``expected_duration_s`` is how long the need is expected to
    exceed the supply: as long as it has done so already, which bounds the cost of
    waiting by the cost of a move (rent-or-buy).
    """

    needed_count: int
    release_count: int
    expected_duration_s: float


class _Sample(NamedTuple):
    time_s: float
    value: float


class DemandTracker:
    """Derives the need of one pool from samples of its demand.

    :param headroom_ratio: share of each host's capacity that is kept free.
    """

    def __init__(self, *, headroom_ratio: float = 0.1) -> None:
        self._headroom_ratio = headroom_ratio
        self._samples: deque[_Sample] = deque()
        self._needs: deque[_Sample] = deque()

    def observe(self, demand_hosts: float, now_s: float) -> None:
        """Records a sample of the demand.

        :param demand_hosts: demand in fully utilized hosts.
        :param now_s: monotonic time in seconds, not before that of earlier samples.
        """
        self._samples.append(_Sample(now_s, demand_hosts))
        _drop_before(self._samples, now_s - AVERAGE_WINDOW_S)
        mean = sum(sample.value for sample in self._samples) / len(self._samples)
        needed_count = math.ceil(mean / (1 - self._headroom_ratio) - 1e-9)
        self._needs.append(_Sample(now_s, needed_count))
        _drop_before(self._needs, now_s - RELEASE_WINDOW_S)

    def need(self, supply_count: int, now_s: float) -> PoolNeed:
        """
        :param supply_count: hosts of the pool in service and hosts moving to it.
        :param now_s: monotonic time in seconds.
        :returns: the need; zero before the first sample.
        """
        if not self._needs:
            return PoolNeed(0, 0, 0.0)
        shortage_since_s = now_s
        for sample in reversed(self._needs):
            if sample.value <= supply_count:
                break
            shortage_since_s = sample.time_s
        return PoolNeed(
            needed_count=int(self._needs[-1].value),
            release_count=int(max(sample.value for sample in self._needs)),
            expected_duration_s=now_s - shortage_since_s,
        )


def _drop_before(samples: deque[_Sample], time_s: float) -> None:
    while samples and samples[0].time_s <= time_s:
        samples.popleft()
