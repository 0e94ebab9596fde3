"""Tests of placements on copies: what is said of a job, and what isn't changed."""

from collections import deque
from enum import Enum

import pytest
import structlog
from structlog.testing import capture_logs

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_fleet,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.clock import ManualClock
from sycamorecroft.logs import drop_if_asked, dropped_logs
from sycamorecroft.metrics import CAPACITY_HOLDS
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.model import AdviceTimes, JobSpec
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.placement_explanation import LeftReason
from sycamorecroft.scheduling.placement_question import (
    COPY_LIMIT_S,
    CopyPlacement,
    CopyRefusal,
    copy_placement,
    explain,
)
from sycamorecroft.scheduling.rack_queue import RunEnd
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.tasks import Run
from sycamorecroft.scheduling.worker_exclusions import Access, Exclusion, exclusion

NEVER_S = float("inf")
EVERYBODY = Access(frozenset(), frozenset(), None)


class _Owner(ServiceDriver):
    """Owner whose placements are explained before they are made."""

    def __init__(self, workers_count=2, **options):
        super().__init__(Site(workers_count), 1, **options)

    def submit(self, job_id, *steps, **options):
        self.site.submit(job_id, *steps, **options)
        self._read_jobs()

    def run_first_jobs(self, *accounts):
        """Runs a task of each account, so that the service knows them all."""
        for account in accounts:
            self.submit(f"first-{account}", make_step(1), account=account)
        self.run_steps(3)
        for worker in self.site.workers.values():
            worker.finish_all(RunOutcome.DONE)
        self.run_steps(7)

    def prepare(self):
        """Applies run lists, so that a placement is due."""
        self._list_runs()
        self.scheduler.tick(self.site.clock.monotonic_s(), self.site.now_ms)

    def copy(self, job_id, row=None):
        question = CopyPlacement(job_id, row, NEVER_S)
        return copy_placement(self.scheduler, question, self.site.clock)

    def explain(self, job_id, row=None):
        return explain(self.copy(job_id, row), lambda: False)

    def row(self, *steps, queue=None, account=""):
        spec = JobSpec("", steps)
        return JobRow(queue or make_queue(), spec, self.site.now_ms, account)


def _before(explanation):
    return {item.reason: item.jobs for item in explanation.rank.before}


def _left(explanation):
    return {
        item.reason: item.tasks_count
        for step in explanation.steps
        for item in step.left
    }


def _excluded(step):
    return {item.reason: item.workers for item in step.excluded}


def test_jobs_before_are_told_with_their_reasons():
    """Guards against an operator who can't see what a job waits for."""
    owner = _Owner()
    owner.submit("urgent", make_step(1), queue=make_queue(priority=-1))
    owner.submit("serving", make_step(1, is_long_running=True))
    owner.submit("earlier", make_step(1), clock_ahead_ms=-100)
    owner.submit("late", make_step(1), clock_ahead_ms=-60_000)
    owner.submit("same-a", make_step(1))
    owner.prepare()
    explanation = owner.explain("same-b", owner.row(make_step(1)))
    assert _before(explanation) == {
        "priority": ("urgent",),
        "long_running": ("serving",),
        "objective_end": ("earlier",),
        "id": ("same-a",),
    }
    assert explanation.rank.position == 5
    assert explanation.rank.waiting_jobs_count == 6


def test_share_and_rate_are_told():
    """Guards against accounts whose jobs wait for a reason that isn't shown."""
    owner = _Owner(4, fleet=make_fleet(north=1.0, south=1.0))
    owner.run_first_jobs("north", "south")
    for number in range(8):
        owner.submit(f"n{number}", make_step(8), account="north")
        owner.submit(f"s{number}", make_step(8), account="south")
    owner.prepare()
    row = owner.row(make_step(8), account="north")
    explanation = owner.explain("a", row)
    assert explanation.rank.is_excess
    assert "rate" in _before(explanation)
    assert explanation.share.due_ratio == pytest.approx(0.5)
    stored = owner.explain("n2")
    assert "share" in _before(stored) or stored.steps[0].is_beyond_share


