"""Listening socket: accepts, refuses and makes room for connections."""

import contextlib
import errno
import socket
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog
from waitress.server import TcpWSGIServer

from sycamorecroft.clock import Clock, SystemClock
from sycamorecroft.entry.channel import Channel
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.connection_report import LOG_INTERVAL_S, ConnectionReport
from sycamorecroft.entry.eviction import (
    CloseReason,
    ConnectionView,
    Phase,
    choose_for_connections,
    choose_for_memory,
)
from sycamorecroft.entry.memory_budget import MemoryBudget
from sycamorecroft.entry.polling import ConnectionMap, PollingLoop
from sycamorecroft.entry.refusal import NO_CONNECTION, NO_MEMORY, Refusal
from sycamorecroft.recorder import NullRecorder, Recorder

_log = structlog.get_logger(__name__)

ACCEPTED_PER_TURN_COUNT = 16
DESCRIPTORS_PAUSE_S = 0.1
# What gives way has made no progress for longer.
SCAN_INTERVAL_S = 0.05
# How long clients that pipeline requests get one response only.
SHORTAGE_S = 5.0
# Several at once, so that a crowd that connects again doesn't cost a scan each time.
EVICTED_AT_ONCE_RATIO = 1 / 16
MIN_EVICTED_COUNT = 8
# Bodies of the first release's daemons, whose limit isn't a host's memory.
DEFAULT_BUDGET_BYTES = 1024 * 1024 * 1024
_DESCRIPTORS_SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_DISCARD_SIZE_BYTES = 64 * 1024
_WAITING_PHASES = (Phase.OPENED, Phase.KEPT)


def _no_fields(refusal: Refusal) -> Mapping[str, str]:
    del refusal
    return {}


class ListenerResources(NamedTuple):
    """What a listener may use, and how it reports.

    ``copies_ratio``: memory that handling a request takes, as a multiple of its body.
    ``receive_buffer_bytes`` and ``send_buffer_bytes``: sizes of a connection's buffers
    in the kernel, ``None`` to leave them to the system. ``refusal_fields`` returns
    header fields that are added to a refusal.
    """

    name: str = "http"
    budget: MemoryBudget | None = None
    copies_ratio: float = 0.0
    receive_buffer_bytes: int | None = None
    send_buffer_bytes: int | None = None
    refusal_fields: Callable[[Refusal], Mapping[str, str]] = _no_fields
    recorder: Recorder | None = None
    clock: Clock | None = None


class _Serving(threading.local):
    """Connection whose request the current thread handles."""

    channel: Channel | None = None


