"""Randomised test of framing: whatever is sent, the server answers or closes."""

import time
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, given, seed, settings, strategies

from properties.seeds import SEED
from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.tests.raw_client import ServerUnderTest

EXAMPLES_COUNT = 300
LIMITS = ConnectionLimits(512, 2000, 2.0, 2.0)
BUDGET_BYTES = 100_000

_FIELDS = strategies.sampled_from(
    (
        b"Host: a",
        b"Content-Length: 0",
        b"Content-Length: 5",
        b"Content-Length: 1999",
        b"Content-Length: 2001",
        b"Content-Length: 99999999999999999999",
        b"Content-Length: +5",
        b"Content-Length : 5",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"transfer-encoding: \x0bchunked",
        b"Expect: 100-continue",
        b"Connection: close",
        b"Connection: keep-alive",
        b" folded",
        b"no colon",
        b"a: " + b"b" * 200,
        b"bare\rreturn: 1",
        b"null: \x00",
    )
)
_LINES = strategies.sampled_from(
    (
        b"POST / HTTP/1.1",
        b"GET /x?y#z HTTP/1.1",
        b"GET / HTTP/1.0",
        b"GET http://[::1 HTTP/1.1",
        b"PRI * HTTP/2.0",
        b"GET //a HTTP/1.1",
        b"GET /",
        b"post / HTTP/1.1",
        b"\x00\xff HTTP/9.9",
        b"",
    )
)
_CHUNKS = strategies.sampled_from(
    (
        b"5\r\nabcde\r\n",
        b"05;ext=1\r\nabcde\r\n",
        b"7cf\r\n" + b"x" * 1999 + b"\r\n",
        b"8000000000000000\r\nabc",
        b"-5\r\nabcde\r\n",
        b"5\r\nabcdef\r\n",
        b"0\r\n\r\n",
        b"0\r\nafter: 1\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * 50,
        b"\r\n",
        b"f" * 300,
    )
)
_HEADS = strategies.builds(
    lambda line, fields, end: b"\r\n".join((line, *fields)) + end,
    _LINES,
    strategies.lists(_FIELDS, max_size=5),
    strategies.sampled_from((b"\r\n\r\n", b"\r\n\r\n", b"\r\n\r\n", b"\n\n", b"")),
)
_TEXTS = strategies.lists(
    strategies.one_of(
        _HEADS,
        _HEADS,
        _CHUNKS,
        strategies.binary(max_size=20),
        strategies.sampled_from((b"abcde", b"x" * 1999, b"\r\n")),
    ),
    max_size=8,
).map(b"".join)


@pytest.fixture(scope="module")
def server() -> Iterator[ServerUnderTest]:
    started = ServerUnderTest(limits=LIMITS, budget_bytes=BUDGET_BYTES)
    yield started
    started.stop()


@seed(SEED)
@settings(
    max_examples=EXAMPLES_COUNT,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    text=_TEXTS,
    cuts=strategies.lists(strategies.integers(0, 4000), max_size=4),
    ends=strategies.booleans(),
)
def test_each_connection_ends_in_whole_responses_or_a_close(server, text, cuts, ends):
    """Guards against framing that ends a thread, leaves a connection without an answer,
    or holds memory after the connection has ended."""
    with server.connect() as client:
        positions = [0, *sorted(min(cut, len(text)) for cut in cuts), len(text)]
        for start, end in zip(positions, positions[1:], strict=False):
            if not client.send(text[start:end]):
                break
        if ends:
            client.end()
            responses = client.read_responses()
            statuses = [response.status for response in responses]
            assert set(statuses) <= {100, 200, 400, 413, 417, 431, 501, 503}, statuses
    assert server.has_all_threads()


def test_nothing_is_held_after_random_framing(server):
    """Guards against bytes that stay counted once their connections have ended."""
    deadline_s = time.monotonic() + LIMITS.idle_timeout_s + 3
    while server.budget.held_bytes or server.http_server.connection_counts():
        assert time.monotonic() < deadline_s, server.budget.held_bytes
        time.sleep(0.05)
    response = server.exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert response is not None
    assert response.status == 200
