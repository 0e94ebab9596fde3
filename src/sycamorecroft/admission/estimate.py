"""Estimates service times from completed requests."""

# Gains of the retransmission timer of RFC 6298, which tracks a changing mean and mean
# deviation in constant space. Two mean deviations above the mean cover about 92% of
# exponentially distributed times.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
UPPER_DEVIATIONS_COUNT = 2

# An estimate without new samples decays. Otherwise a high estimate could refuse every
# request, and a service that admits none never gets another sample.
MIN_HALF_LIFE_S = 2.0


class ServiceTimeEstimate:
    """Mean and upper bound of service times; both are 0 until the first sample."""

    __slots__ = ("_deviation_s", "_last_sample_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._last_sample_s: float | None = None

    def add(self, service_time_s: float, now_s: float) -> None:
        """Adds a sample.

        :param service_time_s: time from dispatch to the end of the response.
        """
        if self._last_sample_s is None:
            self._mean_s = service_time_s
            self._deviation_s = service_time_s / 2
        else:
            error_s = service_time_s - self._mean_s
            self._mean_s += MEAN_GAIN * error_s
            self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._last_sample_s = now_s

    @property
    def has_sample(self) -> bool:
        return self._last_sample_s is not None

    def mean_s(self, now_s: float) -> float:
        """
        :returns: mean service time in seconds, halved for each half-life without a
            sample after the first one.
        """
        return self._mean_s * self._decay_factor(now_s)

    def upper_s(self, now_s: float) -> float:
        """
        :returns: time in seconds within which most requests complete; decays like
            :meth:`mean_s`.
        """
        upper_s = self._mean_s + UPPER_DEVIATIONS_COUNT * self._deviation_s
        return upper_s * self._decay_factor(now_s)

    def _decay_factor(self, now_s: float) -> float:
        if self._last_sample_s is None:
            return 1.0
        half_life_s = max(MIN_HALF_LIFE_S, 2 * self._mean_s)
        sample_age_s = now_s - self._last_sample_s
        if sample_age_s <= half_life_s:
            return 1.0
        return 0.5 ** (sample_age_s / half_life_s - 1)
