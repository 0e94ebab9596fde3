"""Submission, cancellation and retention of jobs under faults and races."""

import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from random import Random

import pytest

from standins.faults import Operation
from standins.job_pool import JobPool, request
from standins.memory_tables import MemoryTables
from standins.scripted_tables import ScriptedTables
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import NotRunError, OutcomeUnknownError, RequestError
from sycamorecroft.jobs import JobState, JobStore
from sycamorecroft.jobs.records import ENDED_TABLE, JOBS_DAY_TABLES
from sycamorecroft.store import GuardedTableService, StoreBudget
from sycamorecroft.store.day_index import DayRetention, RetentionSettings
from sycamorecroft.store.insert_batcher import BatchSettings
from sycamorecroft.store.interfaces import StorePurpose


@pytest.fixture
def pool():
    pool = JobPool()
    yield pool
    pool.close()


def submit(store, key, timeout_s=2.0, **changes):
    deadline_s = time.monotonic() + timeout_s
    return store.submit(request(key, **changes), deadline_s=deadline_s)


def writes_count(tables, purpose=StorePurpose.JOBS):
    return tables.call_counts().get((purpose, Operation.WRITE), 0)


@pytest.mark.parametrize("takes_effect", [False, True])
@pytest.mark.parametrize("fail_at", range(1, 6))
def test_submission_is_stored_once_with_fault_at_any_call(fail_at, takes_effect):
    """Guards against a job accepted twice, or accepted but reported as refused."""
    rows = MemoryTables()
    tables = ScriptedTables(rows)
    tables.fail_at, tables.takes_effect = fail_at, takes_effect
    store = JobStore(tables, SystemClock(), batch=BatchSettings(window_s=0.0))
    store.start()
    accepted = []
    for _ in range(3):
        try:
            accepted.append(submit(store, "key"))
        except NotRunError:
            # The error refers to this call; an earlier one may have been accepted.
            found = rows.scan("jobs", purpose=StorePurpose.JOBS).rows
            assert len(found) == bool(accepted)
        except OutcomeUnknownError:
            pass
    store.stop()
    assert len(accepted) >= 2
    assert len({record["token"] for record in accepted}) == 1


def test_submission_stored_late_is_the_same_job():
    """Guards against a second job when the first submission is stored late."""
    rows = MemoryTables()
    tables = ScriptedTables(rows)
    store = JobStore(tables, SystemClock(), batch=BatchSettings(window_s=0.0))
    store.start()
    tables.holds_writes = True
    with pytest.raises(OutcomeUnknownError):
        submit(store, "key")
    tables.deliver()
    tables.holds_writes = False
    record = submit(store, "key")
    assert record == store.get(record["job_id"])
    assert len(store.list("works")) == 1
    store.stop()


def test_reused_key_for_different_job_is_an_error(pool):
    """Guards against a submission that silently returns a different job."""
    pool.submit("key")
    with pytest.raises(RequestError, match="new job under a new key"):
        pool.submit("key", command="other")


def test_repeated_submission_does_not_rerun_ended_job(pool):
    """Guards against a second run when a submission is repeated after the job ended."""
    first = pool.submit("key")
    pool.add_controller()
    pool.run(6.0)
    assert pool.submit("key")["state"] is JobState.SUCCEEDED
    pool.run(6.0)
    assert pool.store.get(first["job_id"])["attempt"] == 1


def test_submissions_share_transactions():
    """Guards against a store budget used up by a few submissions."""
    tables = MemoryTables()
    store = JobStore(tables, SystemClock(), batch=BatchSettings(window_s=0.1))
    store.start()
    with ThreadPoolExecutor(50) as threads:
        list(threads.map(lambda n: submit(store, f"key-{n}"), range(50)))
    store.stop()
    assert len(store.list("works")) == 50
    assert writes_count(tables) <= 5


