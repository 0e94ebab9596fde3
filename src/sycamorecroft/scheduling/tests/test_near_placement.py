"""Tests of waits for workers near the data, named by load and failure.

Most tasks prefer the rack r0; r1 has the other workers. Workers have eight cores, and
tasks one. A task takes 0.8 s by estimate, and three times as long far from its data, so
that a far run always misses its objective, 1.88 s: a task may wait for the gain, 1.6 s.
"""

from collections import Counter

import pytest
from structlog.testing import capture_logs

from standins.memory_worker import MemoryWorker
from standins.service_driver import (
    ServiceDriver,
    Site,
    make_fleet,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.metrics import RACK_START_TIME
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.near_wait import PLACEMENT_MARGIN_S
from sycamorecroft.scheduling.run_durations import EXTRA_RATIO_LIMIT

STEP_S = 0.1
TASK_S = 0.8
GAIN_S = 1.6
# Stored, ordered and listed in steps of the driver.
DELAY_S = 0.25
NEAR_RACK = "r0"


class _Recorder(Recorder):
    """Counts the recorded durations by distance."""

    def __init__(self):
        self.starts = Counter()

    def count(self, metric, **attributes):
        pass

    def record(self, metric, duration_s, **attributes):
        if metric is RACK_START_TIME:
            self.starts[attributes["distance"]] += 1


class _RackSite:
    """Site whose runs take as long as the test says, with successive owners."""

    def __init__(self, *, near_count=1, far_count=1, slowdown_ratio=3.0, fleet=None):
        self.site = Site(workers_count=0)
        for number in range(near_count + far_count):
            rack = NEAR_RACK if number < near_count else "r1"
            name = f"w{number}"
            self.site.workers[name] = MemoryWorker()
            self.site.registrations[name] = make_registration(name, rack=rack)
        self.racks_of_workers = {
            name: registration.rack
            for name, registration in self.site.registrations.items()
        }
        self.slowdown_ratio = slowdown_ratio
        self.fleet = fleet
        self.recorder = _Recorder()
        self.durations_s = {}
        self.racks = {}
        self.started_s = {}
        self.ended = set()
        self.epoch = 0
        self.take_over()

    def take_over(self):
        """Lets a new owner follow; the former one does nothing more."""
        self.epoch += 1
        self.owner = ServiceDriver(
            self.site,
            self.epoch,
            fleet=self.fleet,
            slowdown_ratio=self.slowdown_ratio,
            recorder=self.recorder,
        )

    def submit(self, job_id, tasks_count, *, duration_s=TASK_S, rack=NEAR_RACK, **step):
        self.durations_s[job_id] = duration_s
        self.racks[job_id] = rack
        queue, account = step.pop("queue", None), step.pop("account", "")
        fields = {"preferred_rack": rack} | step
        made = make_step(tasks_count)._replace(**fields)
        self.site.submit(job_id, made, queue=queue, account=account)

    @property
    def now_s(self):
        return self.site.clock.monotonic_s()

    def run(self, duration_s, *, owner_steps=True):
        """Steps the owner and ends the runs whose time is over."""
        for _ in range(round(duration_s / STEP_S)):
            if owner_steps:
                self.owner.step()
            self.site.advance(STEP_S)
            for name, worker in self.site.workers.items():
                self._end_runs(name, worker)

    def _end_runs(self, name, worker):
        for task in list(worker.running):
            # A run is seen at the end of the step in which it started.
            run = (name, task, worker.running[task])
            started_s = self.started_s.setdefault(run, self.now_s - STEP_S)
            duration_s = self.durations_s[task.split(".")[0]]
            if self.is_far(name, task):
                duration_s *= self.slowdown_ratio
            if self.now_s >= started_s + duration_s and not worker.is_unreachable:
                worker.finish(task, RunOutcome.DONE)
                self.ended.add(task)

    def is_far(self, worker, task):
        preferred = self.racks.get(task.split(".")[0], "")
        return preferred not in ("", self.racks_of_workers[worker])

    def starts(self, job_id):
        """Returns the times of the first starts of the job's tasks, by distance."""
        starts = {"near": [], "far": []}
        for (worker, task, attempt), started_s in self.started_s.items():
            if task.startswith(f"{job_id}.") and attempt == 1:
                distance = "far" if self.is_far(worker, task) else "near"
                starts[distance].append(started_s)
        return starts


def _fill_rack(rack_site, *, duration_s=TASK_S):
    """Fills the rack with tasks that take ``duration_s``."""
    job_id = f"filler{int(rack_site.now_s * 1000)}"
    rack_site.submit(job_id, 8, duration_s=duration_s)
    rack_site.run(3 * STEP_S)
    assert len(rack_site.site.workers["w0"].running) == 8


def test_task_waits_for_its_rack_while_it_ends_earlier_there():
    """Guards against far runs of tasks whose rack is about to free a place."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    rack_site.submit("j", 4)
    rack_site.run(1.5)
    starts = rack_site.starts("j")
    assert len(starts["near"]) == 4
    assert not starts["far"]
    assert rack_site.recorder.starts == {"near": 12}


def test_task_of_an_account_waits_for_its_rack_and_ends_its_wait():
    """Guards against waits that the order by shares begins anew or never ends."""
    rack_site = _RackSite(fleet=make_fleet(north=1.0, south=1.0))
    _fill_rack(rack_site)
    rack_site.submit("j", 4, account="north")
    rack_site.run(1.5)
    assert len(rack_site.starts("j")["near"]) == 4
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("k", 4, account="south")
    accepted_s = rack_site.now_s
    rack_site.run(3.0)
    starts_s = rack_site.starts("k")["far"]
    assert len(starts_s) == 4
    assert accepted_s + 1.0 < min(starts_s)
    assert max(starts_s) <= accepted_s + GAIN_S + DELAY_S


def test_nothing_waits_without_a_slowdown():
    """Guards against waits on deployments whose settings don't ask for them."""
    rack_site = _RackSite(slowdown_ratio=1.0)
    _fill_rack(rack_site)
    rack_site.submit("j", 4)
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("j")["far"]) == 4


