"""Exponential backoff with full jitter.

See M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
"""

import random


class Backoff:
    """Generates the delays between successive attempts. Not thread-safe.

    :param base_s: upper bound of the first delay in seconds.
    :param cap_s: upper bound of all delays in seconds.
    :param random_source: source of the jitter.
    """

    def __init__(
        self, base_s: float, cap_s: float, random_source: random.Random
    ) -> None:
        self._base_s = base_s
        self._cap_s = cap_s
        self._random = random_source
        self._bound_s = base_s

    def next_delay_s(self) -> float:
        """
        :returns: a uniformly distributed delay in seconds; its upper bound doubles on
            each call.
        """
        delay_s = self._random.uniform(0.0, self._bound_s)
        self._bound_s = min(self._cap_s, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Resets the upper bound to ``base_s``; called after a successful attempt."""
        self._bound_s = self._base_s
