"""Periodic calls on a background thread."""

import random
import threading
from collections.abc import Callable

import pykka
import structlog

_log = structlog.get_logger()


class Ticker:
    """Calls an action periodically until stopped.

    :param name: name of the thread, used in logs.
    :param interval_s: seconds between the end of one call and the start of the next.
    :param jitter_ratio: each wait differs from the interval by up to this share of it,
        so that daemons started together don't call the store at the same time.
    """

    def __init__(
        self,
        name: str,
        interval_s: float,
        action: Callable[[], object],
        *,
        jitter_ratio: float = 0.1,
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._action = action
        self._jitter_ratio = jitter_ratio
        self._stopped = threading.Event()
        self._random = random.Random()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread; the first call follows immediately."""
        self._thread.start()

    def stop(self) -> None:
        """Stops further calls without waiting for a call in progress."""
        self._stopped.set()

    def join(self, timeout_s: float) -> None:
        """Waits up to ``timeout_s`` seconds for a call in progress."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._action()
            except Exception:
                # One failed call must not stop the ticker; the next one may succeed.
                _log.exception("ticker_call_failed", ticker=self._name)
            jitter = self._random.uniform(-self._jitter_ratio, self._jitter_ratio)
            self._stopped.wait(self._interval_s * (1 + jitter))


def message_ticker(
    name: str, interval_s: float, actor: pykka.ActorRef, message: object
) -> Ticker:
    """
    :returns: a ticker, not started, that sends ``message`` to ``actor`` periodically.
    """
    return Ticker(name, interval_s, lambda: actor.tell(message))