def test_many_jobs_that_want_one_rack_are_placed_far_beyond_its_queue():
    """Guards against a hot rack whose queue is longer than what its tasks gain."""
    rack_site = _RackSite(far_count=8)
    _fill_rack(rack_site)
    for number in range(6):
        rack_site.submit(f"j{number}", 8)
    rack_site.run(2 * STEP_S)
    far_count = sum(len(rack_site.starts(f"j{n}")["far"]) for n in range(6))
    # The rack ends eight tasks by 0.8 s and by 1.6 s, which is the gain.
    assert 48 - 16 <= far_count < 48
    rack_site.run(6.0)
    assert len(rack_site.ended) == 56


def test_tasks_wait_in_the_order_of_their_ranks():
    """Guards against a wait for a place that goes to jobs which rank before."""
    rack_site = _RackSite(far_count=4)
    _fill_rack(rack_site)
    rack_site.submit("urgent", 16, queue=make_queue(priority=0))
    rack_site.submit("other", 8, queue=make_queue(priority=1))
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("other")["far"]) == 8
    assert not rack_site.starts("urgent")["far"]


def test_task_waits_behind_those_that_fit_nowhere():
    """Guards against a wait for places that a large task before it takes."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    rack_site.submit("half", 1, rack="r1", duration_s=30.0)
    rack_site.run(2 * STEP_S)
    # Each needs the whole rack, one after the other, and fits nowhere now.
    whole = make_step(1)._replace(demand=Resources(8000, 100), preferred_rack=NEAR_RACK)
    for job_id in ("first", "second", "third", "fourth"):
        rack_site.durations_s[job_id] = TASK_S
        rack_site.site.submit(job_id, whole, queue=make_queue(priority=0))
    rack_site.submit("j", 4, queue=make_queue(priority=1))
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("j")["far"]) == 4


def test_full_pool_places_each_task_where_its_data_is():
    """Guards against far runs that take a place from a task near its data."""
    rack_site = _RackSite()
    rack_site.submit("a", 8)
    rack_site.submit("b", 8, rack="r1")
    rack_site.run(3 * STEP_S)
    rack_site.submit("a2", 8)
    rack_site.submit("b2", 8, rack="r1")
    rack_site.run(2.5)
    assert not rack_site.starts("a2")["far"]
    assert not rack_site.starts("b2")["far"]
    assert len(rack_site.ended) == 32


def test_waiting_task_holds_no_place():
    """Guards against free resources that nobody uses while a task waits."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    rack_site.submit("j", 8)
    rack_site.run(2 * STEP_S)
    rack_site.submit("other", 8, rack="", duration_s=0.3)
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("other")["near"]) == 8
    assert not rack_site.starts("j")["far"]


