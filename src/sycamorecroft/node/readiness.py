"""Tells the platform whether the host takes new connections."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

from sycamorecroft.clock import Clock
from sycamorecroft.serving.job_store import CONTACT_TIMEOUT_S

# Reported before the first contact.
_NEVER_S = 3600.0


class Readiness:
    """WSGI application of the readiness probe.

    :param is_configured: whether a configuration is in force.
    """

    def __init__(self, clock: Clock, is_configured: Callable[[], bool]) -> None:
        self._clock = clock
        self._is_configured = is_configured
        self._contact_s: float | None = None
        self._is_stopping = False

    def record_contact(self) -> None:
        """Records that the store answered."""
        self._contact_s = self._clock.monotonic_s()

    def begin_stop(self) -> None:
        """Reports not ready from now on."""
        self._is_stopping = True

    def contact_age_s(self) -> float:
        """
        :returns: age of the store's last answer.
        """
        if self._contact_s is None:
            return _NEVER_S
        return self._clock.monotonic_s() - self._contact_s

    def is_ready(self) -> bool:
        """
        :returns: whether the host takes new connections.
        """
        is_serving = self._is_configured() and not self._is_stopping
        # Without the store no job can be accepted; another host may still reach it.
        return is_serving and self.contact_age_s() < CONTACT_TIMEOUT_S

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        status = HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        return [b""]
