"""Ejection of failing workers for increasing periods, each ended by one probe."""

from enum import Enum, auto

CONSECUTIVE_FAILURES_COUNT = 3
"""Consecutive failures that eject a worker. A single invalid response may be due
to the request; a dead worker reaches three failures within one round of its slots."""

BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
"""A restarted worker returns within half a minute; a dead one costs one failed
request per ejection."""

MASS_EJECTION_S = 1.0
"""Limit of the ejection time while more than half of the pool is ejected. The
workers then probably share a cause, such as a network fault near this entry host, and
the pool must return as soon as it ends."""


class _Phase(Enum):
    HEALTHY = auto()
    EJECTED = auto()
    PROBING = auto()


class WorkerHealth:
    """Health of one worker, derived from the results of its grants."""

    __slots__ = (
        "_ejection_s",
        "_failures_count",
        "_phase",
        "_probe_ticket",
        "ejected_until_s",
    )

    def __init__(self) -> None:
        self._phase = _Phase.HEALTHY
        self._failures_count = 0
        self._ejection_s = BASE_EJECTION_S
        self._probe_ticket: str | None = None
        self.ejected_until_s = 0.0

    @property
    def is_healthy(self) -> bool:
        return self._phase is _Phase.HEALTHY

    @property
    def is_ejected(self) -> bool:
        return self._phase is _Phase.EJECTED

    @property
    def allows_grant(self) -> bool:
        """
        :returns: whether the worker may get a grant: any number while healthy, a
            single probe after an ejection.
        """
        if self._phase is _Phase.PROBING:
            return self._probe_ticket is None
        return self._phase is _Phase.HEALTHY

    def record_grant(self, ticket: str) -> None:
        if self._phase is _Phase.PROBING:
            self._probe_ticket = ticket

    def record_success(self, ticket: str) -> None:
        """Resets the failures; a successful probe makes the worker healthy again."""
        if self._phase is _Phase.HEALTHY:
            self._failures_count = 0
            self._ejection_s = BASE_EJECTION_S
        elif ticket == self._probe_ticket:
            self._phase = _Phase.HEALTHY
            self._failures_count = 0
            self._probe_ticket = None

    def record_failure(self, ticket: str, now_s: float) -> bool:
        """Counts a failure and ejects the worker if necessary.

        :returns: whether this failure ejects it, until :attr:`ejected_until_s`.
        """
        if self._phase is _Phase.HEALTHY:
            self._failures_count += 1
            if self._failures_count >= CONSECUTIVE_FAILURES_COUNT:
                self._eject(now_s)
                return True
        elif ticket == self._probe_ticket:
            self._ejection_s = min(2 * self._ejection_s, MAX_EJECTION_S)
            self._eject(now_s)
            return True
        return False

    def record_unused(self, ticket: str) -> None:
        """Allows another probe if the grant of the probe ended without a dispatch."""
        if ticket == self._probe_ticket:
            self._probe_ticket = None

    def shorten_ejection(self, ejected_until_s: float) -> bool:
        """Shortens a current ejection.

        :returns: whether the ejection now ends earlier, at ``ejected_until_s``.
        """
        if self._phase is not _Phase.EJECTED or self.ejected_until_s <= ejected_until_s:
            return False
        self.ejected_until_s = ejected_until_s
        return True

    def start_probing(self, now_s: float) -> bool:
        """Allows a probe if the ejection time has passed.

        :returns: whether the worker now accepts one probe.
        """
        if self._phase is not _Phase.EJECTED or now_s < self.ejected_until_s:
            return False
        self._phase = _Phase.PROBING
        self._probe_ticket = None
        return True

    def _eject(self, now_s: float) -> None:
        self._phase = _Phase.EJECTED
        self._probe_ticket = None
        self.ejected_until_s = now_s + self._ejection_s
