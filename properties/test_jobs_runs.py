"""Randomised runs of the jobs of one pool with three controllers, asserting I9.

The reference is an executor without faults, in which each job that is not cancelled
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

# 3 stands for the controller that holds the lease, as faults of the others have little
# effect.
CONTROLLERS = st.sampled_from([0, 1, 2, 3, 3, 3, 3])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
CALLS = ["start", "stop", "renew", "list_tasks", "checkpoint"]


class FaultyController:
    """Controller with injected faults; a replacement stands for a new process."""

    def __init__(self, pool):
        self.pool = pool
        self.tables = ScriptedTables(pool.platform.tables)
        self.pause_at = None
        self.refusing_workers = ()
        self.is_paused = False
        self.current = self.new_controller()

    def new_controller(self):
        current = self.pool.add_controller(
            self.tables, HookedProxy(self.pool.platform.tasks, self.pause)
        )
        self.pool.controllers.remove(current)
        return current

    def pause(self, name, moment):
        if name != self.pause_at or moment is not HookPoint.BEFORE:
            return
        self.pause_at = None
        self.is_paused = True
        tasks = self.pool.platform.tasks
        tasks._is_worker = lambda worker: worker not in self.refusing_workers
        self.pool.run_others(self, 15.0)
        tasks._is_worker = lambda worker: True
        self.is_paused = False


class FaultyControllerPool(JobPool):
    def __init__(self):
        super().__init__(3, settings=JobSettings())
        self.faulty_controllers = [FaultyController(self) for _ in range(3)]

    def run(self, duration_s):
        self.run_others(None, duration_s)

    def run_others(self, paused_controller, duration_s):
        end_s = self.clock.monotonic_s() + duration_s
        while self.clock.monotonic_s() < end_s:
            for controller in self.faulty_controllers:
                if controller is not paused_controller and not controller.is_paused:
                    controller.current.step(self.clock.monotonic_s())
            self.check_tasks()
            self.clock.advance(0.5)


class JobRuns(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.pool = FaultyControllerPool()
        self.job_ids = []
        self.cancelled = set()
        self.has_had_failing_worker = False
        self.pool.run(1.0)

    def controller_at(self, position):
        holders = [c for c in self.pool.faulty_controllers if c.current.lease.is_held]
        if position == 3 and holders:
            return holders[0]
        return self.pool.faulty_controllers[position % 3]

    def submit_and_run(self):
        """Submits a job and runs the pool, so that an injected fault takes effect."""
        self.submit_one(4.0, 5, False)
        self.pool.run(1.5)

    @rule(
        processors_count=st.sampled_from([1.0, 4.0, 8.0]),
        duration_s=st.sampled_from([1, 5, 20]),
        is_over_memory_limit=st.booleans(),
    )
    def submit(self, processors_count, duration_s, is_over_memory_limit):
        self.submit_one(processors_count, duration_s, is_over_memory_limit)

    def submit_one(self, processors_count, duration_s, is_over_memory_limit):
        used_bytes = GIB * (3 if is_over_memory_limit else 1)
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
        self.controller_at(position).is_paused = is_paused
        self.submit_and_run()

    @rule(
        position=CONTROLLERS,
        call=st.sampled_from(CALLS),
        refusing_workers=st.sampled_from([(), ("w0",), ("w0", "w1")]),
    )
    def pause_within_step(self, position, call, refusing_workers):
        controller = self.controller_at(position)
        controller.pause_at, controller.refusing_workers = call, refusing_workers
        self.submit_and_run()

    @rule(position=CONTROLLERS)
    def replace(self, position):
        controller = self.controller_at(position)
        controller.current = controller.new_controller()
        self.submit_and_run()

    @rule(
        position=CONTROLLERS,
        calls_ahead_count=st.integers(1, 6),
        takes_effect=st.booleans(),
    )
    def fail_store_call(self, position, calls_ahead_count, takes_effect):
        tables = self.controller_at(position).tables
        tables.fail_at = tables.calls_count + calls_ahead_count
        tables.takes_effect = takes_effect
        self.submit_and_run()

    @rule(position=CONTROLLERS, holds_writes=st.booleans())
    def hold_or_deliver_writes(self, position, holds_writes):
        tables = self.controller_at(position).tables
        tables.holds_writes = holds_writes
        self.submit_and_run()
        if not holds_writes:
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
        self.submit_and_run()

    @rule(worker=WORKERS, is_active=st.booleans())
    def drain(self, worker, is_active):
        by_name = self.pool.workers.by_name
        by_name[worker] = by_name[worker]._replace(is_active=is_active)

    @rule(worker=WORKERS, is_failing=st.booleans())
    def break_worker(self, worker, is_failing):
        self.has_had_failing_worker = True
        self.pool.platform.tasks.set_failing(worker, is_failing)

    @rule(worker=WORKERS)
    def lose_worker(self, worker):
        self.pool.platform.tasks.lose_worker(worker)

    @invariant()
    def single_attempts(self):
        self.pool.check_tasks()

    def teardown(self):
        try:
            self.end_faults()
            self.pool.run(120.0 + 30.0 * len(self.job_ids))
            self.check_all_ended()
        finally:
            self.pool.close()

    def end_faults(self):
        for controller in self.pool.faulty_controllers:
            controller.pause_at, controller.is_paused = None, False
            controller.tables.fail_at = 0
            controller.tables.holds_writes = False
            controller.tables.deliver()
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
        records = {record["job_id"]: record for record in self.pool.jobs()}
        assert records.keys() == set(self.job_ids)
        for job_id, record in records.items():
            assert record["state"] in ENDED_STATES, record
            assert (record["state"] == "succeeded") == (job_id in succeeded)
            if job_id not in self.cancelled and not self.has_had_failing_worker:
                assert record["state"] == "succeeded"


TestJobRuns = seed(SEED)(JobRuns).TestCase
TestJobRuns.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
