"""Due shares of random accounts, and placements of their jobs, by the rules of both."""

import random

import pytest
from hypothesis import given, seed, settings, strategies as st

from properties.seeds import SEED
from standins.service_driver import (
    SERVICE,
    make_fleet,
    make_placer,
    make_queue,
    make_registration,
)
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.account_rates import account_weights
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.fair_shares import (
    PlacementShares,
    dominant_share,
    due_shares,
)
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, Resources, StepSpec
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.placement_order import (
    STEP_OVERSHOOT_RATIO,
    FairOrder,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

ROUNDING = 1e-9
POOLS_COUNT = 60
ROUNDS_COUNT = 10

amounts = st.builds(
    Resources, st.integers(0, 900), st.integers(0, 900), st.integers(0, 4)
)
needs_lists = st.lists(
    st.tuples(amounts, st.floats(0.01, 100.0)), min_size=1, max_size=25
)
capacities = st.builds(
    Resources, st.integers(1, 2000), st.integers(1, 2000), st.integers(0, 8)
)


def _usable(need, capacity):
    """Returns the need without resources of which there are none."""
    pairs = zip(need, capacity, strict=True)
    return Resources(*(amount if whole else 0 for amount, whole in pairs))


@seed(SEED)
@settings(max_examples=400, deadline=None, database=None)
@given(items=needs_lists, capacity=capacities)
def test_shares_never_exceed_capacity_and_are_max_min_fair(items, capacity):
    """Guards against shares that together exceed a resource, or that waste one.

    An account gets less than its need only if a resource that it needs is used up, and
    no account that uses that resource rose further in proportion to its weight.
    """
    needs = {f"a{n}": _usable(need, capacity) for n, (need, _) in enumerate(items)}
    weights = {f"a{n}": weight for n, (_, weight) in enumerate(items)}
    due = due_shares(needs, weights, capacity)
    full = {name: dominant_share(need, capacity) for name, need in needs.items()}
    taken = [0.0, 0.0, 0.0]
    for name, need in needs.items():
        assert 0 <= due[name] <= full[name] + ROUNDING
        for number, amount in enumerate(need):
            if amount:
                taken[number] += due[name] / full[name] * amount / capacity[number]
    assert all(share <= 1 + ROUNDING for share in taken)
    for name, need in needs.items():
        if due[name] >= full[name] - ROUNDING:
            continue
        exhausted = [n for n, a in enumerate(need) if a and taken[n] > 1 - 1e-6]
        assert any(
            all(
                due[other] / weights[other] <= due[name] / weights[name] * (1 + 1e-6)
                for other in needs
                if needs[other][number]
            )
            for number in exhausted
        )


class _CheckedOrder(FairOrder):
    """Checks before each turn of a deferred job that nobody below its share is passed.

    :ivar deferred_count: number of checked turns.
    """

    deferred_count = 0

    def turns(self, jobs, workers, now_s):
        shares = PlacementShares(
            self._usage, self._weights, jobs, workers.values(), now_s
        )
        turns = super().turns(jobs, workers, now_s)
        return self._checked(turns, shares, jobs, workers, now_s)

    def _checked(self, turns, shares, jobs, workers, now_s):
        for turn in turns:
            if not turn.held_workers and turn.allows is None:
                self.deferred_count += 1
                self._check(turn, shares, jobs, workers, now_s)
            yield turn

    def _check(self, turn, shares, jobs, workers, now_s):
        assert not shares.is_below(turn.job.account)
        rank = self._ranking.rank(turn.job, now_s)[:-2]
        free = [
            worker
            for worker in workers.values()
            if worker.accepts_tasks(now_s) and worker.id not in self.held()
        ]
        for job in jobs:
            if self._ranking.rank(job, now_s)[:-2] != rank:
                continue
            if not shares.is_below(job.account):
                continue
            for step in job.waiting_steps():
                fitting = choose_worker(free, step.waiting[0], now_s)
                assert fitting is None, f"{job.id} could be placed before {turn.job.id}"


class _AccountPool:
    """Jobs of several accounts on the workers of a service, drawn from a seed."""

    def __init__(self, number: int) -> None:
        self.random = random.Random(number)
        self.now_s = 100.0
        self.usage = AccountUsage()
        self.waiting = WaitingJobs()
        self.jobs_count = 0
        self.workers = {}
        for n in range(self.random.randint(2, 12)):
            worker = Worker(make_registration(f"w{n}"), 0.0)
            self.workers[worker.id] = worker
        names = [f"a{n}" for n in range(self.random.randint(2, 8))]
        fleet = make_fleet(**{name: self.random.uniform(0.2, 20) for name in names})
        self.names = [*names, ""]
        accounts = {account.name: account for account in fleet.accounts}
        ranking = JobRanking()
        ranking.has_accounts = True
        self.order = _CheckedOrder(SERVICE, 1, ranking, self.usage, NullRecorder())
        self.order.apply_weights(account_weights(accounts))
        self.placer = make_placer(self.workers)
        self.placer.order = self.order

    def step(self) -> None:
        """Ends some runs, submits jobs and places."""
        self.now_s += self.random.choice([0.1, 0.5])
        for worker in self.workers.values():
            worker.last_contact_s = self.now_s if self.random.random() < 0.95 else 0.0
            for run in list(worker.runs.values()):
                if self.random.random() < 0.4:
                    worker.remove(run)
                    run.task.run = None
                    run.task.is_done = True
                    self.waiting.add(run.task.job)
        flooding = self.random.choice(self.names)
        for name in self.names:
            for _ in range(self.random.randint(0, 8 if name == flooding else 2)):
                self._submit(name)
        self.placer.place(self.waiting, self.now_s)

    def _submit(self, account: str) -> None:
        choice = self.random.choice
        step = StepSpec(
            choice([1, 4, 8, 40]),
            Resources(choice([500, 1000, 5000]), choice([50, 4000, 30_000])),
            estimate_ms=800,
        )
        accepted_ms = int(self.now_s * 1000) - self.random.randint(0, 4000)
        row = JobRow(make_queue(), JobSpec("", (step,)), accepted_ms, account)
        job_id = f"j{self.jobs_count}"
        self.jobs_count += 1
        now_ms = int(self.now_s * 1000)
        job = Job(job_id, row, self.now_s, now_ms, usage=self.usage)
        job.is_excess = self.random.random() < 0.3
        job.start_due_occurrences(self.now_s, now_ms)
        self.waiting.add(job)


@pytest.mark.parametrize("number", range(POOLS_COUNT))
def test_no_account_below_its_share_waits_while_another_exceeds_its_own(number):
    """Guards against a job beyond a share placed before one that is within a share."""
    pool = _AccountPool(SEED * POOLS_COUNT + number)
    for _ in range(ROUNDS_COUNT):
        pool.step()
        for worker in pool.workers.values():
            assert worker.registration.capacity.covers(worker.used)
    assert pool.order.deferred_count


def test_a_flooding_account_exceeds_its_share_by_one_step_at_most():
    """Guards against a job of many tasks that takes the whole service."""
    pool = _AccountPool(SEED)
    step = StepSpec(500, Resources(100, 10), estimate_ms=800)
    now_ms = int(pool.now_s * 1000)
    for account in pool.names[:2]:
        row = JobRow(make_queue(), JobSpec("", (step,)), now_ms, account)
        job = Job(f"{account}-j", row, pool.now_s, now_ms, usage=pool.usage)
        job.start_due_occurrences(pool.now_s, now_ms)
        pool.waiting.add(job)
    for worker in pool.workers.values():
        worker.last_contact_s = pool.now_s
    jobs = pool.waiting.jobs()
    shares = PlacementShares(
        pool.usage, pool.order._weights, jobs, pool.workers.values(), pool.now_s
    )
    for turn in FairOrder.turns(pool.order, jobs, pool.workers, pool.now_s):
        if turn.allows is None:
            break
        for step in turn.steps:
            for number, task in enumerate(step.waiting):
                if not turn.allows(step, number > 0):
                    break
                pool.usage.add(turn.job.account, task.spec)
    for account in pool.names[:2]:
        limit = shares.due_share(account) + STEP_OVERSHOOT_RATIO + 0.02
        assert shares.due_share(account) <= shares.in_use(account) <= limit
