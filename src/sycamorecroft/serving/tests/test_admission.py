"""Tests of the refusal of submissions by the report of a service's owner."""

from http import HTTPStatus

import pytest

from standins.entry_driver import (
    JOB,
    JOB_ID,
    KEY,
    OTHER_KEY,
    SERVICE,
    EntryDriver,
    make_fleet,
)
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import KeyRefusedError
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY, OwnerRow
from sycamorecroft.scheduling.admission_report import (
    ADMISSION_KEY,
    REPORT_VALID_S,
    AdmissionRow,
)
from sycamorecroft.scheduling.rows import encode_row, jobs_part, jobs_table
from sycamorecroft.serving.admission import (
    UNCERTAIN_S,
    Admission,
    UncertainSubmissions,
    job_position,
)
from sycamorecroft.serving.job_reader import JobReader
from sycamorecroft.serving.responses import refused
from sycamorecroft.store.interfaces import Row

PATH = f"/a/{JOB_ID}"
JOBS = jobs_table(SERVICE)
REFUSED = ("admission_refusals", SERVICE, "account_rate")


def _row(epoch=1, share=1.0, wait_ms=2300, number=10, value=None):
    row = AdmissionRow(epoch, number, wait_ms, {"north": share})
    value = encode_row(row) if value is None else value
    return Row(OWNERS_TABLE, ADMISSION_KEY, value, 1, SERVICE)


def _owner_row(epoch):
    value = encode_row(OwnerRow("host", "x", epoch))
    return Row(OWNERS_TABLE, ROW_KEY, value, 1, SERVICE)


@pytest.fixture
def entry():
    driver = EntryDriver()
    driver.publish(make_fleet())
    driver.poll_feed()
    return driver


def _submit(entry, path=PATH, key=KEY, body=None):
    # Long enough for a machine that is busy with other work.
    return entry.call("POST", path, key, body, timeout_ms=10_000)


def _stored(entry, job_id=JOB_ID):
    return entry.tables.row(JOBS, job_id, jobs_part(job_id))


def test_refusal_is_true_and_says_when_to_repeat(entry):
    """Guards against a refused job that runs, and against a Retry-After that differs
    from the expected wait.
    """
    entry.admission.apply_rows([_row()])
    answer = _submit(entry)
    assert (answer.status, answer.headers["Retry-After"]) == (429, "3")
    assert _stored(entry) is None
    assert REFUSED in entry.recorder.counts
    assert entry.call("GET", PATH, KEY).status == HTTPStatus.GONE


@pytest.mark.parametrize(("wait_ms", "retry_after"), [(0, "1"), (60_000, "5")])
def test_retry_after_is_bounded(entry, wait_ms, retry_after):
    """Guards against callers that repeat at once, or wait beyond the end of a peak."""
    entry.admission.apply_rows([_row(wait_ms=wait_ms)])
    assert _submit(entry).headers["Retry-After"] == retry_after


@pytest.mark.parametrize(
    ("path", "key", "changes"),
    [
        (f"/a/{JOB_ID}", OTHER_KEY, {}),
        (f"/open/{JOB_ID}", None, {}),
        (f"/a/{JOB_ID}", KEY, {"phases": [JOB["phases"][0] | {"long-running": True}]}),
        (f"/a/{JOB_ID}", KEY, {"start-at-ms": 1, "interval-ms": 60_000, "times": 2}),
    ],
)
def test_other_jobs_are_not_refused(entry, path, key, changes):
    """Guards against refusals of accounts within their rates, of jobs without an
    account, and of long-running and scheduled jobs.
    """
    entry.admission.apply_rows([_row()])
    assert _submit(entry, path, key, JOB | changes).status == HTTPStatus.OK


def test_only_the_share_is_refused_and_each_id_gets_one_answer():
    """Guards against refusals beyond the share, and against an id whose attempts get
    different answers at different entry hosts.
    """
    ids = [f"{number:016x}" for number in range(2000)]
    answers = []
    for _ in range(2):
        admission = Admission(ManualClock())
        admission.apply_rows([_row(share=0.3)])
        found = [admission.find_refusal(SERVICE, "north", job_id) for job_id in ids]
        answers.append([refusal is not None for refusal in found])
    assert answers[0] == answers[1]
    assert 0.25 <= sum(answers[0]) / len(ids) <= 0.35


