"""Tests of the HTTP interface for explanations."""

import io
import json
import threading
from http import HTTPStatus
from unittest.mock import patch

import pytest
from structlog.testing import capture_logs

from standins.entry_driver import CountingRecorder
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import RequestError, StoreUnavailableError
from sycamorecroft.explanations.interface import (
    REQUEST_LIMIT_BYTES,
    OperatorInterface,
)
from sycamorecroft.explanations.messages import (
    EXPLAIN_PLACEMENT_PATH,
    ExplainOutcome,
    ExplainReply,
    NodeKnowledge,
)

TOKEN = "0123456789abcdef"
REPLY = ExplainReply(ExplainOutcome.NOT_OWNER, NodeKnowledge("h1", 1, 0.0, 0.0))
WAIT_S = 5.0


class _Interface:
    """Interface whose answers a test sets."""

    def __init__(self, token=TOKEN):
        self.clock = ManualClock()
        self.recorder = CountingRecorder()
        self.answer = lambda request: REPLY
        self.requests = []
        self._application = OperatorInterface(
            self._metrics, self._answer, token, self.clock, self.recorder
        )

    def _answer(self, request):
        self.requests.append(request)
        return self.answer(request)

    @staticmethod
    def _metrics(environ, start_response):
        start_response("200 OK", [])
        return [b"metrics"]

    def call(
        self,
        token=TOKEN,
        body=b'{"id": "00112233445566aa"}',
        path=EXPLAIN_PLACEMENT_PATH,
        method="POST",
    ):
        started = []
        environ = {
            "PATH_INFO": path,
            "REQUEST_METHOD": method,
            "wsgi.input": io.BytesIO(body),
        }
        if token is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        chunks = self._application(environ, lambda *args: started.append(args))
        status, headers = started[0]
        return int(status.split()[0]), dict(headers), b"".join(chunks)


def test_path_does_not_exist_without_a_token_in_the_settings():
    """Guards against an interface that is open by default."""
    interface = _Interface(token=None)
    for token in (None, "", "None", TOKEN):
        assert interface.call(token)[0] == HTTPStatus.NOT_FOUND
    assert not interface.requests


@pytest.mark.parametrize("token", [None, "", TOKEN[:-1], TOKEN + "x", "é" * 16])
def test_call_without_the_token_is_refused(token):
    """Guards against explanations for everybody who reaches the metrics."""
    interface = _Interface()
    status, headers, _ = interface.call(token)
    assert (status, headers["WWW-Authenticate"]) == (401, "Bearer")
    assert not interface.requests


def test_token_is_compared_in_constant_time():
    """Guards against a comparison that tells how much of a token is right."""
    name = "sycamorecroft.explanations.interface.hmac.compare_digest"
    with patch(name, return_value=True) as compare:
        assert _Interface().call("another")[0] == HTTPStatus.OK
    assert compare.call_count == 1


def test_other_paths_lead_to_the_metrics():
    """Guards against a scrape that gets no metrics."""
    interface = _Interface()
    for path in ("/metrics", "/", ""):
        assert interface.call(None, path=path, method="GET")[2] == b"metrics"


def test_more_than_two_answers_a_second_are_refused():
    """Guards against operators whose questions take the processor of an owner."""
    interface = _Interface()
    statuses = [interface.call()[0] for _ in range(3)]
    assert statuses == [200, 200, 429]
    assert interface.call()[1]["Retry-After"] == "1"
    interface.clock.advance(0.9)
    assert interface.call()[0] == HTTPStatus.TOO_MANY_REQUESTS
    interface.clock.advance(0.2)
    assert interface.call()[0] == HTTPStatus.OK
    assert len(interface.requests) == 3


def test_calls_without_the_token_do_not_use_up_the_rate():
    """Guards against strangers who keep operators out."""
    interface = _Interface()
    for _ in range(10):
        interface.call("wrong" * 4)
    assert interface.call()[0] == HTTPStatus.OK


def test_second_question_is_refused_while_the_first_is_answered():
    """Guards against explanations that take all threads of the metrics listener."""
    interface = _Interface()
    entered, released = threading.Event(), threading.Event()

    def answer(request):
        entered.set()
        assert released.wait(WAIT_S)
        return REPLY

    interface.answer = answer
    first = threading.Thread(target=interface.call)
    first.start()
    assert entered.wait(WAIT_S)
    interface.clock.advance(5.0)
    assert interface.call()[0] == HTTPStatus.TOO_MANY_REQUESTS
    assert interface.call(None, path="/metrics", method="GET")[0] == HTTPStatus.OK
    released.set()
    first.join(WAIT_S)
    interface.clock.advance(5.0)
    interface.answer = lambda request: REPLY
    assert interface.call()[0] == HTTPStatus.OK


@pytest.mark.parametrize(
    "error, status",
    [
        (RequestError("no"), HTTPStatus.BAD_REQUEST),
        (StoreUnavailableError("not now"), HTTPStatus.SERVICE_UNAVAILABLE),
        (ValueError("secret"), HTTPStatus.INTERNAL_SERVER_ERROR),
    ],
)
def test_failed_answer_leaves_the_interface_usable(error, status):
    """Guards against an error that blocks all further questions, or is shown."""
    interface = _Interface()

    def answer(request):
        raise error

    interface.answer = answer
    with capture_logs():
        result, _, body = interface.call()
    assert result == status
    assert b"secret" not in body
    interface.answer = lambda request: REPLY
    interface.clock.advance(1.0)
    assert interface.call()[0] == HTTPStatus.OK


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"key": "pqk8bdk9eevyxq2yyaza"}',
        b'{"id": 5}',
        b"[" * 100_000,
        b"\xff",
        b" " * (REQUEST_LIMIT_BYTES + 1),
    ],
)
def test_invalid_question_is_refused(body):
    """Guards against questions that stop a thread, or that carry keys."""
    interface = _Interface()
    status, _, answer = interface.call(body=body)
    assert status == HTTPStatus.BAD_REQUEST
    assert json.loads(answer)["error"] == "invalid"
    assert not interface.requests


def test_refusals_are_logged_once_a_second_and_counted():
    """Guards against a crowd that fills the log."""
    interface = _Interface()
    with capture_logs() as lines:
        for _ in range(5):
            interface.call("wrong" * 4)
    assert [line["event"] for line in lines] == ["explanation_refused"]
    assert interface.recorder.counts == [("explanations", "unauthorised")] * 5