def test_waiting_tasks_are_demand_of_the_pool():
    """Guards against a pool that isn't enlarged since its tasks wait for a rack."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    rack_site.submit("j", 8)
    rack_site.run(2 * STEP_S)
    snapshot = rack_site.owner.scheduler.snapshot(rack_site.now_s)
    assert snapshot.waiting.cpu_millicores == 8000


def test_placement_is_due_when_a_wait_ends():
    """Guards against a wait that lasts until the next tick or event."""
    rack_site = _RackSite(slowdown_ratio=2.0)
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.run(0.4)
    rack_site.submit("j", 1)
    rack_site.owner.step()
    scheduler = rack_site.owner.scheduler
    accepted_s = rack_site.now_s
    limit_s = accepted_s + 1.88 - 2 * TASK_S - PLACEMENT_MARGIN_S
    run = next(iter(scheduler.jobs["j"].tasks.values()))
    scheduler.place(limit_s - 0.01)
    assert run.run is None
    scheduler.place(limit_s + 0.01)
    assert run.run is not None
    assert run.run.is_far


def test_wait_of_a_job_ends_early_enough_for_a_far_run():
    """Guards against a wait that makes a job miss the objective a far run meets."""
    rack_site = _RackSite(slowdown_ratio=2.0)
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.run(0.4)
    rack_site.submit("j", 1)
    accepted_s = rack_site.now_s
    rack_site.run(2.5)
    starts_s = rack_site.starts("j")["far"]
    assert len(starts_s) == 1
    assert starts_s[0] > accepted_s
    assert starts_s[0] + 2 * TASK_S <= accepted_s + 1.6 * TASK_S + 0.6
    assert "j.0.0.0" in rack_site.ended


def _assert_starts_in_time(rack_site, accepted_s, tasks_count):
    """Asserts that no task of job ``j`` waited for longer than the gain."""
    starts = rack_site.starts("j")
    starts_s = starts["near"] + starts["far"]
    assert len(starts_s) == tasks_count
    assert max(starts_s) <= accepted_s + GAIN_S + DELAY_S


MOMENTS_S = [n * STEP_S for n in range(0, 18, 2)]


@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_dark_rack_ends_the_wait(moment_s):
    """Guards against tasks that wait for a rack which has lost its connection."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("j", 4)
    accepted_s = rack_site.now_s
    rack_site.run(moment_s)
    rack_site.site.workers["w0"].is_unreachable = True
    rack_site.run(5.0 - moment_s)
    _assert_starts_in_time(rack_site, accepted_s, 4)
    assert len(rack_site.starts("j")["far"]) == 4


@pytest.mark.parametrize("moment_s", MOMENTS_S)
@pytest.mark.parametrize("change", ["drains", "moves", "is_reserved"])
def test_workers_that_leave_the_rack_end_the_wait(change, moment_s):
    """Guards against tasks that wait for workers which take no more tasks."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("j", 4)
    accepted_s = rack_site.now_s
    rack_site.run(moment_s)
    registrations = rack_site.site.registrations
    if change == "drains":
        registrations["w0"] = registrations["w0"]._replace(is_draining=True)
    elif change == "moves":
        del registrations["w0"], rack_site.site.workers["w0"]
        registrations["w9"] = make_registration("w9", rack="r9")
        rack_site.site.workers["w9"] = MemoryWorker()
    else:
        rack_site.owner.scheduler.workers["w0"].is_reserved = True
    changed_s = rack_site.now_s
    rack_site.run(3.0)
    starts_s = rack_site.starts("j")["far"]
    assert len(starts_s) == 4
    latest_s = min(accepted_s + GAIN_S, changed_s) + DELAY_S
    assert max(starts_s) <= latest_s


def test_estimates_too_low_by_a_factor_of_ten_do_not_prolong_the_wait():
    """Guards against a wait for runs that take much longer than expected."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=10 * TASK_S)
    rack_site.submit("j", 8, duration_s=10 * TASK_S)
    accepted_s = rack_site.now_s
    rack_site.run(3.0)
    _assert_starts_in_time(rack_site, accepted_s, 8)


