"""Tests that the threads of a worker's link survive unexpected errors."""

import queue
import threading
import time

import pytest

from standins.memory_worker import MemoryWorker
from standins.service_driver import make_queue, make_step
from sycamorecroft.clock import ManualClock, SystemClock
from sycamorecroft.errors import WorkerCallError
from sycamorecroft.scheduling.calls import (
    OrderStatus,
    RunOutcome,
    StartOrder,
    WorkerCalls,
)
from sycamorecroft.scheduling.commit import Acknowledgement
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.orders import StartTask, StopTask
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.worker_clock import WorkerClock
from sycamorecroft.scheduling.worker_link import (
    RETRY_MIN_S,
    START_CONTACT_LIMIT_S,
    RenewalFailed,
    RenewalKind,
    RenewalSucceeded,
    StartResult,
    StopResult,
    WorkerLink,
)

LEASE_S = 6.0
WAIT_S = 5.0


class _BrokenCalls(WorkerCalls):
    """Calls of which the first ones of each kind end with an unexpected error."""

    def __init__(self, worker, failures_count):
        self._calls = worker.calls(1)
        self._failures = dict.fromkeys(("renew", "order"), failures_count)

    def _fail(self, kind):
        self._failures[kind] -= 1
        if self._failures[kind] >= 0:
            raise TypeError("unsupported operand")

    def renew_leases(self, **arguments):
        self._fail("renew")
        return self._calls.renew_leases(**arguments | {"wait_ms": 0})

    @property
    def order_connections_count(self):
        return self._calls.order_connections_count

    def identify(self):
        return self._calls.identify()

    def start(self, order, may_send, **options):
        self._fail("order")
        return self._calls.start(order, may_send, **options)

    def stop(self, task, attempt):
        self._fail("order")
        return self._calls.stop(task, attempt)

    def throttle(self, task, attempt, percent):
        self._fail("order")
        return self._calls.throttle(task, attempt, percent)

    def close(self):
        self._calls.close()


def _start_link(calls, received):
    clock = SystemClock()

    def lease_limit_s():
        return clock.monotonic_s() + LEASE_S

    worker_clock = WorkerClock(LEASE_S)
    link = WorkerLink("w1", calls, worker_clock, clock, received.put, lease_limit_s)
    link.start()
    return link


@pytest.fixture
def received():
    return queue.Queue()


@pytest.fixture
def open_link(received):
    links = []

    def open_one(failures_count):
        link = _start_link(_BrokenCalls(MemoryWorker(), failures_count), received)
        links.append(link)
        return link

    yield open_one
    for link in links:
        link.close()


def _next(received, message_type):
    while True:
        message = received.get(timeout=WAIT_S)
        if isinstance(message, message_type):
            return message


def _run(job_id="j", **step_fields):
    spec = JobSpec("", (make_step(**step_fields),))
    job = Job(job_id, JobRow(make_queue(), spec, 0), 0.0, 0)
    job.start_due_occurrences(0.0, 0)
    task = next(iter(job.tasks.values()))
    task.attempt = 1
    return Run(task, "w1", 1, RunPhase.STARTING, 0.0)


def test_leases_are_renewed_after_an_unexpected_error(open_link, received):
    """Guards against leases that expire because the renewing thread has ended."""
    open_link(failures_count=2)
    assert _next(received, RenewalSucceeded).worker_id == "w1"


def test_renewal_that_ends_with_an_unexpected_error_may_have_extended_leases(
    open_link, received
):
    """Guards against runs that are started again although their leases go on."""
    open_link(failures_count=1)
    assert isinstance(received.get(timeout=WAIT_S), RenewalFailed)


def test_order_that_ends_with_an_unexpected_error_has_an_unknown_outcome(
    open_link, received
):
    """Guards against orders that are lost, and a start that is taken as not sent."""
    link = open_link(failures_count=1)
    _next(received, RenewalSucceeded)
    link.enqueue(StartTask(_run(), ""))
    assert _next(received, StartResult).reply.status is OrderStatus.UNKNOWN
    link.enqueue(StopTask("w1", "j.0.0.0", 1))
    assert _next(received, StopResult).reply.status is OrderStatus.DONE


def test_start_that_waited_in_a_paused_process_is_refused(received):
    """Guards against a run begun by an order whose lease ended during a pause.

    The new owner of the service may have started the task elsewhere meanwhile.
    """
    worker = MemoryWorker()
    link = _start_link(_BrokenCalls(worker, failures_count=0), received)
    while not link._worker_clock.deadline_ms:
        _next(received, RenewalSucceeded)
    link._closed.set()
    worker.clock_ms = link._worker_clock.deadline_ms
    reply = link._start_run(StartTask(_run(), ""))
    link.close()
    assert reply.status is OrderStatus.REJECTED
    assert not worker.running


