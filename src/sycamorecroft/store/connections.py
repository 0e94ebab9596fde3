"""Connections to the platform that deliver a request in time or not at all.

What is sent may be held up on its way, for instance by a partition, and take effect
after what replaced it. A connection is therefore reset when it is closed, also if its
process is killed, and given up when its data isn't acknowledged in time. Both discard
what hasn't arrived.
"""

import os
import socket
import struct
import threading
from collections.abc import Callable

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError
from urllib3.util.wait import wait_for_write

# A call may be sent while this returns true; asked before each part of its request.
MaySend = Callable[[], bool]

# Value of SO_LINGER: a close discards unsent data and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class WithheldError(HTTPError):
    """The call was not to be sent any more when its connection was ready."""


class OpenedConnections:
    """Counts the connections that a pool opens, and may forbid to open or use one.

    :ivar count: number of connections opened.
    """

    def __init__(self) -> None:
        self.count = 0
        self._calls = threading.local()

    def begin_call(self, is_allowed: bool, may_send: MaySend | None) -> None:
        """Sets whether this thread's next call may open a connection, and be sent."""
        self._calls.is_allowed = is_allowed
        self._calls.may_send = may_send

    def require_allowed(self, connection: HTTPConnection) -> None:
        """
        :raises NewConnectionError: when the call may not open a connection.
        """
        if not getattr(self._calls, "is_allowed", True):
            raise NewConnectionError(connection, "no connection is open")

    @property
    def may_send(self) -> MaySend | None:
        """Check of this thread's call before each write, ``None`` for no check."""
        return getattr(self._calls, "may_send", None)

    def record(self) -> None:
        """Records that a connection is open.

        A connection that is counted before it is open may be opened to a process that
        has started since.
        """
        self.count += 1


class RecordedConnection(HTTPConnection):
    """Connection that is recorded each time that it is opened.

    A request is written as a whole, so that no part of it arrives at another time than
    the rest.

    :param delivery_timeout_s: time in seconds after which data that the peer's system
        hasn't acknowledged is discarded, also while this process is paused.
    """

    def __init__(
        self,
        *args,
        opened: OpenedConnections,
        delivery_timeout_s: float,
        **options,
    ) -> None:
        super().__init__(*args, **options)
        self._opened = opened
        self._delivery_timeout_ms = int(delivery_timeout_s * 1000)
        # Parts of the request that is being put together.
        self._parts: list[bytes] | None = None

    def connect(self) -> None:
        self._opened.require_allowed(self)
        super().connect()
        self._limit_delivery()
        self._opened.record()

    def _limit_delivery(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._delivery_timeout_ms
        )

    def request(self, method: str, url: str, *args, **options) -> None:
        self._parts = parts = []
        try:
            super().request(method, url, *args, **options)
        finally:
            self._parts = None
        self.send(b"".join(parts))

    def send(self, data: bytes) -> None:
        """Sends a request, unless its call may not be sent any more.

        The receiver drops a request of which a part is missing.
        """
        if self._parts is not None:
            self._parts.append(data)
            return
        if self.sock is None:
            self.connect()
        may_send = self._opened.may_send
        if may_send is None:
            super().send(data)
            return
        left = memoryview(data)
        while left:
            left = left[self._write(left, may_send) :]

    def _write(self, data: memoryview, may_send: MaySend) -> int:
        """Writes what fits into the send buffer.

        The socket's own methods wait for room first, and then for their turn among the
        threads, so that the process may be paused between the check and the write.

        :returns: number of bytes written.
        :raises WithheldError: when the call may not be sent any more.
        """
        descriptor = self.sock.fileno()
        if not may_send():
            raise WithheldError("the call may not be sent any more")
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            if not wait_for_write(self.sock, self.sock.gettimeout()):
                raise TimeoutError("the peer takes no data") from None
            return 0


class RecordedPool(urllib3.HTTPConnectionPool):
    """Pool of recorded connections."""

    ConnectionCls = RecordedConnection
