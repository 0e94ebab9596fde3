"""Running estimate of a duration that varies."""

# Weights of the latest value in the mean and in the mean deviation, as for the
# retransmission timeout of TCP (Jacobson, 1988).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4


class DurationEstimate:
    """Moving mean and mean deviation of a duration, 0 before the first value."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record(self, duration_s: float) -> None:
        """Adds a value."""
        if self._mean_s is None:
            self._mean_s = duration_s
            return
        error_s = duration_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    @property
    def upper_s(self) -> float:
        """Mean plus mean deviation, which most values don't exceed."""
        return (self._mean_s or 0.0) + self._deviation_s
