"""Tests of an account's limit across two services, named by load or fault."""

import queue

import pytest
from structlog.testing import capture_logs

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import make_queue, make_registration, make_step
from sycamorecroft.clock import ManualClock
from sycamorecroft.metrics import QUOTA_REFUSALS, QUOTA_WRITES
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import (
    ClientAccount,
    FleetSnapshot,
    JobSpec,
    Resources,
    Service,
)
from sycamorecroft.scheduling.placement_explanation import LeftReason
from sycamorecroft.scheduling.placement_order import PlacementOrder, Turn
from sycamorecroft.scheduling.placement_question import (
    CopyPlacement,
    copy_placement,
    explain,
)
from sycamorecroft.scheduling.rows import (
    JobRow,
    encode_row,
    jobs_table,
    progress_table,
)
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.store.interfaces import Row, StorePurpose

ACCOUNT = "north"
TIMEOUT_S = 10.0
STEP_S = 0.25
# Steps within which a grant that another service doesn't use is passed on.
SETTLING_STEPS_COUNT = 12


class _Counts(Recorder):
    def __init__(self):
        self.counts = {}

    def count(self, metric, **attributes):
        name = (metric.name, attributes.get("outcome"))
        self.counts[name] = self.counts.get(name, 0) + 1

    def record(self, metric, duration_s, **attributes):
        pass


def _fleet(version, limit_cores, names=("a", "b")):
    """Returns a configuration; a limit of ``None`` is one without client accounts."""
    accounts = None
    if limit_cores is not None:
        limit = Resources(limit_cores * 1000, 0, 0)
        accounts = (ClientAccount(ACCOUNT, frozenset(), 100.0, 0, limit),)
    services = tuple(Service(name, False, False) for name in names)
    return FleetSnapshot(version, (), services, 0, 0, accounts=accounts)


class _Owner:
    """Owner of a service with ten workers of 8 cores; its runs end when a test says."""

    def __init__(self, site, name, epoch, fleet, former=None):
        self.site, self.name = site, name
        self.recorder = _Counts()
        self.scheduler = Scheduler(name, SchedulerSettings(), self.recorder, epoch)
        self.jobs = dict(former.jobs) if former else {}
        self.progress = dict(former.progress) if former else {}
        now_s = site.clock.monotonic_s()
        self.scheduler.apply_fleet(fleet, now_s)
        registrations = [
            make_registration(f"{name}{number}")._replace(service=name)
            for number in range(10)
        ]
        self.scheduler.reports.apply_registrations(registrations, now_s)
        self._results = queue.SimpleQueue()
        self.writer = QuotaWriter(
            site.tables, site.clock, self._results.put, self.recorder, name
        )
        self.writer.start()
        self._is_writing = False
        self._feed_version = 0
        if fleet.accounts is not None:
            self.read()
        jobs, progress = self.jobs.values(), self.progress.values()
        self.scheduler.load(jobs, progress, (), now_s, site.now_ms)

    def read(self):
        scan = self.site.tables.scan_part(
            QUOTAS_TABLE, QUOTAS_PART, purpose=StorePurpose.JOBS
        )
        self._feed_version = scan.version
        self.scheduler.quotas.apply_rows(scan.rows, self.site.clock.monotonic_s())

    def submit(self, job_id, tasks_count, account=ACCOUNT, **fields):
        spec = JobSpec("", (make_step(tasks_count, **fields),))
        job = JobRow(make_queue(), spec, self.site.now_ms, account)
        row = Row(jobs_table(self.name), job_id, encode_row(job), len(self.jobs) + 1)
        self.jobs[job_id] = row
        now_s = self.site.clock.monotonic_s()
        self.scheduler.apply_job_rows((row,), now_s, self.site.now_ms)

    def step(self):
        scheduler, now_s = self.scheduler, self.site.clock.monotonic_s()
        if not self.site.tables.is_unavailable:
            scan = self.site.tables.changes(
                QUOTAS_TABLE, after_version=self._feed_version, wait_s=0.0
            )
            self._feed_version = scan.version
            scheduler.quotas.apply_rows(scan.rows, now_s)
        for worker in scheduler.workers.values():
            worker.last_contact_s = now_s
        scheduler.tick(now_s, self.site.now_ms)
        self._write(now_s)
        scheduler.place(now_s)
        commit = scheduler.next_commit(now_s)
        for stored in commit.jobs if commit else ():
            value = encode_row(stored.progress)
            table = progress_table(self.name)
            self.progress[stored.job_id] = Row(table, stored.job_id, value, 1)
        self._write(now_s)

    def _write(self, now_s):
        write = self.scheduler.quotas.next_write(now_s)
        if write is not None:
            self.writer.submit(write)
            self._is_writing = True
        if self._is_writing and not self.site.tables.is_unavailable:
            result = self._results.get(timeout=TIMEOUT_S)
            self._is_writing = False
            self.scheduler.quotas.apply_result(result, now_s)

    def cores(self):
        return self.scheduler.usage.used(ACCOUNT).cpu_millicores / 1000

    def end_runs(self, count=None):
        """Ends all runs, or some, as when their workers report it."""
        runs = [run for job in self.scheduler.jobs.values() for run in job.runs()]
        for run in runs[:count]:
            self.scheduler.workers[run.worker_id].remove(run)
            run.task.run = None
            run.task.is_done = True

    def snapshot(self):
        return self.scheduler.snapshot(self.site.clock.monotonic_s())


