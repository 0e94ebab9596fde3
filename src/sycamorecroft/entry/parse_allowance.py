"""Allowance for requests that are costly to parse.

Heads and chunks cost processor time by lines, not by bytes. A crowd that sends tiny
chunks would otherwise keep the polling thread from everyone else.
"""

from sycamorecroft.clock import Clock

# About 2 us a line on a core of 2024, hence a tenth of its time.
LINES_PER_S = 50_000
# A body of 262,144 bytes in chunks of 16 bytes has 32,768 lines.
BURST_LINES = 50_000
TURN_LINES = 1_000
# An ordinary head has fewer fields.
LIGHT_LINES = 64
LIGHT_BYTES_PER_LINE = 256


def is_costly(lines_count: int, body_bytes: int) -> bool:
    """
    :param lines_count: lines of the request's head and chunks so far.
    :param body_bytes: bytes of its body so far.
    :returns: whether the request has to wait for an allowance.
    """
    if lines_count <= LIGHT_LINES:
        return False
    return body_bytes < (lines_count - LIGHT_LINES) * LIGHT_BYTES_PER_LINE


class ParseAllowance:
    """Token bucket of lines. Not thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines = float(BURST_LINES)
        self._refilled_s = clock.monotonic_s()

    def is_available(self) -> bool:
        """
        :returns: whether some lines may be parsed now.
        """
        now_s = self._clock.monotonic_s()
        refill = max(0.0, now_s - self._refilled_s) * LINES_PER_S
        self._lines = min(float(BURST_LINES), self._lines + refill)
        self._refilled_s = now_s
        return self._lines > 0

    def take(self, lines_count: int) -> None:
        """Takes lines that were parsed; the allowance may fall below 0."""
        self._lines -= lines_count

    def wait_s(self) -> float:
        """
        :returns: time in seconds until the lines of a turn are available.
        """
        return max(0.0, (TURN_LINES - self._lines) / LINES_PER_S)
