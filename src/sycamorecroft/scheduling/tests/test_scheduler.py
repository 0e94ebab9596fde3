"""Tests of the scheduler: starts, outcomes, takeover and worker faults."""

import pytest
import structlog

from standins.service_driver import (
    JOBS,
    PROGRESS,
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, RunOutcome
from sycamorecroft.scheduling.model import AdviceTimes, JobSpec
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    encode_row,
    jobs_part,
)
from sycamorecroft.scheduling.tasks import RunPhase
from sycamorecroft.store.interfaces import Put, StorePurpose


def test_job_runs_its_steps_in_order():
    """Guards against a start before the tasks of an earlier step are done."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(2), make_step(1, after=(0,)))
    owner.run_steps(3)
    running = {name for w in site.workers.values() for name in w.running}
    assert running == {"j1.0.0.0", "j1.0.0.1"}
    next(w for w in site.workers.values() if "j1.0.0.0" in w.running).finish(
        "j1.0.0.0", RunOutcome.DONE
    )
    owner.run_steps(3)
    assert site.started_count("j1.0.1.0") == 0
    for worker in site.workers.values():
        worker.finish_all()
    owner.run_steps(3)
    assert site.started_count("j1.0.1.0") == 1
    for worker in site.workers.values():
        worker.finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_outcome_is_acknowledged_only_after_it_is_stored():
    """Guards against an outcome that the worker drops before it is stored."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    site.workers["w0"].finish_all()
    owner._list_runs()
    assert site.workers["w0"].acknowledged == 0
    owner.commit()
    assert site.state("j1") is JobState.COMPLETE
    owner.run_steps(2)
    assert site.workers["w0"].acknowledged == 1


def test_assignment_is_stored_before_the_start():
    """Guards against a start of which a later owner finds no record."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner._read_jobs()
    owner._list_runs()
    owner.scheduler.place(site.clock.monotonic_s())
    owner.send_orders()
    assert site.started_count("j1.0.0.0") == 0
    owner.commit()
    assert site.tables.row(PROGRESS, "j1", SERVICE) is not None
    owner.send_orders()
    assert site.started_count("j1.0.0.0") == 1


def test_former_owner_starts_nothing_after_a_takeover():
    """Guards against a task that runs twice after the owner was paused."""
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    former._read_jobs()
    former._list_runs()
    former.scheduler.place(site.clock.monotonic_s())
    successor = ServiceDriver(site, 2)
    successor.run_steps(2)
    former.commit()
    former.send_orders()
    assert former.is_service_lost
    assert site.started_count("j1.0.0.0") == 1


def test_takeover_keeps_running_tasks():
    """Guards against restarting a task that runs under a former owner's lease."""
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", make_step(3))
    former.run_steps(3)
    successor = ServiceDriver(site, 2)
    successor.run_steps(4)
    assert sum(site.started_count(f"j1.0.0.{i}") for i in range(3)) == 3
    for worker in site.workers.values():
        worker.finish_all()
    successor.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_takeover_waits_for_the_lease_of_an_unreachable_worker():
    """Guards against a second run while the first continues behind a partition."""
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    former.run_steps(3)
    name = next(n for n, w in site.workers.items() if w.running)
    site.workers[name].is_unreachable = True
    successor = ServiceDriver(site, 2, former_lease_s=8.0)
    successor.run_steps(35)
    assert site.started_count("j1.0.0.0") == 1
    successor.run_steps(10)
    assert site.started_count("j1.0.0.0") == 2


def test_takeover_reads_run_lists_before_it_expires_runs():
    """Guards against a second run of a task whose outcome the worker still lists.

    When the former owner's leases had already expired at the takeover, the new owner
    started tasks again 10 ms after loading them (fault soak, seed 2).
    """
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    former.run_steps(3)
    for worker in site.workers.values():
        worker.finish_all()
    successor = ServiceDriver(site, 2)
    now_s = site.clock.monotonic_s()
    successor.scheduler.tick(now_s + 0.01, site.now_ms)
    successor.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1
    assert site.state("j1") is JobState.COMPLETE


def test_start_without_an_answer_is_stopped_before_a_second_one():
    """Guards against two runs of a task when the answer to a start is lost."""
    site = Site()
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    for worker in site.workers.values():
        worker.loses_responses = True
    site.submit("j1", make_step(1))
    owner.step()
    for worker in site.workers.values():
        worker.loses_responses = False
    for _ in range(6):
        owner.run_steps(1)
        assert sum(len(w.running) for w in site.workers.values()) <= 1
    owner.run_steps(4)
    assert sum(len(w.running) for w in site.workers.values()) == 1