def test_wait_is_bounded_once_estimates_proved_too_low():
    """Guards against waits as long as the runs of another queue."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=10 * TASK_S)
    rack_site.run(10 * TASK_S)
    _fill_rack(rack_site, duration_s=10 * TASK_S)
    rack_site.submit("j", 4)
    accepted_s = rack_site.now_s
    rack_site.run(9.0)
    starts = rack_site.starts("j")
    starts_s = starts["near"] + starts["far"]
    assert len(starts_s) == 4
    assert max(starts_s) <= accepted_s + EXTRA_RATIO_LIMIT * GAIN_S + DELAY_S


def test_estimates_too_high_by_a_factor_of_ten_do_not_keep_tasks_from_waiting():
    """Guards against far runs since the rack seems to be full for long."""
    rack_site = _RackSite()
    for number in range(2):
        rack_site.submit(f"filler{number}", 8, estimate_ms=8000)
        rack_site.run(1.2)
    rack_site.submit("filler2", 8, estimate_ms=8000)
    rack_site.run(3 * STEP_S)
    rack_site.submit("j", 4, estimate_ms=8000)
    rack_site.run(1.5)
    assert len(rack_site.starts("j")["near"]) == 4


@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_new_owner_continues_the_wait(moment_s):
    """Guards against a wait that starts again with each owner."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("j", 4)
    accepted_s = rack_site.now_s
    rack_site.run(moment_s)
    rack_site.run(STEP_S, owner_steps=False)
    rack_site.take_over()
    rack_site.run(3.0 - moment_s)
    _assert_starts_in_time(rack_site, accepted_s, 4)
    assert len(rack_site.starts("j")["far"]) == 4


def test_new_owner_knows_since_when_a_later_step_waits():
    """Guards against later steps whose wait starts again with each owner."""
    rack_site = _RackSite()
    rack_site.durations_s["j"] = 0.3
    first = make_step(2, preferred_rack="r1")
    second = make_step(2, preferred_rack=NEAR_RACK, after=(0,))
    rack_site.submit("filler", 8, duration_s=30.0, estimate_ms=30_000)
    rack_site.submit("full", 6, duration_s=30.0, rack="r1")
    rack_site.run(3 * STEP_S)
    rack_site.site.submit("j", first, second)
    rack_site.run(3 * STEP_S)
    rack_site.submit("more", 2, duration_s=30.0, rack="r1")
    rack_site.run(1.0)
    waiting = rack_site.owner.scheduler.jobs["j"].waiting_steps()[0].waiting[0]
    since_s = waiting.waiting_since_s
    rack_site.run(0.5, owner_steps=False)
    rack_site.take_over()
    restored = rack_site.owner.scheduler.jobs["j"].waiting_steps()[0].waiting[0]
    assert restored.id == waiting.id
    assert restored.waiting_since_s == pytest.approx(since_s, abs=DELAY_S)
    assert rack_site.now_s - restored.waiting_since_s > 0.5


@pytest.mark.parametrize(
    "fields",
    [{"is_gang": True}, {"is_rack_local": True}, {"tasks_per_worker_limit": 8}],
    ids=lambda fields: next(iter(fields)),
)
def test_steps_that_are_not_covered_are_placed_at_once(fields):
    """Guards against a wait whose end can't be expected."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    rack_site.submit("j", 4, **fields)
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("j")["far"]) == 4


def _rack_local_site(**fields):
    """Returns a site with eight places free on r0 and 14 on two fuller workers of r1.

    The emptiest worker is that of r0.
    """
    rack_site = _RackSite(near_count=1, far_count=2, **fields)
    for job_id in ("filler-0", "filler-1"):
        rack_site.submit(job_id, 1, rack="r1", duration_s=30.0)
        rack_site.run(3 * STEP_S)
    assert [_workers_of(rack_site, "filler-0"), _workers_of(rack_site, "filler-1")] == [
        {"w1"},
        {"w2"},
    ]
    return rack_site


def _workers_of(rack_site, job_id):
    return {
        name
        for name, worker in rack_site.site.workers.items()
        for task in worker.running
        if task.startswith(f"{job_id}.")
    }


def test_rack_local_step_is_placed_on_a_rack_that_holds_all_of_it():
    """Guards against a step that is split since the emptiest worker's rack is small."""
    rack_site = _rack_local_site()
    rack_site.submit("j", 12, rack="", is_rack_local=True)
    rack_site.run(3 * STEP_S)
    assert _workers_of(rack_site, "j") == {"w1", "w2"}


