"""Tests of storing submissions and cancellations."""

import threading
import time

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import SERVICE, queue_of, step_of
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow, JobState, jobs_part
from sycamorecroft.serving.job_store import (
    CancelOutcome,
    JobStore,
    SubmitOutcome,
)

JOB_ID = "00112233445566aa"
ROW = JobRow(queue_of(), JobSpec("text", (step_of(),)), 1)


class _RefusingTables(MemoryPartitions):
    """Refuses the first transactions, as a part does whose queue is full."""

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
    """Goes on by itself and can skip time."""

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
    return store.submit(JOB_ID, ROW, deadline_s=deadline_s)


def test_submissions_to_a_slow_store_lie_in_many_parts():
    """Guards against submissions of many hosts that wait for one part's transactions.

    A store a hundred times slower stores 1.3 transactions a second in one part; a
    peak of 58 jobs a second of one service has to get through.
    """
    parts = {jobs_part(SERVICE, f"{number:016x}") for number in range(2000)}
    assert len(parts) * 1.3 >= 58


def test_threads_of_parts_end_when_nothing_is_submitted(tables):
    """Guards against memory for a thread of each part that was ever used."""
    clock = _SkippingClock()
    store = JobStore(tables, clock, lambda: 0.0)
    before = threading.active_count()
    for number in range(50):
        store.submit(f"{number:016x}", ROW, deadline_s=clock.monotonic_s() + 5)
    assert threading.active_count() > before + 20
    clock.skipped_s = 11.0
    store.submit("f" * 16, ROW, deadline_s=clock.monotonic_s() + 5)
    end_s = time.monotonic() + 5
    while threading.active_count() > before + 1 and time.monotonic() < end_s:
        time.sleep(0.01)
    assert threading.active_count() <= before + 1


def test_repeated_submission_is_one_job(store, tables):
    """Guards against a second job when the answer to the first try was lost."""
    assert _submit(store) is SubmitOutcome.STORED
    version = tables.version
    assert _submit(store) is SubmitOutcome.REPEATED
    assert tables.version == version
    assert store.state(SERVICE, JOB_ID) is JobState.QUEUED


def test_submission_that_a_full_part_refuses_is_tried_again(store, tables):
    """Guards against refusals to callers while the store is slow but serves."""
    tables.refusals_count = 2
    assert _submit(store, timeout_s=2.0) is SubmitOutcome.STORED


def test_submission_is_refused_at_once_while_the_store_is_away(tables):
    """Guards against holding callers whose jobs can't be stored."""
    store = JobStore(tables, SystemClock(), lambda: 9.0)
    tables.is_dark = True
    begin_s = SystemClock().monotonic_s()
    assert _submit(store, timeout_s=3.0) is SubmitOutcome.NOT_STORED
    assert SystemClock().monotonic_s() - begin_s < 0.5


def test_submission_without_an_answer_is_sent_again(store, tables):
    """Guards against a doubt that keeps the caller from trying again."""
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    assert _submit(store, timeout_s=2.0) is SubmitOutcome.STORED
    assert tables.apply_delayed() == 0


def test_doubtful_submission_is_not_refused_later(store, tables):
    """Guards against a refusal of a job that an earlier try stores seconds later."""
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    tables.refusals_after_delay = True
    assert _submit(store, timeout_s=0.6) is SubmitOutcome.UNKNOWN
    assert tables.apply_delayed() == 1


def test_lost_answer_is_read_back(store, tables):
    """Guards against a doubt about a job that the store shows."""
    tables.faulty_table = "jobs.rating"
    tables.lost_answers_count = 1
    assert _submit(store) is SubmitOutcome.STORED


def test_cancellation_is_idempotent(store):
    """Guards against an error when a cancellation is sent again."""
    deadline_s = SystemClock().monotonic_s() + 1
    cancel = store.cancel
    no_job = cancel(SERVICE, JOB_ID, deadline_s=deadline_s)
    assert no_job is CancelOutcome.NO_SUCH_JOB
    _submit(store)
    assert cancel(SERVICE, JOB_ID, deadline_s=deadline_s) is CancelOutcome.STORED
    assert cancel(SERVICE, JOB_ID, deadline_s=deadline_s) is CancelOutcome.STORED
    assert store.state(SERVICE, JOB_ID) is JobState.CANCELLED


def test_jobs_of_a_service_are_spread_over_parts():
    """Guards against a slow store that refuses all but one transaction at a time."""
    parts = {jobs_part(SERVICE, f"{number:016x}") for number in range(200)}
    assert len(parts) >= 8


def test_submissions_of_many_threads_are_all_stored(store, tables):
    """Guards against a submission that is lost in a batch with others."""
    outcomes = []

    def submit(number):
        deadline_s = SystemClock().monotonic_s() + 5
        job_id = f"{number:016x}"
        outcomes.append(store.submit(job_id, ROW, deadline_s=deadline_s))

    threads = [threading.Thread(target=submit, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == [SubmitOutcome.STORED] * 40


def test_host_cut_off_from_the_store_refuses_without_a_doubt(tables):
    """Guards against doubtful answers after which callers don't try another host."""
    store = JobStore(tables, SystemClock(), lambda: 9.0)
    tables.faulty_table = "jobs.rating"
    tables.delayed_count = 1
    assert _submit(store) is SubmitOutcome.NOT_STORED
    assert tables.apply_delayed() == 0
