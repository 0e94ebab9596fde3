"""Tests of the scheduler: starts, ends, takeover and faults of workers."""

from standins.service_driver import (
    PROGRESS,
    SERVICE,
    ServiceDriver,
    Site,
    entry_of,
    queue_of,
    step_of,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.model import AdviceTimes
from sycamorecroft.scheduling.rows import JobState


def test_job_runs_its_steps_in_order():
    """Guards against a start before the tasks of an earlier step have ended."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(2), step_of(1, after=(0,)))
    owner.steps(3)
    running = {name for w in site.workers.values() for name in w.running}
    assert running == {"j1.0.0.0", "j1.0.0.1"}
    next(w for w in site.workers.values() if "j1.0.0.0" in w.running).end(
        "j1.0.0.0", RunOutcome.DONE
    )
    owner.steps(3)
    assert site.started_count("j1.0.1.0") == 0
    for worker in site.workers.values():
        worker.end_all()
    owner.steps(3)
    assert site.started_count("j1.0.1.0") == 1
    for worker in site.workers.values():
        worker.end_all()
    owner.steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_end_is_acknowledged_only_after_it_is_stored():
    """Guards against an end that is forgotten by the worker and stored nowhere."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    owner.steps(3)
    site.workers["w0"].end_all()
    owner._list_runs()
    assert site.workers["w0"].acknowledged == 0
    owner.commit()
    assert site.state("j1") is JobState.COMPLETE
    owner.steps(2)
    assert site.workers["w0"].acknowledged == 1


def test_assignment_is_stored_before_the_start():
    """Guards against a start that a later owner knows nothing of."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
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
    site.submit("j1", step_of(1))
    former._read_jobs()
    former._list_runs()
    former.scheduler.place(site.clock.monotonic_s())
    successor = ServiceDriver(site, 2)
    successor.steps(2)
    former.commit()
    former.send_orders()
    assert former.is_lost
    assert site.started_count("j1.0.0.0") == 1


def test_takeover_keeps_running_tasks():
    """Guards against a second start of what runs on under a former owner's lease."""
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", step_of(3))
    former.steps(3)
    successor = ServiceDriver(site, 2)
    successor.steps(4)
    assert sum(site.started_count(f"j1.0.0.{i}") for i in range(3)) == 3
    for worker in site.workers.values():
        worker.end_all()
    successor.steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_takeover_waits_for_the_lease_of_a_worker_out_of_reach():
    """Guards against a second run while the first goes on behind a partition."""
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    former.steps(3)
    name = next(n for n, w in site.workers.items() if w.running)
    site.workers[name].is_cut = True
    successor = ServiceDriver(site, 2, former_lease_s=8.0)
    successor.steps(35)
    assert site.started_count("j1.0.0.0") == 1
    successor.steps(10)
    assert site.started_count("j1.0.0.0") == 2


def test_takeover_asks_a_worker_before_it_gives_up_its_runs():
    """Guards against a second run of a task whose end the worker still lists.

    Found by the soak with seed 2: the former owner was dead for so long that its leases
    were over, and the new one started tasks again 10 ms after it had loaded them.
    """
    site = Site()
    former = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    former.steps(3)
    for worker in site.workers.values():
        worker.end_all()
    successor = ServiceDriver(site, 2)
    now_s = site.clock.monotonic_s()
    successor.scheduler.tick(now_s + 0.01, site.now_ms)
    successor.steps(3)
    assert site.started_count("j1.0.0.0") == 1
    assert site.state("j1") is JobState.COMPLETE


def test_start_without_an_answer_is_stopped_before_a_second_one():
    """Guards against two runs when the answer to a start is lost."""
    site = Site()
    owner = ServiceDriver(site, 1)
    owner.steps(2)
    for worker in site.workers.values():
        worker.loses_answers = True
    site.submit("j1", step_of(1))
    owner.step()
    for worker in site.workers.values():
        worker.loses_answers = False
    for _ in range(6):
        owner.steps(1)
        assert sum(len(w.running) for w in site.workers.values()) <= 1
    owner.steps(4)
    assert sum(len(w.running) for w in site.workers.values()) == 1


def test_failed_task_is_retried_until_its_attempts_are_used_up():
    """Guards against starts beyond the attempts of a queue."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1), queue=queue_of(attempts_count=2))
    for _ in range(4):
        owner.steps(3)
        for worker in site.workers.values():
            worker.end_all(RunOutcome.FAILED)
    owner.steps(3)
    assert site.started_count("j1.0.0.0") == 2
    assert site.state("j1") is JobState.FAILED


def test_cancelled_job_is_stopped():
    """Guards against tasks that run on after the job was cancelled."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(4))
    owner.steps(3)
    site.cancel("j1")
    owner.steps(3)
    assert not any(worker.running for worker in site.workers.values())
    assert site.state("j1") is JobState.CANCELLED


def test_job_submitted_again_after_its_end_does_not_run_again():
    """Guards against a second job under the id of one that has ended."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    owner.steps(3)
    for worker in site.workers.values():
        worker.end_all()
    owner.steps(3)
    site.submit("j1", step_of(1))
    owner.steps(3)
    assert site.started_count("j1.0.0.0") == 1


def test_restarted_worker_has_lost_its_runs():
    """Guards against waiting for the end of a run that a crash has ended."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    owner.steps(3)
    worker = site.workers["w0"]
    worker.running.clear()
    worker.incarnation_ms = 2
    worker.acknowledged = 0
    owner.steps(3)
    assert site.started_count("j1.0.0.0") == 2


def test_gang_starts_whole_or_not_at_all():
    """Guards against members that hold room while they wait for the others."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(3, 6000, is_gang=True))
    owner.steps(3)
    assert not any(worker.running for worker in site.workers.values())
    site.workers["w2"] = type(site.workers["w0"])()
    site.entries["w2"] = entry_of("w2")
    owner.steps(3)
    attempts = [a for w in site.workers.values() for a in w.running.values()]
    assert attempts == [1, 1, 1]


def test_worker_that_fails_the_tasks_of_several_jobs_is_quarantined():
    """Guards against a worker that fails everything and so attracts all tasks."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    for number in range(4):
        site.submit(f"j{number}", step_of(1), queue=queue_of(attempts_count=9))
    owner.steps(3)
    for _ in range(3):
        site.workers["w0"].end_all(RunOutcome.FAILED)
        owner.steps(2)
    assert not site.workers["w0"].running
    assert len(site.workers["w1"].running) == 4


def test_failed_task_goes_to_another_worker():
    """Guards against a job that loses its last attempt on a worker that fails all."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1), queue=queue_of(attempts_count=2))
    owner.steps(3)
    first = next(n for n, w in site.workers.items() if w.running)
    site.workers[first].end_all(RunOutcome.FAILED)
    owner.steps(3)
    assert not site.workers[first].running
    assert sum(len(w.running) for w in site.workers.values()) == 1


def test_last_attempt_waits_for_another_worker():
    """Guards against a last attempt on the worker that has just failed the task."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j0", step_of(1, 8000, required_label="r1"))
    owner.steps(3)
    site.submit("j1", step_of(1, 8000), queue=queue_of(attempts_count=2))
    owner.steps(3)
    site.workers["w0"].end("j1.0.0.0", RunOutcome.FAILED)
    owner.steps(2)
    assert not site.workers["w0"].running
    site.workers["w1"].end_all()
    owner.steps(3)
    assert "j1.0.0.0" in site.workers["w1"].running