def _link_to_restarted_worker(clock, limit_s=1000.0):
    """Returns a link that isn't started, to a worker that restarts after its answer."""
    worker = MemoryWorker()
    worker.clock_ms = 500_000
    link = WorkerLink(
        "w1",
        worker.calls(1),
        WorkerClock(LEASE_S),
        clock,
        lambda message: None,
        lambda: limit_s,
    )
    link._renew_leases(RenewalKind.LIST)
    link._renew_leases(RenewalKind.FULL)
    worker.restart()
    return link, worker


@pytest.mark.parametrize("pause_s", [0.0, 2.4, START_CONTACT_LIMIT_S, LEASE_S, 60.0])
def test_start_that_waited_in_a_paused_process_is_not_sent(pause_s):
    """Guards against a second run on a worker that has restarted during a pause.

    The worker has seen no epoch, and the deadline lies in the future on its clock.
    """
    clock = ManualClock()
    link, worker = _link_to_restarted_worker(clock)
    clock.advance(pause_s)
    assert link._start_run(StartTask(_run(), "")).status is OrderStatus.REJECTED
    assert not worker.running


def test_start_that_requires_a_label_is_not_sent_to_a_later_incarnation():
    """Guards against a start on a worker that has come back as another kind.

    The run was assigned before the restart, which the last run list has shown.
    """
    link, worker = _link_to_restarted_worker(ManualClock())
    for kind in (RenewalKind.LIST, RenewalKind.FULL):
        link._renew_leases(kind)
    run = _run(required_label="a")
    assert link._start_run(StartTask(run, "")).reason == "restarted"
    assert not worker.running


def test_start_that_requires_a_label_is_not_sent_to_a_worker_that_does_not_answer():
    """Guards against a start on a worker that comes back as another kind just then.

    The last call to renew leases has failed, so that a restart may have closed its
    connection.
    """
    link, worker = _link_to_restarted_worker(ManualClock())
    for kind in (RenewalKind.LIST, RenewalKind.FULL):
        link._renew_leases(kind)
    run = _run(required_label="a")
    run.incarnation_ms = link._incarnation_ms
    worker.restart()
    link._renew_leases(RenewalKind.FULL)
    assert link._start_run(StartTask(run, "")).reason == "restarted"
    assert not worker.running


def test_start_without_a_lease_is_not_sent():
    """Guards against a second run on a worker that only a former owner reaches.

    The former owner doesn't reach the store any more, so that it may grant no lease.
    """
    clock = ManualClock()
    link, worker = _link_to_restarted_worker(clock, limit_s=1.0)
    clock.advance(1.0)
    assert link._start_run(StartTask(_run(), "")).status is OrderStatus.REJECTED
    assert not worker.running


class _HeldCalls(_BrokenCalls):
    """Calls whose orders wait until they are released, like those without an answer."""

    def __init__(self, worker):
        super().__init__(worker, failures_count=0)
        self.is_held = threading.Event()
        self.is_released = threading.Event()

    def start(self, order, may_send, **options):
        self._hold()
        return super().start(order, may_send, **options)

    def stop(self, task, attempt):
        self._hold()
        return super().stop(task, attempt)

    def _hold(self):
        self.is_held.set()
        assert self.is_released.wait(WAIT_S)


@pytest.fixture
def held_link(received):
    worker = MemoryWorker()
    calls = _HeldCalls(worker)
    link = _start_link(calls, received)
    while not link._worker_clock.deadline_ms:
        _next(received, RenewalSucceeded)
    link.enqueue(StartTask(_run("held"), ""))
    assert calls.is_held.wait(WAIT_S)
    yield link, calls, worker
    link.close()


def test_start_behind_an_unanswered_order_is_not_sent_after_its_stop(
    held_link, received
):
    """Guards against a start that is sent seconds after its job was cancelled.

    Orders to a worker are sent one after another, so that one without an answer delays
    those behind it.
    """
    link, calls, worker = held_link
    run = _run("cancelled")
    link.enqueue(StartTask(run, ""))
    link.enqueue(StopTask("w1", run.task.id.name, run.attempt))
    link.enqueue(StartTask(_run("last"), ""))
    calls.is_released.set()
    results = [_next(received, StartResult) for _ in range(3)]
    statuses = {result.run.task.job.id: result.reply.status for result in results}
    assert [start.task for start in worker.started] == ["held.0.0.0", "last.0.0.0"]
    assert statuses["cancelled"] is OrderStatus.WITHDRAWN


