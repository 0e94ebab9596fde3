"""Messages of any content at each entrance of the adapter."""

import json

import msgspec
import pytest
from hypothesis import given, seed, settings, strategies as st

from properties.seeds import SEED
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import (
    PlatformError,
    RecordError,
    RequestError,
    StaleEpochError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    WorkerReplacedError,
)
from sycamorecroft.platform import (
    HttpAdviceCalls,
    HttpHostCalls,
    HttpWorkerCalls,
    PlatformTables,
    decode_fleet,
    decode_job,
    decode_wave,
    decode_worker,
)
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, StartOrder
from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.transport import Reply

EXAMPLES_COUNT = 150
RUN_LIST = {
    "clock-ms": 482113,
    "born": 17,
    "running": [["j.0.1.17", 2, "c", 41, 12]],
    "finished": [[58, "j.0.1.9", 1, "done", ""]],
}
ROWS = {
    "rows": [{"table": "t", "part": "p", "key": "k", "value": "e30=", "ver": 3}],
    "ver": 3,
    "now-ms": 17,
    "has-more": False,
}
HOSTS = {
    "machines": [
        {
            "machine": "m1",
            "pool": "rating",
            "state": "up",
            "zone": "z",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 1, "mem-mb": 1, "gpu": 0},
            "id": None,
        }
    ],
    "next-token": "",
}
WORKER = {
    "service": "rating",
    "addr": "10.0.0.9:8080",
    "state": "ready",
    "capacity": {"cpu": 16000},
    "labels": ["a", "r1"],
    "born": 17,
}
FLEET = {
    "version": 3,
    "routes": [{"name": "q", "host": "h", "prefix": "/p/", "service": "rating"}],
    "services": [{"name": "rating", "rejects-overload": True}],
    "limits": {"max-body-bytes": 1000},
}
WAVE = {"wave": 1, "machines": ["m1"], "duration-s": 3, "max-count": 1}
JOB = {"spec": "s", "phases": [{"count": 2, "cpu": 500, "estimate-ms": 900}]}
APPROVALS = {"approved": [["w1", "ticket"]], "valid-ms": 3000}

_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.sampled_from([1e999, "done", "up", "ready", "10.0.0.1:80", "é"])
    | st.text(max_size=4),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)


def _paths(value, path=()):
    yield path
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from _paths(item, (*path, key))
        else:
            yield (*path, key)


@st.composite
def _altered(draw, valid):
    """Draws the JSON text of a valid message in which one value was replaced."""
    path = draw(st.sampled_from(list(_paths(valid))))
    value = draw(_values)
    if not path:
        return json.dumps(value).encode()
    message = json.loads(json.dumps(valid))
    target = message
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return json.dumps(message).encode()


def _bodies(valid):
    text = json.dumps(valid).encode()
    cuts = st.integers(0, len(text)).map(lambda size: text[:size])
    return _altered(valid) | cuts | st.binary(max_size=20)


class _Connection:
    """Answers each call with the same response."""

    def __init__(self, body, status=200):
        self._body = body
        self._status = status

    def call(self, method, path, **fields):
        return Reply(f"{method} {path}", StoreOperation.WRITE, self._status, self._body)


def _worker_calls(body, status):
    calls = HttpWorkerCalls("10.0.0.1:80", "w1", 3)
    calls._renewal_connection = calls._order_connection = _Connection(body, status)
    return calls


def _fuzz(**strategies):
    def decorate(function):
        function = given(**strategies)(function)
        function = settings(max_examples=EXAMPLES_COUNT, deadline=None, database=None)(
            function
        )
        return seed(SEED)(function)

    return decorate


@_fuzz(body=_bodies(RUN_LIST), status=st.sampled_from([200, 404, 409, 421]))
def test_any_run_list_is_decoded_or_refused(body, status):
    """Guards against a run list that ends the thread which renews a worker's leases."""
    try:
        reply = _worker_calls(body, status).renew_leases(
            acknowledged=0, deadline_ms=None, wait_ms=0
        )
    except (PlatformError, StaleEpochError, WorkerReplacedError):
        return
    msgspec.convert(msgspec.to_builtins(reply), type=type(reply), strict=True)


