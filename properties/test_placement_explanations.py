"""Explanations of placements in random states, against what the placement then does."""

import random
from collections import Counter

import pytest
import structlog

from properties.seeds import SEED
from standins.memory_worker import MemoryWorker
from standins.service_driver import (
    ServiceDriver,
    Site,
    make_fleet,
    make_queue,
    make_registration,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.model import AdviceTimes, JobSpec, Resources, StepSpec
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.placement_explanation import LeftReason
from sycamorecroft.scheduling.placement_question import (
    CopyPlacement,
    CopyRefusal,
    copy_placement,
    explain,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.tasks import RunPhase

SITES_COUNT = 5
ROUNDS_COUNT = 30
ACCOUNTS = ("north", "south", "west", "")
RACKS = ("r0", "r1", "r2")
NEVER_S = float("inf")
# So many of them fit into a pool that a commit can't hold all starts.
SMALL_STEP = StepSpec(1, Resources(10, 1), estimate_ms=200)


def _never():
    return False


@pytest.fixture(autouse=True)
def lines():
    """The log lines, which aren't printed."""
    with structlog.testing.capture_logs() as captured:
        yield captured


def _limited_fleet():
    fleet = make_fleet(north=1.0, south=3.0, west=0.5)
    limit = Resources(9000, 0, 0)
    accounts = [
        account._replace(limit=limit) if account.name == "west" else account
        for account in fleet.accounts
    ]
    return fleet._replace(accounts=tuple(accounts))


class _RandomSite:
    """Site with one owner, whose events are drawn from a seed."""

    def __init__(self, seed, *, has_accounts, slowdown_ratio):
        self.random = random.Random(seed)
        self.site = Site(workers_count=0)
        for number in range(self.random.randint(2, 14)):
            self._add_worker(f"w{number}")
        fleet = _limited_fleet() if has_accounts else None
        self.owner = ServiceDriver(
            self.site, 1, fleet=fleet, slowdown_ratio=slowdown_ratio
        )
        self.owner.approved_workers = {"w0", "w1", "w3"}
        self.scheduler = self.owner.scheduler
        self.jobs_count = 0

    def _add_worker(self, name):
        choice = self.random.choice
        registration = make_registration(
            name, rack=choice(RACKS), cpu_millicores=choice([8000, 6500])
        )
        labels = (choice(["a", "b"]), registration.rack)
        capacity = registration.capacity._replace(memory_mb=choice([700, 64_000]))
        registration = registration._replace(labels=labels, capacity=capacity)
        self.site.workers[name] = MemoryWorker()
        self.site.registrations[name] = registration

    @property
    def now_s(self):
        return self.site.clock.monotonic_s()

    def change(self):
        """Submits jobs, ends runs, and changes workers and time."""
        self.site.advance(self.random.choice([0.02, 0.05, 0.3]))
        for name, worker in self.site.workers.items():
            self._change_worker(name, worker)
        burst = 110 if self.random.random() < 0.05 else 0
        for _ in range(burst or self.random.randint(0, 5)):
            row = self.create_row()
            if burst:
                row = row._replace(spec=JobSpec("", (SMALL_STEP,)))
            self.submit(self.next_id(), row)
        self.read()

    def _change_worker(self, name, worker):
        roll = self.random.random
        for task in list(worker.running):
            if roll() < 0.3:
                outcome = RunOutcome.DONE if roll() < 0.8 else RunOutcome.FAILED
                worker.finish(task, outcome)
        worker.is_unreachable = roll() < 0.03
        registration = self.site.registrations[name]
        is_draining = roll() < 0.05
        self.site.registrations[name] = registration._replace(is_draining=is_draining)
        known = self.scheduler.workers.get(name)
        if known is not None:
            known.is_reserved = roll() < 0.05
            known.is_evacuation_target = roll() < 0.03

    def read(self):
        """Applies what has changed."""
        self.owner._read_jobs()
        self.owner._list_runs()
        self.scheduler.tick(self.now_s, self.site.now_ms)
        self.owner.write_quotas()
        for worker in self.scheduler.workers.values():
            worker.is_slow = worker.is_slow or self.random.random() < 0.1

    def next_id(self):
        self.jobs_count += 1
        return f"{self.random.randrange(16**8):08x}{self.jobs_count:08x}"

    def create_row(self):
        steps = [self._create_step() for _ in range(self.random.randint(1, 2))]
        if len(steps) == 2 and self.random.random() < 0.5:
            steps[1] = steps[1]._replace(after=(0,))
        queue = make_queue(priority=self.random.randint(0, 1))
        if self.random.random() < 0.05:
            queue = queue._replace(advice=AdviceTimes(10, 100, 1000))
        accepted_ms = self.site.now_ms - self.random.choice([0, 0, 500, 1500])
        account = self.random.choice(ACCOUNTS)
        return JobRow(queue, JobSpec("", tuple(steps)), accepted_ms, account)

    def _create_step(self):
        choice, roll = self.random.choice, self.random.random
        return StepSpec(
            self.random.randint(1, 8),
            Resources(choice([500, 1000, 2700, 5000, 7000]), choice([50, 100, 300])),
            estimate_ms=choice([200, 800]),
            is_gang=roll() < 0.1,
            is_rack_local=roll() < 0.1,
            is_long_running=roll() < 0.05,
            is_best_effort=roll() < 0.05,
            is_checkpointed=roll() < 0.1,
            required_label=choice(["", "", "", "b", "none"]) if roll() < 0.3 else "",
            preferred_rack=choice(["", *RACKS]),
            tasks_per_worker_limit=choice([0, 0, 0, 0, 1]),
        )

    def submit(self, job_id, row):
        """Stores a job as it is."""
        self.site.submit(
            job_id,
            *row.spec.steps,
            queue=row.queue,
            clock_ahead_ms=row.accepted_ms - self.site.now_ms,
            account=row.account,
        )

    def explain(self, job_id, row=None):
        question = CopyPlacement(job_id, row, NEVER_S)
        copied = copy_placement(self.scheduler, question, self.site.clock)
        assert not isinstance(copied, CopyRefusal), copied
        return explain(copied, _never)

    def place(self):
        """Places, stores and orders."""
        self.scheduler.place(self.now_s)

    def finish_step(self):
        self.owner.commit()
        self.owner.send_orders()

    def running(self):
        """
        :returns: task, attempt and worker of all runs.
        """
        return sorted(
            (run.task.id.name, run.attempt, run.worker_id, run.phase)
            for worker in self.scheduler.workers.values()
            for run in worker.runs.values()
        )


def _check(site, explanation, context):
    """Compares an explanation with the placement that was made since.

    :returns: what happened to the tasks: starts, and reasons of the others.
    """
    job = site.scheduler.jobs[explanation.job.id]
    counts = Counter()
    tasks = {task.id.name: task for task in job.tasks.values()}
    for step in explanation.steps:
        for start in step.starts:
            run = tasks[start.task].run
            assert run is not None, (context, start)
            assert run.phase is RunPhase.COMMITTING, (context, start)
            expected = (start.worker, start.rack, start.is_far)
            assert (run.worker_id, run.rack, run.is_far) == expected, context
            counts["start"] += 1
        for left in step.left:
            counts[left.reason] += left.tasks_count
            for name in left.tasks:
                assert tasks[name].run is None, (context, left)
                _check_reason(site, tasks[name], left.reason, context)
        assert len(step.starts) + sum(x.tasks_count for x in step.left) == (
            step.waiting_count
        ), context
    return counts


def _check_reason(site, task, reason, context):
    """Checks a reason by the state after the placement."""
    scheduler = site.scheduler
    held = scheduler._placer.order.held()
    workers = [
        worker
        for worker in scheduler.workers.values()
        if worker.accepts_tasks(site.now_s)
        and worker.id not in held
        and (task.spec.is_long_running or not worker.is_evacuation_target)
    ]
    fitting = choose_worker(workers, task, site.now_s)
    match reason:
        case LeftReason.NEAR_WAIT:
            assert scheduler._near.wait_end_s(task) > site.now_s, context
        case LeftReason.COMMIT_FULL:
            assert scheduler._commits.is_full, context
        case LeftReason.NOT_APPROVED:
            assert task.job.queue.advice is not None, context
        case LeftReason.ACCOUNT_LIMIT:
            quotas = scheduler.quotas.copy(scheduler.usage)
            is_allowed = quotas.allows(task.job.account, task.spec.demand)
            assert task.spec.is_gang or not is_allowed, context
        case LeftReason.GANG_NO_ROOM | LeftReason.GANG_RUNNING:
            members = task.job.step_tasks(task.id.occurrence, task.id.step)
            is_begun = any(other.is_done or other.run for other in members)
            assert task.spec.is_gang, context
            assert is_begun == (reason is LeftReason.GANG_RUNNING), context
        case LeftReason.LAST_ATTEMPT:
            assert task.failed_workers, context
            assert fitting is None, context
        case LeftReason.NO_ROOM:
            assert fitting is None, (context, fitting.id)
        case LeftReason.NO_WORKER:
            assert fitting is None, context
        case LeftReason.BEHIND:
            siblings = task.job.step_tasks(task.id.occurrence, task.id.step)
            assert any(other.failed_workers for other in siblings), context
        case _:
            pytest.fail(f"{context}: unexpected reason {reason}")


@pytest.mark.parametrize("has_accounts", [False, True], ids=["alone", "accounts"])
@pytest.mark.parametrize("slowdown_ratio", [1.0, 3.0], ids=["no waits", "waits"])
@pytest.mark.parametrize("number", range(SITES_COUNT))
def test_next_placement_does_what_was_explained(number, slowdown_ratio, has_accounts):
    """Guards against an explanation by other rules than those of the placement.

    Also against one that changes what it explains: another owner of the same site, of
    which nothing is asked, must decide the same.
    """
    seed = SEED * SITES_COUNT + number
    options = {"has_accounts": has_accounts, "slowdown_ratio": slowdown_ratio}
    site, unasked = _RandomSite(seed, **options), _RandomSite(seed, **options)
    choices = random.Random(seed)
    seen = Counter()
    for round_number in range(ROUNDS_COUNT):
        context = f"seed {seed}, round {round_number}"
        site.change()
        unasked.change()
        row, job_id = site.create_row(), site.next_id()
        unasked.create_row(), unasked.next_id()
        if choices.random() < 0.5:
            explanations = [site.explain(job_id, row)]
        else:
            waiting = [job.id for job in site.scheduler._waiting_jobs.jobs()]
            asked = choices.sample(waiting, min(3, len(waiting)))
            explanations = [site.explain(name) for name in asked]
            row = None
        if row is not None:
            for current in (site, unasked):
                current.submit(job_id, row)
                current.owner._read_jobs()
        assert site.running() == unasked.running(), context
        site.place()
        unasked.place()
        for explanation in explanations:
            seen += _check(site, explanation, context)
        assert site.running() == unasked.running(), context
        site.finish_step()
        unasked.finish_step()
    assert seen["start"], seen


def test_random_sites_meet_each_reason():
    """Guards against random states that leave reasons of the explanation unchecked."""
    seen = Counter()
    for number in range(SITES_COUNT):
        site = _RandomSite(number, has_accounts=True, slowdown_ratio=3.0)
        for _ in range(ROUNDS_COUNT):
            site.change()
            jobs = [job.id for job in site.scheduler._waiting_jobs.jobs()][:20]
            explanations = [site.explain(name) for name in jobs]
            site.place()
            for explanation in explanations:
                seen += _check(site, explanation, f"seed {number}")
            site.finish_step()
    expected = set(LeftReason) - {
        LeftReason.ROW_FULL,
        LeftReason.BEHIND,
        LeftReason.NOT_EXPLAINED,
    }
    assert expected <= seen.keys(), seen