def test_rack_local_step_that_fits_on_no_rack_is_placed_at_once():
    """Guards against a step that waits for a rack which can't hold it."""
    rack_site = _rack_local_site()
    rack_site.submit("j", 20, rack="", is_rack_local=True)
    rack_site.run(3 * STEP_S)
    assert _workers_of(rack_site, "j") == {"w0", "w1", "w2"}


def test_rack_of_a_rack_local_step_has_the_required_label():
    """Guards against a rack whose free workers may not run the step."""
    rack_site = _rack_local_site()
    registrations = rack_site.site.registrations
    registrations["w1"] = registrations["w1"]._replace(labels=("b", "r1"))
    registrations["w2"] = registrations["w2"]._replace(labels=("b", "r1"))
    rack_site.submit("j", 7, rack="", is_rack_local=True, required_label="a")
    rack_site.run(3 * STEP_S)
    assert _workers_of(rack_site, "j") == {"w0"}


def test_rack_local_step_is_placed_as_before_without_a_slowdown():
    """Guards against other racks on deployments whose settings don't ask for them."""
    rack_site = _rack_local_site(slowdown_ratio=1.0)
    rack_site.submit("j", 12, rack="", is_rack_local=True)
    rack_site.run(3 * STEP_S)
    assert "w0" in _workers_of(rack_site, "j")


def test_rack_without_workers_is_not_waited_for():
    """Guards against a wait for a rack that the pool doesn't have."""
    rack_site = _RackSite()
    rack_site.submit("j", 4, rack="r7")
    rack_site.run(2 * STEP_S)
    assert len(rack_site.started_s) == 4


def test_slow_worker_near_the_data_is_not_waited_for():
    """Guards against a wait for a worker that ranks after those far away."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    worker = rack_site.owner.scheduler.workers["w0"]
    for job in ("x", "y"):
        worker.record_failure(job, 0.0)
    rack_site.submit("j", 4)
    rack_site.run(2 * STEP_S)
    assert len(rack_site.starts("j")["far"]) == 4


def test_far_runs_do_not_make_a_worker_slow():
    """Guards against healthy workers that rank last after they ran far tasks."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("j", 8)
    rack_site.run(6.0)
    assert len(rack_site.starts("j")["far"]) == 8
    assert sum(task.startswith("j.") for task in rack_site.ended) == 8
    ratio = rack_site.owner.scheduler.workers["w1"].time_ratio
    assert ratio == pytest.approx(1.0, abs=0.3)


def test_wait_is_logged_with_its_rack_and_latest_time():
    """Guards against a task that waits and nobody can tell why."""
    rack_site = _RackSite()
    _fill_rack(rack_site)
    with capture_logs() as lines:
        rack_site.submit("j", 8)
        rack_site.run(0.5)
    decided = [line for line in lines if line["event"] == "near_wait_decided"]
    assert len(decided) == 1
    line = decided[0]
    assert (line["rack"], line["reason"], line["is_waiting"]) == (
        NEAR_RACK,
        "sooner",
        True,
    )
    assert line["waited_s"] == 0
    assert line["wait_left_s"] == pytest.approx(GAIN_S)
    assert line["near_start_s"] < line["wait_left_s"]


def test_far_starts_are_counted():
    """Guards against far runs that operators can't see."""
    rack_site = _RackSite()
    _fill_rack(rack_site, duration_s=30.0)
    rack_site.submit("j", 4)
    rack_site.run(3.0)
    assert rack_site.recorder.starts == {"near": 8, "far": 4}