def test_failed_task_is_retried_up_to_the_attempts_of_its_queue():
    """Guards against more starts than the queue's number of attempts."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1), queue=make_queue(attempts_count=2))
    for _ in range(4):
        owner.run_steps(3)
        for worker in site.workers.values():
            worker.finish_all(RunOutcome.FAILED)
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 2
    assert site.state("j1") is JobState.FAILED


def test_cancelled_job_is_stopped():
    """Guards against tasks that continue to run after their job was cancelled."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(4))
    owner.run_steps(3)
    site.cancel("j1")
    owner.run_steps(3)
    assert not any(worker.running for worker in site.workers.values())
    assert site.state("j1") is JobState.CANCELLED


def test_withdrawn_start_frees_its_worker():
    """Guards against capacity that is held for a run that was never ordered."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner._read_jobs()
    owner._list_runs()
    now_s = site.clock.monotonic_s()
    owner.scheduler.place(now_s)
    owner.commit()
    (start,) = owner.scheduler.take_orders()
    site.cancel("j1")
    owner._read_jobs()
    reply = OrderReply(OrderStatus.WITHDRAWN)
    owner.scheduler.outcomes.apply_start(start.run, reply, now_s)
    assert not owner.scheduler.workers["w0"].runs
    owner.commit()
    assert site.state("j1") is JobState.CANCELLED


def test_worker_that_fails_tasks_of_several_jobs_is_quarantined():
    """Guards against a faulty worker that fails tasks fast and so attracts more."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    for number in range(4):
        site.submit(f"j{number}", make_step(1), queue=make_queue(attempts_count=9))
    owner.run_steps(3)
    for _ in range(3):
        site.workers["w0"].finish_all(RunOutcome.FAILED)
        owner.run_steps(2)
    assert not site.workers["w0"].running
    assert len(site.workers["w1"].running) == 4


def test_failed_task_is_retried_on_another_worker():
    """Guards against a job that uses up its attempts on one faulty worker."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1), queue=make_queue(attempts_count=2))
    owner.run_steps(3)
    failed = next(n for n, w in site.workers.items() if w.running)
    site.workers[failed].finish_all(RunOutcome.FAILED)
    owner.run_steps(3)
    assert not site.workers[failed].running
    assert sum(len(w.running) for w in site.workers.values()) == 1


def test_last_attempt_waits_for_another_worker():
    """Guards against a last attempt on the worker on which the task has just failed."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j0", make_step(1, 8000, required_label="r1"))
    owner.run_steps(3)
    site.submit("j1", make_step(1, 8000), queue=make_queue(attempts_count=2))
    owner.run_steps(3)
    site.workers["w0"].finish("j1.0.0.0", RunOutcome.FAILED)
    owner.run_steps(2)
    assert not site.workers["w0"].running
    site.workers["w1"].finish_all()
    owner.run_steps(3)
    assert "j1.0.0.0" in site.workers["w1"].running


def test_slow_worker_is_ranked_last():
    """Guards against jobs that are delayed by the slowest worker of a pool."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    for name, ratio in (("w0", 5.0), ("w1", 1.0), ("w2", 1.1)):
        for _ in range(3):
            owner.scheduler.workers[name].record_duration(ratio)
    site.submit("j1", make_step(6))
    owner.run_steps(2)
    assert not site.workers["w0"].running


def test_worker_with_a_stalled_task_is_ranked_last():
    """Guards against new tasks on a worker that answers but makes no progress."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(2)
    stalled = next(n for n, w in site.workers.items() if w.running)
    site.workers[stalled].progress_percent = 10
    owner.run_steps(12)
    site.submit("j2", make_step(4))
    owner.run_steps(2)
    assert len(site.workers[stalled].running) == 1


def test_queue_with_advice_runs_on_approved_workers_with_tickets():
    """Guards against starts that workers reject because the ticket is missing."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    owner.approved_workers = {"w1"}
    advised = make_queue()._replace(advice=AdviceTimes(10, 1, 3000))
    site.submit("j1", make_step(3), queue=advised)
    owner.run_steps(4)
    assert len(site.workers["w1"].running) == 3
    assert set(owner.tickets) == {"ticket-w1"}
    assert len(owner.advice_requests) == 1


def test_expired_ticket_is_requested_again_and_a_refused_one_is_not():
    """Guards against starts with expired tickets, and endless requests if refused."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    owner.approved_workers = {"w1"}
    advised = make_queue(attempts_count=9)._replace(advice=AdviceTimes(10, 1, 3000))
    site.submit("j1", make_step(1), queue=advised)
    owner.run_steps(20)
    site.workers["w1"].finish_all(RunOutcome.FAILED)
    owner.run_steps(4)
    assert len(site.workers["w1"].running) == 1
    assert [q.workers for q in owner.advice_requests[1:]] == [("w1",)]


