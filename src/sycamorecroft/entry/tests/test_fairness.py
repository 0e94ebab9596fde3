"""Tests that connections whose requests are costly to parse don't hold up others."""

import socket
import threading

from standins.ports import reserve_port
from sycamorecroft.entry.server import HttpServer, ServerSettings

CROWD_COUNT = 40
CHUNK = b"10\r\n0123456789abcdef\r\n"
# All of it fits into the receive buffer of a connection, before the server starts.
CHUNKS_COUNT = 1200
TIMEOUT_S = 30.0


class _RecordingApplication:
    """Records the paths of requests in the order in which they are served."""

    def __init__(self, count: int) -> None:
        self.paths: list[str] = []
        self.all_served = threading.Event()
        self._count = count
        self._lock = threading.Lock()

    def __call__(self, environ, start_response):
        with self._lock:
            self.paths.append(environ["PATH_INFO"])
            if len(self.paths) == self._count:
                self.all_served.set()
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


def _send(port: int, path: str, fields: str, body: bytes) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port))
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n{fields}\r\n\r\n"
    connection.sendall(head.encode() + body)
    return connection


def _serve_crowd(fields: str, body: bytes) -> list[str]:
    """Lets a crowd and then one ordinary client send before the server starts.

    :returns: paths in the order in which they were served.
    """
    port = reserve_port()
    application = _RecordingApplication(CROWD_COUNT + 1)
    settings = ServerSettings(f"127.0.0.1:{port}", 4, 100, 2**20, 10)
    server = HttpServer(application, settings)
    connections = [_send(port, "/crowd", fields, body) for _ in range(CROWD_COUNT)]
    connections.append(_send(port, "/ordinary", "Content-Length: 4", b"body"))
    server.start()
    assert application.all_served.wait(TIMEOUT_S), application.paths
    for connection in connections:
        connection.close()
    server.stop(TIMEOUT_S)
    return application.paths


def test_ordinary_request_overtakes_bodies_in_tiny_chunks():
    """Guards against an ordinary request that waits until all chunks of a crowd are
    parsed. Such bodies are served all the same."""
    body = CHUNK * CHUNKS_COUNT + b"0\r\n\r\n"
    paths = _serve_crowd("Transfer-Encoding: chunked", body)
    assert paths.index("/ordinary") < CROWD_COUNT // 2


def test_ordinary_request_overtakes_heads_with_many_fields():
    """Guards against an ordinary request that waits until the heads of a crowd, with
    thousands of fields each, are parsed."""
    fields = "\r\n".join(f"{number:x}:" for number in range(2300))
    paths = _serve_crowd(fields + "\r\nContent-Length: 0", b"")
    assert paths.index("/ordinary") < CROWD_COUNT // 2
