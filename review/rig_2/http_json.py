"""HTTP/1.1 server and client with JSON bodies, from the standard library."""

import contextlib
import http.client
import json
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

from standins.ports import reserve_port

LOOPBACK = "127.0.0.1"


class ConnectionDroppedError(Exception):
    """The connection is reset without a response."""


class Request:
    """A request to a stand-in.

    ``headers`` have names in lower case.
    """

    def __init__(self, method, path, query, headers, body) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        text = self.rfile.read(length) if length else b""
        parts = urlsplit(self.path)
        request = Request(
            self.command,
            parts.path,
            dict(parse_qsl(parts.query)),
            {name.lower(): value for name, value in self.headers.items()},
            json.loads(text) if text else {},
        )
        try:
            status, body = self.server.stand_in.handle(request)
        except ConnectionDroppedError:
            linger = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.connection.close()
            self.close_connection = True
            return
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.connection.sendall(head.encode() + data)

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815

    def log_message(self, format: str, *arguments: object) -> None:
        pass


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments: object) -> None:
        self._connections: set[socket.socket] = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address) -> None:
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        self._connections.discard(request)
        super().shutdown_request(request)

    def close_connections(self) -> None:
        """Closes all connections, as the end of a process does."""
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address) -> None:
        """A client that has closed its connection is no error."""


class JsonStandIn:
    """Base of the stand-ins; subclasses override :meth:`handle`."""

    def __init__(self, port: int = 0) -> None:
        """
        :param port: port to listen on; 0 reserves a free one.
        """
        self._server = _Server((LOOPBACK, port or reserve_port()), _Handler)
        self._server.stand_in = self
        self.address = f"{LOOPBACK}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def handle(self, request: Request) -> tuple[int, dict]:
        """
        :returns: status and body of the response.
        """
        raise NotImplementedError

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.server_address[1]

    def close(self) -> None:
        """Stops the server and closes its connections."""
        self._server.shutdown()
        self._server.server_close()
        self._server.close_connections()


def call(
    address: str,
    method: str,
    path: str,
    *,
    host: str = "jobs.example",
    body: dict | None = None,
    timeout_s: float = 3.0,
) -> tuple[int | None, dict]:
    """
    :returns: status and body; status ``None`` if no complete response arrived.
    """
    name, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(name, int(port), timeout=timeout_s)
    headers = {
        "Host": host,
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(int(timeout_s * 1000)),
    }
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, body=text, headers=headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return None, {}
    finally:
        connection.close()
