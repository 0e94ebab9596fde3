"""Tests of storing submissions and cancellations of jobs."""

import threading
import time
from functools import partial

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import SERVICE, make_queue, make_step
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import (
    RecordError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow, JobState, jobs_part, jobs_table
from sycamorecroft.serving.caller import UNRESTRICTED
from sycamorecroft.serving.job_store import (
    CancelOutcome,
    JobStore,
    SubmitOutcome,
)
from sycamorecroft.store.interfaces import Put, StorePurpose

JOB_ID = "00112233445566aa"
ROW = JobRow(make_queue(), JobSpec("text", (make_step(),)), 1)


class _RefusingTables(MemoryPartitions):
    """Refuses the first transactions, like a part whose request queue is full."""

    refusals_count = 0
    refusals_after_delay = False

    def transact(self, checks, puts, *, purpose):
        if self.refusals_after_delay and not self.delayed_count:
            raise StoreUnavailableError("refused: 429")
        if self.refusals_count:
            self.refusals_count -= 1
            raise StoreUnavailableError("refused: 429")
        return super().transact(checks, puts, purpose=purpose)


class _SkippingClock(SystemClock):
    """System clock that can skip time."""

    skipped_s = 0.0

    def monotonic_s(self):
        return super().monotonic_s() + self.skipped_s


@pytest.fixture
def tables():
    return _RefusingTables()


@pytest.fixture
def store(tables):
    return JobStore(tables, SystemClock(), lambda: 0.0)


def _submit(store, timeout_s=1.0):
    deadline_s = SystemClock().monotonic_s() + timeout_s
    return store.submit(JOB_ID, ROW, caller=UNRESTRICTED, deadline_s=deadline_s)


def test_job_ids_spread_over_enough_parts_for_a_slow_store():
    """Guards against submissions of many entry hosts that queue up for one part.

    A store that is a hundred times slower commits 1.3 transactions a second in one
    part; one service's peak of 58 jobs a second must be stored.
    """
    parts = {jobs_part(f"{number:016x}") for number in range(2000)}
    assert len(parts) * 1.3 >= 58


def test_threads_of_idle_parts_end(tables):
    """Guards against memory use by a thread for each part that was ever used."""
    clock = _SkippingClock()
    store = JobStore(tables, clock, lambda: 0.0)
    initial_count = threading.active_count()
    for number in range(50):
        store.submit(
            f"{number:016x}",
            ROW,
            caller=UNRESTRICTED,
            deadline_s=clock.monotonic_s() + 5,
        )
    assert threading.active_count() > initial_count + 20
    clock.skipped_s = 11.0
    store.submit("f" * 16, ROW, caller=UNRESTRICTED, deadline_s=clock.monotonic_s() + 5)
    end_s = time.monotonic() + 5
    while threading.active_count() > initial_count + 1 and time.monotonic() < end_s:
        time.sleep(0.01)
    assert threading.active_count() <= initial_count + 1


def test_repeated_submission_stores_one_job(store, tables):
    """Guards against a second job when the answer to the first attempt was lost."""
    assert _submit(store) is SubmitOutcome.STORED
    version = tables.version
    assert _submit(store) is SubmitOutcome.REPEATED
    assert tables.version == version
    assert store.state(ROW.queue, JOB_ID, caller=UNRESTRICTED) is JobState.QUEUED


def test_submission_refused_by_a_full_part_is_retried(store, tables):
    """Guards against refusals to callers while the store is slow but available."""
    tables.refusals_count = 2
    assert _submit(store, timeout_s=2.0) is SubmitOutcome.STORED


def test_submission_is_refused_at_once_during_store_outage(tables):
    """Guards against callers that wait although their jobs can't be stored."""
    store = JobStore(tables, SystemClock(), lambda: 9.0)
    tables.is_unavailable = True
    start_s = SystemClock().monotonic_s()
    assert _submit(store, timeout_s=3.0) is SubmitOutcome.NOT_STORED
    assert SystemClock().monotonic_s() - start_s < 0.5


def test_submission_without_an_answer_is_retried(store, tables):
    """Guards against an unknown outcome, after which the caller doesn't retry."""
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    assert _submit(store, timeout_s=2.0) is SubmitOutcome.STORED
    assert tables.apply_delayed() == 0


def test_submission_with_unknown_outcome_is_not_refused_later(store, tables):
    """Guards against a refusal of a job that an earlier attempt stores later."""
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    tables.refusals_after_delay = True
    assert _submit(store, timeout_s=0.6) is SubmitOutcome.UNKNOWN
    assert tables.apply_delayed() == 1


def test_submission_without_an_answer_outlasts_a_store_outage(tables):
    """Guards against an unknown outcome although the store is back in time.

    The caller may not repeat the job elsewhere after that.
    """
    contact_age_s = [0.0]
    store = JobStore(tables, SystemClock(), lambda: contact_age_s[0])
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 3

    def lose_contact():
        contact_age_s[0] = 2.0

    timer = threading.Timer(0.05, lose_contact)
    timer.start()
    assert _submit(store, timeout_s=3.0) is SubmitOutcome.STORED


def test_lost_answer_is_resolved_by_reading_back(store, tables):
    """Guards against an unknown outcome for a job that is stored."""
    tables.faulty_table = "jobs.rating"
    tables.lost_responses_count = 1
    assert _submit(store) is SubmitOutcome.STORED


def test_cancellation_is_idempotent(store):
    """Guards against an error when a cancellation is repeated."""
    deadline_s = SystemClock().monotonic_s() + 1
    cancel = partial(store.cancel, caller=UNRESTRICTED)
    unknown_job = cancel(ROW.queue, "f" * 16, deadline_s=deadline_s)
    assert unknown_job is CancelOutcome.NO_SUCH_JOB
    _submit(store)
    assert cancel(ROW.queue, JOB_ID, deadline_s=deadline_s) is CancelOutcome.STORED
    assert cancel(ROW.queue, JOB_ID, deadline_s=deadline_s) is CancelOutcome.STORED
    assert store.state(ROW.queue, JOB_ID, caller=UNRESTRICTED) is JobState.CANCELLED


def test_jobs_of_a_service_are_spread_over_parts():
    """Guards against a slow store that refuses all but one transaction at a time."""
    parts = {jobs_part(f"{number:016x}") for number in range(200)}
    assert len(parts) >= 8


def test_submissions_of_many_threads_are_all_stored(store, tables):
    """Guards against a submission that is lost in a batch with others."""
    outcomes = []

    def submit(number):
        deadline_s = SystemClock().monotonic_s() + 5
        job_id = f"{number:016x}"
        outcomes.append(
            store.submit(job_id, ROW, caller=UNRESTRICTED, deadline_s=deadline_s)
        )

    threads = [threading.Thread(target=submit, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == [SubmitOutcome.STORED] * 40


class _HeldTables(MemoryPartitions):
    """Holds the first transaction until ``is_released`` is set.

    :ivar entries_max_count: entries of the largest transaction so far.
    """

    def __init__(self):
        super().__init__()
        self.is_released = threading.Event()
        self.entries_max_count = 0

    def transact(self, checks, puts, *, purpose):
        self.is_released.wait(5.0)
        entries_count = len(checks) + len(puts)
        self.entries_max_count = max(self.entries_max_count, entries_count)
        return super().transact(checks, puts, purpose=purpose)


def test_submissions_queued_behind_a_slow_one_fit_into_a_transaction():
    """Guards against a batch that the store refuses for its number of entries."""
    tables = _HeldTables()
    store = JobStore(tables, SystemClock(), lambda: 0.0)
    outcomes = []

    def submit(job_id):
        deadline_s = SystemClock().monotonic_s() + 5
        outcomes.append(
            store.submit(job_id, ROW, caller=UNRESTRICTED, deadline_s=deadline_s)
        )

    job_ids = _job_ids_of_one_part(70)
    threads = [threading.Thread(target=submit, args=(name,)) for name in job_ids]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    tables.is_released.set()
    for thread in threads:
        thread.join()
    assert outcomes == [SubmitOutcome.STORED] * 70
    assert 50 < tables.entries_max_count <= 100


def test_entry_host_without_store_contact_refuses_definitely(tables):
    """Guards against unknown outcomes, after which callers don't try another host."""
    store = JobStore(tables, SystemClock(), lambda: 9.0)
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    assert _submit(store) is SubmitOutcome.NOT_STORED
    assert tables.apply_delayed() == 0


class _LateTables(MemoryPartitions):
    """Loses the answers of the first job's first two batches.

    The first batch is applied when the second one arrives, which is then rejected. A
    batch of another job alone is held until ``is_released`` is set.
    """

    def __init__(self, first_job_id):
        super().__init__()
        self._first_job_id = first_job_id
        self._late_puts = ()
        self.batch_sizes = []
        self.is_delayed = threading.Event()
        self.is_released = threading.Event()

    def transact(self, checks, puts, *, purpose):
        if all(put.key != self._first_job_id for put in puts):
            self.is_released.wait(5.0)
            return super().transact(checks, puts, purpose=purpose)
        self.batch_sizes.append(sum(put.table == jobs_table(SERVICE) for put in puts))
        if len(self.batch_sizes) == 1:
            self._late_puts = tuple(puts)
            self.is_delayed.set()
            raise StoreOutcomeUnknownError("no response")
        if len(self.batch_sizes) == 2:
            super().transact((), self._late_puts, purpose=purpose)
            raise StoreOutcomeUnknownError("no response")
        return super().transact(checks, puts, purpose=purpose)


def _job_ids_of_one_part(count):
    numbers = iter(range(100_000))
    first_id = f"{next(numbers):016x}"
    ids = [first_id]
    while len(ids) < count:
        job_id = f"{next(numbers):016x}"
        if jobs_part(job_id) == jobs_part(first_id):
            ids.append(job_id)
    return ids


def test_late_attempt_of_one_job_does_not_confirm_the_batch_of_another():
    """Guards against accepted jobs that aren't stored.

    The first job is sent again, together with another job, after an attempt without an
    answer. That attempt is applied late and is the reason why the second batch is
    rejected, whose answer is lost, too.
    """
    first_id, blocking_id, other_id = _job_ids_of_one_part(3)
    tables = _LateTables(first_id)
    store = JobStore(tables, SystemClock(), lambda: 0.0)
    outcomes = {}

    def submit(job_id):
        deadline_s = SystemClock().monotonic_s() + 5
        outcomes[job_id] = store.submit(
            job_id, ROW, caller=UNRESTRICTED, deadline_s=deadline_s
        )

    def start(job_id):
        thread = threading.Thread(target=submit, args=(job_id,))
        thread.start()
        return thread

    threads = [start(first_id)]
    assert tables.is_delayed.wait(5.0)
    threads.append(start(blocking_id))
    # The first job is queued again 0.1 to 0.2 s after its first attempt.
    time.sleep(0.4)
    threads.append(start(other_id))
    time.sleep(0.1)
    tables.is_released.set()
    for thread in threads:
        thread.join()
    assert tables.batch_sizes[:2] == [1, 2]
    for job_id, outcome in outcomes.items():
        assert outcome in (SubmitOutcome.STORED, SubmitOutcome.REPEATED)
        assert store.state(ROW.queue, job_id, caller=UNRESTRICTED) is JobState.QUEUED


UNREADABLE_VALUE = b"\xff{"


def _store_other_row(tables, job_id, value=UNREADABLE_VALUE):
    part = jobs_part(job_id)
    put = Put(jobs_table(SERVICE), job_id, value, part)
    tables.transact((), (put,), purpose=StorePurpose.JOBS)


def test_unreadable_row_is_not_taken_for_the_submitted_job(store, tables):
    """Guards against a job that is reported as stored, or as refused, by an unreadable
    row with its id, which may be the same job as another release writes it.
    """
    _store_other_row(tables, JOB_ID)
    assert _submit(store) is SubmitOutcome.UNKNOWN
    with pytest.raises(RecordError):
        store.state(ROW.queue, JOB_ID, caller=UNRESTRICTED)


@pytest.mark.filterwarnings("error::pytest.PytestUnhandledThreadExceptionWarning")
def test_unreadable_row_does_not_stop_the_submissions_of_its_part(store, tables):
    """Guards against a part that stores no submission after one malformed row.

    The row is read back after an insert without an answer.
    """
    job_id, other_id = _job_ids_of_one_part(2)
    tables.faulty_table = jobs_table(SERVICE)
    tables.delayed_count = 1
    _store_other_row_when_delayed(tables, job_id)
    deadline_s = SystemClock().monotonic_s() + 1.0
    assert (
        store.submit(job_id, ROW, caller=UNRESTRICTED, deadline_s=deadline_s)
        is SubmitOutcome.UNKNOWN
    )
    deadline_s = SystemClock().monotonic_s() + 1.0
    assert (
        store.submit(other_id, ROW, caller=UNRESTRICTED, deadline_s=deadline_s)
        is SubmitOutcome.STORED
    )


def _store_other_row_when_delayed(tables, job_id):
    """Stores an unreadable row as soon as the first transaction is delayed."""
    transact = tables.transact

    def transact_and_store(checks, puts, *, purpose):
        try:
            return transact(checks, puts, purpose=purpose)
        except StoreOutcomeUnknownError:
            tables.transact = transact
            _store_other_row(tables, job_id)
            raise

    tables.transact = transact_and_store
