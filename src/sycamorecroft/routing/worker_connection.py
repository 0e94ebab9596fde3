"""Connection to a backend server with a deadline and strict end-of-stream checks.

It differs from urllib3's connection in three points: it records whether a byte was
written to the socket; the deadline limits the whole exchange and not each read; and a
header, chunk or trailer line truncated by the end of the stream is an error, where
``http.client`` would accept a truncated status line, header or chunk size.
"""

import io
import socket
from collections.abc import Callable
from functools import partial
from http.client import HTTPResponse
from threading import local

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from sycamorecroft.clock import Clock

MAX_IDLE_S = 2.0
"""Limit of the idle time of a reused connection. Servers close idle connections
after 5 s or more, so the limit makes it unlikely that a connection closes while a
request is being sent, which would leave the outcome of the request unknown."""


class AttemptContext(local):
    """Attempt of the current thread: its deadline and whether a byte was sent."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deadline_s = 0.0
        self.has_sent_bytes = False

    def start(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.has_sent_bytes = False

    def remaining_s(self) -> float:
        """
        :raises TimeoutError: if the deadline has passed.
        """
        remaining_s = self.deadline_s - self.clock.monotonic_s()
        if remaining_s <= 0:
            message = "the deadline of the attempt has passed"
            raise TimeoutError(message)
        return remaining_s


class _ReuseState:
    """Decides whether a connection may be used for a further request."""

    __slots__ = ("has_unread_bytes", "last_used_s")

    def __init__(self) -> None:
        self.has_unread_bytes = False
        self.last_used_s = 0.0


class _DeadlineReader(io.RawIOBase):
    """Raw stream of a socket whose reads are limited by the deadline of the attempt."""

    def __init__(self, sock: socket.socket, context: AttemptContext) -> None:
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._context = context
        self.is_suspended = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        if self.is_suspended:
            return None
        self._sock.settimeout(self._context.remaining_s())
        return self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()


class _CompleteLineReader(io.BufferedReader):
    """Buffered stream that rejects truncated lines and detects unread bytes."""

    def __init__(self, raw: _DeadlineReader, reuse_state: _ReuseState) -> None:
        super().__init__(raw)
        self._reuse_state = reuse_state

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        if not line.endswith(b"\n") and (size is None or size < 0 or len(line) < size):
            message = "connection closed by the server within a line of the response"
            raise ConnectionResetError(message)
        return line

    def close(self) -> None:
        """Closes the stream; unread bytes in the buffer prevent reuse.

        They belong to a duplicate or unrequested response, which would otherwise be
        read as the start of the next one.
        """
        if not self.closed:
            self.raw.is_suspended = True
            self._reuse_state.has_unread_bytes = (
                self._reuse_state.has_unread_bytes or bool(self.peek(1))
            )
        super().close()


class _DeadlineResponse(HTTPResponse):
    """Response read with the attempt's deadline and the truncated-line check."""

    def __init__(
        self,
        sock: socket.socket,
        *arguments: object,
        context: AttemptContext,
        reuse_state: _ReuseState,
        **keywords: object,
    ) -> None:
        super().__init__(sock, *arguments, **keywords)
        self.fp.close()
        self.fp = _CompleteLineReader(_DeadlineReader(sock, context), reuse_state)


class WorkerConnection(HTTPConnection):
    """urllib3 connection that uses the attempt of the current thread."""

    context: AttemptContext

    def __init__(self, *arguments: object, **keywords: object) -> None:
        super().__init__(*arguments, **keywords)
        self._reset_reuse_state()

    def connect(self) -> None:
        self._reset_reuse_state()
        super().connect()

    def _reset_reuse_state(self) -> None:
        self._reuse_state = _ReuseState()
        self.response_class = partial(
            _DeadlineResponse, context=self.context, reuse_state=self._reuse_state
        )

    @property
    def is_connected(self) -> bool:
        """
        :returns: whether the connection may be reused: it is open, recently used and
            has no unread bytes.
        """
        if self._reuse_state.has_unread_bytes:
            return False
        idle_s = self.context.clock.monotonic_s() - self._reuse_state.last_used_s
        return idle_s <= MAX_IDLE_S and super().is_connected

    def send(self, data: bytes) -> None:
        if self.sock is None:
            self.connect()
        self.sock.settimeout(self.context.remaining_s())
        self._reuse_state.last_used_s = self.context.clock.monotonic_s()
        self.context.has_sent_bytes = True
        super().send(data)


def worker_pool_class(context: AttemptContext) -> Callable[..., HTTPConnectionPool]:
    """
    :returns: class of connection pools whose connections use ``context``.
    """
    connection_class = type("_Connection", (WorkerConnection,), {"context": context})
    return type("_Pool", (HTTPConnectionPool,), {"ConnectionCls": connection_class})