def test_orders_of_a_replaced_link_are_reported_as_not_sent(held_link, received):
    """Guards against a run that is neither started nor placed on another worker."""
    link, calls, worker = held_link
    link.enqueue(StartTask(_run("waiting"), ""))
    link.withdraw()
    link.enqueue(StartTask(_run("later"), ""))
    calls.is_released.set()
    results = [_next(received, StartResult) for _ in range(3)]
    statuses = {result.run.task.job.id: result.reply.status for result in results}
    assert statuses["waiting"] is OrderStatus.WITHDRAWN
    assert statuses["later"] is OrderStatus.WITHDRAWN
    assert [start.task for start in worker.started] == ["held.0.0.0"]


def test_repeated_stops_do_not_lengthen_the_queue_of_orders(held_link, received):
    """Guards against orders that wait behind a stop that was queued many times."""
    link, calls, worker = held_link
    for _ in range(5):
        link.enqueue(StopTask("w1", "other.0.0.0", 1))
    link.enqueue(StartTask(_run("last"), ""))
    calls.is_released.set()
    stops_count = 0
    while True:
        message = _next(received, (StartResult, StopResult))
        if isinstance(message, StopResult):
            stops_count += 1
        elif message.run.task.job.id == "last":
            break
    assert stops_count == 1


class _RecordingCalls(_BrokenCalls):
    """Records what each call acknowledges; some calls fail or take long.

    :ivar is_failing: whether calls to renew leases get no answer.
    :ivar closes_connections: whether the worker closes them after each answer.
    :ivar delivered: arguments of each call that was answered, with the incarnation.
    """

    def __init__(self, worker):
        super().__init__(worker, failures_count=0)
        self._worker = worker
        self.is_failing = False
        self.closes_connections = False
        self.acknowledged = queue.Queue()
        self.delivered = []

    def renew_leases(self, **arguments):
        needs_open_connection = arguments.get("needs_open_connection", False)
        if self.closes_connections and needs_open_connection:
            raise WorkerCallError("no connection is open", may_have_run=False)
        self.acknowledged.put(arguments["acknowledged"])
        if self.is_failing:
            raise WorkerCallError("no response", may_have_run=True)
        reply = super().renew_leases(**arguments)
        self.delivered.append((reply.incarnation_ms, arguments))
        return reply

    def next_acknowledged(self):
        """Returns what the next call acknowledges that begins from now on."""
        while not self.acknowledged.empty():
            self.acknowledged.get()
        return self.acknowledged.get(timeout=WAIT_S)


@pytest.fixture
def recording_link(received):
    worker = MemoryWorker(incarnation_ms=1000)
    calls = _RecordingCalls(worker)
    link = _start_link(calls, received)
    _next(received, RenewalSucceeded)
    yield link, calls, worker
    link.close()


def _wait_until_acknowledged(calls, number):
    while calls.next_acknowledged() != number:
        pass


def test_acknowledgement_for_a_former_incarnation_is_not_sent(recording_link, received):
    """Guards against outcomes that a restarted worker drops unreported.

    The outcomes of the former incarnation were being stored during the restart.
    """
    link, calls, worker = recording_link
    incarnation_ms = worker.incarnation_ms
    worker.restart()
    while _next(received, RenewalSucceeded).reply.incarnation_ms == incarnation_ms:
        pass
    link.acknowledge(Acknowledgement("w1", incarnation_ms, 7))
    assert calls.next_acknowledged() == 0
    link.acknowledge(Acknowledgement("w1", worker.incarnation_ms, 3))
    _wait_until_acknowledged(calls, 3)


def test_acknowledgement_waits_for_the_first_answer_of_its_incarnation(received):
    """Guards against outcomes that stay unacknowledged after a link was replaced."""
    worker = MemoryWorker(incarnation_ms=5)
    calls = _RecordingCalls(worker)
    calls.is_failing = True
    link = _start_link(calls, received)
    link.acknowledge(Acknowledgement("w1", 5, 3))
    assert calls.next_acknowledged() == 0
    calls.is_failing = False
    _wait_until_acknowledged(calls, 3)
    link.close()


def test_first_call_after_a_failure_acknowledges_nothing(recording_link):
    """Guards against an acknowledgement that reaches a worker which has restarted."""
    link, calls, worker = recording_link
    link.acknowledge(Acknowledgement("w1", worker.incarnation_ms, 7))
    _wait_until_acknowledged(calls, 7)
    calls.is_failing = True
    _wait_until_acknowledged(calls, 0)
    worker.restart()
    calls.is_failing = False
    for _ in range(5):
        assert calls.next_acknowledged() == 0


def _wait_for_incarnation(received, incarnation_ms):
    while _next(received, RenewalSucceeded).reply.incarnation_ms != incarnation_ms:
        pass


