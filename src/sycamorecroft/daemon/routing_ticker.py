"""Adaptive ticks of the routing actors: frequent under load, rare when idle."""

import threading
import time
from collections.abc import Callable

import structlog

_log = structlog.get_logger()

BUSY_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.5
# Ticks stay frequent for this long after a wake-up: the message that caused it may
# still be in an actor's mailbox, so that no actor reports to be busy yet.
WAKE_DURATION_S = 1.0


class RoutingTicker:
    """Sends ticks frequently while requests are in flight and rarely when idle.

    :param tick: sends the ticks; must not block.
    :param is_busy: returns whether requests are waiting or hold slots.
    """

    def __init__(
        self, tick: Callable[[], object], is_busy: Callable[[], object]
    ) -> None:
        self._tick = tick
        self._is_busy = is_busy
        self._wake_event = threading.Event()
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="routing", daemon=True)

    def start(self) -> None:
        """Starts the periodic ticks."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the periodic ticks without waiting for a running one."""
        self._is_stopped = True
        self._wake_event.set()

    def wake(self) -> None:
        """Makes ticks frequent immediately. Cheap; callable from any thread."""
        if not self._wake_event.is_set():
            self._wake_event.set()

    def _run(self) -> None:
        frequent_until_s = 0.0
        while not self._is_stopped:
            if self._wake_event.is_set():
                self._wake_event.clear()
                frequent_until_s = time.monotonic() + WAKE_DURATION_S
            self._call_tick()
            if self._is_busy() or time.monotonic() < frequent_until_s:
                time.sleep(BUSY_INTERVAL_S)
            else:
                self._wake_event.wait(IDLE_INTERVAL_S)

    def _call_tick(self) -> None:
        try:
            self._tick()
        except Exception:
            # A failed tick must not end the thread, as the next one may succeed.
            _log.exception("ticker_call_failed", ticker="routing")