def test_approvals_of_completed_occurrences_take_no_memory():
    """Guards against a cache that grows with each occurrence of a job."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    owner.approved_workers = {"w1"}
    advised = make_queue()._replace(advice=AdviceTimes(10, 1, 3000))
    spec = JobSpec("j1", (make_step(300, 10),), 10**6, 1, 0)
    row = encode_row(JobRow(advised, spec, site.now_ms))
    put = Put(JOBS, "j1", row, jobs_part("j1"))
    site.tables.transact((), (put,), purpose=StorePurpose.JOBS)
    for _ in range(40):
        owner.run_steps(1)
        for worker in site.workers.values():
            worker.finish_all()
    job = owner.scheduler.jobs["j1"]
    assert job.occurrences_started_count > 10
    assert len(job.tasks) <= 600
    assert len(owner.scheduler._approvals._tickets) <= 2


def test_lost_store_answers_neither_lose_nor_repeat_a_commit():
    """Guards against treating a commit that took effect as failed."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    site.tables.lost_responses_count = 1
    owner.run_steps(4)
    assert site.started_count("j1.0.0.0") == 1
    site.workers["w0"].finish_all()
    site.tables.lost_responses_count = 1
    owner.run_steps(4)
    assert site.state("j1") is JobState.COMPLETE
    assert not owner.is_service_lost


def test_delayed_commit_does_not_overwrite_a_later_one():
    """Guards against old progress that overwrites newer progress seconds later."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    site.tables.delayed_count = 1
    owner.run_steps(3)
    site.workers["w0"].finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE
    assert site.tables.apply_delayed() == 0
    assert site.state("j1") is JobState.COMPLETE


def test_wait_of_a_later_step_counts_from_the_end_of_the_earlier_one():
    """Guards against logs that show the duration of earlier steps as a wait."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1), make_step(1, after=(0,)))
    owner.run_steps(3)
    site.advance(3.0)
    site.workers["w0"].finish_all()
    with structlog.testing.capture_logs() as lines:
        owner.run_steps(3)
    (started,) = [line for line in lines if line["event"] == "task_started"]
    assert started["task"] == "j1.0.1.0"
    assert started["waited_s"] < 1.0
    assert started["commit_s"] <= started["waited_s"]


@pytest.mark.parametrize("status", [OrderStatus.REJECTED, OrderStatus.UNHEALTHY])
def test_start_that_the_worker_refuses_is_repeated(status):
    """Guards against tasks that wait for a run which the worker never began."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(1)
    (run,) = owner.scheduler.jobs["j1"].runs()
    run.phase = RunPhase.STARTING
    site.workers["w0"].running.clear()
    now_s = site.clock.monotonic_s()
    owner.scheduler.outcomes.apply_start(run, OrderReply(status, "room"), now_s)
    worker = owner.scheduler.workers["w0"]
    assert worker.used.cpu_millicores == 0
    assert not worker.accepts_tasks(now_s)
    owner.run_steps(20)
    assert site.started_count("j1.0.0.0") == 2


def test_silent_worker_keeps_its_runs_until_their_leases_have_expired():
    """Guards against a second run of a task whose worker was only out of reach."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(5)
    worker = next(w for w in site.workers.values() if w.running)
    worker.is_unreachable = True
    owner.run_steps(25)
    assert site.started_count("j1.0.0.0") == 1
    worker.is_unreachable = False
    worker.finish_all()
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1
    assert site.state("j1") is JobState.COMPLETE


def test_new_owner_starts_nothing_on_a_worker_that_has_left():
    """Guards against a worker that is used again because a stored run names it."""
    site = Site(workers_count=2)
    first = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    first.run_steps(5)
    name = next(name for name, w in site.workers.items() if w.running)
    del site.registrations[name]
    site.workers[name].is_unreachable = True
    starts_count = len(site.workers[name].started)
    second = ServiceDriver(site, 2)
    site.submit("j2", make_step(4))
    second.run_steps(50)
    assert len(site.workers[name].started) == starts_count
    assert name not in second.scheduler.workers
    assert site.started_count("j1.0.0.0") == 2
