"""Estimate of service times from completed requests."""

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_COUNT = 2
"""Gains and shape of the retransmission timer of RFC 6298, which tracks a changing
mean and deviation in constant space. Two mean deviations cover about 92% of
exponentially distributed times."""

SHORTEST_HALF_LIFE_S = 2.0
"""An estimate that no longer gets samples must not refuse all requests for
good, since a service that admits nothing never gets a further sample."""


class ServiceTimeEstimate:
    """Mean and upper estimate of service times; both are 0 until the first sample."""

    __slots__ = ("_deviation_s", "_mean_s", "_sampled_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._sampled_s: float | None = None

    def add(self, service_time_s: float, now_s: float) -> None:
        """
        :param service_time_s: dispatch to end of response.
        """
        if self._sampled_s is None:
            self._mean_s = service_time_s
            self._deviation_s = service_time_s / 2
        else:
            error_s = service_time_s - self._mean_s
            self._mean_s += MEAN_GAIN * error_s
            self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._sampled_s = now_s

    @property
    def has_sample(self) -> bool:
        return self._sampled_s is not None

    def mean_s(self, now_s: float) -> float:
        """
        :returns: mean service time; halves for each half-life without a sample.
        """
        return self._mean_s * self._fading(now_s)

    def upper_s(self, now_s: float) -> float:
        """
        :returns: time within which most requests end.
        """
        upper_s = self._mean_s + DEVIATIONS_COUNT * self._deviation_s
        return upper_s * self._fading(now_s)

    def _fading(self, now_s: float) -> float:
        if self._sampled_s is None:
            return 1.0
        half_life_s = max(SHORTEST_HALF_LIFE_S, 2 * self._mean_s)
        idle_s = now_s - self._sampled_s
        if idle_s <= half_life_s:
            return 1.0
        return 0.5 ** (idle_s / half_life_s - 1)
