"""HTTP server with graceful shutdown."""

import contextlib
import select
import socket
import threading
import time
from typing import NamedTuple

import waitress.server
from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from sycamorecroft.invariants import check_drained_before_exit
from sycamorecroft.settings import DaemonSettings, parse_address

_POLL_INTERVAL_S = 0.05
_HEADER_LIMIT_BYTES = 16 * 1024
_RECEIVE_SIZE_BYTES = 64 * 1024
# waitress spills buffers above the overflow limit into temporary files, but entry hosts
# have no disks.
_BUFFER_HEADROOM_BYTES = 1024 * 1024
# A caller that sends a byte now and then never exceeds the idle timeout, so without a
# minimum rate it could occupy a connection indefinitely.
MIN_RECEIVE_RATE_BYTES_PER_S = 8 * 1024


class ServerSettings(NamedTuple):
    """Address and limits of an HTTP server."""

    http_address: str
    thread_count: int
    connection_limit_count: int
    body_limit_bytes: int
    slow_sender_timeout_s: int


class _Task(WSGITask):
    """Request whose response closes the connection once a planned stop has started.

    The request is treated as if the caller had sent ``Connection: close``, since a WSGI
    application must not set this header in its response.
    """

    def build_response_header(self) -> bytes:
        if self.channel.closes_after_response.is_set():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class _Channel(HTTPChannel):
    """Connection of a caller, with a minimum receive rate.

    While a request arrives more slowly than the minimum rate, the time of last activity
    falls behind, so that waitress closes the connection by its idle timeout.
    """

    task_class = _Task
    closes_after_response: threading.Event
    _request_started_s: float | None = None
    _request_bytes = 0

    def received(self, data: bytes) -> bool:
        is_accepted = super().received(data)
        if self.request is None:
            self._request_started_s = None
            self._request_bytes = 0
            return is_accepted
        now_s = time.time()
        if self._request_started_s is None:
            self._request_started_s = now_s
        self._request_bytes += len(data)
        allowed_s = self._request_bytes / MIN_RECEIVE_RATE_BYTES_PER_S
        self.last_activity = min(now_s, self._request_started_s + allowed_s)
        return is_accepted


class HttpServer:
    """waitress server that completes all requests in flight before it stops.

    :param application: WSGI application to serve.
    """

    def __init__(self, application, settings: DaemonSettings | ServerSettings) -> None:
        address = parse_address(settings.http_address)
        overflow_bytes = settings.body_limit_bytes + _BUFFER_HEADROOM_BYTES
        self._server = waitress.server.create_server(
            application,
            host=str(address.ip),
            port=address.port,
            threads=settings.thread_count,
            connection_limit=settings.connection_limit_count,
            max_request_body_size=settings.body_limit_bytes,
            max_request_header_size=_HEADER_LIMIT_BYTES,
            inbuf_overflow=overflow_bytes,
            outbuf_overflow=overflow_bytes,
            recv_bytes=_RECEIVE_SIZE_BYTES,
            channel_timeout=settings.slow_sender_timeout_s,
            cleanup_interval=1,
            # select() does not support file descriptors above 1023.
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._stopping = threading.Event()
        self._server.channel_class = type(
            "_ServerChannel", (_Channel,), {"closes_after_response": self._stopping}
        )
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def start(self) -> None:
        """Starts serving on a dedicated thread."""
        self._thread.start()

    def in_flight_count(self) -> int:
        """
        :returns: number of connections with a request that is being received, queued
            or handled, or whose response is not fully sent.
        """
        channels = tuple(self._server.active_channels.values())
        return sum(_has_request_in_flight(channel) for channel in channels)

    def start_shutdown(self) -> None:
        """Closes each connection after its next response; still accepts new ones."""
        self._stopping.set()

    def stop(self, timeout_s: float) -> bool:
        """Closes the listener and idle connections, and waits for requests in flight.

        :param timeout_s: longest wait in seconds; requests that take longer are
            aborted.
        :returns: whether all requests completed.
        """
        self.start_shutdown()
        deadline_s = time.monotonic() + timeout_s
        self._server.trigger.pull_trigger(self._close_listener)
        while self._server.active_channels and time.monotonic() < deadline_s:
            self._server.trigger.pull_trigger(self._close_idle_channels)
            time.sleep(_POLL_INTERVAL_S)
        in_flight_count = self.in_flight_count()
        self._server.task_dispatcher.shutdown(timeout=1)
        # If a response wakes the polling thread, it may close the trigger before this
        # thread has written to it.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close_all)
        if time.monotonic() < deadline_s:
            check_drained_before_exit(in_flight_count)
        return in_flight_count == 0

    # Only the polling thread closes sockets. If another thread did, the polling thread
    # could still accept a request that no worker thread is left to handle.

    def _close_listener(self) -> None:
        wasyncore.dispatcher.close(self._server)

    def _close_idle_channels(self) -> None:
        for channel in tuple(self._server.active_channels.values()):
            if not _has_request_in_flight(channel) and not _has_unread_input(
                channel.socket
            ):
                channel.handle_close()

    def _close_all(self) -> None:
        wasyncore.close_all(self._server._map)

    def _run(self) -> None:
        # stop() closes the listener, which makes polling it fail.
        with contextlib.suppress(OSError):
            self._server.run()


def _has_request_in_flight(channel: HTTPChannel) -> bool:
    is_receiving = channel.request is not None
    return bool(is_receiving or channel.requests or channel.total_outbufs_len)


def _has_unread_input(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return any(events & select.POLLIN for _, events in poll.poll(0))