def test_unknown_outcome_of_a_run_acknowledges_no_run():
    """Guards against a run that is acknowledged although its outcome isn't known."""
    finished = [[58, "j.0.1.9", 1, "vanished", ""], [59, "j.0.1.8", 1, "done", ""]]
    body = json.dumps(RUN_LIST | {"finished": finished}).encode()
    with pytest.raises(PlatformError, match="vanished"):
        _worker_calls(body, 200).renew_leases(
            acknowledged=0, deadline_ms=None, wait_ms=0
        )


def test_run_list_with_further_columns_is_decoded():
    """Guards against workers that are unusable once a platform adds a column."""
    body = json.dumps(
        RUN_LIST | {"running": [["j.0.1.17", 2, "c", 41, 12, "new"]]}
    ).encode()
    reply = _worker_calls(body, 200).renew_leases(
        acknowledged=0, deadline_ms=None, wait_ms=0
    )
    assert reply.running[0].progress_percent == 41


@_fuzz(
    body=_bodies({"clock-ms": 1, "reason": "room"}),
    status=st.sampled_from([200, 400, 409, 421]),
)
def test_any_response_to_an_order_has_an_outcome(body, status):
    """Guards against a response that ends the thread which sends a worker's orders."""
    calls = _worker_calls(body, status)
    order = StartOrder("j.0.0.0", 1, "s", 1000)
    assert isinstance(calls.start(order), OrderReply)
    assert isinstance(calls.stop("j.0.0.0", 1), OrderReply)
    assert isinstance(calls.throttle("j.0.0.0", 1, 50), OrderReply)


@_fuzz(body=_bodies(ROWS), status=st.sampled_from([200, 400, 404, 410, 412]))
def test_any_response_of_the_store_raises_only_platform_errors(body, status):
    """Guards against a response of the store that ends the thread which called it."""
    connection = _Connection(body, status)
    tables = PlatformTables(connection, connection)
    put = Put("t", "k", b"{}", "p")
    calls = (
        lambda: tables.scan_part("t", "p", purpose=StorePurpose.JOBS, end_key="k"),
        lambda: tables.changes("t", after_version=3, wait_s=0.0),
        lambda: tables.transact((), (put,), purpose=StorePurpose.JOBS),
        lambda: tables.parts("t"),
    )
    if b'"has-more": true' in body:
        calls = calls[1:3]
    for call in calls:
        try:
            call()
        except PlatformError:
            continue


@_fuzz(body=_bodies(ROWS), status=st.sampled_from([200, 412]))
def test_unreadable_response_to_a_write_leaves_its_outcome_open(body, status):
    """Guards against telling a caller that a stored job wasn't stored."""
    connection = _Connection(body, status)
    tables = PlatformTables(connection, connection)
    put = Put("t", "k", b"{}", "p")
    try:
        version = tables.transact((), (put,), purpose=StorePurpose.JOBS)
    except (StoreConflictError, StoreOutcomeUnknownError) as error:
        is_conflict = isinstance(error, StoreConflictError)
        assert not is_conflict or status == 412
    else:
        assert status == 200
        assert version


@_fuzz(body=_bodies(HOSTS))
def test_any_host_list_is_decoded_or_refused(body):
    """Guards against a host list that stops moves and upkeep for good."""
    if b'"next-token": ""' not in body:
        return
    try:
        HttpHostCalls(_Connection(body), ManualClock()).list_hosts()
    except PlatformError:
        return


@_fuzz(body=_bodies(APPROVALS))
def test_any_answer_of_the_advice_service_is_decoded_or_refused(body):
    """Guards against an answer that ends the thread which asks for advice."""
    try:
        approvals = HttpAdviceCalls(_Connection(body)).advise("j.0.0", ("w1",))
    except PlatformError:
        return
    assert all(isinstance(item.ticket, str) for item in approvals.approved)


