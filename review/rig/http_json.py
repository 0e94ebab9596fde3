"""Minimal HTTP/1.1 server and client with JSON bodies."""

import http.client
import json
import random
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit


class Request(NamedTuple):
    """Request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict


class Answer(NamedTuple):
    """Answer of a stand-in."""

    status: int
    body: dict


PORTS = (14000, 30000)
_given_ports: set[int] = set()
# The connection is closed without an answer; a caller has usually given up by then.
NO_ANSWER = Answer(0, {})


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Callers may break off at any time."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65536
    handle_call: Callable[[Request], Answer]

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        text = self.rfile.read(length) if length else b""
        url = urlsplit(self.path)
        request = Request(
            self.command,
            url.path,
            dict(parse_qsl(url.query, keep_blank_values=True)),
            {name.lower(): value for name, value in self.headers.items()},
            json.loads(text) if text else {},
        )
        answer = type(self).handle_call(request)
        if answer is NO_ANSWER:
            self.close_connection = True
            return
        data = json.dumps(answer.body).encode()
        self.send_response(answer.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""


def serve(handle: Callable[[Request], Answer], port: int = 0) -> str:
    """Starts a server on a loopback port.

    :returns: its address.
    """
    handler = type("Handler", (_Handler,), {"handle_call": staticmethod(handle)})
    server = _Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """
    :returns: the answer; status 0 if there was none.
    """
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read()
        return Answer(response.status, json.loads(text) if text else {})
    except (OSError, http.client.HTTPException, ValueError):
        return Answer(0, {})
    finally:
        connection.close()


def free_port() -> int:
    """Chooses a port below those that the kernel gives to outgoing connections.

    :returns: a loopback port that is free now and hasn't been returned before.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port
