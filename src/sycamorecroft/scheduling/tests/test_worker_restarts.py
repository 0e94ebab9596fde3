"""Tests of the runs of workers that restart under their id."""

import pytest

from standins.memory_worker import LEASE_MAX_MS
from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, RunOutcome
from sycamorecroft.scheduling.rows import JobState


def test_runs_of_a_restarted_worker_are_expired():
    """Guards against waiting for the outcome of a run that a crash has ended."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    site.workers["w0"].restart()
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 2


def _start_on_restarted_worker(owner, site):
    """Lets a start order reach the new incarnation of a worker that has restarted."""
    site.submit("j1", make_step(1))
    owner.run_steps(1)
    site.submit("j2", make_step(1))
    owner._read_jobs()
    owner.scheduler.place(site.clock.monotonic_s())
    owner.commit()
    site.workers["w0"].restart()
    owner.send_orders()
    assert "j2.0.0.0" in site.workers["w0"].running


def test_run_begun_by_a_restarted_worker_is_not_started_again():
    """Guards against a second run of a task that the new incarnation has begun.

    The owner learns of the restart only after it has sent the order to start.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    _start_on_restarted_worker(owner, site)
    owner.run_steps(4)
    assert site.started_count("j2.0.0.0") == 1
    assert site.started_count("j1.0.0.0") == 2


def test_registration_of_a_restarted_worker_does_not_end_its_runs():
    """Guards against a second run when the registration tells of the restart first.

    The new run then goes to the same worker, beside the one that it has begun.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    _start_on_restarted_worker(owner, site)
    incarnation_ms = site.workers["w0"].incarnation_ms
    registration = site.registrations["w0"]._replace(incarnation_ms=incarnation_ms)
    site.registrations["w0"] = registration
    owner._read_jobs()
    owner.run_steps(4)
    assert site.started_count("j2.0.0.0") == 1


def test_wrong_incarnation_in_a_registration_ends_no_run():
    """Guards against runs that are started again because of an odd entry."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    registration = site.registrations["w0"]
    site.registrations["w0"] = registration._replace(incarnation_ms=2**53)
    owner.run_steps(3)
    site.registrations["w0"] = registration
    owner.run_steps(40)
    assert site.started_count("j1.0.0.0") == 1
    site.workers["w0"].finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_silent_worker_keeps_runs_begun_at_its_restart_as_long_as_it_may():
    """Guards against a second run of a task whose lease is longer than was granted.

    The order carried a deadline on the clock of the former incarnation, which the new
    one shortens to the longest lease only.
    """
    site = Site(workers_count=2)
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=True)
    owner = ServiceDriver(site, 1)
    site.advance(60.0)
    _start_on_restarted_worker(owner, site)
    owner.run_steps(1)
    site.workers["w0"].is_unreachable = True
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=False)
    while "j2.0.0.0" in site.workers["w0"].running:
        assert site.started_count("j2.0.0.0") == 1
        owner.run_steps(1)
    owner.run_steps(10)
    assert site.started_count("j2.0.0.0") == 2


def test_takeover_keeps_runs_begun_by_a_restarted_worker():
    """Guards against a second run after a takeover at the time of a restart.

    The former owner had stored the run with the incarnation that it knew.
    """
    site = Site(workers_count=1)
    _start_on_restarted_worker(ServiceDriver(site, 1), site)
    registration = site.registrations.pop("w0")
    owner = ServiceDriver(site, 2, former_lease_s=6.0)
    incarnation_ms = site.workers["w0"].incarnation_ms
    site.registrations["w0"] = registration._replace(incarnation_ms=incarnation_ms)
    owner.run_steps(4)
    assert site.started_count("j2.0.0.0") == 1


def test_stop_that_a_former_incarnation_confirmed_is_repeated():
    """Guards against a second run beside a start that a restarted worker executes late.

    Only the incarnation that confirmed the stop refuses the start.
    """
    site = Site(workers_count=2)
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=True)
    owner = ServiceDriver(site, 1)
    worker = site.workers["w0"]
    owner.run_steps(2)
    site.submit("j1", make_step(1))
    worker.delays_starts = True
    owner.run_steps(1)
    owner.send_orders()
    worker.restart()
    site.registrations["w0"] = site.registrations["w0"]._replace(is_draining=True)
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=False)
    owner.run_steps(5)
    assert "j1.0.0.0" in site.workers["w1"].running
    worker.execute_delayed_starts()
    assert "j1.0.0.0" not in worker.running


@pytest.fixture
def restarted_site():
    """Site of two workers, of which w0 has begun j2 just after a restart."""
    site = Site(workers_count=2)
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=True)
    owner = ServiceDriver(site, 1)
    site.advance(60.0)
    _start_on_restarted_worker(owner, site)
    site.registrations["w1"] = site.registrations["w1"]._replace(is_draining=False)
    return site, owner


def _check_single_run_on_silent_worker(site, owner):
    """Checks that j2 starts again only after it has ended on the silent worker."""
    site.workers["w0"].is_unreachable = True
    while "j2.0.0.0" in site.workers["w0"].running:
        assert site.started_count("j2.0.0.0") == 1
        owner.run_steps(1)
    owner.run_steps(10)
    assert site.started_count("j2.0.0.0") == 2


def test_worker_that_falls_silent_at_its_restart_keeps_the_run_it_has_begun(
    restarted_site,
):
    """Guards against a second run when the restart of a worker isn't seen in time.

    The new incarnation has confirmed the order, whose deadline is on the former one's
    clock, and answers no call after it.
    """
    _check_single_run_on_silent_worker(*restarted_site)


