"""Connection to a backend server that records sending and bounds reading.

It differs from urllib3's connection in three points: it knows whether a byte was
handed to the socket; the deadline bounds the whole exchange and not each read; and a
header, chunk or trailer line that is cut off by the end of the stream is an error,
where ``http.client`` would accept a shortened status line, header or chunk size.
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

IDLE_LIMIT_S = 2.0
"""Servers close idle connections after 5 s or more; a younger connection
rarely meets that close while a request is being sent, which would leave its outcome
unknown."""


class Attempt(local):
    """Attempt of the current thread: its deadline and whether a byte was sent."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deadline_s = 0.0
        self.bytes_sent = False

    def start(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.bytes_sent = False

    def remaining_s(self) -> float:
        """
        :raises TimeoutError: if the deadline has passed.
        """
        remaining_s = self.deadline_s - self.clock.monotonic_s()
        if remaining_s <= 0:
            message = "the deadline of the attempt has passed"
            raise TimeoutError(message)
        return remaining_s


class _Reuse:
    """Whether a connection may carry a further request."""

    __slots__ = ("has_surplus", "used_s")

    def __init__(self) -> None:
        self.has_surplus = False
        self.used_s = 0.0


class _DeadlineReader(io.RawIOBase):
    """Raw stream of a socket, each read bounded by the deadline."""

    def __init__(self, sock: socket.socket, attempt: Attempt) -> None:
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._attempt = attempt
        self.is_paused = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        if self.is_paused:
            return None
        self._sock.settimeout(self._attempt.remaining_s())
        return self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()


class _WholeLineReader(io.BufferedReader):
    """Buffered stream whose lines must be whole, and which notices surplus bytes."""

    def __init__(self, raw: _DeadlineReader, reuse: _Reuse) -> None:
        super().__init__(raw)
        self._reuse = reuse

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        if not line.endswith(b"\n") and (size is None or size < 0 or len(line) < size):
            message = "the stream ended within a line of the response"
            raise ConnectionResetError(message)
        return line

    def close(self) -> None:
        """Closes the stream; bytes left in the buffer bar the connection from reuse.

        These are a doubled or unasked response, and the next one may be cut by them.
        """
        if not self.closed:
            self.raw.is_paused = True
            self._reuse.has_surplus = self._reuse.has_surplus or bool(self.peek(1))
        super().close()


class _BoundedResponse(HTTPResponse):
    """Response read through the deadline and the whole-line check."""

    def __init__(
        self,
        sock: socket.socket,
        *arguments: object,
        attempt: Attempt,
        reuse: _Reuse,
        **keywords: object,
    ) -> None:
        super().__init__(sock, *arguments, **keywords)
        self.fp.close()
        self.fp = _WholeLineReader(_DeadlineReader(sock, attempt), reuse)


class WorkerConnection(HTTPConnection):
    """urllib3 connection bound to the attempt of the thread that uses it."""

    attempt: Attempt

    def __init__(self, *arguments: object, **keywords: object) -> None:
        super().__init__(*arguments, **keywords)
        self._start_reuse()

    def connect(self) -> None:
        self._start_reuse()
        super().connect()

    def _start_reuse(self) -> None:
        self._reuse = _Reuse()
        self.response_class = partial(
            _BoundedResponse, attempt=self.attempt, reuse=self._reuse
        )

    @property
    def is_connected(self) -> bool:
        """
        :returns: whether the connection may be reused: open, silent, recently used.
        """
        if self._reuse.has_surplus:
            return False
        idle_s = self.attempt.clock.monotonic_s() - self._reuse.used_s
        return idle_s <= IDLE_LIMIT_S and super().is_connected

    def send(self, data: bytes) -> None:
        if self.sock is None:
            self.connect()
        self.sock.settimeout(self.attempt.remaining_s())
        self._reuse.used_s = self.attempt.clock.monotonic_s()
        self.attempt.bytes_sent = True
        super().send(data)


def worker_pool_class(attempt: Attempt) -> Callable[..., HTTPConnectionPool]:
    """
    :returns: class of connection pools whose connections use the attempt.
    """
    connection_class = type("_Connection", (WorkerConnection,), {"attempt": attempt})
    return type("_Pool", (HTTPConnectionPool,), {"ConnectionCls": connection_class})
