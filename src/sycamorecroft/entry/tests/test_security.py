"""Tests of authorisation, of limits on input and of the reporting of refusals."""

import hmac
import json

import pytest
import structlog
from werkzeug.test import Client

from standins.memory_tables import MemoryTables
from standins.site import ROOT
from sycamorecroft.admission.in_flight_limit import InFlightLimit
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration import (
    compile_configuration,
    load_parameters,
    load_template,
)
from sycamorecroft.entry.application import Application, Route, json_response
from sycamorecroft.entry.callers import CallerHandlers
from sycamorecroft.entry.jobs import JobHandlers
from sycamorecroft.entry.request_records import RequestRecords
from sycamorecroft.entry.request_report import LOG_BURST_COUNT, RequestReporter
from sycamorecroft.jobs import JobStore
from sycamorecroft.routing.execution import (
    Execution,
    ExecutionStep,
    Outcome,
    StepKind,
)

TOKEN = "0123456789abcdef"
STATUS = "/v1/operator/status"
SECRET = "secret-wording-of-a-family"
REFUSED_EXECUTION = Execution(
    Outcome.NOT_RUN,
    "expected_wait",
    None,
    0,
    False,
    (ExecutionStep(StepKind.QUEUE, "expected_wait", 0.25),),
)


class FakeTelemetry:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *values: self.calls.append((name, *values))


class FakeExecutor:
    def execute(self, request, service):
        return REFUSED_EXECUTION


@pytest.fixture
def configuration():
    site = ROOT / "deployments" / "ondangwa"
    parameters = load_parameters(site / "street-safety-trust.jsonc")
    return compile_configuration(
        load_template(site / "template.jsonc"), [parameters], 1
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def records(clock):
    return RequestRecords(clock, limit_count=100)


@pytest.fixture
def telemetry():
    return FakeTelemetry()


@pytest.fixture
def client(configuration, clock, records, telemetry):
    reporter = RequestReporter(telemetry, records, clock)
    callers = CallerHandlers(
        FakeExecutor(), InFlightLimit(5), lambda: configuration, clock, reporter
    )
    store = JobStore(MemoryTables(), clock)
    jobs = JobHandlers(store, lambda: configuration, clock)
    routes = (*callers.routes(), *jobs.routes())
    return Client(Application(routes, None, None, TOKEN))


def _operator_call_status(token, headers=None, address="127.0.0.1", path=STATUS):
    routes = (Route("GET", STATUS, lambda request, request_id: json_response({})),)
    client = Client(Application(routes, None, None, token))
    environ = {"REMOTE_ADDR": address}
    return client.get(path, headers=headers, environ_overrides=environ).status_code


def test_operator_calls_need_the_token(monkeypatch):
    """Guards against operator calls without the token and, on a daemon without a token,
    against operator calls from addresses other than loopback."""
    comparisons = []
    monkeypatch.setattr(
        "sycamorecroft.entry.application.hmac.compare_digest",
        lambda first, second: (
            comparisons.append(1)
            or hmac.new(first, b"", "md5").digest()
            == hmac.new(second, b"", "md5").digest()
        ),
    )
    assert _operator_call_status(TOKEN, {"Authorization": f"Bearer {TOKEN}"}) == 200
    for value in (f"Bearer {TOKEN}x", TOKEN, f"Basic {TOKEN}", "Bearer", "Bearer é"):
        assert _operator_call_status(TOKEN, {"Authorization": value}) == 401
    assert len(comparisons) == 6, "a token was not compared in constant time"
    assert _operator_call_status(TOKEN) == 401
    assert _operator_call_status(None) == 200
    for address in ("10.1.2.3", "fd00::1", None):
        assert _operator_call_status(None, address=address) == 401
        forwarded = {"X-Forwarded-For": "127.0.0.1"}
        assert _operator_call_status(None, forwarded, address) == 401
    for path in (
        "/v1//operator/status",
        "//v1/operator/status",
        "/v1/./operator/status",
    ):
        assert _operator_call_status(None, address="10.1.2.3", path=path) in (308, 404)


@pytest.mark.parametrize(
    "fields",
    [
        {"command": "x" * 16_385},
        {"team": "t" * 129},
        {"size": {"processors_count": 0}},
        {"size": {"memory_bytes": -1}},
        {"size": {"accelerators_count": 10**9}},
        {"more": "x" * 131_072},
    ],
)
def test_invalid_and_oversized_jobs_are_rejected(client, fields):
    """Guards against rows of megabytes and against sizes out of any sensible range."""
    body = {"service": "rating", "command": "rate", "team": "default", **fields}
    response = client.post("/v1/jobs", json=body, headers={"Idempotency-Key": "k"})
    assert response.status_code == 400


def test_job_keys_and_quoted_headers_are_bounded(client):
    """Guards against row keys and error responses of kilobytes."""
    body = {"service": "rating", "command": "rate", "team": "default"}
    for key in ("", "k" * 129, "a b"):
        response = client.post("/v1/jobs", json=body, headers={"Idempotency-Key": key})
        assert response.status_code == 400
    for name in ("Account", "Team", "Urgency", "Timeout-Ms", "Repeatable"):
        headers = {f"Sycamorecroft-{name}": "9" * 8000}
        response = client.post("/v1/services/rating/requests", headers=headers)
        assert response.status_code == 400
        assert len(response.data) < 600


def test_refusal_is_logged_counted_and_recorded_without_its_body(
    client, records, telemetry, clock
):
    """Guards against refusals without an explanation, and against bodies or tokens in
    logs and records."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    with structlog.testing.capture_logs() as lines:
        response = client.post(
            "/v1/services/rating/requests", data=SECRET, headers=headers
        )
    assert response.status_code == 503
    (line,) = lines
    assert line["event"] == "request_not_run"
    expected = {"service": "rating", "outcome": "not-run", "reason": "expected_wait"}
    assert expected.items() <= line.items()
    assert line["queue_ms"] == 250.0 and "duration_ms" in line
    record = records.find(response.headers["Sycamorecroft-Request-Id"])
    assert [(step.step, step.result) for step in record.steps] == [
        ("headers", "accepted"),
        ("admission", "admitted"),
        ("queue", "expected_wait"),
    ]
    assert ("count_refusal", "rating", "expected_wait") in telemetry.calls
    assert ("record_queue_time", "rating", 0.25) in telemetry.calls
    reported = json.dumps(line) + repr(record)
    assert SECRET not in reported and TOKEN not in reported


def test_flood_of_refusals_is_bounded_in_logs_and_records(client, records, clock):
    """Guards against a flood of refusals that fills a daemon's log and memory."""
    with structlog.testing.capture_logs() as lines:
        for _ in range(300):
            client.post("/v1/services/rating/requests")
        clock.advance(1.0)
        client.post("/v1/services/rating/requests")
    assert len(lines) == LOG_BURST_COUNT + 1
    assert lines[-1]["suppressed_count"] == 300 - LOG_BURST_COUNT
    (count,) = records.recent_counts()
    assert count.count == 100
