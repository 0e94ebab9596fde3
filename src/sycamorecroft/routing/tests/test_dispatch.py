"""Tests of the dispatcher against a scripted server on the loopback interface."""

import contextlib
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from sycamorecroft.clock import SystemClock
from sycamorecroft.routing.dispatch import (
    AttemptKind,
    AttemptReason,
    BackendRequest,
    Dispatcher,
)

REQUEST = BackendRequest("r1", "rating", {"Content-Type": "text/plain"}, b"reading 7")
LENGTH_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nSycamorecroft-Request-Id: r1\r\nContent-Length: 12\r\n\r\n"
    b"cover is fit"
)
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"000a\r\ncover is f\r\n2\r\nit\r\n0\r\n\r\n"
)
EMPTY_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"
BODIES = {LENGTH_RESPONSE: b"cover is fit", CHUNKED_RESPONSE: b"cover is fit"}


class ScriptedServer:
    """Server that reads and sends given bytes on each connection, then closes it."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.read_bytes: int | None = None
        self.response = b""
        self.is_reset = False
        self.keep_open_s = 0.0
        self.connections_count = 0
        self.received_bytes = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections_count += 1
            with connection:
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        received = b""
        limit_bytes = self.read_bytes
        while limit_bytes is None or len(received) < limit_bytes:
            chunk = connection.recv(
                65536 if limit_bytes is None else limit_bytes - len(received)
            )
            received += chunk
            if not chunk or (limit_bytes is None and received.endswith(REQUEST.body)):
                break
        self.received_bytes = len(received)
        if self.response:
            connection.sendall(self.response)
        time.sleep(self.keep_open_s)
        if self.is_reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self) -> None:
        # Unblocks the accepting thread, which otherwise keeps the socket listening.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@pytest.fixture
def server():
    server = ScriptedServer()
    yield server
    with contextlib.suppress(OSError):
        server.close()


@pytest.fixture
def dispatcher():
    dispatcher = Dispatcher(SystemClock(), response_limit_bytes=1000)
    yield dispatcher
    dispatcher.close()


def dispatch(dispatcher, address, timeout_s=2.0, refusal_statuses=()):
    return dispatcher.dispatch(
        address,
        REQUEST,
        deadline_s=time.monotonic() + timeout_s,
        refusal_statuses=refusal_statuses,
    )


@pytest.mark.parametrize("is_reset", [True, False])
def test_request_truncated_at_each_byte_may_have_run(server, dispatcher, is_reset):
    """Guards against a retry of a request that the worker received in part."""
    dispatch(dispatcher, server.address)
    server.is_reset = is_reset
    for count in range(server.received_bytes + 1):
        server.read_bytes = count
        outcome = dispatch(dispatcher, server.address)
        assert outcome.kind is AttemptKind.MAY_HAVE_RUN, count
        assert outcome.has_sent_bytes


@pytest.mark.parametrize(
    "response", [LENGTH_RESPONSE, CHUNKED_RESPONSE, EMPTY_RESPONSE]
)
@pytest.mark.parametrize("is_reset", [True, False])
def test_response_truncated_at_each_byte_is_rejected(
    server, dispatcher, response, is_reset
):
    """Guards against a truncated response that is returned as complete (I3).

    Some truncations leave a valid but shorter status line, header or chunk size.
    """
    server.is_reset = is_reset
    for count in range(len(response)):
        server.response = response[:count]
        outcome = dispatch(dispatcher, server.address)
        assert outcome.kind is AttemptKind.MAY_HAVE_RUN, response[:count]
        assert outcome.response is None
    server.is_reset = False
    server.response = response
    outcome = dispatch(dispatcher, server.address)
    assert outcome.kind is AttemptKind.COMPLETE
    assert outcome.response.body == BODIES.get(response, b"")


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (LENGTH_RESPONSE.replace(b"r1", b"r2"), AttemptReason.RESPONSE_MISMATCH),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", AttemptReason.RESPONSE_UNBOUNDED),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + b"x" * 1001,
            AttemptReason.RESPONSE_TOO_LARGE,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 12\r\n\r\nabc",
            AttemptReason.RESPONSE_BROKEN,
        ),
        (b"gibberish\r\n\r\n", AttemptReason.RESPONSE_BROKEN),
    ],
)
def test_invalid_response_may_have_run(server, dispatcher, response, reason):
    """Guards against the response to another request or one without a definite end."""
    server.response = response
    outcome = dispatch(dispatcher, server.address)
    assert (outcome.kind, outcome.reason) == (AttemptKind.MAY_HAVE_RUN, reason)


def test_refused_connection_is_not_sent(server, dispatcher):
    server.close()
    outcome = dispatch(dispatcher, server.address)
    assert outcome.kind is AttemptKind.NOT_SENT
    assert outcome.reason is AttemptReason.CONNECT_FAILED
    assert not outcome.has_sent_bytes


def test_request_after_its_deadline_is_not_sent(server, dispatcher):
    outcome = dispatch(dispatcher, server.address, timeout_s=-0.1)
    assert outcome.kind is AttemptKind.NOT_SENT
    assert outcome.reason is AttemptReason.DEADLINE


def test_invalid_header_is_not_sent(server, dispatcher):
    """Guards against header injection, and against counting it as a worker failure."""
    request = REQUEST._replace(headers={"X-Note": "a\r\nSycamorecroft-Request-Id: r2"})
    outcome = dispatcher.dispatch(
        server.address, request, deadline_s=time.monotonic() + 1, refusal_statuses=()
    )
    assert outcome.kind is AttemptKind.NOT_SENT
    assert outcome.reason is AttemptReason.INVALID_REQUEST


def test_only_a_configured_and_complete_refusal_counts_as_refused(server, dispatcher):
    """Guards against a truncated refusal, and a 503 of a service without guarantee."""
    refusal = b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
    server.response = refusal
    assert dispatch(dispatcher, server.address).kind is AttemptKind.COMPLETE
    outcome = dispatch(dispatcher, server.address, refusal_statuses=(503,))
    assert outcome.kind is AttemptKind.REFUSED
    server.response = refusal[:-1]
    outcome = dispatch(dispatcher, server.address, refusal_statuses=(503,))
    assert outcome.kind is AttemptKind.MAY_HAVE_RUN


def test_redirect_is_returned_and_not_followed(server, dispatcher):
    server.response = (
        b"HTTP/1.1 307 Moved\r\nLocation: http://127.0.0.1:1/\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    outcome = dispatch(dispatcher, server.address)
    assert outcome.kind is AttemptKind.COMPLETE
    assert outcome.response.status == 307


def test_slow_response_ends_at_the_deadline(server, dispatcher):
    """Guards against a deadline that limits each read but not the whole exchange."""
    server.response = LENGTH_RESPONSE[:-5]
    server.keep_open_s = 5.0
    started_s = time.monotonic()
    outcome = dispatch(dispatcher, server.address, timeout_s=0.3)
    assert time.monotonic() - started_s < 2.0
    assert outcome.kind is AttemptKind.MAY_HAVE_RUN
    assert outcome.reason is AttemptReason.RESPONSE_TIMEOUT


def test_connection_closed_while_idle_is_replaced(server, dispatcher):
    """Guards against sending on a connection that the server has closed.

    The outcome of the request would be unknown.
    """
    server.response = LENGTH_RESPONSE
    for _ in range(5):
        assert dispatch(dispatcher, server.address).kind is AttemptKind.COMPLETE
        time.sleep(0.02)
    assert server.connections_count == 5


def test_bytes_after_a_response_never_reach_the_next_request(server, dispatcher):
    """Guards against a late or duplicate response to the next request."""
    server.response = LENGTH_RESPONSE * 2
    server.keep_open_s = 0.2
    for _ in range(3):
        outcome = dispatch(dispatcher, server.address)
        assert outcome.kind is AttemptKind.COMPLETE
        assert outcome.response.body == b"cover is fit"
    assert server.connections_count == 3


class EchoHandler(BaseHTTPRequestHandler):
    """Echoes body and request id after the delay that the body contains."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(float(body.split()[1]))
        self.wfile.write(
            b"HTTP/1.1 200 OK\r\nSycamorecroft-Request-Id: %b\r\n"
            b"Content-Length: %d\r\n\r\n%b"
            % (self.headers["Sycamorecroft-Request-Id"].encode(), len(body), body)
        )

    def log_message(self, format, *arguments):
        """Suppresses access logs in the test output."""


class EchoServer(ThreadingHTTPServer):
    """Server whose backlog holds a connection of each thread of the test.

    With the default of 5 a connection may be dropped and exceed the connect timeout.
    """

    request_queue_size = 64


def test_concurrent_and_late_responses_match_their_request(dispatcher):
    """Guards against a late response that is returned for a later request (I3)."""
    server = EchoServer(("127.0.0.1", 0), EchoHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()

    def exchange(number):
        is_late = number % 5 == 0
        body = b"%d %f" % (number, 0.2 if is_late else number % 7 * 0.002)
        request = REQUEST._replace(request_id=f"r{number}", body=body)
        outcome = dispatcher.dispatch(
            f"127.0.0.1:{server.server_port}", request,
            deadline_s=time.monotonic() + (0.05 if is_late else 5.0),
            refusal_statuses=(),
        )  # fmt: skip
        if is_late:
            assert outcome.response is None
        else:
            assert outcome.kind is AttemptKind.COMPLETE, outcome
            assert outcome.response.body == body
        return outcome.reason

    with ThreadPoolExecutor(16) as threads:
        reasons = list(threads.map(exchange, range(400)))
    assert AttemptReason.RESPONSE_TIMEOUT in reasons
    server.shutdown()
    server.server_close()
