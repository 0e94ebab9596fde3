"""Tests of refusals under whole loads: an owner, its reports and an entry host."""

from collections import Counter

import pytest

from standins.service_driver import (
    SERVICE,
    ServiceDriver,
    Site,
    make_fleet,
    make_registration,
    make_step,
)
from sycamorecroft.node.admission_publisher import AdmissionPublisher, should_store
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.rows import JobState
from sycamorecroft.serving.admission import Admission

STEP_S = 0.1
TASK_S = 0.8
# Three times the objective of 1.6 times the critical path and 0.6 s.
USEFUL_S = 3 * (1.6 * TASK_S + 0.6)
# Four workers of 8 cores carry four jobs of 8 tasks a second, since the end of a task
# is known two steps after it.
JOB = make_step(8)
JOBS_PER_S = 4
FLEET = make_fleet(north=2.0, south=1.0)
# From the first arrivals on, over the first report, its effect and its renewals.
FIRST_EFFECT_S = 2.0
FAILURE_TIMES_S = (0.5, 0.8, 1.1, 1.4, 2.0, 3.3, 5.0, 10.0)


class _Load:
    """Jobs sent through one entry host, which an owner may refuse.

    ``sent``, ``refused`` and ``in_time`` count jobs by account.
    """

    def __init__(self, fleet=FLEET):
        self.site = Site(workers_count=4)
        self.fleet = fleet
        self.admission = Admission(self.site.clock)
        self.sent, self.refused, self.in_time = Counter(), Counter(), Counter()
        self.is_feed_stalled = False
        self._due = Counter()
        self._begun: dict[str, float] = {}
        self._open: dict[str, float] = {}
        self._feed_version = 0
        self.take_over(1)

    def take_over(self, epoch):
        self.driver = ServiceDriver(self.site, epoch, fleet=self.fleet)
        version = self.site.tables.row(OWNERS_TABLE, ROW_KEY, SERVICE).version
        claim = ServiceClaim(SERVICE, epoch, version, None, 0)
        self.publisher = AdmissionPublisher(self.site.tables, claim)
        self.stored = None

    def run(self, duration_s, **jobs_per_s):
        for counts in (self.sent, self.refused, self.in_time):
            counts.clear()
        for _ in range(round(duration_s / STEP_S)):
            for account, rate in jobs_per_s.items():
                self._send(account, rate * STEP_S)
            self.driver.step()
            self._finish_runs()
            self._publish()
            self._read_feed()
            self.site.advance(STEP_S)

    def _send(self, account, count):
        self._due[account] += count
        while self._due[account] >= 1:
            self._due[account] -= 1
            self.sent[account] += 1
            number = sum(self.sent.values())
            job_id = f"{account}-{self.site.clock.monotonic_s():.1f}-{number}"
            if self.admission.find_refusal(SERVICE, account, job_id):
                self.refused[account] += 1
                continue
            self.site.submit(job_id, JOB, account=account)
            self._open[job_id] = self.site.clock.monotonic_s()

    def _finish_runs(self):
        now_s = self.site.clock.monotonic_s()
        for worker in self.site.workers.values():
            for task in list(worker.running):
                if now_s - self._begun.setdefault(task, now_s) >= TASK_S:
                    worker.finish(task, RunOutcome.DONE)
        for job_id, sent_s in list(self._open.items()):
            if self.site.state(job_id) is JobState.COMPLETE:
                del self._open[job_id]
                if now_s - sent_s <= USEFUL_S:
                    self.in_time[job_id.partition("-")[0]] += 1

    def _publish(self):
        now_s = self.site.clock.monotonic_s()
        report = self.driver.scheduler.admission_report(self.stored, now_s)
        if should_store(report, self.stored):
            self.publisher.store(report)
            self.stored = report

    def _read_feed(self):
        if self.is_feed_stalled:
            return
        scan = self.site.tables.changes(
            OWNERS_TABLE, after_version=self._feed_version, wait_s=0.0
        )
        self._feed_version = scan.version
        self.admission.apply_rows(scan.rows)


