"""Tests of the latest time of a wait for a worker near the data."""

import pytest

from standins.service_driver import make_queue, make_registration, make_step
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import AdviceTimes, JobSpec, Resources
from sycamorecroft.scheduling.near_wait import (
    PLACEMENT_INTERVAL_S,
    PLACEMENT_MARGIN_S,
    NearWaitTimes,
    far_limits_s,
    is_first_try,
    may_wait,
    wait_limit_s,
)
from sycamorecroft.scheduling.rack_queue import (
    NEVER_S,
    RackQueue,
    RunEnd,
    WorkerEnds,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.run_durations import (
    EXTRA_RATIO_LIMIT,
    OVERDUE_SHARE,
    RATIO_SAMPLES_MIN_COUNT,
    RunDurations,
)
from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.workers import Worker

NOW_S = 100.0
CORE = Resources(1000, 100, 0)


def _times(**changes):
    times = NearWaitTimes(NOW_S, NOW_S, 2.0, (NOW_S - 1, NOW_S + 3), False)
    return times._replace(**changes)


def _job(job_id="j", *, spec_changes=None, queue=None, **step_fields):
    step = make_step(2, preferred_rack="r1")._replace(**step_fields)
    spec = JobSpec("t", (step,))._replace(**(spec_changes or {}))
    row = JobRow(queue or make_queue(), spec, int(NOW_S * 1000))
    job = Job(job_id, row, NOW_S, int(NOW_S * 1000))
    job.start_due_occurrences(NOW_S, int(NOW_S * 1000))
    return job


def _run(*, started_s=NOW_S, is_far=False, **step_fields):
    task = next(iter(_job(**step_fields).tasks.values()))
    run = Run(task, "w1", 1, RunPhase.RUNNING, started_s)
    run.is_far = is_far
    return run


def test_wait_ends_while_a_far_start_still_meets_the_objective():
    """Guards against a wait that makes a job late."""
    times = _times(far_limits_s=(NOW_S + 0.2, NOW_S + 5))
    end_s = NOW_S + 0.2 - PLACEMENT_MARGIN_S
    assert wait_limit_s(times) == end_s
    # The placement that is due then may be late by the longest time between two.
    for late_s in (0.0, 0.1, PLACEMENT_INTERVAL_S):
        assert wait_limit_s(times._replace(now_s=end_s + late_s)) == end_s


def test_wait_of_a_job_that_a_far_start_makes_late_ends_after_the_gain():
    """Guards against a wait without end where the objective sets none."""
    assert wait_limit_s(_times()) == NOW_S + 2.0


def test_wait_ends_while_a_far_start_is_still_of_use():
    """Guards against a late job that a wait makes useless to its caller."""
    times = _times(far_limits_s=(NOW_S - 1, NOW_S + 0.5))
    assert wait_limit_s(times) == NOW_S + 0.5 - PLACEMENT_MARGIN_S


def test_wait_counts_from_the_time_since_which_the_task_waits():
    """Guards against a wait that starts again with each placement or owner."""
    times = _times(waiting_since_s=NOW_S - 1.5, far_limits_s=())
    assert wait_limit_s(times) == NOW_S + 0.5
    assert wait_limit_s(times._replace(waiting_since_s=NOW_S - 2)) <= NOW_S


def test_wait_in_a_full_pool_counts_the_time_taken_from_others():
    """Guards against far runs that take the places of others in a full pool."""
    times = _times(is_scarce=True)
    assert wait_limit_s(times) == NOW_S + 3.0 - PLACEMENT_MARGIN_S
    times = _times(is_scarce=True, far_limits_s=())
    assert wait_limit_s(times) == NOW_S + 4.0


def test_wait_after_a_time_without_any_place_counts_from_the_missed_limit():
    """Guards against far runs of late jobs after each peak that filled the pool."""
    times = _times(waiting_since_s=NOW_S - 9, far_limits_s=(NOW_S - 1, NOW_S + 9))
    assert wait_limit_s(times) == NOW_S + 1


def test_far_limits_leave_time_for_the_longer_run():
    """Guards against limits that count a far run as short as one near the data."""
    job = _job()
    task = next(iter(job.tasks.values()))
    meets_s, useful_s = far_limits_s(task, JobRanking(), 0.8)
    allowed_s = 1.6 * 0.8 + 0.6
    needed_s = 0.8 + 0.8
    assert meets_s == pytest.approx(NOW_S + allowed_s - needed_s)
    assert useful_s == pytest.approx(NOW_S + 3 * allowed_s - needed_s)


def test_scheduled_job_has_no_limits_from_its_acceptance():
    """Guards against occurrences that count as late since their job is old."""
    job = _job(spec_changes={"occurrences_count": 2, "interval_ms": 1000})
    task = next(iter(job.tasks.values()))
    assert far_limits_s(task, JobRanking(), 0.8) == ()


@pytest.mark.parametrize(
    "fields",
    [
        {"is_gang": True},
        {"is_rack_local": True},
        {"is_long_running": True},
        {"is_best_effort": True},
        {"tasks_per_worker_limit": 1},
        {"preferred_rack": ""},
        {"estimate_ms": 0},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_steps_whose_queue_is_not_known_do_not_wait(fields):
    """Guards against waits for places that a freed run doesn't give."""
    durations = RunDurations(3.0)
    assert may_wait(_job().waiting_steps()[0], durations)
    assert not may_wait(_job(**fields).waiting_steps()[0], durations)


def test_step_that_needs_approved_workers_does_not_wait():
    """Guards against a wait for a worker that isn't approved."""
    queue = make_queue()._replace(advice=AdviceTimes(100, 1000, 3000))
    step = _job(queue=queue).waiting_steps()[0]
    assert not may_wait(step, RunDurations(3.0))


@pytest.mark.parametrize("ratio", [1.0, 0.5])
def test_nothing_waits_if_distance_costs_nothing(ratio):
    """Guards against waits on deployments that don't state the factor."""
    assert not may_wait(_job().waiting_steps()[0], RunDurations(ratio))


def test_resumed_or_failed_tasks_do_not_wait():
    """Guards against a wait for more than what is left, or for a worker that fails."""
    task = next(iter(_job().tasks.values()))
    assert is_first_try(task)
    task.checkpoint = "c"
    assert not is_first_try(task)
    task.checkpoint, task.failed_workers = "", frozenset(["w1"])
    assert not is_first_try(task)


def _ends(*ends_s, started_s=NOW_S - 0.5):
    return [RunEnd(end_s, started_s, CORE) for end_s in ends_s]


def test_queue_gives_places_in_the_order_of_the_ends():
    """Guards against tasks that all expect the first place that is freed."""
    queue = RackQueue([_ends(100.2, 100.6), _ends(100.4)], NOW_S)
    starts_s = [queue.join(CORE, 1.0, NEVER_S) for _ in range(5)]
    assert starts_s == pytest.approx([100.2, 100.4, 100.6, 101.2, 101.4])


def test_task_that_does_not_join_leaves_the_queue_unchanged():
    """Guards against tasks that go far and still lengthen the queue."""
    queue = RackQueue([_ends(100.2, 100.6)], NOW_S)
    assert queue.join(CORE, 1.0, 100.2) == pytest.approx(100.2)
    two = CORE.plus(CORE)
    assert queue.join(two, 1.0, 100.5) == pytest.approx(100.6)
    assert queue.join(CORE, 1.0, NEVER_S) == pytest.approx(100.2)


def test_large_task_waits_for_several_ends():
    """Guards against a large task that expects the place of a small one."""
    queue = RackQueue([_ends(100.2, 100.6), _ends(100.4)], NOW_S)
    assert queue.join(CORE.plus(CORE), 1.0, NEVER_S) == pytest.approx(100.4)
    assert queue.join(CORE, 1.0, NEVER_S) == pytest.approx(100.6)


@pytest.mark.parametrize("ends", [[], [[]], [_ends(100.2)]])
def test_rack_that_frees_too_little_has_no_start(ends):
    """Guards against a wait for a rack that is dark, gone or too small."""
    queue = RackQueue(ends, NOW_S)
    assert queue.join(CORE.plus(CORE), 1.0, NEVER_S) == NEVER_S


def test_overdue_run_is_expected_to_end_soon_but_not_at_once():
    """Guards against tasks that wait on and on for a run that should have ended."""
    queue = RackQueue([_ends(99.9, 100.05, started_s=NOW_S - 2)], NOW_S)
    assert queue.join(CORE, 1.0, NEVER_S) == pytest.approx(100.05)
    overdue_s = NOW_S + 2 * OVERDUE_SHARE
    assert queue.join(CORE, 1.0, NEVER_S) == pytest.approx(overdue_s)


@pytest.mark.parametrize("error_ratio", [0.1, 10.0])
def test_estimates_wrong_by_a_factor_of_ten_are_corrected(error_ratio):
    """Guards against expected ends that are wrong by the same factor for ever."""
    durations = RunDurations(3.0)
    for _ in range(RATIO_SAMPLES_MIN_COUNT):
        durations.record(_run(), NOW_S + 0.8 * error_ratio)
    spec = _run().task.spec
    assert durations.near_s(spec) == pytest.approx(0.8 * error_ratio)
    expected_s = 1.6 * min(error_ratio, EXTRA_RATIO_LIMIT)
    assert durations.extra_s(spec) == pytest.approx(expected_s)


def test_far_runs_tell_about_estimates_and_not_about_distance():
    """Guards against durations that rise with the share of far runs."""
    durations = RunDurations(3.0)
    for _ in range(RATIO_SAMPLES_MIN_COUNT):
        durations.record(_run(is_far=True), NOW_S + 3 * 0.8)
    run = _run(is_far=True)
    assert durations.estimate_ratio == pytest.approx(1.0)
    assert durations.end_s(run) == pytest.approx(NOW_S + 2.4)
    assert durations.slowdown_s(run, NOW_S + 2.4) == pytest.approx(1.6)


def test_small_changes_of_the_ratio_keep_the_expected_ends():
    """Guards against ends of all workers that are computed again after each run."""
    durations = RunDurations(3.0)
    for _ in range(RATIO_SAMPLES_MIN_COUNT):
        durations.record(_run(), NOW_S + 0.8 * 1.05)
    assert durations.estimate_ratio == 1.0


def test_changed_runs_of_a_worker_change_its_ends():
    """Guards against a queue that counts runs which have ended."""
    worker = Worker(make_registration("w1"), 0.0)
    ends = WorkerEnds(RunDurations(3.0))
    run = _run()
    worker.add(run)
    assert [end.end_s for end in ends.of(worker)] == [pytest.approx(NOW_S + 0.8)]
    worker.remove(run)
    assert ends.of(worker) == []
    # A worker that left and came back is another object with its own count.
    other = Worker(make_registration("w1"), 0.0)
    other.add(_run(is_far=True))
    other.remove(next(iter(other.runs.values())))
    other.run_changes_count = worker.run_changes_count
    assert ends.of(other) == []


def test_changed_ratio_changes_the_ends():
    """Guards against ends that keep to estimates which have proved wrong."""
    durations = RunDurations(3.0)
    worker = Worker(make_registration("w1"), 0.0)
    worker.add(_run())
    ends = WorkerEnds(durations)
    ends.of(worker)
    for _ in range(RATIO_SAMPLES_MIN_COUNT):
        durations.record(_run(), NOW_S + 8)
    assert [end.end_s for end in ends.of(worker)] == [pytest.approx(NOW_S + 8)]


def test_long_running_tasks_are_not_expected_to_end():
    """Guards against a wait for the end of a task that runs until it is cancelled."""
    worker = Worker(make_registration("w1"), 0.0)
    worker.add(_run(is_long_running=True))
    assert WorkerEnds(RunDurations(3.0)).of(worker) == []
