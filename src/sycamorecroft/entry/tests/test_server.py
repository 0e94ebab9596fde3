"""Tests of the planned stop of the HTTP server."""

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
    """Answers at once, or on path ``/slow`` once it is told to."""

    def __init__(self) -> None:
        self.slow_started = threading.Event()
        self.slow_allowed = threading.Event()

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            self.slow_started.set()
            self.slow_allowed.wait(STOP_TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


class _Site:
    """A running server, and connections to it."""

    def __init__(self, port: int) -> None:
        path = ROOT / "deployments" / "ondangwa" / "daemon.jsonc"
        settings = msgspec.structs.replace(
            load_settings(path),
            http_address=f"127.0.0.1:{port}",
            thread_count=4,
            slow_sender_timeout_s=1.0,
        )
        self.application = _Application()
        self.server = HttpServer(self.application, settings)
        self.server.start()
        self.port = port
        self.results: list[bool] = []

    def connect(self, path: str = "/") -> HTTPConnection:
        connection = HTTPConnection("127.0.0.1", self.port, timeout=STOP_TIMEOUT_S)
        connection.request("POST", path, b"body")
        return connection

    def stop_in_thread(self) -> threading.Thread:
        thread = threading.Thread(
            target=lambda: self.results.append(self.server.stop(STOP_TIMEOUT_S))
        )
        thread.start()
        return thread


@pytest.fixture
def site(unused_port):
    running = _Site(unused_port)
    yield running
    running.application.slow_allowed.set()
    if not running.results:
        running.server.stop(STOP_TIMEOUT_S)


@pytest.fixture
def unused_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def test_responses_close_connections_once_the_stop_has_begun(site):
    """Guards against responses of status 500 for the whole grace period: a WSGI
    application may not set the header ``Connection``."""
    before = site.connect().getresponse()
    site.server.start_shutdown()
    after = site.connect().getresponse()
    assert (before.status, before.headers["Connection"]) == (200, None)
    assert (after.status, after.headers["Connection"]) == (200, "close")


def test_stop_closes_idle_connections_and_answers_those_in_flight(site):
    """Guards against a request on an idle connection that is taken up during the stop
    and never answered, since the threads that answer have ended."""
    idle = site.connect()
    idle.getresponse().read()
    slow = site.connect("/slow")
    assert site.application.slow_started.wait(STOP_TIMEOUT_S)
    stopping = site.stop_in_thread()
    assert idle.sock.recv(1) == b"", "an idle connection stays open during the stop"
    with pytest.raises(ConnectionRefusedError):
        site.connect()
    site.application.slow_allowed.set()
    assert slow.getresponse().read() == b"ok"
    stopping.join(STOP_TIMEOUT_S)
    assert site.results == [True]


def test_slow_senders_lose_their_connections_and_hold_no_thread(site):
    """Guards against callers that hold all connections with a byte now and then."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
    slow = [socket.create_connection(("127.0.0.1", site.port)) for _ in range(8)]
    started_s = time.monotonic()
    for sender in slow:
        sender.sendall(head)
    while slow and time.monotonic() - started_s < STOP_TIMEOUT_S:
        slow = [sender for sender in slow if _can_send(sender)]
        assert site.connect().getresponse().read() == b"ok"
        time.sleep(0.1)
    assert not slow, "a sender of 10 bytes a second still has its connection"


def _can_send(sender: socket.socket) -> bool:
    try:
        sender.sendall(b"x")
    except OSError:
        sender.close()
        return False
    return True
