"""Periodic calls on a thread of their own."""

import random
import threading
from collections.abc import Callable

import pykka
import structlog

_log = structlog.get_logger()


class Ticker:
    """Calls an action at an interval until stopped.

    :param interval_s: seconds between the end of one call and the next call.
    :param jitter_ratio: each wait is drawn from the interval plus or minus this
        share, so that daemons started together don't call the store together.
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
        """Starts the calls; the first one is immediate."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the calls without waiting for one that runs."""
        self._stopped.set()

    def join(self, timeout_s: float) -> None:
        """Waits for a call that runs, at most ``timeout_s`` seconds."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._action()
            except Exception:
                # The ticker must outlive a failed call; the next one may succeed.
                _log.exception("ticker_call_failed", ticker=self._name)
            jitter = self._random.uniform(-self._jitter_ratio, self._jitter_ratio)
            self._stopped.wait(self._interval_s * (1 + jitter))


def message_ticker(
    name: str, interval_s: float, actor: pykka.ActorRef, message: object
) -> Ticker:
    """
    :returns: ticker that sends ``message`` to ``actor`` at each interval.
    """
    return Ticker(name, interval_s, lambda: actor.tell(message))