def test_cancellation_after_completion_has_no_effect(pool):
    """Guards against a finished job reported as cancelled."""
    job_id = pool.submit("key")["job_id"]
    pool.add_controller()
    pool.run(6.0)
    assert pool.store.cancel(job_id)["state"] is JobState.SUCCEEDED


def test_cancellation_between_decision_and_commit_is_kept(pool):
    """Guards against a job's end that overwrites a cancellation or is blocked by it,
    and against delays of other jobs in the same batch."""
    ids = [pool.submit(f"key-{n}")["job_id"] for n in range(3)]
    tables = pool.platform.tables
    commit = tables.transact
    cancellations = []

    def cancel_then_commit(checks, puts, *, purpose):
        if any(put.table == ENDED_TABLE for put in puts) and not cancellations:
            cancellations.append(True)
            pool.store.cancel(ids[0])
        return commit(checks, puts, purpose=purpose)

    controller_tables = ScriptedTables(tables)
    controller_tables.transact = cancel_then_commit
    pool.add_controller(controller_tables)
    pool.run(2.5)
    assert cancellations
    assert pool.states()["succeeded"] == 2
    pool.run(1.0)
    assert pool.states() == {"succeeded": 3}


def test_jobs_in_each_state_are_cancelled(pool):
    """Guards against a cancelled job that keeps running or is started again."""
    pool.submit("huge", size=request("x").size._replace(processors_count=99.0))
    for n in range(20):
        pool.submit(f"key-{n}", command="")
    pool.add_controller()
    pool.run(0.5)
    for record in pool.jobs():
        pool.store.cancel(record["job_id"])
    pool.run(3.0)
    assert pool.states() == {"cancelled": 21}
    tasks = pool.platform.tasks.list_usage()
    assert {str(task.state) for task in tasks} == {"stopped"}


def test_mass_cancellation_stays_within_store_budget(pool):
    """Guards against thousands of cancellations that use up the store budget."""
    count = 3000
    with ThreadPoolExecutor(50) as threads:
        list(threads.map(lambda n: pool.submit(f"key-{n}", command=""), range(count)))
    budget = StoreBudget(1.0, pool.clock.monotonic_s())
    tables = GuardedTableService(
        pool.platform.tables, budget=budget, clock=pool.clock, random_source=Random(1)
    )
    pool.add_controller(tables)
    pool.run(5.0)
    before_count = writes_count(pool.platform.tables)
    start_s = pool.clock.monotonic_s()
    operator = JobStore(tables, pool.clock, sleep=pool.clock.advance)
    counts = operator.cancel_all("works", deadline_s=start_s + 10.0)
    assert counts == (count, 0)
    pool.run(5.0)
    assert pool.states() == {"cancelled": count}
    elapsed_s = pool.clock.monotonic_s() - start_s
    written_count = writes_count(pool.platform.tables) - before_count
    assert written_count <= 60 * elapsed_s
    assert written_count <= 60


def test_store_outage_refuses_submissions_and_cancellations(pool):
    """Guards against jobs or cancellations accepted without a commit."""
    job_id = pool.submit("key")["job_id"]
    pool.platform.tables.faults.set_down()
    with pytest.raises(NotRunError):
        pool.submit("other")
    with pytest.raises(NotRunError):
        pool.store.cancel(job_id)


def test_retention_removes_jobs_after_retention_period(pool):
    """Guards against ended jobs kept beyond the retention period or removed early."""
    pool.submit("running", command="")
    pool.submit("ended")
    pool.add_controller()
    pool.run(6.0)
    settings = RetentionSettings(7, shard_digits_count=1)
    retention = DayRetention(
        pool.platform.tables, pool.platform.objects, JOBS_DAY_TABLES, settings
    )
    today = pool.clock.now()
    for days in (7, 8):
        steps = [retention.step(today + timedelta(days=days)) for _ in range(40)]
        assert sum(steps) == days - 7
    assert pool.states() == {"running": 1}
