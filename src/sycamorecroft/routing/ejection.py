"""Ejection of a failing worker: growing pauses, each ended by one probe request."""

from enum import Enum, auto

FAILURES_COUNT = 3
"""Failures in a row that eject a worker, since one broken response may be due to
the request; a dead worker reaches three within one round of its slots."""

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 30.0
"""A restarted worker returns within half a minute; a dead one costs one
failed request per pause."""

CROWDED_PAUSE_S = 1.0
"""Bound of the pause while more than half of the pool is ejected. The cause is then
probably common (a network fault near this host), and the pool must return at once
when it ends."""


class _Phase(Enum):
    HEALTHY = auto()
    EJECTED = auto()
    PROBING = auto()


class WorkerHealth:
    """Health of one worker as seen through the results of its grants."""

    __slots__ = ("_failures_count", "_pause_s", "_phase", "_probe", "until_s")

    def __init__(self) -> None:
        self._phase = _Phase.HEALTHY
        self._failures_count = 0
        self._pause_s = FIRST_PAUSE_S
        self._probe: str | None = None
        self.until_s = 0.0

    @property
    def is_healthy(self) -> bool:
        return self._phase is _Phase.HEALTHY

    @property
    def is_ejected(self) -> bool:
        return self._phase is _Phase.EJECTED

    @property
    def allows_grant(self) -> bool:
        """
        :returns: whether the worker may get a grant: any while healthy, one probe.
        """
        if self._phase is _Phase.PROBING:
            return self._probe is None
        return self._phase is _Phase.HEALTHY

    def granted(self, ticket: str) -> None:
        if self._phase is _Phase.PROBING:
            self._probe = ticket

    def succeeded(self, ticket: str) -> None:
        """Counts a success; a successful probe makes the worker healthy again."""
        if self._phase is _Phase.HEALTHY:
            self._failures_count = 0
            self._pause_s = FIRST_PAUSE_S
        elif ticket == self._probe:
            self._phase = _Phase.HEALTHY
            self._failures_count = 0
            self._probe = None

    def failed(self, ticket: str, now_s: float) -> bool:
        """
        :returns: whether this failure ejects the worker, until :attr:`until_s`.
        """
        if self._phase is _Phase.HEALTHY:
            self._failures_count += 1
            if self._failures_count >= FAILURES_COUNT:
                self._eject(now_s)
                return True
        elif ticket == self._probe:
            self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
            self._eject(now_s)
            return True
        return False

    def unused(self, ticket: str) -> None:
        """The grant ended without a dispatch; a probe may be sent again."""
        if ticket == self._probe:
            self._probe = None

    def shorten(self, until_s: float) -> bool:
        """
        :returns: whether an ejection was shortened to ``until_s``.
        """
        if self._phase is not _Phase.EJECTED or self.until_s <= until_s:
            return False
        self.until_s = until_s
        return True

    def start_probing(self, now_s: float) -> bool:
        """
        :returns: whether the pause has ended and the worker now takes one probe.
        """
        if self._phase is not _Phase.EJECTED or now_s < self.until_s:
            return False
        self._phase = _Phase.PROBING
        self._probe = None
        return True

    def _eject(self, now_s: float) -> None:
        self._phase = _Phase.EJECTED
        self._probe = None
        self.until_s = now_s + self._pause_s
