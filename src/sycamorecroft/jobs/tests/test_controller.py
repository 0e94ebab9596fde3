"""Job controllers under crashes, lost responses, pauses and failing workers."""

from dataclasses import dataclass

import pytest

from standins.hooked import HookedProxy, HookPoint
from standins.job_pool import GIB, JobPool
from standins.scripted_tables import ScriptedTables
from sycamorecroft.errors import NotLeaseHolderError, StoreOutcomeUnknownError
from sycamorecroft.jobs import JobSettings, JobState
from sycamorecroft.store.interfaces import TaskSize, TaskState


@pytest.fixture
def pool():
    pool = JobPool()
    yield pool
    pool.close()


class Crash(BaseException):
    """Simulates the end of the process: no handler of the program catches it."""


@dataclass
class CrashAt:
    """Crashes at the n-th hook point before or after a call to the platform."""

    remaining_count: int

    def __call__(self, name, moment):
        self.remaining_count -= 1
        if self.remaining_count == 0:
            raise Crash


def run_until_crash(pool, count):
    """
    :param count: number of the hook point at which the controller crashes.
    :returns: whether the controller reached that hook point, and so crashed.
    """
    hook = CrashAt(count)
    tables = HookedProxy(pool.platform.tables, hook)
    running = pool.add_controller(tables, HookedProxy(pool.platform.tasks, hook))
    try:
        pool.run(6.0)
    except Crash:
        return True
    finally:
        pool.controllers.remove(running)
    return False


def test_jobs_survive_a_crash_at_any_call(pool):
    """Guards against a job that is lost or run twice after a crash between calls."""
    count = 0
    has_crashed = True
    while has_crashed:
        count += 1
        pool = JobPool(2)
        for n in range(3):
            pool.submit(f"key-{count}-{n}")
        has_crashed = run_until_crash(pool, count)
        pool.add_controller()
        pool.run(30.0)
        assert pool.states() == {"succeeded": 3}, count
        pool.close()
    assert count > 20


def test_jobs_survive_replacement_of_all_controllers(pool):
    """Guards against job state that exists only in the memory of a controller."""
    for n in range(30):
        pool.submit(f"key-{n}")
    for _ in range(4):
        pool.controllers = []
        pool.add_controller()
        pool.add_controller()
        pool.run(12.0)
    pool.run(20.0)
    assert pool.states() == {"succeeded": 30}


def test_paused_controller_cannot_start_task_after_takeover(pool):
    """Guards against two live attempts when a controller is paused between its commit
    and the start, and its successor, refused by the worker, starts another attempt."""
    pauses = []

    def pause(name, moment):
        if name == "start" and moment is HookPoint.BEFORE and not pauses:
            pauses.append(True)
            pool.controllers = [pool.add_controller()]
            pool.platform.tasks._is_worker = lambda name: name != "w0"
            pool.run(20.0)
            pool.platform.tasks._is_worker = lambda name: True
            [job] = pool.jobs()
            assert (job["state"], job["attempt"]) == (JobState.RUNNING, 2)

    first = pool.add_controller(tasks=HookedProxy(pool.platform.tasks, pause))
    pool.submit("key", command="")
    first.step(pool.clock.monotonic_s())
    assert pauses
    pool.check_tasks()
    pool.controllers.append(first)
    pool.run(20.0)
    assert pool.states() == {"running": 1}


def test_paused_controller_cannot_commit_after_takeover(pool):
    """Guards against commits based on an old view, on rows that did not change."""
    pauses = []

    def pause(name, moment):
        is_commit = name == "transact" and first.lease.is_held
        if is_commit and moment is HookPoint.BEFORE and not pauses:
            pauses.append(True)
            pool.controllers = [pool.add_controller()]
            workers = pool.workers.by_name
            pool.workers.by_name = {"w3": workers["w3"]._replace(is_active=False)}
            pool.run(20.0)

    first = pool.add_controller(HookedProxy(pool.platform.tables, pause))
    pool.submit("key", command="")
    first.step(pool.clock.monotonic_s())
    assert pauses
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.QUEUED, 0)


