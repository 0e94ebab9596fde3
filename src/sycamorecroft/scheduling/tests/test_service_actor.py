"""Tests of the actor of a service."""

import threading

import pytest
import structlog

from standins.memory_worker import MemoryWorker
from standins.service_driver import SERVICE, make_registration
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import PlatformError
from sycamorecroft.scheduling.calls import RenewalReply
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.service_actor import (
    RegistrationsChanged,
    ServiceActor,
    ServiceContext,
    StopService,
)
from sycamorecroft.scheduling.worker_link import RenewalSucceeded

WAIT_S = 5.0


class _Workers:
    """Connects workers; ``connected`` is set once worker ``w1`` is called."""

    def __init__(self):
        self.connected = threading.Event()

    def connect(self, registration):
        if registration.worker_id == "bad":
            raise PlatformError("platform address must be 'ip:port', got 'nowhere'")
        self.connected.set()
        return MemoryWorker().calls(1)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def workers():
    return _Workers()


@pytest.fixture
def actor(clock, workers):
    context = ServiceContext(
        clock=clock,
        lease_s=6.0,
        connect=workers.connect,
        lease_limit_s=lambda: clock.monotonic_s() + 6.0,
        on_lost=lambda: None,
        request_advice=lambda request, notify: None,
    )
    scheduler = Scheduler(SERVICE, SchedulerSettings())
    actor = ServiceActor.start(scheduler, context, lambda snapshot: None)
    yield actor
    actor.tell(StopService())


def _events(lines, event):
    return [line for line in lines if line["event"] == event]


def test_worker_without_a_valid_address_does_not_stop_the_service(actor, workers):
    """Guards against a service that starts nothing because of one registration."""
    registrations = (
        make_registration("bad", address="nowhere"),
        make_registration("w1"),
    )
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            actor.ask(RegistrationsChanged(registrations), timeout=WAIT_S)
    assert workers.connected.wait(WAIT_S)
    assert len(_events(lines, "worker_address_invalid")) == 1
    assert not _events(lines, "actor_message_failed")


def test_run_list_that_waited_for_the_actor_is_logged(actor, clock):
    """Guards against an owner whose log doesn't show that its decisions are late."""
    reply = RenewalReply(1000, 1, (), ())
    received_s = clock.monotonic_s()
    clock.advance(0.4)
    with structlog.testing.capture_logs() as lines:
        message = RenewalSucceeded("w1", reply, received_s, received_s, received_s)
        actor.ask(message, timeout=WAIT_S)
    (line,) = _events(lines, "service_decisions_delayed")
    assert line["delay_s"] == 0.4
