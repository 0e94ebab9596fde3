"""Where decisions are counted and durations recorded, independent of the exporter."""

from abc import ABC, abstractmethod

from sycamorecroft.metrics import Metric


class Recorder(ABC):
    """Counts and durations. Thread-safe; attributes must be of bounded cardinality."""

    @abstractmethod
    def count(self, metric: Metric, **attributes: str) -> None:
        """Adds one to a counter."""

    @abstractmethod
    def record(self, metric: Metric, duration_s: float, **attributes: str) -> None:
        """Records a duration in a histogram."""


class NullRecorder(Recorder):
    """Records nothing."""

    def count(self, metric: Metric, **attributes: str) -> None:
        pass

    def record(self, metric: Metric, duration_s: float, **attributes: str) -> None:
        pass
