"""Tests of jobs whose queue changes its service."""

import pytest

from standins.entry_driver import JOB_ID, SERVICE, EntryDriver, make_fleet
from standins.memory_partitions import MemoryPartitions
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    JobState,
    ProgressRow,
    encode_row,
    jobs_part,
    jobs_table,
    progress_table,
)
from sycamorecroft.store.interfaces import Put, StorePurpose

PATH = f"/a/{JOB_ID}"
OTHER_SERVICE = "dispatch"
PART = jobs_part(JOB_ID)


def _fleet(version, service, name="r-1"):
    route = {"name": name, "host": "jobs.example", "prefix": "/a/", "service": service}
    other = route | {"name": "r-2", "prefix": "/b/"}
    services = [{"name": SERVICE}, {"name": OTHER_SERVICE}]
    fleet = make_fleet(version, routes=[route, other], services=services)
    del fleet["tenants"]
    return fleet


@pytest.fixture
def tables():
    return MemoryPartitions()


def _entry(tables):
    entry = EntryDriver(tables)
    entry.poll_feed()
    return entry


@pytest.fixture
def entry(tables):
    EntryDriver(tables).publish(_fleet(1, SERVICE))
    return _entry(tables)


def _move_queue(entry, version=2, service=OTHER_SERVICE):
    entry.publish(_fleet(version, service, f"r-{version}"))
    entry.poll_feed()


def _is_stored(tables, service, key=JOB_ID):
    return tables.row(jobs_table(service), key, PART) is not None


def test_job_is_known_after_its_queue_has_changed_its_service(entry, tables):
    """Guards against an accepted job that is lost by a change of the configuration."""
    assert entry.call("POST", PATH).status == 200
    _move_queue(entry)
    assert entry.call("GET", PATH).body == {"state": "queued"}
    progress = encode_row(ProgressRow(JobState.RUNNING, 0))
    put = Put(progress_table(SERVICE), JOB_ID, progress, SERVICE)
    tables.transact((), (put,), purpose=StorePurpose.JOBS)
    assert entry.call("GET", PATH).body == {"state": "running"}


def test_repeated_submission_after_a_change_of_service_stores_no_second_job(
    entry, tables
):
    """Guards against a job that runs on the workers of both services."""
    assert entry.call("POST", PATH).status == 200
    _move_queue(entry)
    assert entry.call("POST", PATH).status == 200
    assert not _is_stored(tables, OTHER_SERVICE)


def test_entry_host_with_a_former_configuration_stores_no_second_job(entry, tables):
    """Guards against a job that runs twice because one entry host reads late."""
    late = _entry(tables)
    _move_queue(entry)
    assert entry.call("POST", PATH).status == 200
    assert late.call("POST", PATH).status == 200
    assert _is_stored(tables, OTHER_SERVICE)
    assert not _is_stored(tables, SERVICE)


def test_late_submission_for_the_former_service_stores_no_second_job(entry, tables):
    """Guards against a write that was held up until its job was stored elsewhere."""
    tables.faulty_table = jobs_table(SERVICE)
    tables.delayed_count = 1
    assert entry.call("POST", PATH, timeout_ms=150).status == 504
    _move_queue(entry)
    assert entry.call("POST", PATH).status == 200
    tables.apply_delayed()
    assert _is_stored(tables, OTHER_SERVICE)
    assert not _is_stored(tables, SERVICE)


def test_cancellation_reaches_the_service_that_has_the_job(entry, tables):
    """Guards against a cancelled job that runs on after its queue has moved."""
    assert entry.call("POST", PATH).status == 200
    _move_queue(entry)
    assert entry.call("DELETE", PATH).status == 200
    assert _is_stored(tables, SERVICE, JOB_ID + CANCEL_SUFFIX)
    assert entry.call("GET", PATH).body == {"state": "cancelled"}


def test_job_survives_several_changes_of_service(entry):
    """Guards against a job that is looked for at its queue's last service only."""
    assert entry.call("POST", PATH).status == 200
    _move_queue(entry, 2)
    _move_queue(entry, 3, SERVICE)
    _move_queue(entry, 4)
    assert entry.call("GET", PATH).status == 200


def test_same_id_at_another_address_is_another_job(entry, tables):
    """Guards against a caller whose job is refused, or taken for another one's."""
    entry.publish(_two_services())
    entry.poll_feed()
    assert entry.call("POST", f"/b/{JOB_ID}").status == 200
    assert _is_stored(tables, OTHER_SERVICE)
    assert entry.call("GET", PATH).status == 410


def _two_services():
    fleet = _fleet(2, SERVICE)
    fleet["routes"][1]["service"] = OTHER_SERVICE
    return fleet
