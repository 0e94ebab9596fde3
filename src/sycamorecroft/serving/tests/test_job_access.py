"""Tests of which client accounts may access a stored job, and of what that costs."""

import pytest

from standins.entry_driver import CountingTables
from standins.service_driver import SERVICE, make_queue, make_step
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import (
    JobAccessError,
    RecordError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import (
    JOB_LOCATIONS_TABLE,
    JobRow,
    JobState,
    ProgressRow,
    encode_row,
    jobs_part,
    jobs_table,
    progress_table,
)
from sycamorecroft.serving.caller import UNRESTRICTED, Caller
from sycamorecroft.serving.job_store import CancelOutcome, JobStore, SubmitOutcome
from sycamorecroft.store.interfaces import Put, StorePurpose

JOB_ID = "00112233445566aa"
ROW = JobRow(make_queue(), JobSpec("text", (make_step(),)), 1)
NORTH, SOUTH, ANONYMOUS = Caller("north"), Caller("south"), Caller("")
PROGRESS, JOBS = progress_table(SERVICE), jobs_table(SERVICE)


@pytest.fixture
def tables():
    return CountingTables()


@pytest.fixture
def store(tables):
    return JobStore(tables, SystemClock(), lambda: 0.0)


def _deadline_s():
    return SystemClock().monotonic_s() + 1.0


def _submit(store, caller):
    row = ROW._replace(account=caller.account or "")
    return store.submit(JOB_ID, row, caller=caller, deadline_s=_deadline_s())


def _cancel(store, caller):
    return store.cancel(ROW.queue, JOB_ID, caller=caller, deadline_s=_deadline_s())


def _put(tables, table, value, part):
    put = Put(table, JOB_ID, value, part)
    tables.transact((), (put,), purpose=StorePurpose.JOBS)


def _store_progress(tables, account, state=JobState.RUNNING):
    value = encode_row(ProgressRow(state, 1, account=account))
    _put(tables, PROGRESS, value, SERVICE)


def _store_former_job(tables):
    """Stores the job as a release without accounts does."""
    _put(tables, JOBS, encode_row(ROW), jobs_part(JOB_ID))


@pytest.mark.parametrize("other", [SOUTH, ANONYMOUS])
def test_job_of_another_account_is_neither_shown_nor_changed(store, tables, other):
    """Guards against accounts that see, cancel or take over the jobs of others."""
    assert _submit(store, NORTH) is SubmitOutcome.STORED
    version = tables.version
    assert _submit(store, other) is SubmitOutcome.OTHER_ACCOUNT
    with pytest.raises(JobAccessError):
        store.state(ROW.queue, JOB_ID, caller=other)
    with pytest.raises(JobAccessError):
        _cancel(store, other)
    assert tables.version == version
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is JobState.QUEUED


@pytest.mark.parametrize("state", list(JobState))
def test_progress_of_another_account_is_not_shown(store, tables, state):
    """Guards against a job that is shown to others once an owner has stored it."""
    _submit(store, NORTH)
    _store_progress(tables, "north", state)
    with pytest.raises(JobAccessError):
        store.state(ROW.queue, JOB_ID, caller=SOUTH)
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is state


def test_cancelled_job_of_another_account_is_not_shown_as_cancelled(store):
    """Guards against a repeated cancellation that answers for a foreign job."""
    _submit(store, NORTH)
    assert _cancel(store, NORTH) is CancelOutcome.STORED
    assert _cancel(store, NORTH) is CancelOutcome.STORED
    with pytest.raises(JobAccessError):
        _cancel(store, SOUTH)


@pytest.mark.parametrize("caller", [NORTH, ANONYMOUS, UNRESTRICTED])
def test_job_without_account_is_open_to_each_caller(store, tables, caller):
    """Guards against jobs from before accounts that nobody can read or cancel any more,
    or that their own caller can't submit again.
    """
    _store_former_job(tables)
    assert store.state(ROW.queue, JOB_ID, caller=caller) is JobState.QUEUED
    assert _submit(store, caller) is SubmitOutcome.REPEATED
    assert _cancel(store, caller) is CancelOutcome.STORED


@pytest.mark.parametrize("owner", [NORTH, ANONYMOUS])
def test_state_costs_one_read_once_an_owner_has_stored_the_account(
    store, tables, owner
):
    """Guards against a second read of the store for each state of a job."""
    _submit(store, owner)
    _store_progress(tables, owner.account)
    tables.reads.clear()
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is JobState.RUNNING
    assert tables.reads == [PROGRESS]


def test_state_without_accounts_costs_what_it_did(store, tables):
    """Guards against sites without client accounts that pay for the check."""
    _submit(store, UNRESTRICTED)
    _store_progress(tables, None)
    tables.reads.clear()
    assert store.state(ROW.queue, JOB_ID, caller=UNRESTRICTED) is JobState.RUNNING
    assert tables.reads == [PROGRESS]


def test_progress_of_another_release_is_checked_by_the_row_of_the_job(store, tables):
    """Guards against a job that is open to all since an owner of a release without
    accounts has stored its progress.
    """
    _submit(store, NORTH)
    _store_progress(tables, None)
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is JobState.RUNNING
    with pytest.raises(JobAccessError):
        store.state(ROW.queue, JOB_ID, caller=SOUTH)


def test_progress_of_an_earlier_job_refuses_no_later_one(store, tables):
    """Guards against a refusal by the progress of a job that was removed, whose id
    another account has used again.
    """
    _store_progress(tables, "south", JobState.COMPLETE)
    _submit(store, NORTH)
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is JobState.COMPLETE
    tables.transact((), (Put(JOBS, JOB_ID, None, jobs_part(JOB_ID)),), purpose="jobs")
    assert store.state(ROW.queue, JOB_ID, caller=NORTH) is None


class _TerseTables(CountingTables):
    """Tables whose conflicts don't return the rows that are in the way.

    :ivar fails_reads: whether reads of a part fail.
    """

    fails_reads = False

    def scan_part(self, table, part, **options):
        if self.fails_reads:
            raise StoreUnavailableError("no answer")
        return super().scan_part(table, part, **options)

    def transact(self, checks, puts, *, purpose):
        try:
            return super().transact(checks, puts, purpose=purpose)
        except StoreConflictError as error:
            raise StoreConflictError(str(error)) from None


def test_conflict_that_does_not_name_the_row_is_resolved_by_reading_it():
    """Guards against a foreign job that is reported as the caller's own."""
    tables = _TerseTables()
    store = JobStore(tables, SystemClock(), lambda: 0.0)
    _submit(store, NORTH)
    tables.reads.clear()
    assert _submit(store, SOUTH) is SubmitOutcome.OTHER_ACCOUNT
    assert _submit(store, NORTH) is SubmitOutcome.REPEATED
    assert tables.reads == [JOB_LOCATIONS_TABLE] * 2
    assert _submit(store, UNRESTRICTED) is SubmitOutcome.REPEATED
    assert tables.reads == [JOB_LOCATIONS_TABLE] * 3


def test_conflict_whose_row_can_not_be_read_has_an_unknown_outcome():
    """Guards against an acceptance or a refusal by guess while the store is away."""
    tables = _TerseTables()
    store = JobStore(tables, SystemClock(), lambda: 0.0)
    _submit(store, NORTH)
    tables.fails_reads = True
    assert _submit(store, NORTH) is SubmitOutcome.UNKNOWN
    assert _submit(store, SOUTH) is SubmitOutcome.UNKNOWN


def test_row_that_can_not_be_read_belongs_to_nobody(store, tables):
    """Guards against a job that is changed although its account isn't known, and
    against a caller that waits for a row that stays malformed.
    """
    _put(tables, JOBS, b"\xff{", jobs_part(JOB_ID))
    version = tables.version
    assert _submit(store, NORTH) is SubmitOutcome.UNKNOWN
    with pytest.raises(RecordError):
        store.state(ROW.queue, JOB_ID, caller=NORTH)
    with pytest.raises(RecordError):
        _cancel(store, NORTH)
    assert tables.version == version


def test_late_attempt_of_another_account_is_no_acceptance(store, tables):
    """Guards against two accounts whose jobs have one id, and who both are told that
    theirs was accepted.
    """
    tables.faulty_table = JOBS
    tables.delayed_count = 1
    transact = tables.transact

    def delay_and_store_another(checks, puts, *, purpose):
        tables.transact = transact
        try:
            return transact(checks, puts, purpose=purpose)
        except StoreOutcomeUnknownError:
            row = ROW._replace(account="south")
            _put(tables, JOBS, encode_row(row), jobs_part(JOB_ID))
            raise

    tables.transact = delay_and_store_another
    assert _submit(store, NORTH) is SubmitOutcome.OTHER_ACCOUNT
    assert tables.apply_delayed() == 0