def _calls_to(calls, incarnation_ms):
    """Returns the arguments of the calls that reached an incarnation of the worker."""
    return [arguments for peer, arguments in calls.delivered if peer == incarnation_ms]


def test_acknowledgement_right_after_an_answer_reaches_no_restarted_worker(
    recording_link, received
):
    """Guards against outcomes that a restarted worker drops unreported.

    The call waits for a run to finish. An end during the wait would be dropped if the
    number acknowledged, which is the former incarnation's, isn't lower.
    """
    link, calls, worker = recording_link
    link.acknowledge(Acknowledgement("w1", worker.incarnation_ms, 7))
    _wait_until_acknowledged(calls, 7)
    worker.restart()
    _wait_for_incarnation(received, worker.incarnation_ms)
    arrived = _calls_to(calls, worker.incarnation_ms)
    assert {arguments["acknowledged"] for arguments in arrived} == {0}
    assert arrived[0]["deadline_ms"] is None


def test_acknowledgement_after_a_pause_reaches_no_restarted_worker(
    recording_link, received
):
    """Guards against outcomes that a restarted worker drops unreported.

    While the store is slow, the link waits up to a second before its next call, and the
    worker restarts meanwhile.
    """
    link, calls, worker = recording_link
    link.acknowledge(Acknowledgement("w1", worker.incarnation_ms, 1))
    _wait_until_acknowledged(calls, 1)
    worker.start(StartOrder("j.0.0.0", 1, "", 10**9), epoch=1)
    worker.finish("j.0.0.0", RunOutcome.DONE)
    worker.start(StartOrder("j.0.0.1", 1, "", 10**9), epoch=1)
    worker.finish("j.0.0.1", RunOutcome.DONE)
    while not _next(received, RenewalSucceeded).reply.finished:
        pass
    worker.restart()
    _wait_for_incarnation(received, worker.incarnation_ms)
    arrived = _calls_to(calls, worker.incarnation_ms)
    assert {arguments["acknowledged"] for arguments in arrived} == {0}


def test_acknowledgement_of_a_worker_that_closes_connections_does_not_wait(received):
    """Guards against ends that stay unacknowledged, or that a wait may drop.

    Nothing proves that the next call reaches the same incarnation, so that the call
    comes soon after an answer and is answered at once.
    """
    worker = MemoryWorker(incarnation_ms=5)
    calls = _RecordingCalls(worker)
    calls.closes_connections = True
    link = _start_link(calls, received)
    _next(received, RenewalSucceeded)
    link.acknowledge(Acknowledgement("w1", 5, 3))
    for _ in range(2):
        _wait_until_acknowledged(calls, 3)
    link.close()
    arrived = _calls_to(calls, 5)
    acknowledging = [call for call in arrived if call["acknowledged"]]
    assert {call["wait_ms"] for call in acknowledging} == {0}
    assert any(call["deadline_ms"] for call in arrived)


def test_start_reaches_the_incarnation_that_it_was_assigned_to_or_none(
    recording_link, received
):
    """Guards against a lease that is taken for shorter than a restarted worker's.

    A start that can't reach another incarnation must not lengthen the wait for a worker
    that has crashed.
    """
    link, calls, worker = recording_link
    run = _run()
    run.incarnation_ms = worker.incarnation_ms

    def start():
        worker.clock_ms += 1
        link.enqueue(StartTask(run, ""))
        return _next(received, StartResult).reply

    while not link._worker_clock.deadline_ms:
        _next(received, RenewalSucceeded)
    for _ in range(2):
        reply = start()
        assert reply.status is OrderStatus.DONE
        assert reply.is_incarnation_known
    worker.restart()
    reply = start()
    assert reply.status is OrderStatus.REJECTED
    assert not reply.is_incarnation_known
    assert not worker.running


def test_acknowledgement_is_not_sent_to_an_incarnation_that_seems_older(
    recording_link, received
):
    """Guards against outcomes that are dropped after a step of the worker's clock."""
    link, calls, worker = recording_link
    incarnation_ms = worker.incarnation_ms
    link.acknowledge(Acknowledgement("w1", incarnation_ms, 7))
    _wait_until_acknowledged(calls, 7)
    worker.restart()
    worker.incarnation_ms = incarnation_ms - 10
    while _next(received, RenewalSucceeded).reply.incarnation_ms == incarnation_ms:
        pass
    assert calls.next_acknowledged() == 0


def test_calls_to_a_worker_that_closes_connections_are_paced(received):
    """Guards against a link that calls such a worker without a pause."""
    calls = _RecordingCalls(MemoryWorker(incarnation_ms=5))
    calls.closes_connections = True
    link = _start_link(calls, received)
    time.sleep(1.0)
    link.close()
    assert len(calls.delivered) <= 1.0 / RETRY_MIN_S + 2