@pytest.mark.parametrize("takes_effect", [True, False])
def test_task_start_with_lost_response_runs_once(pool, takes_effect):
    """Guards against a second task, or none, when a start gets no response."""
    faults = []

    def lose_response(name, moment):
        fault_moment = HookPoint.AFTER if takes_effect else HookPoint.BEFORE
        if name == "start" and moment is fault_moment and not faults:
            faults.append(True)
            raise StoreOutcomeUnknownError("lost")

    pool.add_controller(tasks=HookedProxy(pool.platform.tasks, lose_response))
    pool.submit("key")
    pool.run(6.0)
    assert faults
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 1)


def test_delayed_start_is_fenced_before_next_attempt(pool):
    """Guards against a delayed start that takes effect beside the next attempt."""
    delayed_tasks = []
    tasks = pool.platform.tasks

    class LateStart:
        def __getattr__(self, name):
            return getattr(tasks, name)

        def start(self, task):
            if not delayed_tasks:
                delayed_tasks.append(task)
                pool.platform.control.drain(task.worker, operation_id="1")
                raise StoreOutcomeUnknownError("still in flight")
            tasks.start(task)

    pool.add_controller(tasks=LateStart())
    pool.submit("key", command="")
    pool.run(10.0)
    pool.platform.tasks._is_worker = lambda name: True
    with pytest.raises(NotLeaseHolderError):
        tasks.start(delayed_tasks[0])
    pool.run(5.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.RUNNING, 2)


def test_commits_with_lost_responses_are_resolved(pool):
    """Guards against an uncommitted start, and a committed one that is not executed."""
    for n in range(4):
        pool.submit(f"key-{n}")
    pool.platform.tables.faults.lose_responses(count=3)
    pool.add_controller()
    pool.run(15.0)
    assert pool.states() == {"succeeded": 4}


def test_delayed_commit_does_not_overwrite_later_ones(pool):
    """Guards against a delayed commit that overwrites later decisions."""
    tables = ScriptedTables(pool.platform.tables)
    pool.add_controller(tables)
    pool.run(0.5)
    pool.submit("key")
    tables.holds_writes = True
    pool.run(1.0)
    tables.holds_writes = False
    pool.run(1.0)
    tables.deliver()
    pool.run(8.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 1)


def test_worker_that_fails_all_jobs_is_quarantined(pool):
    """Guards against a faulty worker that keeps getting jobs and fails them all."""
    pool.platform.tasks.set_failing("w0", True)
    pool.add_controller()
    for n in range(60):
        pool.submit(f"key-{n}")
    pool.run(60.0)
    assert pool.states() == {"succeeded": 60}
    failed_jobs = [job for job in pool.jobs() if job["failed_workers"]]
    attempts = sum(job["attempt"] for job in pool.jobs())
    assert attempts == 60 + len(failed_jobs)
    assert len(failed_jobs) < 20


def test_job_that_fails_on_three_workers_ends_as_failed(pool):
    """Guards against endless attempts of a broken job, and workers blamed for it."""
    pool.add_controller()
    for n in range(6):
        pool.submit(f"bad-{n}", command="duration_s=1 outcome=failed")
    pool.run(20.0)
    assert pool.states() == {"failed": 6}
    assert all(len(job["failed_workers"]) == 3 for job in pool.jobs())
    pool.submit("good")
    pool.run(5.0)
    assert pool.states()["succeeded"] == 1


