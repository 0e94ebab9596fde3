"""Tests of graceful shutdown and of the handling of slow senders."""

import socket
import threading
import time
from http.client import HTTPConnection

import msgspec
import pytest

from standins.site import ROOT
from sycamorecroft.entry.server import HttpServer
from sycamorecroft.settings import load_settings

STOP_TIMEOUT_S = 10.0


class _Application:
    """Responds at once, or on path ``/slow`` once ``slow_allowed`` is set."""

    def __init__(self) -> None:
        self.slow_started = threading.Event()
        self.slow_allowed = threading.Event()

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            self.slow_started.set()
            self.slow_allowed.wait(STOP_TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


class _RunningServer:
    """A server under test, with helpers to connect to it and to stop it."""

    def __init__(self, port: int) -> None:
        path = ROOT / "deployments" / "ondangwa" / "daemon.jsonc"
        settings = msgspec.structs.replace(
            load_settings(path),
            http_address=f"127.0.0.1:{port}",
            thread_count=4,
            slow_sender_timeout_s=1.0,
        )
        self.application = _Application()
        self.http_server = HttpServer(self.application, settings)
        self.http_server.start()
        self.port = port
        self.results: list[bool] = []

    def connect(self, path: str = "/") -> HTTPConnection:
        connection = HTTPConnection("127.0.0.1", self.port, timeout=STOP_TIMEOUT_S)
        connection.request("POST", path, b"body")
        return connection

    def stop_in_thread(self) -> threading.Thread:
        thread = threading.Thread(
            target=lambda: self.results.append(self.http_server.stop(STOP_TIMEOUT_S))
        )
        thread.start()
        return thread


@pytest.fixture
def server(unused_port):
    running = _RunningServer(unused_port)
    yield running
    running.application.slow_allowed.set()
    if not running.results:
        running.http_server.stop(STOP_TIMEOUT_S)


@pytest.fixture
def unused_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def test_responses_close_connections_after_shutdown_has_started(server):
    """Guards against responses of status 500 during the whole grace period, which occur
    if the WSGI application itself sets the header ``Connection``."""
    before = server.connect().getresponse()
    server.http_server.start_shutdown()
    after = server.connect().getresponse()
    assert (before.status, before.headers["Connection"]) == (200, None)
    assert (after.status, after.headers["Connection"]) == (200, "close")


def test_stop_closes_idle_connections_and_completes_requests_in_flight(server):
    """Guards against a request on an idle connection that is accepted during shutdown
    but never handled, because the worker threads have ended."""
    idle = server.connect()
    idle.getresponse().read()
    slow = server.connect("/slow")
    assert server.application.slow_started.wait(STOP_TIMEOUT_S)
    stopping = server.stop_in_thread()
    assert idle.sock.recv(1) == b"", "an idle connection stays open during shutdown"
    with pytest.raises(ConnectionRefusedError):
        server.connect()
    server.application.slow_allowed.set()
    assert slow.getresponse().read() == b"ok"
    stopping.join(STOP_TIMEOUT_S)
    assert server.results == [True]


def test_slow_senders_are_disconnected_and_block_no_thread(server):
    """Guards against callers that occupy all connections by sending a byte now and
    then."""
    request_head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
    senders = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(8)]
    started_s = time.monotonic()
    for sender in senders:
        sender.sendall(request_head)
    while senders and time.monotonic() - started_s < STOP_TIMEOUT_S:
        senders = [sender for sender in senders if _can_send(sender)]
        assert server.connect().getresponse().read() == b"ok"
        time.sleep(0.1)
    assert not senders, "a sender of 10 bytes a second is still connected"


def _can_send(sender: socket.socket) -> bool:
    try:
        sender.sendall(b"x")
    except OSError:
        sender.close()
        return False
    return True
