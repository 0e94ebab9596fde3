"""Tests that commits are stored in spite of lost answers and unexpected errors."""

import queue

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import StoreOutcomeUnknownError
from sycamorecroft.ownership.committer import CommitOutcome, Committer, ServiceClaim
from sycamorecroft.ownership.rows import (
    COMMITS_TABLE,
    OWNERS_TABLE,
    ROW_KEY,
    OwnerRow,
)
from sycamorecroft.scheduling.commit import Commit, JobProgress
from sycamorecroft.scheduling.rows import JobState, ProgressRow, encode_row
from sycamorecroft.store.interfaces import Put, StorePurpose

SERVICE = "rating"
WAIT_S = 5.0


class _FailingTables:
    """Store whose first transactions end with an error, before or after their effect.

    :param error: error raised by the first transaction.
    :param is_applied: whether that transaction takes effect all the same.
    """

    def __init__(self, tables, error, *, is_applied):
        self._tables = tables
        self._errors = [error]
        self._is_applied = is_applied
        self.transactions_count = 0

    def transact(self, checks, puts, *, purpose):
        self.transactions_count += 1
        if not self._errors:
            return self._tables.transact(checks, puts, purpose=purpose)
        if self._is_applied:
            self._tables.transact(checks, puts, purpose=purpose)
        raise self._errors.pop()


@pytest.fixture
def tables():
    return MemoryPartitions()


@pytest.fixture
def claim(tables):
    row = encode_row(OwnerRow("host-1", "x", 1))
    put = Put(OWNERS_TABLE, ROW_KEY, row, SERVICE)
    version = tables.transact((), (put,), purpose=StorePurpose.LEASES)
    return ServiceClaim(SERVICE, 1, version, None, 0)


def _commit(job_id):
    return Commit((JobProgress(job_id, ProgressRow(JobState.RUNNING, 0)),), (), ())


def _store_two(tables, claim):
    """Stores two commits with a started committer and returns their outcomes."""
    results = queue.Queue()
    committer = Committer(
        tables, claim, SystemClock(), results.put, lambda sent_s: None
    )
    committer.start()
    outcomes = []
    for job_id in ("j1", "j2"):
        committer.submit(_commit(job_id))
        outcomes.append(results.get(timeout=WAIT_S).outcome)
    committer.close()
    return outcomes


@pytest.mark.parametrize("is_applied", [False, True])
@pytest.mark.parametrize(
    "error", [TypeError("unexpected"), StoreOutcomeUnknownError("no response")]
)
def test_commit_is_stored_once_after_an_error(tables, claim, error, is_applied):
    """Guards against an owner that keeps its claim and stores nothing any more."""
    failing = _FailingTables(tables, error, is_applied=is_applied)
    assert _store_two(failing, claim) == [CommitOutcome.STORED] * 2
    rows = tables.scan_part(f"progress.{SERVICE}", SERVICE, purpose=StorePurpose.JOBS)
    assert [row.key for row in rows.rows] == ["j1", "j2"]
    assert failing.transactions_count == 3


def test_former_owner_stores_nothing_after_a_lost_answer(tables, claim):
    """Guards against a former owner that takes a later owner's commit for its own."""
    failing = _FailingTables(
        tables, StoreOutcomeUnknownError("no response"), is_applied=False
    )
    row = encode_row(OwnerRow("host-2", "y", 2))
    put = Put(OWNERS_TABLE, ROW_KEY, row, SERVICE)
    tables.transact((), (put,), purpose=StorePurpose.LEASES)
    committer = Committer(
        failing, claim, SystemClock(), lambda result: None, lambda sent_s: None
    )
    assert committer.store(_commit("j1")) is CommitOutcome.LOST
    rows = tables.scan_part(f"progress.{SERVICE}", SERVICE, purpose=StorePurpose.JOBS)
    assert rows.rows == ()


def test_former_owner_starts_nothing_of_a_commit_whose_answer_was_lost(tables, claim):
    """Guards against starts, and leases, of an owner that was superseded meanwhile.

    The commit is stored, and the conflict of its repetition shows another owner.
    """

    class _TakeoverTables(_FailingTables):
        def transact(self, checks, puts, *, purpose):
            try:
                return super().transact(checks, puts, purpose=purpose)
            except StoreOutcomeUnknownError:
                row = encode_row(OwnerRow("host-2", "y", 2))
                put = Put(OWNERS_TABLE, ROW_KEY, row, SERVICE)
                tables.transact((), (put,), purpose=StorePurpose.LEASES)
                raise

    error = StoreOutcomeUnknownError("no response")
    failing = _TakeoverTables(tables, error, is_applied=True)
    confirmed = []
    committer = Committer(
        failing, claim, SystemClock(), lambda result: None, confirmed.append
    )
    assert committer.store(_commit("j1")) is CommitOutcome.LOST
    assert not confirmed


def test_malformed_row_of_commits_is_taken_for_that_of_another_writer(tables, claim):
    """Guards against a committer that ends while its service stays claimed.

    The row isn't readable when the commit finds it.
    """
    put = Put(COMMITS_TABLE, ROW_KEY, b"\xff[", SERVICE)
    tables.transact((), (put,), purpose=StorePurpose.LEASES)
    committer = Committer(tables, claim, SystemClock(), lambda _: None, lambda _: None)
    assert committer.store(_commit("j1")) is CommitOutcome.LOST
