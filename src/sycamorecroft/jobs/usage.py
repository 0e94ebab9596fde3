"""Correction of declared sizes by observed usage."""

from collections import deque
from typing import NamedTuple

from sycamorecroft.store.interfaces import TaskSize

WINDOW_COUNT = 200
# With fewer observations the 95th percentile is the largest value or nearly so.
OBSERVATIONS_MIN_COUNT = 20
PERCENTILE_RATIO = 0.95
# Bounds against a service whose first jobs were idle or ran away.
CORRECTION_MIN_RATIO = 0.1
CORRECTION_MAX_RATIO = 4.0


class Correction(NamedTuple):
    """Factors by which the declared size of a service's jobs is multiplied."""

    processors_ratio: float
    memory_ratio: float


NO_CORRECTION = Correction(1.0, 1.0)


class UsageStatistics:
    """Ratios of used to declared size of the last jobs of each service."""

    def __init__(self) -> None:
        self._ratios: dict[str, deque[Correction]] = {}
        self._corrections: dict[str, Correction] = {}

    def add(self, service: str, *, declared: TaskSize, peak: TaskSize) -> None:
        """Adds a job that has ended, with its largest usage."""
        if declared.processors_count <= 0 or declared.memory_bytes <= 0:
            return
        ratios = self._ratios.setdefault(service, deque(maxlen=WINDOW_COUNT))
        ratio = Correction(
            peak.processors_count / declared.processors_count,
            peak.memory_bytes / declared.memory_bytes,
        )
        ratios.append(ratio)
        self._corrections.pop(service, None)

    def correction(self, service: str) -> Correction:
        """
        :returns: 95th percentile of used to declared size, by dimension.
        """
        ratios = self._ratios.get(service, ())
        if len(ratios) < OBSERVATIONS_MIN_COUNT:
            return NO_CORRECTION
        if service not in self._corrections:
            self._corrections[service] = Correction(
                _percentile([ratio.processors_ratio for ratio in ratios]),
                _percentile([ratio.memory_ratio for ratio in ratios]),
            )
        return self._corrections[service]

    def corrected(self, service: str, declared: TaskSize) -> TaskSize:
        """
        :returns: the size to place; accelerators are never corrected.
        """
        ratio = self.correction(service)
        return TaskSize(
            declared.processors_count * ratio.processors_ratio,
            int(declared.memory_bytes * ratio.memory_ratio),
            declared.accelerators_count,
        )


def _percentile(values: list[float]) -> float:
    position = min(len(values) - 1, int(len(values) * PERCENTILE_RATIO))
    value = sorted(values)[position]
    return min(CORRECTION_MAX_RATIO, max(CORRECTION_MIN_RATIO, value))


def largest(left: TaskSize, right: TaskSize) -> TaskSize:
    """
    :returns: the larger value of each dimension.
    """
    return TaskSize(*map(max, left, right))
