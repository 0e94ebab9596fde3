"""HTTP server under test, and a client that sends what it is told to."""

import socket
import threading
from typing import NamedTuple

from standins.ports import reserve_port
from sycamorecroft.clock import Clock
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.listener import ListenerResources
from sycamorecroft.entry.memory_budget import MemoryBudget
from sycamorecroft.entry.server import HttpServer, ServerSettings

TIMEOUT_S = 10.0
LIMITS = ConnectionLimits(2048, 100_000, 5.0, 5.0)
_READ_BYTES = 65536


class RawResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


class EchoApplication:
    """Responds with the length of the body; waits on path ``/slow`` until allowed."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.slow_started = threading.Event()
        self.slow_allowed = threading.Event()
        self.response_bytes = 0
        self.repetitions_count = 1

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.bodies.append(body)
        if environ["PATH_INFO"] == "/slow":
            self.slow_started.set()
            self.slow_allowed.wait(TIMEOUT_S)
        if environ["PATH_INFO"] == "/error":
            raise RuntimeError("unexpected")
        text = str(len(body)).encode().ljust(self.response_bytes)
        texts = [text] * self.repetitions_count
        start_response("200 OK", [("Content-Length", str(sum(map(len, texts))))])
        return texts


class ServerUnderTest:
    """A started server."""

    def __init__(
        self,
        *,
        budget_bytes: int = 2**30,
        limits: ConnectionLimits = LIMITS,
        connections_count: int = 100,
        copies_ratio: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self.application = EchoApplication()
        self.budget = MemoryBudget(budget_bytes)
        self.port = reserve_port()
        settings = ServerSettings(
            f"127.0.0.1:{self.port}", 4, connections_count, limits.body_limit_bytes, 5.0
        )
        resources = ListenerResources(
            budget=self.budget,
            copies_ratio=copies_ratio,
            send_buffer_bytes=16384,
            clock=clock,
        )
        self.http_server = HttpServer(self.application, settings, resources)
        self.http_server.apply_limits(limits)
        self.http_server.start()

    def connect(self) -> "RawClient":
        """
        :returns: a connected client.
        """
        return RawClient(self.port)

    def exchange(self, data: bytes) -> RawResponse | None:
        """
        :returns: first response to ``data``, ``None`` if there is none.
        """
        with self.connect() as client:
            client.send(data)
            return client.read_response()

    def has_all_threads(self) -> bool:
        """
        :returns: whether the polling thread and all worker threads are alive.
        """
        names = {thread.name for thread in threading.enumerate()}
        return "http" in names and self._workers_count() == 4

    def _workers_count(self) -> int:
        return len(self.http_server._listener.task_dispatcher.threads)

    def stop(self) -> None:
        """Stops the server."""
        self.application.slow_allowed.set()
        self.http_server.stop(1.0)


class RawClient:
    """Client that sends bytes as they are."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self._received = b""

    def __enter__(self) -> "RawClient":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def send(self, data: bytes) -> bool:
        """
        :returns: whether the connection was still open.
        """
        try:
            self._socket.sendall(data)
        except OSError:
            return False
        return True

    def end(self) -> None:
        """Sends nothing any more."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def read_response(self) -> RawResponse | None:
        """
        :returns: the next complete response, ``None`` if the connection was closed
            before its first byte.
        :raises AssertionError: if the connection was closed amid a response, or nothing
            arrives in time.
        """
        while b"\r\n\r\n" not in self._received:
            if not self._receive():
                assert not self._received, f"cut off: {self._received!r}"
                return None
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        length = int(headers.get("Content-Length", "0"))
        while len(self._received) < length:
            assert self._receive(), f"cut off after {head!r}"
        body, self._received = self._received[:length], self._received[length:]
        return RawResponse(int(status_line.split()[1]), headers, body)

    def read_responses(self) -> list[RawResponse]:
        """
        :returns: all responses until the connection was closed.
        """
        responses = []
        while (response := self.read_response()) is not None:
            responses.append(response)
        return responses

    def _receive(self) -> bool:
        try:
            data = self._socket.recv(_READ_BYTES)
        except ConnectionError:
            return False
        except TimeoutError:
            raise AssertionError("neither a response nor a close in time") from None
        self._received += data
        return bool(data)

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()
