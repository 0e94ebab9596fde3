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
    """The process ends here: no handler of the program runs."""


@dataclass
class CrashAt:
    """Ends the process at the n-th moment around a call to the platform."""

    remaining_count: int

    def __call__(self, name, moment):
        self.remaining_count -= 1
        if self.remaining_count == 0:
            raise Crash


def crash_one(pool, count):
    """
    :returns: whether the controller crashed before the jobs were done.
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
    """Guards against a job lost or run twice by a crash between two calls."""
    count = 0
    has_crashed = True
    while has_crashed:
        count += 1
        pool = JobPool(2)
        for n in range(3):
            pool.submit(f"key-{count}-{n}")
        has_crashed = crash_one(pool, count)
        pool.add_controller()
        pool.run(30.0)
        assert pool.states() == {"succeeded": 3}, count
        pool.close()
    assert count > 20


def test_all_controllers_replaced_at_once(pool):
    """Guards against jobs that only a lost process knew of."""
    for n in range(30):
        pool.submit(f"key-{n}")
    for _ in range(4):
        pool.controllers = []
        pool.add_controller()
        pool.add_controller()
        pool.run(12.0)
    pool.run(20.0)
    assert pool.states() == {"succeeded": 30}


def test_paused_controller_cannot_start_after_its_successor(pool):
    """Guards against two attempts by a controller that resumes between its commit
    and the start, after another one took over and found the worker refusing."""
    resumed = []

    def pause(name, moment):
        if name == "start" and moment is HookPoint.BEFORE and not resumed:
            resumed.append(True)
            pool.controllers = [pool.add_controller()]
            pool.platform.tasks._is_worker = lambda name: name != "w0"
            pool.run(20.0)
            pool.platform.tasks._is_worker = lambda name: True
            [job] = pool.jobs()
            assert (job["state"], job["attempt"]) == (JobState.RUNNING, 2)

    first = pool.add_controller(tasks=HookedProxy(pool.platform.tasks, pause))
    pool.submit("key", command="")
    first.step(pool.clock.monotonic_s())
    assert resumed
    pool.check_tasks()
    pool.controllers.append(first)
    pool.run(20.0)
    assert pool.states() == {"running": 1}


def test_paused_controller_cannot_commit_after_its_successor(pool):
    """Guards against decisions on an old view, on rows the successor left as is."""
    resumed = []

    def pause(name, moment):
        is_commit = name == "transact" and first.lease.is_held
        if is_commit and moment is HookPoint.BEFORE and not resumed:
            resumed.append(True)
            pool.controllers = [pool.add_controller()]
            workers = pool.workers.by_name
            pool.workers.by_name = {"w3": workers["w3"]._replace(is_active=False)}
            pool.run(20.0)

    first = pool.add_controller(HookedProxy(pool.platform.tables, pause))
    pool.submit("key", command="")
    first.step(pool.clock.monotonic_s())
    assert resumed
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.QUEUED, 0)


@pytest.mark.parametrize("takes_effect", [True, False])
def test_lost_response_to_a_task_start(pool, takes_effect):
    """Guards against a second task, or none, when a start gets no answer."""
    lost = []

    def lose(name, moment):
        wanted = HookPoint.AFTER if takes_effect else HookPoint.BEFORE
        if name == "start" and moment is wanted and not lost:
            lost.append(True)
            raise StoreOutcomeUnknownError("lost")

    pool.add_controller(tasks=HookedProxy(pool.platform.tasks, lose))
    pool.submit("key")
    pool.run(6.0)
    assert lost
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 1)


def test_late_start_is_fenced_before_the_next_attempt(pool):
    """Guards against a start that arrives after the job was started elsewhere."""
    late = []
    tasks = pool.platform.tasks

    class LateStart:
        def __getattr__(self, name):
            return getattr(tasks, name)

        def start(self, task):
            if not late:
                late.append(task)
                pool.platform.control.drain(task.worker, operation_id="1")
                raise StoreOutcomeUnknownError("still on its way")
            tasks.start(task)

    pool.add_controller(tasks=LateStart())
    pool.submit("key", command="")
    pool.run(10.0)
    pool.platform.tasks._is_worker = lambda name: True
    with pytest.raises(NotLeaseHolderError):
        tasks.start(late[0])
    pool.run(5.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.RUNNING, 2)


def test_lost_response_to_a_commit(pool):
    """Guards against a start that was never committed, or committed and forgotten."""
    for n in range(4):
        pool.submit(f"key-{n}")
    pool.platform.tables.faults.lose_responses(count=3)
    pool.add_controller()
    pool.run(15.0)
    assert pool.states() == {"succeeded": 4}


def test_late_commit_does_not_undo_later_ones(pool):
    """Guards against a decision that takes effect after others were made."""
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


def test_worker_that_fails_all_is_quarantined(pool):
    """Guards against a worker that takes each job and fails it."""
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


def test_job_that_fails_on_three_workers_is_failed(pool):
    """Guards against a broken job that is started for ever, or blamed on workers."""
    pool.add_controller()
    for n in range(6):
        pool.submit(f"bad-{n}", command="duration_s=1 outcome=failed")
    pool.run(20.0)
    assert pool.states() == {"failed": 6}
    assert all(len(job["failed_workers"]) == 3 for job in pool.jobs())
    pool.submit("good")
    pool.run(5.0)
    assert pool.states()["succeeded"] == 1


def test_job_that_can_run_nowhere_delays_no_other(pool):
    """Guards against head-of-line blocking by jobs that never fit."""
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


def test_large_job_is_not_starved_by_small_ones():
    """Guards against a job that waits for ever while small jobs take each gap."""
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


def test_drained_host_gets_a_checkpoint_before_the_stop(pool):
    """Guards against work lost by maintenance, and a drain that a job blocks."""
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
    # 20 s of work end 25 s after the start only with the progress of the checkpoint.
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)


def test_job_over_its_size_is_throttled_and_restarted_larger(pool):
    """Guards against a job that takes the memory of its neighbours."""
    pool.add_controller()
    pool.submit("key", command=f"duration_s=10 memory_bytes={8 * GIB}")
    pool.run(1.5)
    [task] = pool.platform.tasks.list_usage()
    assert task.state is TaskState.THROTTLED
    pool.run(20.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)
    assert job["required"]["memory_bytes"] >= 8 * GIB


def test_lapsed_task_lease_leads_to_the_next_attempt(pool):
    """Guards against a job that no controller renewed and that nobody restarts."""
    pool.add_controller()
    pool.submit("key", command="duration_s=100")
    pool.run(5.0)
    pool.controllers = []
    pool.clock.advance(90.0)
    pool.add_controller()
    pool.run(130.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 2)


def test_tasks_are_renewed_while_the_store_is_down(pool):
    """Guards against a store outage that ends all running jobs."""
    pool.add_controller()
    pool.submit("key", command="duration_s=120")
    pool.run(5.0)
    pool.platform.tables.faults.set_down(duration_s=90.0)
    pool.run(150.0)
    [job] = pool.jobs()
    assert (job["state"], job["attempt"]) == (JobState.SUCCEEDED, 1)


def test_worker_that_refuses_tasks_gets_no_job_for_a_while(pool):
    """Guards against a job that is stuck on a host which the list still names."""
    pool.platform.control.drain("w0", operation_id="1")
    pool.add_controller()
    for n in range(8):
        pool.submit(f"key-{n}")
    pool.run(10.0)
    assert pool.states() == {"succeeded": 8}


def test_controller_goes_on_after_a_pause_that_nobody_used(pool):
    """Guards against a controller that stands still for ever: paused past its term
    within a step, it keeps its epoch, since no other took over."""

    def pause(name, moment):
        if name == "list_tasks" and pool.clock.monotonic_s() < 5.0:
            pool.clock.advance(15.0)

    pool.add_controller(tasks=HookedProxy(pool.platform.tasks, pause))
    pool.submit("key")
    pool.run(20.0)
    assert pool.states() == {"succeeded": 1}
