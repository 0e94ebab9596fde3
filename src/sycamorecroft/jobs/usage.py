"""Corrects declared job sizes by the usage observed in earlier jobs of the service."""

from collections import deque
from typing import NamedTuple

from sycamorecroft.store.interfaces import TaskSize

WINDOW_JOBS_COUNT = 200
# With fewer observations the 95th percentile is close to the maximum.
OBSERVATIONS_MIN_COUNT = 20
PERCENTILE_RATIO = 0.95
# Bounds the correction for a service whose first jobs used almost nothing or far too
# much.
CORRECTION_MIN_RATIO = 0.1
CORRECTION_MAX_RATIO = 4.0


class Correction(NamedTuple):
    """Factors by which the declared sizes of a service's jobs are multiplied."""

    processors_ratio: float
    memory_ratio: float


NO_CORRECTION = Correction(1.0, 1.0)


class UsageStatistics:
    """Ratios of used to declared size of each service's most recent jobs."""

    def __init__(self) -> None:
        self._ratios: dict[str, deque[Correction]] = {}
        self._corrections: dict[str, Correction] = {}

    def add(self, service: str, *, declared: TaskSize, peak: TaskSize) -> None:
        """Records the largest usage of a job that has ended.

        A job that declares no processors or no memory is ignored.
        """
        if declared.processors_count <= 0 or declared.memory_bytes <= 0:
            return
        ratios = self._ratios.setdefault(service, deque(maxlen=WINDOW_JOBS_COUNT))
        ratio = Correction(
            peak.processors_count / declared.processors_count,
            peak.memory_bytes / declared.memory_bytes,
        )
        ratios.append(ratio)
        self._corrections.pop(service, None)

    def correction(self, service: str) -> Correction:
        """
        :returns: 95th percentile of the ratio of used to declared size, by dimension,
            or no correction while there are too few observations.
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
        :returns: the size to use for placement; accelerators are never corrected.
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


def elementwise_max(left: TaskSize, right: TaskSize) -> TaskSize:
    """
    :returns: the larger of both values in each dimension.
    """
    return TaskSize(*map(max, left, right))