class _Site:
    """Owners of two services; after each step, no account is above its limit."""

    def __init__(self, limit_cores):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.tables = MemoryPartitions()
        self.tables.faulty_table = QUOTAS_TABLE
        self.limit_cores = limit_cores
        self.version = 1
        self.owners = {name: self.own(name, 1) for name in "ab"}

    @property
    def now_ms(self):
        return int(self.clock.now().timestamp() * 1000)

    def own(self, name, epoch, former=None):
        return _Owner(self, name, epoch, _fleet(self.version, self.limit_cores), former)

    def apply_limit(self, limit_cores):
        self.version += 1
        self.limit_cores = limit_cores
        fleet = _fleet(self.version, limit_cores)
        for owner in self.owners.values():
            owner.scheduler.apply_fleet(fleet, self.clock.monotonic_s())

    def run_steps(self, count=SETTLING_STEPS_COUNT, *, is_checked=True):
        for _ in range(count):
            for owner in self.owners.values():
                owner.step()
                assert not is_checked or self.cores() <= self.limit_cores
            self.clock.advance(STEP_S)

    def cores(self):
        return sum(owner.cores() for owner in self.owners.values())

    def close(self):
        for owner in self.owners.values():
            owner.writer.close()


@pytest.fixture
def make_site():
    sites = []

    def make(limit_cores):
        sites.append(_Site(limit_cores))
        return sites[-1]

    yield make
    for site in sites:
        site.close()


class _OneTurn(PlacementOrder):
    def __init__(self, turn):
        self._turn = turn

    def turns(self, jobs, workers, now_s):
        return iter((self._turn,))

    def copy(self, jobs, ranking, usage):
        return self

    def held(self):
        return ()


def _flood(site, *names):
    for name in names or site.owners:
        site.owners[name].submit(f"flood-{name}", 80)


def test_both_services_flood(make_site):
    """Guards against two services that run more of an account than its limit."""
    site = make_site(20)
    _flood(site)
    site.run_steps()
    assert site.cores() == 20
    for owner in site.owners.values():
        owner.end_runs()
    site.run_steps()
    assert [owner.cores() for owner in site.owners.values()] == [10, 10]


def test_queue_whose_peak_begins_gets_its_grant(make_site):
    """Guards against a grant that stays unused while another service waits."""
    site = make_site(20)
    site.owners["a"].submit("calm", 20)
    site.run_steps()
    assert site.owners["a"].cores() == 20
    site.owners["a"].end_runs()
    _flood(site, "b")
    site.run_steps()
    # A service without need keeps the small grant with which each one starts.
    assert site.owners["b"].cores() == 15


def test_peak_begins_while_the_other_service_floods(make_site):
    """Guards against a flood that uses again each core that becomes free."""
    site = make_site(20)
    _flood(site, "a")
    site.run_steps()
    _flood(site, "b")
    for _ in range(20):
        site.owners["a"].end_runs(1)
        site.run_steps(1)
    assert site.owners["b"].cores() >= 9


def test_owner_is_replaced_while_its_service_floods(make_site):
    """Guards against a grant that two owners of a service use at once."""
    site = make_site(20)
    _flood(site)
    site.run_steps()
    former = site.owners["a"]
    before_cores = former.cores()
    site.owners["a"] = site.own("a", 2, former)
    assert site.owners["a"].cores() == before_cores
    site.run_steps()
    former.end_runs()
    former.submit("late", 8)
    former.step()
    assert former.cores() == 0
    site.owners["b"].end_runs()
    site.run_steps()
    assert site.cores() == 20
    former.writer.close()


@pytest.mark.parametrize("fault", ["unavailable", "lost answer", "delayed"])
def test_store_fails_while_both_flood(make_site, fault):
    """Guards against grants that are used before they are stored, or lost."""
    site = make_site(20)
    _flood(site)
    site.run_steps(2)
    if fault == "unavailable":
        site.tables.is_unavailable = True
        before_cores = site.cores()
        site.run_steps()
        # A write in flight doesn't raise the grant before it is known to be stored.
        assert site.cores() == before_cores
        site.tables.is_unavailable = False
    elif fault == "lost answer":
        site.tables.lost_responses_count = 3
    else:
        site.tables.delayed_count = 2
        site.run_steps(1)
        site.tables.apply_delayed()
    site.run_steps()
    assert site.cores() == 20


