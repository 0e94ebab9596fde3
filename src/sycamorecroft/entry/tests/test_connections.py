"""Tests of connections with odd, oversized, slow or unfinished requests."""

import errno
import os
import time
from collections.abc import Iterator

import pytest

from sycamorecroft.clock import ManualClock
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.eviction import STALL_S, Phase
from sycamorecroft.entry.listener import Listener
from sycamorecroft.entry.tests.raw_client import (
    LIMITS,
    TIMEOUT_S,
    RawClient,
    ServerUnderTest,
)

BODY_LIMIT_BYTES = LIMITS.body_limit_bytes
BUDGET_BYTES = 150_000
# More than a connection's allowance, so that it counts.
BODY_BYTES = 90_000
# The kernel may take some bytes a little later.
STALLED_S = 1.5 * STALL_S


def _post(path: str, fields: str, body: bytes = b"", version: str = "1.1") -> bytes:
    return f"POST {path} HTTP/{version}\r\nHost: a\r\n{fields}\r\n\r\n".encode() + body


def _sized(size_bytes: int, path: str = "/") -> bytes:
    return _post(path, f"Content-Length: {size_bytes}", bytes(size_bytes))


def _chunked(chunks: bytes) -> bytes:
    return _post("/", "Transfer-Encoding: chunked", chunks)


def _wait_for(condition) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.01)


@pytest.fixture
def server() -> Iterator[ServerUnderTest]:
    started = ServerUnderTest()
    yield started
    started.stop()


@pytest.fixture
def small_server() -> Iterator[ServerUnderTest]:
    """Server whose budget holds one body."""
    started = ServerUnderTest(budget_bytes=BUDGET_BYTES)
    yield started
    started.stop()