def test_slow_worker_gets_tasks_last():
    """Guards against jobs that all wait for the slowest worker of a pool."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    owner.steps(2)
    for name, ratio in (("w0", 5.0), ("w1", 1.0), ("w2", 1.1)):
        for _ in range(3):
            owner.scheduler.workers[name].record_duration(ratio)
    site.submit("j1", step_of(6))
    owner.steps(2)
    assert not site.workers["w0"].running


def test_worker_on_which_tasks_stand_still_gets_tasks_last():
    """Guards against new tasks on a worker that answers and does nothing."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    owner.steps(2)
    stalled = next(n for n, w in site.workers.items() if w.running)
    site.workers[stalled].progress_percent = 10
    owner.steps(12)
    site.submit("j2", step_of(4))
    owner.steps(2)
    assert len(site.workers[stalled].running) == 1


def test_advised_queue_runs_on_approved_workers_with_tickets():
    """Guards against starts that each worker rejects for want of a ticket."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    owner.approved_workers = {"w1"}
    advised = queue_of()._replace(advice=AdviceTimes(10, 1, 3000))
    site.submit("j1", step_of(3), queue=advised)
    owner.steps(4)
    assert len(site.workers["w1"].running) == 3
    assert set(owner.tickets) == {"ticket-w1"}
    assert len(owner.questions) == 1


def test_expired_ticket_is_asked_for_again_and_a_refusal_is_not():
    """Guards against starts with old tickets, and against asking without end."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    owner.approved_workers = {"w1"}
    advised = queue_of(attempts_count=9)._replace(advice=AdviceTimes(10, 1, 3000))
    site.submit("j1", step_of(1), queue=advised)
    owner.steps(20)
    site.workers["w1"].end_all(RunOutcome.FAILED)
    owner.steps(4)
    assert len(site.workers["w1"].running) == 1
    assert [q.workers for q in owner.questions[1:]] == [("w1",)]


def test_lost_answers_of_the_store_neither_lose_nor_repeat_a_commit():
    """Guards against a commit that took effect and is believed to have failed."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    site.tables.lost_answers_count = 1
    owner.steps(4)
    assert site.started_count("j1.0.0.0") == 1
    site.workers["w0"].end_all()
    site.tables.lost_answers_count = 1
    owner.steps(4)
    assert site.state("j1") is JobState.COMPLETE
    assert not owner.is_lost


def test_delayed_commit_does_not_undo_a_later_one():
    """Guards against old progress that is written over new progress seconds later."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1))
    site.tables.delayed_count = 1
    owner.steps(3)
    site.workers["w0"].end_all()
    owner.steps(3)
    assert site.state("j1") is JobState.COMPLETE
    assert site.tables.apply_delayed() == 0
    assert site.state("j1") is JobState.COMPLETE
