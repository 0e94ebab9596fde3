"""Tests of the actor of a service."""

import threading
import time

import pytest
import structlog
from pykka import ActorDeadError

from standins.memory_worker import MemoryWorker
from standins.service_driver import (
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import PlatformError
from sycamorecroft.scheduling.calls import RenewalReply
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    CopyRefusal,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.service_actor import (
    RegistrationsChanged,
    ServiceActor,
    ServiceContext,
    StopService,
    Tick,
)
from sycamorecroft.scheduling.worker_link import RenewalSucceeded, WorkerReplaced

WAIT_S = 5.0


class _Workers:
    """Connects workers; ``connected`` is set once worker ``w1`` is called.

    :ivar registrations: registrations of the connected workers, in order.
    :ivar by_address: worker at each address; a new one where none is given.
    """

    def __init__(self):
        self.connected = threading.Event()
        self.registrations = []
        self.by_address = {}

    def connect(self, registration):
        if registration.worker_id == "bad":
            raise PlatformError("platform address must be 'ip:port', got 'nowhere'")
        self.connected.set()
        self.registrations.append(registration)
        worker = self.by_address.setdefault(registration.address, MemoryWorker())
        return worker.calls(1)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def workers():
    return _Workers()


@pytest.fixture
def scheduler():
    return Scheduler(SERVICE, SchedulerSettings())


@pytest.fixture
def context(clock, workers):
    return ServiceContext(
        clock=clock,
        lease_s=6.0,
        connect=workers.connect,
        lease_limit_s=lambda: clock.monotonic_s() + 6.0,
        on_lost=lambda: None,
        request_advice=lambda request, notify: None,
    )


@pytest.fixture
def actor(context, scheduler):
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


def _wait_for(condition):
    end_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_worker_that_restarted_at_another_address_is_called_there(actor, workers):
    """Guards against a service whose workers have moved and start no task any more."""
    former, moved = MemoryWorker(), MemoryWorker(incarnation_ms=2)
    workers.by_address = {"10.0.0.1:1": former, "10.0.0.2:1": moved}
    registration = make_registration("w1", address="10.0.0.1:1")
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    _wait_for(lambda: former.epoch)
    registration = registration._replace(address="10.0.0.2:1", incarnation_ms=2)
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    _wait_for(lambda: moved.epoch)
    assert [r.address for r in workers.registrations] == ["10.0.0.1:1", "10.0.0.2:1"]


def test_registered_restart_is_followed_by_a_call_on_a_new_connection(actor, workers):
    """Guards against orders to a new incarnation whose run list isn't known.

    After a crash that closes no connection, the call to the former incarnation waits
    until its timeout.
    """
    registration = make_registration("w1")
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    restarted = registration._replace(incarnation_ms=2)
    for _ in range(2):
        actor.ask(RegistrationsChanged((restarted,)), timeout=WAIT_S)
    assert workers.registrations == [registration, restarted]


def test_answer_at_a_former_address_ends_no_run(actor, clock, scheduler):
    """Guards against a second run of tasks that a worker runs at its new address."""
    registration = make_registration("w1", address="10.0.0.1:1")
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    sent_s = clock.monotonic_s()
    clock.advance(1.0)
    registration = registration._replace(address="10.0.0.2:1")
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    replaced = []
    scheduler.reports.apply_replacement = lambda worker_id, now_s: replaced.append(
        worker_id
    )
    actor.ask(WorkerReplaced("w1", sent_s), timeout=WAIT_S)
    assert not replaced
    actor.ask(WorkerReplaced("w1", clock.monotonic_s()), timeout=WAIT_S)
    assert replaced == ["w1"]


class _HeldRenewals:
    """Worker whose third call to renew leases gets no answer until it is released.

    The second one takes a second.
    """

    def __init__(self, clock):
        self._clock = clock
        self._worker = MemoryWorker()
        self._calls = self._worker.calls(1)
        self._sent_count = 0
        self.is_held = threading.Event()
        self.is_released = threading.Event()

    def calls(self, epoch):
        del epoch
        return self

    def renew_leases(self, **arguments):
        self._sent_count += 1
        if self._sent_count == 2:
            self._clock.advance(1.0)
            self._worker.clock_ms += 1000
        if self._sent_count > 2:
            self.is_held.set()
            assert self.is_released.wait(WAIT_S)
        return self._calls.renew_leases(**arguments)

    @property
    def order_connections_count(self):
        return self._calls.order_connections_count

    def close(self):
        pass


@pytest.mark.parametrize("is_replaced", [False, True])
def test_lease_that_a_call_in_flight_extends_is_waited_out(
    actor, clock, workers, scheduler, is_replaced
):
    """Guards against a second run after a pause of the process during that call.

    Its outcome is handled after the tick that looks for leases that have ended.
    """
    worker = _HeldRenewals(clock)
    registration = make_registration("w1")
    workers.by_address = {registration.address: worker}
    actor.ask(RegistrationsChanged((registration,)), timeout=WAIT_S)
    assert worker.is_held.wait(WAIT_S)
    _wait_for(lambda: scheduler.workers["w1"].lease_end_s > clock.monotonic_s())
    granted_end_s = clock.monotonic_s() + 6.0
    clock.advance(5.5)
    if is_replaced:
        moved = registration._replace(address="10.0.0.2:1", incarnation_ms=2)
        workers.by_address[moved.address] = MemoryWorker()
        workers.by_address[moved.address].is_unreachable = True
        actor.ask(RegistrationsChanged((moved,)), timeout=WAIT_S)
    actor.ask(Tick(clock.monotonic_s()), timeout=WAIT_S)
    worker.is_released.set()
    assert scheduler.workers["w1"].lease_end_s >= granted_end_s


def test_start_for_a_worker_without_a_link_is_reported_as_not_sent(context):
    """Guards against a task that waits for good for an order that was dropped.

    The worker's registration has got an invalid address since its task was assigned.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.submit("j1", make_step(1))
    owner._read_jobs()
    owner.scheduler.place(site.clock.monotonic_s())
    owner.commit()
    (run,) = owner.scheduler.jobs["j1"].runs()
    actor = ServiceActor(owner.scheduler, context, lambda snapshot: None)
    for order in owner.scheduler.take_orders():
        actor._send_order(order)
    assert run.task.is_waiting
    assert not owner.scheduler.workers["w0"].runs


def _question(clock, left_s=1.0):
    row = JobRow(make_queue(), JobSpec("", (make_step(1),)), 0)
    return CopyPlacement("j1", row, clock.monotonic_s() + left_s)


def test_question_is_answered_and_decisions_go_on(actor, clock, scheduler):
    """Guards against a question after which the messages before it aren't acted on."""
    copied = actor.ask(_question(clock), timeout=WAIT_S)
    assert isinstance(copied, CopiedPlacement)
    assert not scheduler.jobs
    decided = []
    scheduler.place = decided.append
    actor.ask(_question(clock), timeout=WAIT_S)
    assert decided == [clock.monotonic_s()]


def test_question_that_waited_for_the_actor_is_dropped(actor, clock):
    """Guards against work for operators who have left, while decisions are late."""
    answer = actor.ask(_question(clock, left_s=0.0), timeout=WAIT_S)
    assert answer is CopyRefusal.EXPIRED


def test_question_that_raises_an_error_holds_up_no_decision(actor, clock, scheduler):
    """Guards against an owner that stops deciding because of an explanation."""
    decided = []
    scheduler.place = decided.append

    def copy_placement(*arguments):
        raise ValueError("broken")

    scheduler.copy_placement = copy_placement
    with structlog.testing.capture_logs() as lines:
        assert actor.ask(_question(clock), timeout=WAIT_S) is None
    assert _events(lines, "placement_not_copied")
    assert decided


def test_stopped_service_answers_no_question(context, scheduler, clock):
    """Guards against an answer of an entry host that owns the service no more."""
    actor = ServiceActor.start(scheduler, context, lambda snapshot: None)
    actor.tell(StopService())
    try:
        answer = actor.ask(_question(clock), timeout=WAIT_S)
    except ActorDeadError:
        return
    assert answer is None
