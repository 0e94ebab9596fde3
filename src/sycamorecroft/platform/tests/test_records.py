"""Tests of decoding rows that operators and workers write into the store."""

import json

import pytest

from sycamorecroft.errors import RecordError
from sycamorecroft.platform import decode_fleet, decode_job, decode_wave, decode_worker

WORKER = {
    "service": "rating",
    "addr": "10.0.0.9:8080",
    "zone": "dc1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "seq": 4,
    "born": 17,
    "machine": "m-1",
}


def _encode(**changes):
    return json.dumps(WORKER | changes).encode()


def test_worker_registration():
    """Guards against fields that are dropped while a registration is decoded."""
    registration = decode_worker("i-1", _encode(state="draining"))
    assert registration.worker_id == "i-1"
    assert registration.rack == "r1-3"
    assert registration.is_draining
    assert registration.capacity.cpu_millicores == 16000
    assert registration.incarnation_ms == 17


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[1]",
        _encode(state="resting"),
        _encode(service=5),
        _encode(capacity={"cpu": "many"}),
        _encode(labels="a"),
        json.dumps({"service": "rating"}).encode(),
    ],
)
def test_malformed_registrations_are_rejected(value):
    """Guards against tasks placed on a worker whose registration is malformed."""
    with pytest.raises(RecordError):
        decode_worker("i-1", value)


@pytest.mark.parametrize("value", [b"", b"5", b'{"version": 1}', b'{"version": "x"}'])
def test_malformed_configurations_are_rejected(value):
    """Guards against applying an incomplete configuration."""
    with pytest.raises(RecordError):
        decode_fleet(value)


def test_wave_fields_are_decoded():
    """Guards against a wave whose hosts or concurrency limit are decoded wrongly."""
    wave = decode_wave(
        b'{"wave":1,"machines":["m-0","m-1"],"duration-s":20,"max-count":1}'
    )
    assert wave.hosts == ("m-0", "m-1")
    assert wave.concurrent_limit_count == 1


def test_job_with_all_fields():
    """Guards against step properties that are dropped while a job is decoded."""
    step = {
        "count": 4,
        "cpu": 500,
        "mem-mb": 256,
        "gpu": 1,
        "estimate-ms": 900,
        "checkpointed": True,
        "gang": True,
        "rack-local": True,
        "requires": "b",
        "affinity": "r1",
        "anti-affinity": 2,
        "speculative": True,
        "long-running": True,
        "image": "i",
        "goal-ms": 50,
        "fills": True,
        "may-miss": 1,
    }
    job = {"spec": "s", "phases": [step], "times": 3, "start-at-ms": 5}
    decoded = decode_job(json.dumps(job | {"interval-ms": 7}).encode())
    decoded_step = decoded.steps[0]
    assert decoded_step.demand == (500, 256, 1)
    assert decoded_step.allocation.cpu_millicores == 0
    assert (
        decoded_step.is_checkpointed,
        decoded_step.is_gang,
        decoded_step.is_rack_local,
    ) == (True,) * 3
    assert (decoded_step.required_label, decoded_step.preferred_rack) == ("b", "r1")
    assert (
        decoded_step.tasks_per_worker_limit,
        decoded_step.max_unavailable_count,
    ) == (2, 1)
    assert (decoded_step.is_speculative, decoded_step.is_long_running) == (True, True)
    assert (decoded_step.image, decoded_step.goal_ms) == ("i", 50)
    assert decoded[2:] == (3, 5, 7)


def test_client_accounts_of_a_configuration():
    """Guards against keys that are kept as text, and limits that are dropped."""
    account = {
        "name": "north",
        "keys": ["key-1", "key-2"],
        "priority": 1,
        "weight": 84,
        "max-count": {"cpu": 4493519, "mem-mb": 8149503, "gpu": 0},
    }
    route = {"name": "r-1", "host": "h", "prefix": "/p/", "service": "s"}
    fleet = decode_fleet(
        json.dumps(
            {
                "version": 3,
                "routes": [route | {"public": True}, route | {"name": "r-2"}],
                "services": [{"name": "s"}],
                "limits": {"header-timeout-ms": 3000, "idle-timeout-ms": 15000},
                "tenants": [account],
            }
        ).encode()
    )
    assert fleet.public_queues == {"r-1"}
    assert (fleet.header_timeout_ms, fleet.idle_timeout_ms) == (3000, 15000)
    (decoded,) = fleet.accounts
    assert decoded.limit.cpu_millicores == 4493519
    assert decoded.weight == 84
    assert len(decoded.key_digests) == 2
    assert "key-1" not in repr(fleet)


def test_configuration_without_accounts():
    """Guards against sites without client accounts whose calls need a key."""
    value = b'{"version": 1, "routes": [], "services": []}'
    assert decode_fleet(value).accounts is None