def test_limit_is_lowered_below_what_runs(make_site):
    """Guards against starts while an account runs more than its new limit."""
    site = make_site(20)
    _flood(site)
    site.run_steps()
    site.apply_limit(8)
    site.run_steps(is_checked=False)
    assert site.cores() == 20
    site.owners["a"].end_runs()
    site.run_steps(is_checked=False)
    if site.cores() > 8:
        assert site.owners["a"].cores() == 0
    site.owners["b"].end_runs()
    site.run_steps()
    assert site.cores() == 8


def test_configuration_gains_accounts_while_services_are_owned(make_site):
    """Guards against a limit that takes effect only with the next owner."""
    site = make_site(None)
    _flood(site)
    site.run_steps(2, is_checked=False)
    assert site.cores() == 160
    site.apply_limit(20)
    for owner in site.owners.values():
        owner.read()
        owner.submit("more", 8)
    site.run_steps(is_checked=False)
    for owner in site.owners.values():
        owner.end_runs()
    site.run_steps()
    assert 0 < site.cores() <= 20


def test_without_accounts_nothing_is_written(make_site):
    """Guards against store calls in deployments without client accounts."""
    site = make_site(None)
    site.owners["a"].submit("keyless", 8, account="")
    _flood(site)
    site.run_steps(2, is_checked=False)
    assert site.tables.transactions_count == 0
    assert not any(owner.recorder.counts for owner in site.owners.values())


def test_jobs_without_an_account_and_steps_behind_start(make_site):
    """Guards against a limit of one account that keeps other jobs from running."""
    site = make_site(2)
    owner = site.owners["a"]
    _flood(site, "a")
    owner.submit("z-keyless", 8, account="")
    owner.submit("z-gang", 4, is_gang=True)
    site.run_steps()
    assert len(owner.scheduler.jobs["z-keyless"].runs()) == 8
    assert owner.cores() == 2
    assert not owner.scheduler.jobs["z-gang"].runs()


def test_gang_runs_whole_or_not_at_all(make_site):
    """Guards against members of a gang that are started beyond the limit."""
    site = make_site(6)
    owner = site.owners["a"]
    owner.submit("wide", 8, is_gang=True)
    site.run_steps()
    assert owner.cores() == 0
    owner.submit("narrow", 6, is_gang=True)
    site.run_steps()
    assert owner.cores() == 6


@pytest.mark.parametrize("is_gang", [False, True], ids=["tasks", "gang"])
def test_refused_steps_are_not_passed_over(make_site, is_gang):
    """Guards against workers that are held for a step which may not start."""
    site = make_site(4)
    owner = site.owners["a"]
    owner.submit("large", 8, is_gang=is_gang)
    # Refused until its first grant is stored.
    job = owner.scheduler.jobs["large"]
    turn = Turn(job, job.waiting_steps(), lambda step, is_begun: True)
    placer = owner.scheduler._placer
    placer.order = _OneTurn(turn)
    now_s = site.clock.monotonic_s()
    for worker in owner.scheduler.workers.values():
        worker.last_contact_s = now_s
    owner.scheduler.place(now_s)
    assert owner.cores() == 0
    assert turn.unplaced == ()


def test_waiting_for_the_limit_is_no_demand_and_is_told(make_site):
    """Guards against hosts that are moved to a pool which can't use them."""
    site = make_site(4)
    owner = site.owners["a"]
    with capture_logs() as logs:
        _flood(site, "a")
        site.run_steps()
    assert owner.cores() == 4
    snapshot = owner.snapshot()
    assert snapshot.waiting == Resources()
    assert snapshot.arriving_millicores == 0
    lines = [line for line in logs if line["event"] == "account_quota"]
    assert lines[-1]["accounts"][ACCOUNT]["limit"] == Resources(4000, 0, 0)
    assert lines[-1]["accounts"][ACCOUNT]["used"].cpu_millicores == 4000
    # At most one line a second.
    assert len(lines) <= SETTLING_STEPS_COUNT * STEP_S + 1
    assert owner.recorder.counts[QUOTA_REFUSALS.name, None]
    assert owner.recorder.counts[QUOTA_WRITES.name, "stored"]
    question = CopyPlacement("flood-a", None, float("inf"))
    copied = copy_placement(owner.scheduler, question, site.clock)
    (step,) = explain(copied, lambda: False).steps
    assert [(left.reason, left.tasks_count) for left in step.left] == [
        (LeftReason.ACCOUNT_LIMIT, 76)
    ]