def test_unanswered_renewal_may_extend_the_lease_of_a_restarted_worker(restarted_site):
    """Guards against a second run after a renewal that only the worker has seen.

    Its deadline, too, is on the clock of the former incarnation.
    """
    site, owner = restarted_site
    site.advance(2.0)
    worker = site.workers["w0"]
    worker.deadline_ms = worker.clock_ms + LEASE_MAX_MS
    now_s = site.clock.monotonic_s()
    owner.scheduler.reports.extend_lease("w0", 0.0, may_be_restarted=True, now_s=now_s)
    _check_single_run_on_silent_worker(site, owner)


@pytest.mark.parametrize("reason", ["old", "room"])
def test_rejected_start_may_extend_the_lease_of_a_restarted_worker(
    restarted_site, reason
):
    """Guards against a second run after a start that only another run's lease got.

    A worker takes the deadline of a start also if it rejects it with this reason. The
    deadline is on the clock of the former incarnation.
    """
    site, owner = restarted_site
    site.submit("j3", make_step(1))
    owner._read_jobs()
    owner.scheduler.place(site.clock.monotonic_s())
    owner.commit()
    (start,) = owner.scheduler.take_orders()
    site.advance(2.0)
    worker = site.workers["w0"]
    worker.deadline_ms = worker.clock_ms + LEASE_MAX_MS
    reply = OrderReply(OrderStatus.REJECTED, reason)
    owner.scheduler.outcomes.apply_start(start.run, reply, site.clock.monotonic_s())
    _check_single_run_on_silent_worker(site, owner)


def _restart_after_clock_step(worker):
    """Restarts a worker whose wall clock was set back, so that it seems older."""
    incarnation_ms = worker.incarnation_ms
    worker.restart()
    worker.incarnation_ms = incarnation_ms - 10


def test_restart_after_the_clock_of_a_worker_was_set_back_is_seen():
    """Guards against a worker that counts as silent, and loses its runs, for good."""
    site = Site(workers_count=1)
    site.workers["w0"].incarnation_ms = 1000
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    _restart_after_clock_step(site.workers["w0"])
    owner.run_steps(5)
    assert site.started_count("j1.0.0.0") == 2
    site.workers["w0"].finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_late_run_list_of_a_former_incarnation_is_ignored():
    """Guards against runs that end because a list overtakes that of a restart."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    sent_s = site.clock.monotonic_s()
    former_list = site.workers["w0"].list_runs(0)
    site.advance(0.1)
    _restart_after_clock_step(site.workers["w0"])
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    owner.scheduler.reports.apply_renewal(
        "w0",
        former_list,
        sent_s=sent_s,
        now_s=site.clock.monotonic_s(),
        lease_end_s=0.0,
    )
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1


def _lose_contact_after_the_end(owner, site):
    """Ends a run as done on a worker that is cut off until its lease has ended."""
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    worker = site.workers["w0"]
    worker.is_unreachable = True
    worker.finish("j1.0.0.0", RunOutcome.DONE)
    site.advance(2 * LEASE_MAX_MS / 1000)
    owner.run_steps(2)
    assert not owner.scheduler.workers["w0"].runs
    return worker


def test_end_that_is_heard_after_the_lease_completes_a_waiting_task():
    """Guards against work that runs again although its end as done is known.

    The worker was cut off from before the end until after the end of its lease, and no
    other worker is free.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    worker = _lose_contact_after_the_end(owner, site)
    worker.is_unreachable = False
    owner.run_steps(4)
    assert site.started_count("j1.0.0.0") == 1
    assert site.state("j1") is JobState.COMPLETE


def test_end_that_is_heard_while_a_new_run_is_stored_prevents_its_start():
    """Guards against work that runs again although its end as done is known.

    Another run has been assigned; its order is given once the assignment is stored.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.workers["w1"].is_unreachable = True
    worker = _lose_contact_after_the_end(owner, site)
    site.workers["w1"].is_unreachable = False
    owner._list_runs()
    owner.scheduler.place(site.clock.monotonic_s())
    assert owner.scheduler.workers["w1"].runs
    worker.is_unreachable = False
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1
    assert site.state("j1") is JobState.COMPLETE


def test_end_of_a_former_attempt_stops_no_later_run():
    """Guards against the loss of a run whose order has been given."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    worker = _lose_contact_after_the_end(owner, site)
    owner.run_steps(3)
    assert site.workers["w1"].running == {"j1.0.0.0": 2}
    worker.is_unreachable = False
    owner.run_steps(3)
    assert site.workers["w1"].running == {"j1.0.0.0": 2}
    site.workers["w1"].finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE
    assert site.started_count("j1.0.0.0") == 2


def test_end_of_an_earlier_job_under_the_same_id_completes_no_task():
    """Guards against a job shown as complete that never ran.

    A worker was cut off until the job that it had run a task of had ended, was removed,
    and another job was submitted under its id.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    worker = _lose_contact_after_the_end(owner, site)
    owner.run_steps(3)
    site.workers["w1"].finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE
    site.advance(200.0)
    owner.run_steps(4)
    assert site.state("j1") is None
    starts_count = site.started_count("j1.0.0.0")
    site.workers["w1"].is_unreachable = True
    site.advance(20.0)
    site.submit("j1", make_step(1))
    owner.step()
    worker.is_unreachable = False
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") > starts_count