def test_stored_job_is_not_refused(entry):
    """Guards against a refusal of a job that an earlier attempt has stored."""
    assert _submit(entry).status == HTTPStatus.OK
    entry.admission.apply_rows([_row()])
    assert _submit(entry).status == HTTPStatus.OK


def test_store_that_cannot_be_read_refuses_nothing(entry):
    """Guards against a refusal although it isn't known whether the id is stored."""
    entry.admission.apply_rows([_row()])
    entry.tables.is_unavailable = True
    answer = entry.call("POST", PATH, KEY)
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    entry.contact_age_s = 3.0
    answer = _submit(entry)
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE


def test_attempt_that_may_be_stored_later_is_not_followed_by_a_refusal(entry):
    """Guards against a refusal of a job that an earlier attempt stores seconds
    later.
    """
    entry.tables.faulty_table = JOBS
    entry.tables.delayed_count = 99
    answer = entry.call("POST", PATH, KEY)
    assert answer.status == HTTPStatus.GATEWAY_TIMEOUT
    entry.admission.apply_rows([_row()])
    answer = entry.call("POST", PATH, KEY)
    assert answer.status == HTTPStatus.GATEWAY_TIMEOUT
    entry.tables.apply_delayed()
    entry.tables.delayed_count = 0
    assert _submit(entry).status == HTTPStatus.OK
    other_path = f"/a/{'f' * 16}"
    assert _submit(entry, other_path).status == HTTPStatus.TOO_MANY_REQUESTS


def test_attempt_that_is_stored_during_the_read_of_another_ends_its_refusal(entry):
    """Guards against a refusal of a job that runs, by two attempts at the same time."""
    entry.admission.apply_rows([_row()])
    scan = entry.tables.scan_part
    answers = []

    def submit_again(*args, **fields):
        result = scan(*args, **fields)
        if not answers:
            answers.append(None)
            answers[0] = _submit(entry)
        return result

    entry.tables.scan_part = submit_again
    answer = _submit(entry)
    assert answers[0].status == HTTPStatus.OK
    assert answer.status == HTTPStatus.OK


def test_report_that_ends_during_the_read_refuses_nothing(entry):
    """Guards against a refusal by an outdated report while the store is slow."""

    class _SlowRead:
        def __getattr__(self, name):
            return getattr(tables, name)

        def scan_part(self, *args, **fields):
            entry.clock.skipped_s += REPORT_VALID_S
            return tables.scan_part(*args, **fields)

    tables = entry.tables
    entry.store._reader = JobReader(_SlowRead())
    entry.admission.apply_rows([_row()])
    entry.poll_feed()
    answer = _submit(entry)
    assert answer.status == HTTPStatus.OK


def test_key_withdrawn_during_the_read_gets_no_refusal_by_rate(entry):
    """Guards against a call whose key was withdrawn and that is told to repeat."""
    entry.admission.apply_rows([_row()])
    scan = entry.tables.scan_part

    def withdraw(*args, **fields):
        entry.publish(make_fleet(2, keys=["other"]))
        entry.poll_feed()
        return scan(*args, **fields)

    entry.tables.scan_part = withdraw
    assert _submit(entry).status == HTTPStatus.UNAUTHORIZED


def test_accounts_removed_during_the_read_end_refusals(entry):
    """Guards against a refusal at a site that has no accounts any more."""
    entry.admission.apply_rows([_row()])
    scan = entry.tables.scan_part

    def remove_accounts(*args, **fields):
        fleet = make_fleet(2)
        del fleet["tenants"]
        entry.publish(fleet)
        entry.poll_feed()
        return scan(*args, **fields)

    entry.tables.scan_part = remove_accounts
    assert _submit(entry).status == HTTPStatus.OK


def test_site_without_accounts_reads_and_refuses_nothing():
    """Guards against a cost, or refusals, at a site without client accounts."""
    entry = EntryDriver()
    fleet = make_fleet()
    del fleet["tenants"]
    entry.publish(fleet)
    entry.poll_feed()
    entry.admission.apply_rows([_row()])
    entry.tables.reads.clear()
    assert _submit(entry, key=None).status == HTTPStatus.OK
    assert JOBS not in entry.tables.reads