def _raw(message, key, text):
    """Returns a JSON text in which the field ``key`` has the value ``text``."""
    marked = json.dumps(message | {key: "VALUE"})
    return marked.replace('"VALUE"', text).encode()


DEEP = "[" * 100_000 + "]" * 100_000
NINES = "9" * 400


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(_raw(WORKER, "unknown", DEEP), id="deep-unknown-field"),
        pytest.param(_raw(WORKER, "labels", DEEP), id="deep-field"),
        pytest.param(DEEP.encode(), id="deep"),
        pytest.param(_raw(WORKER, "born", NINES), id="large-born"),
        pytest.param(_raw(WORKER, "born", "9" * 5000), id="larger-born"),
        pytest.param(_raw(WORKER, "remaining-ms", "1e999"), id="infinite"),
        pytest.param(
            _raw(WORKER, "capacity", f'{{"cpu": {NINES}}}'), id="large-capacity"
        ),
        pytest.param(_raw(WORKER, "capacity", '{"cpu": -1}'), id="negative-capacity"),
        pytest.param(_raw(WORKER, "addr", '"10.0.0.9:65536"'), id="port"),
        pytest.param(_raw(WORKER, "addr", f'"10.0.0.9:{NINES}"'), id="large-port"),
        pytest.param(
            _raw(WORKER, "addr", f'"10.0.0.9:{"9" * 5000}"'), id="larger-port"
        ),
    ],
)
def test_odd_registration_is_refused(body):
    """Guards against an error that ends the thread which reads registrations."""
    with pytest.raises(RecordError):
        decode_worker("w1", body)


@pytest.mark.parametrize(
    ("decode", "message", "error"),
    [
        (decode_fleet, FLEET, RecordError),
        (decode_wave, WAVE, RecordError),
        (decode_job, JOB, RequestError),
    ],
)
def test_deeply_nested_message_is_refused(decode, message, error):
    """Guards against a nested text that ends a watch or is answered as our error."""
    with pytest.raises(error):
        decode(_raw(message, "unknown", DEEP))


def test_deeply_nested_answer_of_a_worker_has_an_unknown_outcome():
    """Guards against an answer that ends the thread which sends a worker's orders."""
    body = _raw({"clock-ms": 1}, "unknown", DEEP)
    reply = _worker_calls(body, 200).stop("j.0.0.0", 1)
    assert reply.status is OrderStatus.UNKNOWN
    with pytest.raises(PlatformError):
        _worker_calls(_raw(RUN_LIST, "unknown", DEEP), 200).renew_leases(
            acknowledged=0, deadline_ms=None, wait_ms=0
        )


@_fuzz(body=_bodies(WORKER))
def test_any_registration_is_decoded_or_refused(body):
    """Guards against a registration that makes a service start no task any more."""
    try:
        registration = decode_worker("w1", body)
    except RecordError:
        return
    HttpWorkerCalls(registration.address, "w1", 1).close()


@_fuzz(body=_bodies(FLEET))
def test_any_configuration_is_decoded_or_refused(body):
    """Guards against a configuration that ends the thread which watches for it."""
    try:
        decode_fleet(body)
    except RecordError:
        return


@_fuzz(body=_bodies(WAVE))
def test_any_wave_is_decoded_or_refused(body):
    """Guards against a wave that stops the upkeep of all hosts."""
    try:
        decode_wave(body)
    except RecordError:
        return


@_fuzz(body=_bodies(JOB))
def test_any_submission_is_decoded_or_refused(body):
    """Guards against a submission that isn't answered."""
    try:
        decode_job(body)
    except RequestError:
        return


@pytest.mark.parametrize(
    "address",
    ["", "done", "10.0.0.1", "10.0.0.1:x", "host:80", ":80", "10.0.0.1:99999"],
)
def test_registration_with_an_invalid_address_names_no_worker(address):
    """Guards against a service that starts nothing since it can't connect a worker."""
    with pytest.raises(RecordError, match="address"):
        decode_worker("w1", json.dumps(WORKER | {"addr": address}).encode())
