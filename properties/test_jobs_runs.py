"""Random runs over jobs of one pool with three controllers, with I9 asserted.

Reference: a naive executor without faults, in which each job that is not cancelled
succeeds in one attempt.
"""

from hypothesis import HealthCheck, seed, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from properties.seeds import SEED
from standins.faults import Operation
from standins.hooked import HookedProxy, HookPoint
from standins.job_pool import GIB, JobPool
from standins.scripted_tables import ScriptedTables
from sycamorecroft.jobs import JobSettings
from sycamorecroft.jobs.records import ENDED_STATES
from sycamorecroft.store.interfaces import TaskSize, TaskState

# 3 stands for the controller that holds the lease, since faults of others do little.
CONTROLLERS = st.sampled_from([0, 1, 2, 3, 3, 3, 3])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
CALLS = ["start", "stop", "renew", "list_tasks", "checkpoint"]


class Entry:
    """A controller with its faults; a new process takes its place when replaced."""

    def __init__(self, pool):
        self.pool = pool
        self.tables = ScriptedTables(pool.platform.tables)
        self.pause_at = None
        self.refusing = ()
        self.is_paused = False
        self.running = self.new_controller()

    def new_controller(self):
        running = self.pool.add_controller(
            self.tables, HookedProxy(self.pool.platform.tasks, self.pause)
        )
        self.pool.controllers.remove(running)
        return running

    def pause(self, name, moment):
        if name != self.pause_at or moment is not HookPoint.BEFORE:
            return
        self.pause_at = None
        self.is_paused = True
        tasks = self.pool.platform.tasks
        tasks._is_worker = lambda worker: worker not in self.refusing
        self.pool.run_others(self, 15.0)
        tasks._is_worker = lambda worker: True
        self.is_paused = False


class EntryPool(JobPool):
    def __init__(self):
        super().__init__(3, settings=JobSettings())
        self.entries = [Entry(self) for _ in range(3)]

    def run(self, duration_s):
        self.run_others(None, duration_s)

    def run_others(self, stepping, duration_s):
        end_s = self.clock.monotonic_s() + duration_s
        while self.clock.monotonic_s() < end_s:
            for entry in self.entries:
                if entry is not stepping and not entry.is_paused:
                    entry.running.step(self.clock.monotonic_s())
            self.check_tasks()
            self.clock.advance(0.5)


class JobRuns(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.pool = EntryPool()
        self.job_ids = []
        self.cancelled = set()
        self.has_failing = False
        self.pool.run(1.0)

    def entry(self, position):
        holders = [e for e in self.pool.entries if e.running.lease.is_held]
        if position == 3 and holders:
            return holders[0]
        return self.pool.entries[position % 3]

    def work(self):
        """Gives the fault that was set something to break."""
        self.submit_one(4.0, 5, False)
        self.pool.run(1.5)

    @rule(
        processors_count=st.sampled_from([1.0, 4.0, 8.0]),
        duration_s=st.sampled_from([1, 5, 20]),
        is_over=st.booleans(),
    )
    def submit(self, processors_count, duration_s, is_over):
        self.submit_one(processors_count, duration_s, is_over)

    def submit_one(self, processors_count, duration_s, is_over):
        used_bytes = GIB * (3 if is_over else 1)
        record = self.pool.submit(
            f"key-{len(self.job_ids)}",
            size=TaskSize(processors_count, 2 * GIB, 0),
            command=f"duration_s={duration_s} memory_bytes={used_bytes}",
        )
        self.job_ids.append(record["job_id"])

    @rule(position=st.integers(0, 9))
    def cancel(self, position):
        if self.job_ids:
            job_id = self.job_ids[position % len(self.job_ids)]
            self.pool.store.cancel(job_id)
            self.cancelled.add(job_id)

    @rule(duration_s=st.sampled_from([0.5, 1.0, 3.0, 12.0]))
    def run(self, duration_s):
        self.pool.run(duration_s)

    @rule(duration_s=st.sampled_from([2.0, 12.0, 70.0]))
    def freeze_all(self, duration_s):
        self.pool.clock.advance(duration_s)

    @rule(position=CONTROLLERS, is_paused=st.booleans())
    def pause(self, position, is_paused):
        self.entry(position).is_paused = is_paused
        self.work()

    @rule(
        position=CONTROLLERS,
        call=st.sampled_from(CALLS),
        refusing=st.sampled_from([(), ("w0",), ("w0", "w1")]),
    )
    def pause_within_a_step(self, position, call, refusing):
        entry = self.entry(position)
        entry.pause_at, entry.refusing = call, refusing
        self.work()

    @rule(position=CONTROLLERS)
    def replace(self, position):
        entry = self.entry(position)
        entry.running = entry.new_controller()
        self.work()

    @rule(position=CONTROLLERS, ahead=st.integers(1, 6), takes_effect=st.booleans())
    def fail_a_store_call(self, position, ahead, takes_effect):
        tables = self.entry(position).tables
        tables.fail_at = tables.calls_count + ahead
        tables.takes_effect = takes_effect
        self.work()

    @rule(position=CONTROLLERS, holds=st.booleans())
    def hold_or_deliver_writes(self, position, holds):
        tables = self.entry(position).tables
        tables.holds_writes = holds
        self.work()
        if not holds:
            tables.deliver()

    @rule(
        count=st.integers(1, 3),
        operation=st.sampled_from(list(Operation)),
        is_lost=st.booleans(),
    )
    def fail_task_calls(self, count, operation, is_lost):
        faults = self.pool.platform.tasks.faults
        if is_lost:
            faults.lose_responses(count=count, operation=operation)
        else:
            faults.set_down(count=count, operation=operation)
        self.work()

    @rule(worker=WORKERS, is_active=st.booleans())
    def drain(self, worker, is_active):
        by_name = self.pool.workers.by_name
        by_name[worker] = by_name[worker]._replace(is_active=is_active)

    @rule(worker=WORKERS, is_failing=st.booleans())
    def break_worker(self, worker, is_failing):
        self.has_failing = True
        self.pool.platform.tasks.set_failing(worker, is_failing)

    @rule(worker=WORKERS)
    def lose_worker(self, worker):
        self.pool.platform.tasks.lose_worker(worker)

    @invariant()
    def single_attempts(self):
        self.pool.check_tasks()

    def teardown(self):
        try:
            self.heal()
            self.pool.run(120.0 + 30.0 * len(self.job_ids))
            self.check_all_ended()
        finally:
            self.pool.close()

    def heal(self):
        for entry in self.pool.entries:
            entry.pause_at, entry.is_paused = None, False
            entry.tables.fail_at = 0
            entry.tables.holds_writes = False
            entry.tables.deliver()
        self.pool.platform.tasks.faults.clear()
        by_name = self.pool.workers.by_name
        for worker in by_name:
            by_name[worker] = by_name[worker]._replace(is_active=True)
            self.pool.platform.tasks.set_failing(worker, False)

    def check_all_ended(self):
        tasks = self.pool.platform.tasks.list_usage()
        succeeded = {
            task.task_id.rpartition(":")[0]
            for task in tasks
            if task.state is TaskState.SUCCEEDED
        }
        found = {record["job_id"]: record for record in self.pool.jobs()}
        assert found.keys() == set(self.job_ids)
        for job_id, record in found.items():
            assert record["state"] in ENDED_STATES, record
            assert (record["state"] == "succeeded") == (job_id in succeeded)
            if job_id not in self.cancelled and not self.has_failing:
                assert record["state"] == "succeeded"


TestJobRuns = seed(SEED)(JobRuns).TestCase
TestJobRuns.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
