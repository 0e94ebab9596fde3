"""HTTP server with graceful shutdown."""

import contextlib
import threading
import time
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from waitress import wasyncore

from sycamorecroft.entry.channel import Channel
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.eviction import Phase, is_stalled
from sycamorecroft.entry.listener import Listener, ListenerResources
from sycamorecroft.entry.refusal import STOPPING
from sycamorecroft.invariants import check_drained_before_exit
from sycamorecroft.settings import DaemonSettings, parse_address

_POLL_INTERVAL_S = 0.05
HEADER_LIMIT_BYTES = 16 * 1024
# waitress writes larger buffers to temporary files, but entry hosts have no disks.
_NO_OVERFLOW_BYTES = 2**62


class ServerSettings(NamedTuple):
    """Address and limits of an HTTP server."""

    http_address: str
    thread_count: int
    connection_limit_count: int
    body_limit_bytes: int
    slow_sender_timeout_s: float


class HttpServer:
    """waitress server that completes all requests in flight before it stops.

    :param application: WSGI application to serve.
    :param resources: what the server may use.
    """

    def __init__(
        self,
        application,
        settings: DaemonSettings | ServerSettings,
        resources: ListenerResources | None = None,
    ) -> None:
        address = parse_address(settings.http_address)
        self._listener = Listener(
            application,
            settings.connection_limit_count,
            ConnectionLimits(
                HEADER_LIMIT_BYTES,
                settings.body_limit_bytes,
                settings.slow_sender_timeout_s,
                settings.slow_sender_timeout_s,
            ),
            resources or ListenerResources(),
            host=str(address.ip),
            port=address.port,
            threads=settings.thread_count,
            inbuf_overflow=_NO_OVERFLOW_BYTES,
            outbuf_overflow=_NO_OVERFLOW_BYTES,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._thread = threading.Thread(
            target=self._listener.loop.run, name="http", daemon=True
        )

    def start(self) -> None:
        """Starts serving on a dedicated thread."""
        self._thread.start()

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Applies limits to all connections, also to open ones."""
        self._listener.apply_limits(limits)

    def connection_counts(self) -> Mapping[Phase, int]:
        """
        :returns: number of open connections by what they are doing.
        """
        return Counter(channel.phase for channel in self._listener.channels)

    def in_flight_count(self) -> int:
        """
        :returns: number of connections with a complete request that is queued or
            handled, or whose response is not fully sent.
        """
        now_s = self._listener.clock.monotonic_s()
        return sum(
            _has_request_in_flight(channel, now_s)
            for channel in self._listener.channels
        )

    def start_shutdown(self) -> None:
        """Closes each connection after its next response; still accepts new ones."""
        self._listener.is_stopping.set()

    def stop(self, timeout_s: float) -> bool:
        """Closes the listener and idle connections, and waits for requests in flight.

        Requests that are being received are waited for while they make progress.

        :param timeout_s: longest wait in seconds; requests that take longer are
            aborted, and those that aren't complete are refused.
        :returns: whether all complete requests were responded to.
        """
        self.start_shutdown()
        listener = self._listener
        deadline_s = time.monotonic() + timeout_s
        self._run_on_thread(self._close_listener)
        while listener.active_channels and time.monotonic() < deadline_s:
            self._run_on_thread(self._close_drained)
            time.sleep(_POLL_INTERVAL_S)
        if listener.active_channels:
            self._run_on_thread(self._refuse_incomplete)
            time.sleep(_POLL_INTERVAL_S)
        in_flight_count = self.in_flight_count()
        listener.task_dispatcher.shutdown(timeout=1)
        self._run_on_thread(self._close_all)
        if time.monotonic() < deadline_s:
            check_drained_before_exit(in_flight_count)
        return in_flight_count == 0

    def _run_on_thread(self, action) -> None:
        """Runs an action on the polling thread.

        Only the polling thread closes sockets. If another thread did, the polling
        thread could still accept a request that no worker thread is left to handle.
        """
        # Once all connections are closed, the trigger may be closed as well.
        with contextlib.suppress(OSError, IndexError):
            self._listener.trigger.pull_trigger(action)

    def _close_listener(self) -> None:
        wasyncore.dispatcher.close(self._listener)

    def _close_drained(self) -> None:
        now_s = self._listener.clock.monotonic_s()
        for channel in self._listener.channels:
            if channel.phase in (Phase.OPENED, Phase.KEPT):
                if not channel.has_unread_input():
                    channel.handle_close()
            elif is_stalled(channel.view(), now_s):
                channel.give_way(STOPPING)

    def _refuse_incomplete(self) -> None:
        for channel in self._listener.channels:
            if channel.phase in (Phase.HEAD, Phase.BODY):
                channel.refuse(STOPPING)

    def _close_all(self) -> None:
        wasyncore.close_all(self._listener._map)


def _has_request_in_flight(channel: Channel, now_s: float) -> bool:
    view = channel.view()
    is_in_flight = view.phase in (Phase.HANDLED, Phase.SENDING)
    # Who doesn't read a response can't be waited for.
    return is_in_flight and not is_stalled(view, now_s)
