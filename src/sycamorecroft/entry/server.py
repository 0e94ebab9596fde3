"""HTTP server of an entry host, with a graceful stop."""

import contextlib
import threading
import time

import waitress.server
from waitress.channel import HTTPChannel

from sycamorecroft.invariants import check_drained_before_exit
from sycamorecroft.settings import DaemonSettings, parse_address

_POLL_INTERVAL_S = 0.05
_HEADER_LIMIT_BYTES = 16 * 1024
_RECEIVE_SIZE_BYTES = 64 * 1024
# waitress moves a buffer above the limit into a temporary file, and entry hosts have
# no disks.
_BUFFER_MARGIN_BYTES = 1024 * 1024


class EntryServer:
    """waitress server whose stop waits for every request that has begun.

    :param application: WSGI application.
    """

    def __init__(self, application, settings: DaemonSettings) -> None:
        address = parse_address(settings.http_address)
        overflow_bytes = settings.body_limit_bytes + _BUFFER_MARGIN_BYTES
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
            # select() can't watch descriptors above 1023.
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def start(self) -> None:
        """Starts to serve on a thread of its own."""
        self._thread.start()

    def in_flight_count(self) -> int:
        """
        :returns: connections with a request that is being received, waits, runs, or
            has an answer that isn't sent yet.
        """
        channels = tuple(self._server.active_channels.values())
        return sum(_is_busy(channel) for channel in channels)

    def stop(self, timeout_s: float) -> bool:
        """Waits until no request is in flight, then closes the listener.

        :param timeout_s: longest wait; a request that lasts longer is cut off.
        :returns: whether every request had ended.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.in_flight_count() and time.monotonic() < deadline_s:
            time.sleep(_POLL_INTERVAL_S)
        in_flight_count = self.in_flight_count()
        self._server.close()
        self._server.task_dispatcher.shutdown(timeout=1)
        if time.monotonic() < deadline_s:
            check_drained_before_exit(in_flight_count)
        return in_flight_count == 0

    def _run(self) -> None:
        # The listener is closed by stop().
        with contextlib.suppress(OSError):
            self._server.run()


def _is_busy(channel: HTTPChannel) -> bool:
    is_receiving = channel.request is not None
    return bool(is_receiving or channel.requests or channel.total_outbufs_len)
