"""Tells the platform whether the host takes new connections."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

from sycamorecroft.clock import Clock

# Without the store no job can be accepted; another host may still reach it. A feed of
# changes is answered more often than this.
CONTACT_TIMEOUT_S = 1.8


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

    def contact_age_s(self) -> float | None:
        """
        :returns: age of the store's last answer, ``None`` before the first.
        """
        if self._contact_s is None:
            return None
        return self._clock.monotonic_s() - self._contact_s

    def is_in_contact(self) -> bool:
        """
        :returns: whether the store answered of late.
        """
        age_s = self.contact_age_s()
        return age_s is not None and age_s < CONTACT_TIMEOUT_S

    def is_ready(self) -> bool:
        """
        :returns: whether the host takes new connections.
        """
        is_serving = self._is_configured() and not self._is_stopping
        return is_serving and self.is_in_contact()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        status = HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        return [b""]
