"""Interface for counters and histograms, independent of the exporter."""

from abc import ABC, abstractmethod

from sycamorecroft.metrics import Metric


class Recorder(ABC):
    """Records metric values. Thread-safe; attributes must have bounded cardinality."""

    @abstractmethod
    def count(self, metric: Metric, **attributes: str) -> None:
        """Increments a counter by 1."""

    @abstractmethod
    def record(self, metric: Metric, duration_s: float, **attributes: str) -> None:
        """Records a duration in a histogram."""


class NullRecorder(Recorder):
    """Discards all values."""

    def count(self, metric: Metric, **attributes: str) -> None:
        pass

    def record(self, metric: Metric, duration_s: float, **attributes: str) -> None:
        pass