class Listener(TcpWSGIServer):
    """Listening socket with its connections. Runs on the polling thread.

    :param connection_limit_count: open connections at most.
    :param limits: limits of connections until others are applied.
    :param adjustments: settings of waitress.
    :ivar is_stopping: set once a planned stop has started.
    """

    channel_class = Channel

    def __init__(
        self,
        application,
        connection_limit_count: int,
        limits: ConnectionLimits,
        resources: ListenerResources,
        **adjustments,
    ) -> None:
        self.clock = resources.clock or SystemClock()
        self.budget = resources.budget or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.copies_ratio = resources.copies_ratio
        self.report = ConnectionReport(
            resources.name, resources.recorder or NullRecorder(), self.clock
        )
        self.is_stopping = threading.Event()
        self.serving = _Serving()
        self.limits = limits
        self._resources = resources
        self._connection_limit_count = connection_limit_count
        self._accepts_from_s = float("-inf")
        self._scans_from_s = float("-inf")
        self._closes_from_s = float("-inf")
        self._short_until_s = float("-inf")
        self._logs_from_s = float("-inf")
        connections = ConnectionMap()
        super().__init__(application, connections, **adjustments)
        self.apply_limits(limits)
        self.loop = PollingLoop(connections, self.clock, self.sweep)

    def bind_server_socket(self) -> None:
        # Connections take over the sizes of the listening socket's buffers.
        for option, size_bytes in (
            (socket.SO_RCVBUF, self._resources.receive_buffer_bytes),
            (socket.SO_SNDBUF, self._resources.send_buffer_bytes),
        ):
            if size_bytes is not None:
                self.socket.setsockopt(socket.SOL_SOCKET, option, size_bytes)
        super().bind_server_socket()

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Applies limits to all connections; callable from any thread."""
        self.limits = limits
        # waitress refuses what reaches its limits.
        self.adj.max_request_header_size = limits.header_limit_bytes + 1
        self.adj.max_request_body_size = limits.body_limit_bytes + 1

    @property
    def channels(self) -> tuple[Channel, ...]:
        """Open connections; callable from any thread."""
        return tuple(self.active_channels.values())

    def pull_trigger(self) -> None:
        """Wakes the polling thread, if it has to look at the caller's connection."""
        channel = self.serving.channel
        if channel is None or channel.needs_wake():
            super().pull_trigger()

    # Accepting

    def readable(self) -> bool:
        return self.accepting and self.clock.monotonic_s() >= self._accepts_from_s

    def handle_accept(self) -> None:
        for _ in range(ACCEPTED_PER_TURN_COUNT if self.loop.is_loaded else 1):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._handle_accept_error(error)
                return
            self._open(connection, address)

    def _handle_accept_error(self, error: OSError) -> None:
        if error.errno not in _DESCRIPTORS_SHORT:
            return
        # The connection stays in the backlog, which would wake the loop at once.
        self.report.count_close(CloseReason.DESCRIPTORS_SHORT)
        self._accepts_from_s = self.clock.monotonic_s() + DESCRIPTORS_PAUSE_S
        self._close_some()

    def _open(self, connection: socket.socket, address: tuple) -> None:
        is_full = len(self.active_channels) >= self._connection_limit_count
        if is_full and not self._close_some():
            self._turn_away(connection)
            return
        try:
            self.set_socket_options(connection)
            channel = self.channel_class(
                self, connection, address, self.adj, map=self._map
            )
        except OSError:
            connection.close()
            return
        self.loop.add(channel)

    def _close_some(self) -> bool:
        """Closes connections that give way to a new one.

        :returns: whether any did.
        """
        now_s = self.clock.monotonic_s()
        self._short_until_s = now_s + SHORTAGE_S
        if now_s < self._closes_from_s:
            return False
        channels, views = self._views()
        count = max(MIN_EVICTED_COUNT, int(len(views) * EVICTED_AT_ONCE_RATIO))
        chosen = choose_for_connections(views, count, now_s)
        closed_count = 0
        for index in chosen:
            channel = channels[index]
            # The request of an ordinary caller arrives at once.
            if channel.phase not in _WAITING_PHASES or not channel.has_unread_input():
                channel.close_for(CloseReason.CONNECTIONS_SHORT)
                closed_count += 1
        if not closed_count:
            self._closes_from_s = now_s + SCAN_INTERVAL_S
        return bool(closed_count)

    @property
    def is_short_of_connections(self) -> bool:
        """Whether there was no room for a new connection a moment ago."""
        return self.clock.monotonic_s() < self._short_until_s

    def _turn_away(self, connection: socket.socket) -> None:
        """Refuses a connection without reading a request."""
        self.report.count_refusal(NO_CONNECTION.reason)
        with contextlib.suppress(OSError), connection:
            connection.setblocking(False)
            connection.send(self.refusal_bytes(NO_CONNECTION))
            connection.shutdown(socket.SHUT_WR)
            # Input that isn't read resets the connection, which takes the refusal.
            connection.recv(_DISCARD_SIZE_BYTES)

    def refusal_bytes(self, refusal: Refusal) -> bytes:
        """
        :returns: response of a refusal.
        """
        return refusal.to_bytes(self._resources.refusal_fields(refusal))

    # Limits

    def _views(self) -> tuple[tuple[Channel, ...], list[ConnectionView]]:
        channels = self.channels
        return channels, [channel.view() for channel in channels]

    def make_room(self, size_bytes: int) -> bool:
        """Lets stalled connections give way if the budget is short.

        :returns: whether the bytes are available.
        """
        if self.budget.has_free(size_bytes):
            return True
        self.budget.is_short = True
        now_s = self.clock.monotonic_s()
        if now_s >= self._scans_from_s:
            self._scans_from_s = now_s + SCAN_INTERVAL_S
            self._release(size_bytes + self._release_at_once_bytes())
        return self.budget.has_free(size_bytes)

    def _release_at_once_bytes(self) -> int:
        return int(self.budget.limit_bytes * EVICTED_AT_ONCE_RATIO)

    def _release(self, size_bytes: int) -> None:
        budget = self.budget
        needed_bytes = size_bytes + budget.held_bytes - budget.limit_bytes
        channels, views = self._views()
        now_s = self.clock.monotonic_s()
        for index in choose_for_memory(views, needed_bytes, now_s):
            channels[index].give_way(NO_MEMORY)

    def maintenance(self, now: float) -> None:
        """Replaced by :meth:`sweep`, which knows what each connection is doing."""

    def sweep(self) -> None:
        """Ends what exceeds its limits, and lets stalled connections give way."""
        for channel in self.channels:
            try:
                channel.check_limits()
            except Exception:
                channel.handle_error()
        if self.budget.is_short:
            # Another listener of the process may be the one that needs the bytes.
            self._release(self._release_at_once_bytes())
            self.budget.end_shortage()
        self.report.log(self.budget.held_bytes, len(self.active_channels))

    def report_error(self, channel: Channel) -> None:
        """Logs an unexpected error while it is handled, at most one a second."""
        now_s = self.clock.monotonic_s()
        if now_s < self._logs_from_s:
            return
        self._logs_from_s = now_s + LOG_INTERVAL_S
        _log.exception("connection_failed", phase=channel.phase.value)