MALFORMED = {
    "both lengths": (
        _post("/", "Content-Length: 5\r\nTransfer-Encoding: chunked", b"0\r\n\r\n"),
        400,
    ),
    "chunked in HTTP/1.0": (
        _post("/", "Transfer-Encoding: chunked", b"0\r\n\r\n", "1.0"),
        400,
    ),
    "two lengths": (
        _post("/", "Content-Length: 5\r\nContent-Length: 6", b"x" * 6),
        400,
    ),
    "length of thousands of digits": (_post("/", "Content-Length: " + "9" * 1500), 400),
    "length beyond 64 bits": (_post("/", "Content-Length: " + "9" * 30), 400),
    "negative length": (_post("/", "Content-Length: -1"), 400),
    "chunk of 2^63 bytes": (_chunked(b"8000000000000000\r\nabc"), 413),
    "chunk beyond 64 bits": (_chunked(b"f" * 40 + b"\r\nabc"), 413),
    "chunk size that isn't hexadecimal": (_chunked(b"xyz\r\nabc\r\n0\r\n\r\n"), 400),
    "chunk size without an end": (_chunked(b"0" * 4000), 400),
    "chunk without an end": (_chunked(b"3\r\nabcdef\r\n"), 400),
    "long chunk extensions": (
        _chunked(b"".join(b"1;%s\r\nx\r\n" % (b"e" * 900) for _ in range(20))),
        400,
    ),
    "trailer without an end": (_chunked(b"0\r\n" + b"a: b\r\n" * 2000), 431),
    "head beyond the limit": (_post("/", "a: " + "b" * 2100), 431),
    "head without an end": (b"POST / HTTP/1.1\r\n" + b"a: b\r\n" * 1000, 431),
    "body beyond the limit": (
        _post("/", f"Content-Length: {BODY_LIMIT_BYTES + 1}", b"x"),
        413,
    ),
    "chunks beyond the limit": (
        _chunked(b"%x\r\n%s\r\n" % (60_000, bytes(60_000)) * 2),
        413,
    ),
    "no request": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused_and_not_run(server, name):
    """Guards against framing that is misread, holds memory or waits without an end."""
    data, status = MALFORMED[name]
    with server.connect() as client:
        client.send(data)
        response = client.read_response()
        assert response is not None
        assert response.status == status
        assert response.headers["Connection"] == "close"
        assert client.read_response() is None
    assert not server.application.bodies
    assert server.exchange(_sized(4)).status == 200


@pytest.mark.parametrize(
    ("name", "texts"),
    (
        ("length beyond 64 bits", ("Bad Request", "Content-Length")),
        ("body beyond the limit", ("Request Entity", str(BODY_LIMIT_BYTES))),
        ("chunks beyond the limit", ("Request Entity", str(BODY_LIMIT_BYTES))),
        ("head beyond the limit", ("Request Header", str(LIMITS.header_limit_bytes))),
    ),
)
def test_refusal_names_the_fault_and_the_limit_in_force(server, name, texts):
    """Guards against refusals that name no limit or one that isn't in force."""
    body = server.exchange(MALFORMED[name][0]).body.decode()
    assert not [text for text in texts if text not in body], body


def test_requests_at_the_limits_are_served(server):
    """Guards against limits that also refuse what they allow."""
    assert server.exchange(_sized(BODY_LIMIT_BYTES)).status == 200
    tiny_chunks = b"10\r\n0123456789abcdef\r\n" * (BODY_LIMIT_BYTES // 16)
    response = server.exchange(_chunked(tiny_chunks + b"0\r\nafter: x\r\n\r\n"))
    assert (response.status, int(response.body)) == (200, BODY_LIMIT_BYTES)
    head = _post("/", "a: ")
    head = _post("/", "a: " + "b" * (LIMITS.header_limit_bytes - len(head)))
    assert len(head) == LIMITS.header_limit_bytes
    assert server.exchange(head).status == 200


def test_pipelined_requests_are_answered_in_order(server):
    """Guards against requests that are lost, mixed up or answered twice."""
    with server.connect() as client:
        sizes = [5, 0, 70_000, 3, 40_000, 1]
        client.send(b"".join(map(_sized, sizes)) + b"\r\n" + _sized(2))
        bodies = [int(client.read_response().body) for _ in [*sizes, 2]]
    assert bodies == [*sizes, 2]


def test_pipelined_requests_behind_a_slow_one_are_not_begun(server):
    """Guards against requests that are parsed and held while an earlier one runs."""
    with server.connect() as client:
        client.send(_sized(1, "/slow") + _sized(2) * 100)
        assert server.application.slow_started.wait(TIMEOUT_S)
        time.sleep(0.1)
        assert len(server.application.bodies) == 1
        server.application.slow_allowed.set()
        assert [int(client.read_response().body) for _ in range(101)] == [1] + [2] * 100


def test_refusal_is_read_although_the_body_goes_on(server):
    """Guards against a reset that takes the refusal from a client that still sends, and
    against a last byte that starts the refused request."""
    size_bytes = BODY_LIMIT_BYTES + 50_000
    with server.connect() as client:
        client.send(_post("/", f"Content-Length: {size_bytes}", bytes(size_bytes - 1)))
        time.sleep(0.1)
        client.send(b"x")
        assert client.read_response().status == 413
        assert client.read_response() is None
    assert not server.application.bodies


def test_continue_is_sent_once_the_body_is_wanted(server):
    """Guards against clients that wait for a continuation that never comes, or get one
    before a refusal."""
    expectation = "Expect: 100-continue"
    with server.connect() as client:
        client.send(_post("/", f"{expectation}\r\nContent-Length: 3"))
        assert client.read_response().status == 100
        client.send(b"abc")
        assert client.read_response().status == 200
        client.send(_post("/", f"{expectation}\r\nTransfer-Encoding: chunked"))
        assert client.read_response().status == 100
        client.send(b"3\r\nabc\r\n0\r\n\r\n")
        assert client.read_response().status == 200
    too_long = f"{expectation}\r\nContent-Length: {BODY_LIMIT_BYTES + 1}"
    assert server.exchange(_post("/", too_long)).status == 413
    assert server.exchange(_post("/", expectation)).status == 200


def test_lowered_limits_reach_connections_under_way(server):
    """Guards against limits of a former configuration that go on for open
    connections."""
    with server.connect() as body, server.connect() as head, server.connect() as kept:
        kept.send(_sized(1))
        assert kept.read_response().status == 200
        body.send(_sized(5000)[:-1])
        head.send(b"POST / HTTP/1.1\r\nHost")
        server.http_server.apply_limits(ConnectionLimits(100, 1000, 0.1, 0.3))
        assert body.read_response().status == 413
        assert head.read_response().status == 408
        assert kept.read_response() is None
        assert server.exchange(_post("/", "a: " + "b" * 100)).status == 431


def test_body_that_makes_progress_is_not_closed():
    """Guards against a slow client that is taken for a stalled one."""
    clock = ManualClock()
    server = ServerUnderTest(limits=LIMITS._replace(idle_timeout_s=4.0), clock=clock)
    with server.connect() as client:
        client.send(_post("/", "Content-Length: 30000"))
        for _ in range(10):
            client.send(bytes(3000))
            time.sleep(0.02)
            clock.advance(3.0)
            time.sleep(0.02)
        assert client.read_response().status == 200
    server.stop()


@pytest.mark.parametrize("sent", ("head", "body", "nothing", "between requests"))
def test_connections_without_progress_end(sent):
    """Guards against clients that hold connections without an end."""
    clock = ManualClock()
    server = ServerUnderTest(clock=clock)
    texts = {
        "head": b"POST / HT",
        "body": _sized(100)[:-1],
        "nothing": b"",
        "between requests": _sized(1),
    }
    with server.connect() as client:
        client.send(texts[sent])
        if sent == "between requests":
            assert client.read_response().status == 200
        time.sleep(0.1)
        clock.advance(max(LIMITS.idle_timeout_s, LIMITS.header_timeout_s) + 1)
        response = client.read_response()
    assert (response and response.status) == {"head": 408, "body": 408}.get(sent)
    server.stop()


def test_blank_lines_do_not_prolong_the_wait_for_a_request():
    """Guards against a client that keeps a connection by blank lines."""
    clock = ManualClock()
    server = ServerUnderTest(clock=clock)
    with server.connect() as client:
        for _ in range(20):
            client.send(b"\r\n\r\n")
            time.sleep(0.02)
            clock.advance(0.5)
        assert client.read_response() is None
    server.stop()


def test_stalled_body_gives_way_to_a_new_one(small_server):
    """Guards against a budget that bodies which stop short keep from others."""
    stalled = small_server.connect()
    stalled.send(_sized(BODY_BYTES)[:-1])
    _wait_for(lambda: small_server.budget.held_bytes > BODY_BYTES // 2)
    time.sleep(STALLED_S)
    assert small_server.exchange(_sized(BODY_BYTES)).status == 200
    response = stalled.read_response()
    assert (response.status, response.headers["Retry-After"]) == (503, "1")
    stalled.send(b"x")
    assert stalled.read_response() is None
    assert len(small_server.application.bodies) == 1
    _wait_for(lambda: small_server.budget.held_bytes == 0)


def test_new_body_is_refused_while_none_is_stalled():
    """Guards against bodies that are closed although they make progress, and against
    refused ones that run."""
    clock = ManualClock()
    server = ServerUnderTest(budget_bytes=BUDGET_BYTES, clock=clock)
    with server.connect() as client:
        client.send(_sized(BODY_BYTES)[:-1])
        _wait_for(lambda: server.budget.held_bytes > BODY_BYTES // 2)
        response = server.exchange(_sized(BODY_BYTES))
        assert (response.status, response.headers["Retry-After"]) == (503, "1")
        assert server.exchange(_sized(1000)).status == 200, "small bodies are served"
        client.send(b"\0")
        assert client.read_response().status == 200
    assert [len(body) for body in server.application.bodies] == [1000, BODY_BYTES]
    server.stop()


def test_request_is_refused_if_its_copies_do_not_fit():
    """Guards against complete bodies that take many times their size once they are
    handled. A refused one isn't run."""
    server = ServerUnderTest(budget_bytes=BUDGET_BYTES, copies_ratio=3.0)
    response = server.exchange(_sized(BODY_BYTES))
    assert (response.status, response.headers["Retry-After"]) == (503, "1")
    assert server.exchange(_sized(20_000)).status == 200
    assert [len(body) for body in server.application.bodies] == [20_000]
    _wait_for(lambda: server.budget.held_bytes == 0)
    server.stop()


def test_unread_responses_are_counted_and_give_way(small_server):
    """Guards against responses that pile up because nobody reads them."""
    application = small_server.application
    application.response_bytes = 4 * 2**20
    unread = small_server.connect()
    unread.send(_sized(1))
    _wait_for(lambda: small_server.budget.held_bytes > BUDGET_BYTES)
    application.response_bytes = 0
    time.sleep(STALLED_S)
    assert small_server.exchange(_sized(BODY_BYTES)).status == 200
    _wait_for(lambda: small_server.budget.held_bytes == 0)
    unread.close()


def test_long_response_is_sent_while_it_is_produced(server):
    """Guards against a worker that waits for room in the buffers for ever, because
    nothing of its response is sent while it has the request."""
    server.application.response_bytes = 2**20
    server.application.repetitions_count = 24
    with server.connect() as client:
        client.send(_sized(1))
        time.sleep(0.2)
        response = client.read_response()
    assert len(response.body) == 24 * 2**20


def test_worker_is_released_from_a_client_that_does_not_read():
    """Guards against worker threads that wait for clients without an end."""
    server = ServerUnderTest(limits=LIMITS._replace(idle_timeout_s=0.5))
    server.application.response_bytes = 2**20
    server.application.repetitions_count = 24
    clients = [server.connect() for _ in range(4)]
    for client in clients:
        client.send(_sized(1))
    _wait_for(lambda: len(server.application.bodies) == 4)
    server.application.repetitions_count = 1
    server.application.response_bytes = 0
    assert server.exchange(_sized(1)).status == 200
    for client in clients:
        client.close()
    server.stop()


def test_idle_connections_give_way_to_new_ones():
    """Guards against a crowd that takes all connections, and against connections of
    callers that are closed before those that never sent anything."""
    server = ServerUnderTest(connections_count=5)
    with server.connect() as kept:
        kept.send(_sized(1))
        assert kept.read_response().status == 200
        crowd = [server.connect() for _ in range(4)]
        time.sleep(STALLED_S)
        assert server.exchange(_sized(1)).status == 200
        kept.send(_sized(1))
        assert kept.read_response().status == 200
    for client in crowd:
        client.close()
    server.stop()


def test_connection_beyond_the_limit_is_refused():
    """Guards against connections that are neither served nor refused while all others
    are at work."""
    clock = ManualClock()
    server = ServerUnderTest(connections_count=2, clock=clock)
    busy = [server.connect(), server.connect()]
    for client in busy:
        client.send(_sized(1, "/slow"))
    _wait_for(lambda: len(server.application.bodies) == 2)
    response = server.exchange(b"")
    assert (response.status, response.headers["Retry-After"]) == (503, "1")
    server.application.slow_allowed.set()
    assert [client.read_response().status for client in busy] == [200, 200]
    server.stop()


def test_accepting_pauses_without_descriptors(server, monkeypatch):
    """Guards against a polling thread that spins while no descriptor is left."""
    accepts = []

    def fail(listener):
        accepts.append(listener)
        listener._handle_accept_error(OSError(errno.EMFILE, os.strerror(errno.EMFILE)))

    original = Listener.handle_accept
    monkeypatch.setattr(Listener, "handle_accept", fail)
    with server.connect() as client:
        time.sleep(0.5)
        monkeypatch.setattr(Listener, "handle_accept", original)
        assert 1 <= len(accepts) <= 10
        client.send(_sized(3))
        assert client.read_response().status == 200


def test_stop_answers_complete_requests_and_refuses_others(server):
    """Guards against a planned stop that aborts what is complete, waits for what never
    ends, or leaves requests without an answer."""
    slow, partial, partial_head = (server.connect() for _ in range(3))
    slow.send(_sized(1, "/slow"))
    partial.send(_sized(BODY_BYTES)[:-1])
    partial_head.send(b"POST / HT")
    assert server.application.slow_started.wait(TIMEOUT_S)
    expected = {Phase.HANDLED: 1, Phase.BODY: 1, Phase.HEAD: 1}
    _wait_for(lambda: server.http_server.connection_counts() == expected)
    server.http_server.start_shutdown()
    server.application.slow_allowed.set()
    assert server.http_server.stop(TIMEOUT_S)
    assert slow.read_response().status == 200
    assert partial.read_response().status == 503
    assert partial_head.read_response().status == 503


def test_unexpected_error_ends_one_connection_only(server, monkeypatch):
    """Guards against an error in one connection that ends the polling thread."""
    with server.connect() as other:
        other.send(_sized(3)[:-1])
        _wait_for(lambda: server.http_server.connection_counts()[Phase.BODY])
        with monkeypatch.context() as patch:
            channel = "sycamorecroft.entry.channel.Channel._hold"
            patch.setattr(channel, lambda *_: 1 / 0)
            assert server.exchange(_sized(1)) is None
        other.send(b"x")
        assert other.read_response().status == 200
    assert server.exchange(_sized(1, "/error")).status == 500
    assert server.has_all_threads()


def test_connection_counts_show_what_connections_do(server):
    """Guards against states that operators can't tell apart."""
    clients: list[RawClient] = [server.connect() for _ in range(4)]
    clients[1].send(b"POST / HT")
    clients[2].send(_sized(100)[:-1])
    clients[3].send(_sized(1))
    assert clients[3].read_response().status == 200
    expected = {Phase.OPENED: 1, Phase.HEAD: 1, Phase.BODY: 1, Phase.KEPT: 1}
    _wait_for(lambda: server.http_server.connection_counts() == expected)
    for client in clients:
        client.close()
    _wait_for(lambda: not server.http_server.connection_counts())
