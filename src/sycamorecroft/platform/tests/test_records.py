"""Tests of decoding what others write into the store."""

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


def test_entry_of_a_worker():
    """Guards against fields that get lost on the way in."""
    entry = decode_worker("i-1", _encode(state="draining"))
    assert entry.worker_id == "i-1"
    assert entry.rack == "r1-3"
    assert entry.is_draining
    assert entry.capacity.cpu_millicores == 16000
    assert entry.incarnation_ms == 17


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
def test_entries_of_other_writers_name_no_worker(value):
    """Guards against tasks for an entry that can't be trusted."""
    with pytest.raises(RecordError):
        decode_worker("i-1", value)


@pytest.mark.parametrize("value", [b"", b"5", b'{"version": 1}', b'{"version": "x"}'])
def test_bad_configurations_are_errors(value):
    """Guards against half a configuration in force."""
    with pytest.raises(RecordError):
        decode_fleet(value)


def test_wave():
    """Guards against a wave whose limit is read wrongly."""
    wave = decode_wave(
        b'{"wave":1,"machines":["m-0","m-1"],"duration-s":20,"max-count":1}'
    )
    assert wave.machines == ("m-0", "m-1")
    assert wave.concurrent_limit_count == 1


def test_job_with_all_fields():
    """Guards against a property of a step that is dropped."""
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
    found = decoded.steps[0]
    assert found.demand == (500, 256, 1)
    assert found.allocation.cpu_millicores == 0
    assert (found.is_checkpointed, found.is_gang, found.is_rack_local) == (True,) * 3
    assert (found.required_label, found.preferred_rack) == ("b", "r1")
    assert (found.tasks_per_worker_limit, found.max_unavailable_count) == (2, 1)
    assert (found.is_speculative, found.is_long_running) == (True, True)
    assert (found.image, found.goal_ms) == ("i", 50)
    assert decoded[2:] == (3, 5, 7)
