"""Tests of the backend stand-in, whose ledger and faults the routing tests rely on."""

import hashlib
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError, ProtocolError

from standins.backend import BackendFleet
from standins.backend_http import BODY_LIMIT_BYTES, REQUEST_ID_HEADER
from standins.backend_state import (
    BackendFault,
    BackendFaultKind,
    BackendServer,
    BackendSettings,
)


class _Client:
    def __init__(self, fleet: BackendFleet) -> None:
        self.fleet = fleet
        self.server: BackendServer = fleet.servers["w0"]
        self._pool = urllib3.PoolManager(num_pools=4, maxsize=400, retries=False)

    def post(
        self, body: bytes = b"photo", request_id: str = "r1"
    ) -> urllib3.BaseHTTPResponse:
        url = f"http://{self.fleet.addresses()['w0']}/rating"
        headers = {REQUEST_ID_HEADER: request_id, "Idempotency-Key": "k1"}
        return self._pool.request("POST", url, body=body, headers=headers, timeout=10)

    def control(self, method: str, path: str, **arguments) -> urllib3.BaseHTTPResponse:
        url = f"http://{self.fleet.addresses()['control']}{path}"
        return self._pool.request(method, url, **arguments)

    def ledger_flags(self) -> list[tuple[bool, bool]]:
        ledger = self.server.ledger()
        return [(entry["completed"], entry["answered"]) for entry in ledger]


@pytest.fixture
def start() -> Iterator:
    fleets = []

    def start_fleet(**settings) -> _Client:
        settings = {"service_time_s": 0.0} | settings
        fleet = BackendFleet(["w0", "w1"], BackendSettings(**settings))
        threading.Thread(target=fleet.run, daemon=True).start()
        fleets.append(fleet)
        return _Client(fleet)

    yield start_fleet
    for fleet in fleets:
        fleet.close()


def test_answer_has_digest_length_and_id_of_the_largest_body(start):
    """Guards against a wrong digest, length or id for a body of the largest size."""
    client = start()
    body = bytes(range(256)) * (BODY_LIMIT_BYTES // 256)
    response = client.post(body)
    digest = hashlib.sha256(body).hexdigest()
    assert response.headers[REQUEST_ID_HEADER] == "r1"
    assert response.json() == {"digest": digest, "length": len(body), "server": "w0"}
    (entry,) = client.control("GET", "/ledger").json()
    assert (entry["request_id"], entry["idempotency_key"]) == ("r1", "k1")
    assert (entry["body_digest"], entry["service"]) == (digest, "rating")
    assert entry["completed"] and entry["answered"]


def test_busy_slots_refuse_with_the_configured_status_and_run_nothing(start):
    """Guards against requests that run without a slot, and uncounted refusals."""
    client = start(slots_count=2, service_time_s=0.5, refusal_status=429)
    with ThreadPoolExecutor(6) as executor:
        statuses = list(executor.map(lambda _: client.post().status, range(6)))
    assert sorted(statuses) == [200, 200, 429, 429, 429, 429]
    assert len(client.server.ledger()) == 2
    assert client.control("GET", "/refusals").json() == {"w0": 4, "w1": 0}


def test_connections_beyond_the_limit_are_refused(start):
    """Guards against a connection limit that isn't enforced."""
    client = start(connections_count=1, service_time_s=0.3)
    with ThreadPoolExecutor(2) as executor:
        statuses = sorted(executor.map(lambda _: client.post().status, range(2)))
    assert statuses == [200, 503]


def test_several_hundred_connections_are_served(start):
    """Guards against refusals or mixed-up ids with 300 concurrent connections."""
    client = start(slots_count=300, connections_count=300, service_time_s=0.5)
    with ThreadPoolExecutor(300) as executor:
        responses = list(
            executor.map(lambda n: client.post(request_id=str(n)), range(300))
        )
    assert {response.status for response in responses} == {200}
    ids = [response.headers[REQUEST_ID_HEADER] for response in responses]
    assert ids == [str(number) for number in range(300)]


@pytest.mark.parametrize(
    ("kind", "ledger_flags"),
    [
        (BackendFaultKind.RESET_BEFORE_READ, []),
        (BackendFaultKind.RESET_AFTER_READ, [(True, False)]),
        (BackendFaultKind.TRUNCATED, [(True, False)]),
    ],
)
def test_ledger_records_broken_answers(start, kind, ledger_flags):
    """Guards against a ledger that doesn't show whether a broken exchange ran."""
    client = start()
    client.server.set_fault(BackendFault(kind, count=1))
    with pytest.raises(ProtocolError):
        client.post(b"x" * 1_000_000)
    assert client.ledger_flags() == ledger_flags
    assert client.post().status == 200


def test_wrong_answers_are_well_formed(start):
    """Guards against wrong-response faults without effect or with another length."""
    client = start()
    expected = client.post().data
    client.server.set_fault(BackendFault(BackendFaultKind.WRONG_BODY, count=1))
    wrong = client.post().data
    assert wrong != expected and len(wrong) == len(expected)
    client.server.set_fault(BackendFault(BackendFaultKind.WRONG_ID, count=1))
    assert client.post().headers[REQUEST_ID_HEADER] != "r1"


def test_refusing_server_returns_at_its_port(start):
    """Guards against a refusing server that runs requests or loses its port."""
    client = start()
    assert client.post().status == 200
    fault = {"server": "w0", "kind": "refuse"}
    client.control("POST", "/faults", json=fault)
    with pytest.raises(ProtocolError):
        client.post()
    deadline_s = time.monotonic() + 5
    while True:
        assert time.monotonic() < deadline_s
        try:
            client.post()
        except NewConnectionError:
            break
        except HTTPError:
            continue
    client.control("DELETE", "/faults")
    while time.monotonic() < deadline_s:
        try:
            assert client.post().status == 200
            break
        except HTTPError:
            time.sleep(0.02)
    assert client.ledger_flags() == [(True, True)] * 2


def test_frozen_server_completes_after_it_resumes(start):
    """Guards against a frozen server that completes requests, or then loses them."""
    client = start(service_time_s=0.1)
    with ThreadPoolExecutor(1) as executor:
        pending = executor.submit(client.post)
        time.sleep(0.05)
        client.server.set_fault(BackendFault(BackendFaultKind.FROZEN))
        time.sleep(0.3)
        assert not pending.done()
        assert client.ledger_flags() in ([], [(False, False)])
        client.server.clear_faults()
        assert pending.result().status == 200


def test_slow_fault_lengthens_counted_requests(start):
    """Guards against a slow fault that has no effect or outlasts its count."""
    client = start()
    client.server.set_fault(BackendFault(BackendFaultKind.SLOW, count=1, delay_s=0.2))
    client.post()
    client.post()
    durations_s = [
        entry["end_s"] - entry["start_s"] for entry in client.server.ledger()
    ]
    assert durations_s[0] >= 0.2 > durations_s[1]


def test_service_times_depend_on_the_seed_only():
    """Guards against service times that differ between runs or miss the setting."""
    settings = BackendSettings(
        service_times_s={"rating": 0.05}, spread_ratio=0.5, seed=3
    )
    first, second = BackendServer("a", settings), BackendServer("b", settings)
    times_s = [first.service_time_s("rating", str(number)) for number in range(200)]
    repeated_times_s = [
        second.service_time_s("rating", str(number)) for number in range(200)
    ]
    assert times_s == repeated_times_s
    assert 0.04 < sorted(times_s)[100] < 0.0625