def _is_refused(admission):
    return admission.find_refusal(SERVICE, "north", JOB_ID) is not None


def test_report_ends_by_its_age():
    """Guards against refusals for ever when the feed stalls or the owner is lost."""
    clock = ManualClock()
    admission = Admission(clock)
    admission.apply_rows([_row()])
    clock.advance(REPORT_VALID_S - 0.1)
    assert _is_refused(admission)
    # The rows are passed again when the store has lost its history.
    admission.apply_rows([_row()])
    clock.advance(0.1)
    assert not _is_refused(admission)
    admission.apply_rows([_row(number=11)])
    assert _is_refused(admission)


def test_report_of_a_former_owner_is_ignored():
    """Guards against refusals by a former owner whose report arrives late."""
    admission = Admission(ManualClock())
    admission.apply_rows([_row(epoch=1)])
    admission.apply_rows([_owner_row(2)])
    assert not _is_refused(admission)
    admission.apply_rows([_row(epoch=1, number=11)])
    assert not _is_refused(admission)
    admission.apply_rows([_row(epoch=2, number=12)])
    assert _is_refused(admission)
    admission.apply_rows([_row(epoch=1, share=0.0, number=13)])
    assert _is_refused(admission)


def test_report_whose_write_is_applied_late_is_ignored():
    """Guards against refusals by a report that a later one has ended before."""
    admission = Admission(ManualClock())
    admission.apply_rows([_row(share=0.0, number=2), _row(number=1)])
    assert not _is_refused(admission)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"\xff",
        b'[1,1,5,{"north":2}]',
        b'[1,1,5,{"north":-1}]',
        b'[1,1,5,{"north":"x"}]',
        b"[1,1,-5,{}]",
        b"[1,-1,5,{}]",
        b"[-1,1,5,{}]",
        b"[1,5,{}]",
        b"[" * 5000,
        b"1" * 5000,
    ],
)
def test_malformed_report_is_ignored(value):
    """Guards against a row that ends the feed, or refuses what the owner didn't ask."""
    admission = Admission(ManualClock())
    admission.apply_rows([_row(value=value), _owner_row(1)])
    assert not _is_refused(admission)
    admission.apply_rows([_row(number=11), _row(number=12, value=value)])
    assert _is_refused(admission)
    assert admission.find_refusal("other", "north", JOB_ID) is None


def test_share_of_zero_refuses_no_id():
    """Guards against a refusal of the lowest position when nothing is refused."""
    assert 0 <= job_position(JOB_ID) < 1
    admission = Admission(ManualClock())
    admission.apply_rows([_row(share=0.0)])
    assert not _is_refused(admission)


def test_uncertain_ids_are_known_until_their_writes_are_over():
    """Guards against a refusal while an attempt, or its write, is under way."""
    clock = ManualClock()
    uncertain = UncertainSubmissions(clock, limit_count=2)
    with uncertain.attempt("a") as first:
        assert first.is_certain
        with uncertain.attempt("a") as second:
            assert not second.is_certain
        with uncertain.attempt("a") as third:
            assert not third.is_certain
        # The second one may have been stored.
        assert not uncertain.end_refused(first)
    with uncertain.attempt("a") as refused_attempt:
        assert uncertain.end_refused(refused_attempt)
        with uncertain.attempt("a") as fourth:
            assert fourth.is_certain
        assert _is_certain(uncertain, "a")
    with pytest.raises(ZeroDivisionError), uncertain.attempt("a"):
        _ = 1 / 0
    response = refused(HTTPStatus.UNAUTHORIZED, "")
    with pytest.raises(KeyRefusedError), uncertain.attempt("b"):
        raise KeyRefusedError(response, is_final=True)
    assert [_is_certain(uncertain, name) for name in "ab"] == [False, True]
    clock.advance(1)
    uncertain.record_unknown("b")
    uncertain.record_unknown("c")
    # There is no room for the first one any more, so no id is certain until it is.
    assert not _is_certain(uncertain, "d")
    clock.advance(UNCERTAIN_S - 1)
    assert [_is_certain(uncertain, name) for name in "abcd"] == [1, 0, 0, 1]
    clock.advance(1)
    assert _is_certain(uncertain, "b")


def _is_certain(uncertain, job_id):
    with uncertain.attempt(job_id) as attempt:
        return attempt.is_certain
