"""Readiness probe, by which the balancer decides whether to send new connections."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

from sycamorecroft.clock import Clock
from sycamorecroft.serving.job_store import CONTACT_TIMEOUT_S

# Contact age that is reported before the first contact.
_NO_CONTACT_AGE_S = 3600.0


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
        """Records that the store answered a call."""
        self._contact_s = self._clock.monotonic_s()

    def mark_stopping(self) -> None:
        """Makes the probe report not ready from now on."""
        self._is_stopping = True

    def contact_age_s(self) -> float:
        """
        :returns: time in seconds since the store's last answer; an hour if it hasn't
            answered yet.
        """
        if self._contact_s is None:
            return _NO_CONTACT_AGE_S
        return self._clock.monotonic_s() - self._contact_s

    def is_ready(self) -> bool:
        """
        :returns: whether the entry host accepts new connections.
        """
        is_serving = self._is_configured() and not self._is_stopping
        # No job can be accepted without the store, which another entry host may still
        # reach.
        return is_serving and self.contact_age_s() < CONTACT_TIMEOUT_S

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        status = HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        return [b""]