def test_only_the_flooding_account_is_refused():
    """Guards against refusals of an account within its rate, and against a backlog of
    jobs that end too late to be of use.
    """
    load = _Load()
    load.run(10, north=2, south=15)
    load.run(20, north=2, south=15)
    assert not load.refused["north"]
    assert load.in_time["north"] >= 38
    assert load.refused["south"] >= 0.5 * load.sent["south"]
    # What is admitted uses what others leave, and most of it ends in time.
    admitted_count = load.sent["south"] - load.refused["south"]
    assert load.in_time["south"] >= 0.6 * admitted_count
    assert sum(load.in_time.values()) >= 0.9 * JOBS_PER_S * 20


def test_rate_of_a_flooding_account_is_admitted():
    """Guards against a refusal of more than what is beyond the account's rate, when
    accounts within their rates take the whole capacity.
    """
    load = _Load(make_fleet(north=5.0, south=2.0))
    load.run(10, north=5, south=15)
    load.run(20, north=5, south=15)
    assert not load.refused["north"]
    assert load.sent["south"] - load.refused["south"] >= 2 * 20


def test_all_accounts_flood():
    """Guards against an account that isn't refused, or not admitted, among others that
    flood too.
    """
    load = _Load()
    load.run(10, north=15, south=15)
    load.run(20, north=15, south=15)
    for account, weight in (("north", 2), ("south", 1)):
        assert load.refused[account] >= 0.5 * load.sent[account]
        assert load.sent[account] - load.refused[account] >= weight * 20
    assert sum(load.in_time.values()) >= 0.9 * JOBS_PER_S * 20


def test_refusals_end_with_the_flood():
    """Guards against an account that is refused after it is within its rate again."""
    load = _Load()
    load.run(10, north=2, south=15)
    assert load.refused["south"]
    load.run(3, north=2, south=1)
    load.run(20, north=2, south=1)
    assert not load.refused
    assert load.in_time["south"] >= 19


def test_excess_jobs_are_admitted_while_capacity_is_free():
    """Guards against refusals of jobs that could be served."""
    load = _Load()
    load.run(20, north=1, south=3)
    assert not load.refused
    assert load.site.tables.row(OWNERS_TABLE, "admission", SERVICE) is None


def test_without_accounts_nothing_is_published():
    """Guards against refusals and store calls at a site without client accounts."""
    load = _Load(make_fleet()._replace(accounts=None))
    load.run(10, north=20)
    assert not load.refused
    assert load.site.tables.row(OWNERS_TABLE, "admission", SERVICE) is None


@pytest.mark.parametrize("after_s", FAILURE_TIMES_S)
def test_stalled_feed_ends_refusals(after_s):
    """Guards against refusals by a report of which nothing shows that it holds."""
    load = _Load()
    load.run(after_s, north=2, south=15)
    assert load.refused or after_s < FIRST_EFFECT_S
    load.is_feed_stalled = True
    load.run(2, south=15)
    load.run(2, south=15)
    assert not load.refused


@pytest.mark.parametrize("after_s", FAILURE_TIMES_S)
def test_new_owner_ends_refusals_of_the_former_one(after_s):
    """Guards against refusals by the report of a former owner, and against a new owner
    that takes the jobs it reads at its start for a flood.
    """
    load = _Load()
    load.run(after_s, north=2, south=15)
    assert load.refused or after_s < FIRST_EFFECT_S
    load.take_over(2)
    load.run(0.1)
    load.run(5, north=2, south=1)
    assert not load.refused
    load.run(10, south=15)
    assert load.refused["south"]


def test_lost_workers_count_as_lost_capacity():
    """Guards against jobs admitted for workers that are gone."""
    load = _Load(make_fleet(south=1.0))
    load.run(20, south=3.5)
    assert not load.refused
    for name in ("w0", "w2"):
        load.site.registrations[name] = make_registration(name, is_draining=True)
    load.run(20, south=3.5)
    assert load.refused["south"]