def test_unplaceable_job_delays_no_other_job(pool):
    """Guards against head-of-line blocking by jobs that fit on no worker."""
    for n in range(20):
        pool.submit(f"huge-{n}", size=TaskSize(9.0, GIB, 0), urgency="urgent")
    pool.submit("late", urgency="bulk")
    pool.add_controller()
    pool.run(0.5)
    states = pool.states()
    assert states == {"unplaceable": 20, "starting": 1}
    reasons = {job["reason"] for job in pool.jobs() if job["reason"]}
    assert all("needs 9 processors" in reason for reason in reasons)
    pool.workers.by_name["w9"] = pool.workers.by_name["w0"]._replace(
        name="w9", size=TaskSize(16.0, 32 * GIB, 0)
    )
    pool.run(0.5)
    assert pool.states()["queued"] == 20


def test_large_job_is_not_starved_by_small_jobs():
    """Guards against a job that never starts while small jobs use freed capacity."""
    pool = JobPool(2, settings=JobSettings(reserve_after_s=10.0))
    pool.add_controller()
    for n in range(4):
        pool.submit(f"small-{n}")
    pool.run(1.0)
    large = pool.submit("large", size=TaskSize(8.0, GIB, 0))
    for n in range(160):
        pool.submit(f"more-{n}", team="blue", urgency="urgent")
        if n % 2 == 0:
            pool.run(0.5)
    assert pool.states()["queued"] > 0
    assert pool.store.get(large["job_id"])["state"] is JobState.SUCCEEDED
    pool.close()


def test_tasks_on_draining_host_are_checkpointed_before_stop(pool):
    """Guards against progress lost to a drain, and a job that blocks a drain."""
    running = pool.add_controller()
    pool.submit("key", command="duration_s=20")
    pool.run(10.0)
    [job] = pool.jobs()
    host = job["worker"]
    assert running.controller.busy_workers() == {host}
    pool.workers.by_name[host] = pool.workers.by_name[host]._replace(is_active=False)
    pool.run(3.0)
    assert running.controller.busy_workers() and host not in (
        running.controller.busy_workers()
    )
    pool.run(12.0)
    [job] = pool.jobs()
    # 20 s of work can end 25 s after the start only by resuming from the checkpoint.
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)


def test_job_exceeding_its_size_is_throttled_and_restarted_larger(pool):
    """Guards against a job that uses the memory of other jobs on its worker."""
    pool.add_controller()
    pool.submit("key", command=f"duration_s=10 memory_bytes={8 * GIB}")
    pool.run(1.5)
    [task] = pool.platform.tasks.list_usage()
    assert task.state is TaskState.THROTTLED
    pool.run(20.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)
    assert job["required"]["memory_bytes"] >= 8 * GIB


def test_expired_task_lease_leads_to_next_attempt(pool):
    """Guards against a job that is not restarted after its task lease expired."""
    pool.add_controller()
    pool.submit("key", command="duration_s=100")
    pool.run(5.0)
    pool.controllers = []
    pool.clock.advance(90.0)
    pool.add_controller()
    pool.run(130.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)


def test_task_leases_are_renewed_during_store_outage(pool):
    """Guards against expired task leases of all running jobs in a store outage."""
    pool.add_controller()
    pool.submit("key", command="duration_s=120")
    pool.run(5.0)
    pool.platform.tables.faults.set_down(duration_s=90.0)
    pool.run(150.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 1)


def test_worker_that_refuses_tasks_is_paused(pool):
    """Guards against a job stuck on a draining host that is still listed as live."""
    pool.platform.control.drain("w0", operation_id="1")
    pool.add_controller()
    for n in range(8):
        pool.submit(f"key-{n}")
    pool.run(10.0)
    assert pool.states() == {"succeeded": 8}


def test_controller_continues_after_pause_without_takeover(pool):
    """Guards against a controller that makes no progress after a pause.

    The pause exceeds the lease term within a step. No other controller takes over, so
    the controller renews its lease and keeps its epoch.
    """

    def pause(name, moment):
        if name == "list_tasks" and pool.clock.monotonic_s() < 5.0:
            pool.clock.advance(15.0)

    pool.add_controller(tasks=HookedProxy(pool.platform.tasks, pause))
    pool.submit("key")
    pool.run(20.0)
    assert pool.states() == {"succeeded": 1}
