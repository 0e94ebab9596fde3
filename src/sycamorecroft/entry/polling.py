"""Polling loop of a listener.

waitress's own loop asks each connection in each turn what it waits for. This one keeps
the registrations, asks only those connections that had events or have work, and limits
how much of a turn is spent on requests that are costly to parse.
"""

import select
import time
from collections import deque
from collections.abc import Callable

import structlog
from waitress import wasyncore

from sycamorecroft.clock import Clock
from sycamorecroft.entry.channel import Channel
from sycamorecroft.entry.parse_allowance import TURN_LINES, ParseAllowance

_log = structlog.get_logger(__name__)

SWEEP_INTERVAL_S = 0.5
# Longest wait while no connection is open.
IDLE_TIMEOUT_S = 1.0
_FAILURE_PAUSE_S = 0.1
_MS_PER_S = 1000
_LINES_PER_CALL = 10
LOADED_EVENTS_COUNT = 4


class ConnectionMap(dict[int, wasyncore.dispatcher]):
    """Open sockets by descriptor, registered with a poll object while polled."""

    def __init__(self) -> None:
        super().__init__()
        self._poll = select.poll()
        self._events: dict[int, int] = {}
        self._fixed: dict[int, wasyncore.dispatcher] = {}

    def __setitem__(self, descriptor: int, dispatcher: wasyncore.dispatcher) -> None:
        super().__setitem__(descriptor, dispatcher)
        if not isinstance(dispatcher, Channel):
            self._fixed[descriptor] = dispatcher

    def __delitem__(self, descriptor: int) -> None:
        super().__delitem__(descriptor)
        self._fixed.pop(descriptor, None)
        if self._events.pop(descriptor, 0):
            self._poll.unregister(descriptor)

    def is_without_clients(self) -> bool:
        """
        :returns: whether no connection of a client is open.
        """
        return len(self) == len(self._fixed)

    def watch_fixed(self) -> None:
        """Registers the sockets other than those of clients."""
        for descriptor, dispatcher in self._fixed.items():
            self.watch(descriptor, select.POLLIN if dispatcher.readable() else 0)

    def watch(self, descriptor: int, events: int) -> None:
        """Registers the events that a socket waits for."""
        if events == self._events.get(descriptor, 0):
            return
        self._events[descriptor] = events
        if events:
            self._poll.register(descriptor, events)
        else:
            # A registered socket without events would still report a hang-up.
            self._poll.unregister(descriptor)

    def poll(self, timeout_s: float) -> list[tuple[int, int]]:
        """
        :returns: descriptors with their events.
        """
        return self._poll.poll(int(timeout_s * _MS_PER_S) + 1)


class PollingLoop:
    """Runs the sockets of one listener on one thread.

    :param sweep: called each ``SWEEP_INTERVAL_S``.
    :ivar is_loaded: whether this turn has more to do than an ordinary one.
    """

    is_loaded = False

    def __init__(
        self,
        connections: ConnectionMap,
        clock: Clock,
        sweep: Callable[[], None],
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._sweep = sweep
        self._swept_s = clock.monotonic_s()
        self._active: dict[int, Channel] = {}
        self._deferred: deque[Channel] = deque()
        self._allowance = ParseAllowance(clock)

    def defer(self, channel: Channel) -> None:
        """Queues a connection whose input is costly to parse."""
        self._deferred.append(channel)

    def run(self) -> None:
        """Runs until all sockets are closed."""
        self._connections.watch_fixed()
        while self._connections:
            try:
                self.run_turn()
            except Exception:
                _log.exception("polling_turn_failed")
                time.sleep(_FAILURE_PAUSE_S)

    def run_turn(self) -> None:
        """Waits for events and handles them."""
        if self._active:
            self._watch_active()
        connections = self._connections
        events = connections.poll(self._timeout_s())
        self.is_loaded = bool(self._deferred) or len(events) > LOADED_EVENTS_COUNT
        for descriptor, flags in events:
            dispatcher = connections.get(descriptor)
            if dispatcher is None:
                continue
            if isinstance(dispatcher, Channel):
                self._handle_events(descriptor, dispatcher, flags)
            else:
                wasyncore.readwrite(dispatcher, flags)
                self._connections.watch_fixed()
        if self._deferred:
            self._parse_deferred()
        now_s = self._clock.monotonic_s()
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._swept_s = now_s
            connections.watch_fixed()
            self._sweep()

    def _handle_events(self, descriptor: int, channel: Channel, flags: int) -> None:
        if channel.park():
            # A connection that breaks while a worker has it is closed afterwards.
            flags &= select.POLLOUT
        wasyncore.readwrite(channel, flags)
        # Most pieces of a body change nothing of what is awaited.
        if flags != select.POLLIN or not channel.is_receiving():
            self._update(descriptor, channel)

    def _timeout_s(self) -> float:
        if not self._deferred:
            is_idle = self._connections.is_without_clients()
            return IDLE_TIMEOUT_S if is_idle else SWEEP_INTERVAL_S
        return 0.0 if self._allowance.is_available() else self._allowance.wait_s()

    def add(self, channel: Channel) -> None:
        """Waits for the first request of a new connection."""
        self._connections.watch(channel.descriptor, select.POLLIN)

    def touch(self, channel: Channel) -> None:
        """Makes the next turn look at a connection."""
        if channel.connected:
            self._active[channel.descriptor] = channel

    def _watch_active(self) -> None:
        """Registers what changed without an event of its socket."""
        for descriptor, channel in list(self._active.items()):
            if channel.is_handled():
                # The worker wakes the loop once it is done.
                continue
            if self._connections.get(descriptor) is channel:
                self._call(channel, channel.resume)
            self._update(descriptor, channel)

    def _update(self, descriptor: int, channel: Channel) -> None:
        if self._connections.get(descriptor) is not channel:
            self._active.pop(descriptor, None)
            return
        # Asked first: once no other thread changes it, what it waits for is final.
        if channel.is_active():
            self._active[descriptor] = channel
        elif descriptor in self._active:
            del self._active[descriptor]
        self._connections.watch(descriptor, channel.awaited_events())

    def _parse_deferred(self) -> None:
        left_lines = TURN_LINES
        while self._deferred and left_lines > 0 and self._allowance.is_available():
            channel = self._deferred.popleft()
            if not channel.connected:
                continue
            descriptor = channel.descriptor
            lines_count = self._call(channel, channel.parse_deferred) or 0
            # A call costs about as much as some lines.
            lines_count += _LINES_PER_CALL
            self._allowance.take(lines_count)
            left_lines -= lines_count
            if channel.connected and channel.is_deferred:
                self._deferred.append(channel)
            self._update(descriptor, channel)

    @staticmethod
    def _call(channel: Channel, action: Callable[[], int | None]) -> int | None:
        """Calls an action, whose unexpected error ends that connection only."""
        try:
            return action()
        except Exception:
            channel.handle_error()
            return None
