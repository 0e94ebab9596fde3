"""Tests of answers to orders that come when their run has moved on."""

from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus


def test_stop_without_an_answer_is_repeated_after_a_late_confirmation_of_the_start():
    """Guards against a task of a cancelled job that nothing stops any more.

    The job is cancelled while the order to start is in flight, so that the start is
    confirmed when the run is being stopped. The order to stop is lost.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    worker = site.workers["w0"]
    site.submit("j1", make_step(1, is_long_running=True))
    worker.loses_stops = True
    site.on_orders = lambda: _cancel_before_orders(site, owner)
    owner.run_steps(1)
    assert worker.running == {"j1.0.0.0": 1}
    worker.loses_stops = False
    site.on_orders = lambda: None
    owner.run_steps(5)
    assert not worker.running
    assert not owner.scheduler.workers["w0"].runs


def test_stop_that_the_worker_refuses_is_repeated():
    """Guards against a refusal that counts as a stop, so that the task runs on."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1, is_long_running=True))
    owner.run_steps(3)
    site.cancel("j1")
    owner._read_jobs()
    (stop,) = owner.scheduler.take_orders()
    reply = OrderReply(OrderStatus.REJECTED, "status 400")
    owner.scheduler.outcomes.apply_stop(stop, reply, site.clock.monotonic_s())
    owner.run_steps(5)
    assert not site.workers["w0"].running


def _cancel_before_orders(site, owner):
    site.cancel("j1")
    owner._read_jobs()