def test_job_whose_step_has_held_workers_is_first():
    """Guards against a rank that doesn't show for which steps workers idle."""
    recorder = _CountingRecorder()
    owner = _Owner(2, fleet=make_fleet(north=1.0, south=1.0), recorder=recorder)
    owner.run_first_jobs("north", "south")
    for number in range(10):
        owner.submit(f"s{number}", make_step(2), account="south")
    owner.run_steps(2)
    owner.submit("large", make_step(1, 8000), account="north", clock_ahead_ms=-900)
    for _ in range(8):
        for worker in owner.site.workers.values():
            for task in list(worker.running)[:2]:
                worker.finish(task, RunOutcome.DONE)
        owner.run_steps(1, 0.1)
        held = owner.scheduler._placer.order.held()
        if held and not owner.scheduler.jobs["large"].runs():
            break
    else:
        pytest.fail("no worker is held")
    owner.prepare()
    row = owner.row(make_step(1), account="south")
    explanation = owner.explain("s-new", row)
    assert _before(explanation).get("held_workers") == ("large",)
    assert set(_excluded(explanation.steps[0])["held"]) <= set(held)


class _CountingRecorder(Recorder):
    """Counts the increments of each counter."""

    def __init__(self):
        self.counts = {}

    def count(self, metric, **attributes):
        self.counts[metric] = self.counts.get(metric, 0) + 1

    def record(self, metric, duration_s, **attributes):
        pass


def test_dry_run_writes_no_lines_and_counts_nothing():
    """Guards against log lines and metrics of decisions that nobody took."""
    recorder = _CountingRecorder()
    options = {"fleet": make_fleet(north=1.0, south=1.0), "slowdown_ratio": 3.0}
    owner = _Owner(2, recorder=recorder, **options)
    owner.submit("s", make_step(15), account="south")
    owner.run_steps(2)
    owner.submit("near", make_step(4, preferred_rack="r0"), account="south")
    owner.submit("n", make_step(4, 7000), account="north", clock_ahead_ms=-1200)
    owner.prepare()
    before = dict(recorder.counts)
    copied = owner.copy("near")
    with capture_logs(processors=[drop_if_asked]) as lines:
        explain(copied, lambda: False)
    assert not lines
    assert recorder.counts == before
    with capture_logs(processors=[drop_if_asked]) as lines:
        owner.scheduler.place(owner.site.clock.monotonic_s())
    assert {line["event"] for line in lines} >= {"near_wait_decided"}
    assert CAPACITY_HOLDS not in before


def test_log_lines_of_other_threads_are_kept():
    """Guards against lines of an owner that are lost while a placement is explained."""
    with dropped_logs(), pytest.raises(structlog.DropEvent):
        drop_if_asked(None, "info", {"event": "x"})
    assert drop_if_asked(None, "info", {"event": "x"}) == {"event": "x"}


def test_wait_near_the_data_is_told():
    """Guards against a task that waits without anybody knowing until when."""
    owner = _Owner(2, slowdown_ratio=3.0)
    owner.submit("fill", make_step(8, preferred_rack="r0"))
    owner.run_steps(3)
    owner.prepare()
    row = owner.row(make_step(2, preferred_rack="r0"))
    explanation = owner.explain("j", row)
    assert _left(explanation) == {LeftReason.NEAR_WAIT: 2}
    (step,) = explanation.steps
    assert step.near_wait.is_waiting
    assert (step.near_wait.rack, step.near_wait.reason) == ("r0", "sooner")
    assert step.near_wait.limit_in_s > step.near_wait.near_start_in_s > 0
    assert step.near_wait.far_extra_s == pytest.approx(1.6)
    assert (step.candidates_count, step.near_candidates_count) == (1, 0)
    assert step.candidates[0].is_near is False


def test_decision_of_an_earlier_placement_is_told_as_such():
    """Guards against a wait that is shown only in the placement that decided on it."""
    owner = _Owner(2, slowdown_ratio=3.0)
    owner.submit("fill", make_step(8, preferred_rack="r0"))
    owner.run_steps(3)
    owner.submit("j", make_step(2, preferred_rack="r0"))
    owner.step()
    owner.site.advance(0.05)
    owner.prepare()
    (step,) = owner.explain("j").steps
    assert step.left[0].reason is LeftReason.NEAR_WAIT
    assert (step.near_wait.is_waiting, step.near_wait.reason) == (True, "")
    assert step.near_wait.limit_in_s > 0


