"""Tests of jobs whose queue changes its service, and of cancellations before a job."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from standins.entry_driver import JOB_ID, SERVICE, EntryDriver, make_fleet
from standins.memory_partitions import MemoryPartitions
from standins.service_driver import make_queue, make_step
from sycamorecroft.clock import SystemClock
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    CLOSED_SUFFIX,
    JOB_LOCATIONS_TABLE,
    JobRow,
    JobState,
    ProgressRow,
    encode_row,
    jobs_part,
    jobs_table,
    progress_table,
)
from sycamorecroft.serving.caller import UNRESTRICTED
from sycamorecroft.serving.job_store import RECLOSE_AGE_MS, SubmitOutcome
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


def test_submission_that_arrives_after_its_cancellation_is_not_stored(entry, tables):
    """Guards against a job that starts long after its cancelling was acknowledged."""
    tables.faulty_table = jobs_table(SERVICE)
    tables.delayed_count = 1
    assert entry.call("POST", PATH, timeout_ms=150).status == 504
    assert _entry(tables).call("DELETE", PATH).status == 410
    tables.apply_delayed()
    assert not _is_stored(tables, SERVICE)
    assert entry.call("GET", PATH).status == 410


def test_submission_for_another_service_after_the_cancellation_is_not_stored(
    entry, tables
):
    """Guards against a cancellation that holds for one service of a queue only."""
    late = _entry(tables)
    _move_queue(entry)
    assert entry.call("DELETE", PATH).status == 410
    assert late.call("POST", PATH).status == 503
    assert not _is_stored(tables, SERVICE)


def test_cancelled_id_is_refused_with_the_time_after_which_it_is_free(entry):
    """Guards against an acceptance of a job that can't run, and against callers that
    repeat the submission at once.
    """
    assert entry.call("DELETE", PATH).status == 410
    answer = entry.call("POST", PATH)
    assert answer.status == 503
    assert answer.headers["Retry-After"] == "180"
    assert ("refusals", "cancelled_before") in entry.recorder.counts


def test_cancellation_whose_outcome_is_unknown_is_not_acknowledged(entry, tables):
    """Guards against a promise that isn't stored."""
    tables.faulty_table = JOB_LOCATIONS_TABLE
    tables.delayed_count = 100
    assert entry.call("DELETE", PATH, timeout_ms=300).status == 504


def test_job_that_is_stored_during_its_cancellation_is_cancelled(
    entry, tables, monkeypatch
):
    """Guards against a job that runs although its cancellation found none."""
    scan_part = tables.scan_part
    submitted = []

    def submit_after_read(table, part, **options):
        scan = scan_part(table, part, **options)
        if table == jobs_table(SERVICE) and not submitted:
            submitted.append(None)
            submitted.append(entry.call("POST", PATH).status)
        return scan

    monkeypatch.setattr(tables, "scan_part", submit_after_read)
    assert entry.call("DELETE", PATH, timeout_ms=2000).status == 200
    assert submitted == [None, 200]
    assert _is_stored(tables, SERVICE, JOB_ID + CANCEL_SUFFIX)


def test_same_id_at_another_address_is_another_job(entry, tables):
    """Guards against a caller whose job is refused, or taken for another one's."""
    entry.publish(_two_services())
    entry.poll_feed()
    assert entry.call("DELETE", PATH).status == 410
    assert entry.call("POST", f"/b/{JOB_ID}").status == 200
    assert _is_stored(tables, OTHER_SERVICE)
    assert entry.call("GET", PATH).status == 410


def _two_services():
    fleet = _fleet(2, SERVICE)
    fleet["routes"][1]["service"] = OTHER_SERVICE
    return fleet


def test_repeated_cancellation_is_retained_from_its_own_time(entry, tables):
    """Guards against a second promise that ends with the retention of the first, and
    against a write for each of many cancellations.
    """
    assert entry.call("DELETE", PATH).status == 410
    version = tables.version
    assert entry.call("DELETE", PATH).status == 410
    assert tables.version == version
    entry.store._clock = _LaterClock(timedelta(milliseconds=RECLOSE_AGE_MS + 1))
    assert entry.call("DELETE", PATH).status == 410
    assert tables.version == version + 1
    (marker,) = tables.scan_part(
        jobs_table(SERVICE), PART, purpose=StorePurpose.JOBS
    ).rows
    assert marker.key.endswith(CLOSED_SUFFIX)
    assert marker.version == version + 1


class _LaterClock(SystemClock):
    """System clock whose time of day is ahead."""

    def __init__(self, ahead):
        self._ahead = ahead

    def now(self):
        return super().now() + self._ahead


def test_submissions_for_two_services_at_once_store_one_job(entry, tables):
    """Guards against a transaction that stores a job for the former and the present
    service of its queue, since both submissions joined it.
    """
    services = (SERVICE, OTHER_SERVICE)
    queues = [
        make_queue()._replace(service=service, path_prefix="/a/")
        for service in services
    ]
    spec = JobSpec("text", (make_step(),))
    with ThreadPoolExecutor(2) as executor:
        calls = [
            executor.submit(
                entry.store.submit,
                JOB_ID,
                JobRow(queue, spec, number),
                caller=UNRESTRICTED,
                deadline_s=entry.clock.monotonic_s() + 2.0,
            )
            for number, queue in enumerate(queues)
        ]
        outcomes = {call.result() for call in calls}
    assert outcomes == {SubmitOutcome.STORED, SubmitOutcome.REPEATED}
    assert sum(_is_stored(tables, service) for service in services) == 1