def test_excluded_workers_are_told_with_their_reasons():
    """Guards against an operator who can't see why an idle worker gets nothing."""
    owner = _Owner(9)
    owner.run_steps(1)
    owner.submit("fill", make_step(1, 8000))
    owner.run_steps(2)
    registrations = owner.site.registrations
    registrations["w1"] = registrations["w1"]._replace(is_draining=True)
    small = make_registration("w6", cpu_millicores=1000)
    registrations["w6"] = small._replace(labels=("b", "r0"))
    registrations["w7"] = registrations["w7"]._replace(labels=("other", "r1"))
    del registrations["w8"]
    owner._read_jobs()
    owner.site.workers["w2"].is_unreachable = True
    owner.site.advance(2.6)
    owner.prepare()
    workers = owner.scheduler.workers
    workers["w3"].is_reserved = True
    workers["w4"].is_evacuation_target = True
    workers["w5"].quarantine(owner.site.clock.monotonic_s())
    step = make_step(1, 4000, required_label="a")
    explanation = owner.explain("j", owner.row(step))
    registrations["w6"] = small
    assert _excluded(explanation.steps[0]) == {
        "draining": ("w1",),
        "no_contact": ("w2",),
        "reserved": ("w3",),
        "evacuation": ("w4",),
        "quarantined": ("w5",),
        "label": ("w6", "w7"),
        "resources": ("w0",),
    }
    assert _left(explanation) == {LeftReason.NO_ROOM: 1}


def test_task_that_fits_on_no_worker_is_told():
    """Guards against an operator who waits for room that never comes."""
    owner = _Owner(2)
    owner.run_steps(1)
    owner.prepare()
    for step in (make_step(1, 9000), make_step(1, required_label="none")):
        explanation = owner.explain("j", owner.row(step))
        assert _left(explanation) == {LeftReason.NO_WORKER: 1}


def test_gang_of_which_others_still_run_is_told():
    """Guards against a gang that is said to fit on no worker while it restarts."""
    owner = _Owner(2)
    owner.submit("j", make_step(2, is_gang=True))
    owner.run_steps(3)
    worker = next(w for w in owner.site.workers.values() if "j.0.0.0" in w.running)
    worker.finish("j.0.0.0", RunOutcome.FAILED)
    owner.prepare()
    assert _left(owner.explain("j")) == {LeftReason.GANG_RUNNING: 1}


def test_worker_that_is_not_approved_is_told():
    """Guards against an advice service whose refusals look like a full pool."""
    owner = _Owner(2)
    owner.run_steps(1)
    queue = make_queue()._replace(advice=AdviceTimes(1, 1, 1))
    owner.prepare()
    explanation = owner.explain("j", owner.row(make_step(1), queue=queue))
    assert _left(explanation) == {LeftReason.NOT_APPROVED: 1}
    assert _excluded(explanation.steps[0]) == {"not_approved": ("w0", "w1")}
    assert not owner.advice_requests
    assert not owner.scheduler.take_orders()


def test_job_whose_row_is_full_is_told():
    """Guards against free workers that a job can't use for no visible reason."""
    owner = _Owner(2)
    owner.run_steps(1)
    owner.prepare()
    copied = owner.copy("j", owner.row(make_step(12)))
    state = copied.state._replace(row_limit_bytes=250)
    explanation = explain(copied._replace(state=state), lambda: False)
    (step,) = explanation.steps
    assert 0 < len(step.starts) < 12
    assert _left(explanation) == {LeftReason.ROW_FULL: 12 - len(step.starts)}
    assert step.candidates_count == 2


def test_scheduled_job_and_later_steps_are_told():
    """Guards against a job that isn't due and looks as if it had no place."""
    owner = _Owner(1)
    owner.run_steps(1)
    owner.prepare()
    due_ms = owner.site.now_ms + 5000
    row = owner.row(make_step(1))
    spec = row.spec._replace(occurrences_count=3, start_at_ms=due_ms, interval_ms=9)
    explanation = owner.explain("j", row._replace(spec=spec))
    assert explanation.rank is None
    assert explanation.job.next_due_ms == due_ms
    steps = (make_step(1), make_step(2, after=(0,)))
    job = owner.explain("j", owner.row(*steps)).job
    assert (job.steps_waiting_count, job.steps_later_count) == (1, 1)


def test_answer_about_a_job_of_many_steps_is_bounded():
    """Guards against answers and costs that grow with the steps of a job."""
    owner = _Owner(2)
    owner.run_steps(1)
    owner.prepare()
    explanation = owner.explain("j", owner.row(*[make_step(9)] * 300))
    assert len(explanation.steps) == 4
    assert explanation.job.steps_waiting_count == 300


def test_placement_that_takes_too_long_is_cut():
    """Guards against a question that occupies a thread for a whole placement."""
    owner = _Owner(2)
    owner.run_steps(1)
    owner.submit("a", make_step(4), clock_ahead_ms=-100)
    owner.prepare()
    copied = owner.copy("b", owner.row(make_step(2)))
    explanation = explain(copied, lambda: True)
    assert _left(explanation) == {LeftReason.NOT_EXPLAINED: 2}


class _SlowClock(ManualClock):
    """Clock that advances by a fixed time with each reading."""

    def __init__(self, step_s):
        super().__init__()
        self._step_s = step_s

    def monotonic_s(self):
        self.advance(self._step_s)
        return super().monotonic_s()


def test_copy_that_takes_too_long_is_abandoned():
    """Guards against an owner that decides nothing while its state is copied."""
    owner = _Owner(2)
    for number in range(20):
        owner.submit(f"j{number}", make_step(1))
    question = CopyPlacement("j1", None, NEVER_S)
    clock = _SlowClock(COPY_LIMIT_S / 10)
    assert copy_placement(owner.scheduler, question, clock) is CopyRefusal.TOO_LARGE


def test_question_that_waited_too_long_is_dropped():
    """Guards against work for an operator who has left."""
    owner = _Owner(1)
    question = CopyPlacement("j", None, owner.site.clock.monotonic_s())
    answer = copy_placement(owner.scheduler, question, owner.site.clock)
    assert answer is CopyRefusal.EXPIRED


def test_unknown_job_is_told():
    """Guards against an explanation of nothing."""
    assert _Owner(1).copy("j") is CopyRefusal.NO_SUCH_JOB


def _is_shared_by_design(value):
    """Runs, specifications and what no placement changes."""
    # Ends of a worker's runs, which a queue of a rack only reads.
    is_ends = isinstance(value, list) and {type(x) for x in value} == {RunEnd}
    return is_ends or isinstance(value, Run | type | Enum) or callable(value)


def _mutable_objects(root):
    """Returns the objects that can be reached and changed, by their ``id()``."""
    found, pending = {}, deque([("", root)])
    seen = set()
    while pending:
        path, value = pending.popleft()
        if id(value) in seen or _is_shared_by_design(value):
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            found[id(value)] = path
            pending.extend((f"{path}[k]", key) for key in value)
            pending.extend((f"{path}[{key!r:.20}]", x) for key, x in value.items())
        elif isinstance(value, list | set | deque):
            found[id(value)] = path
            pending.extend((f"{path}[]", item) for item in value)
        elif isinstance(value, tuple | frozenset):
            pending.extend((f"{path}()", item) for item in value)
        else:
            names = list(getattr(value, "__dict__", ()))
            for kind in type(value).__mro__:
                names += getattr(kind, "__slots__", ())
            if names:
                found[id(value)] = f"{path}:{type(value).__name__}"
                for name in names:
                    pending.append((f"{path}.{name}", getattr(value, name, None)))
    return found


def test_copy_shares_nothing_with_the_scheduler_that_a_placement_changes():
    """Guards against an explanation that changes the state of the owner.

    A class that gains an attribute which placements change has to copy it.
    """
    options = {"fleet": make_fleet(north=1.0, south=1.0), "slowdown_ratio": 3.0}
    owner = _Owner(4, **options)
    queue = make_queue()._replace(advice=AdviceTimes(1, 1, 1))
    owner.submit("advised", make_step(2), queue=queue, account="north")
    owner.submit("fill", make_step(40, preferred_rack="r0"), account="south")
    owner.run_steps(3)
    owner.submit("large", make_step(1, 7000), account="north", clock_ahead_ms=-1200)
    owner.submit("near", make_step(9, preferred_rack="r0"), account="south")
    owner.run_steps(2, 0.05)
    owner.prepare()
    copied = owner.copy("near")
    own = _mutable_objects(owner.scheduler)
    shared = {
        path: own[number]
        for number, path in _mutable_objects(copied.state).items()
        if number in own
    }
    assert not shared


def test_exclusions_agree_with_the_placement():
    """Guards against a worker that is named as a candidate and gets nothing."""
    owner = _Owner(6)
    owner.run_steps(1)
    owner.submit("fill", make_step(11, 3000))
    owner.run_steps(2)
    owner.prepare()
    now_s = owner.site.clock.monotonic_s()
    owner.submit("j", make_step(2, 3000))
    task = owner.scheduler.jobs["j"].waiting_steps()[0].waiting[0]
    reasons = set()
    for worker in owner.scheduler.workers.values():
        reason = exclusion(worker, task, EVERYBODY, now_s)
        reasons.add(reason)
        assert (choose_worker((worker,), task, now_s) is None) == (reason is not None)
    assert reasons == {None, Exclusion.RESOURCES}
