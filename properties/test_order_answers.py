"""Randomised runs of a service whose orders are lost, or answered or executed late.

Jobs of tasks that last are submitted and cancelled all the while. Afterwards the
network is sound, and each worker has to run what its owner believes that it runs: one
run of each task of the jobs that go on, and nothing else.
"""

import random
from enum import Enum, auto
from typing import NamedTuple

import pytest

from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, StartOrder
from sycamorecroft.scheduling.orders import StartTask, StopTask, ThrottleTask
from sycamorecroft.scheduling.pending_orders import PendingOrders, WorkerOrder

STEP_S = 0.25
DISTURBED_STEPS_COUNT = 120
# Time in which an order may be executed late, then the bounds of a cancelling.
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
SETTLED_S = 10.0
ANSWER_LATE_MAX_S = 0.6
GOAL_MS = 100


class Fate(Enum):
    """What becomes of an order."""

    ANSWERED = auto()
    ANSWERED_LATE = auto()
    REFUSED = auto()
    FAILED = auto()
    LOST = auto()
    ANSWER_LOST = auto()
    EXECUTED_LATE = auto()


FATES = tuple(Fate)
FATE_WEIGHTS = (40, 25, 5, 5, 10, 10, 5)


class _OrderInFlight(NamedTuple):
    """An order that was sent; its answer arrives at ``answered_s``."""

    order: WorkerOrder
    reply: OrderReply
    answered_s: float


class _LateOrder(NamedTuple):
    order: WorkerOrder
    deadline_ms: int
    executed_s: float


class _OwnerOverNetwork(ServiceDriver):
    """Owner whose orders to a worker are sent one after another, as by its link.

    :ivar is_sound: whether all orders are executed and answered at once.
    :ivar starts_late: whether orders to start may be executed late.
    """

    def __init__(self, site: Site, seed: int) -> None:
        super().__init__(site, 1)
        self.random = random.Random(seed)
        self.is_sound = False
        self.starts_late = True
        self._pending = {name: PendingOrders() for name in site.workers}
        self._in_flight: dict[str, _OrderInFlight] = {}
        self._late: list[_LateOrder] = []

    @property
    def late_count(self) -> int:
        """Number of orders without an answer that are still to be executed."""
        return len(self._late)

    def send_orders(self) -> None:
        self._execute_late()
        for order in self.scheduler.take_orders():
            withdrawn = self._pending[order.worker_id].add(order)
            if withdrawn is not None:
                self._apply(withdrawn, OrderReply(OrderStatus.WITHDRAWN))
        for name in self.site.workers:
            self._send_to(name)

    def _send_to(self, name: str) -> None:
        """Applies the answer that is due, and sends orders until one has none yet."""
        now_s = self.site.clock.monotonic_s()
        while True:
            sent = self._in_flight.get(name)
            if sent is not None:
                if sent.answered_s > now_s:
                    return
                del self._in_flight[name]
                self._apply(sent.order, sent.reply)
            orders = self._pending[name]
            if not orders._orders:
                return
            self._in_flight[name] = self._dispatch(orders.take(), now_s)

    def _dispatch(self, order: WorkerOrder, now_s: float) -> _OrderInFlight:
        fate = Fate.ANSWERED
        if not self.is_sound:
            (fate,) = self.random.choices(FATES, FATE_WEIGHTS)
        if isinstance(order, StartTask) and not self.starts_late:
            fate = Fate.LOST if fate is Fate.EXECUTED_LATE else fate
        unknown = OrderReply(OrderStatus.UNKNOWN, "no response")
        deadline_ms = self._deadlines_ms.get(order.worker_id, 0)
        match fate:
            case Fate.REFUSED:
                reply = OrderReply(OrderStatus.UNHEALTHY)
            case Fate.FAILED:
                reply = OrderReply(OrderStatus.REJECTED, "status 400")
            case Fate.LOST:
                reply = unknown
            case Fate.EXECUTED_LATE:
                delay_s = self.random.uniform(LATE_MIN_S, LATE_MAX_S)
                self._late.append(_LateOrder(order, deadline_ms, now_s + delay_s))
                reply = unknown
            case _:
                reply = self._execute(order, deadline_ms)
        if fate is Fate.ANSWER_LOST:
            reply = unknown
        is_slow = fate is not Fate.ANSWERED
        wait_s = self.random.uniform(0, ANSWER_LATE_MAX_S) if is_slow else 0.0
        return _OrderInFlight(order, reply, now_s + wait_s)

    def _execute_late(self) -> None:
        now_s = self.site.clock.monotonic_s()
        due = [late for late in self._late if late.executed_s <= now_s]
        self._late = [late for late in self._late if late.executed_s > now_s]
        for late in due:
            self._execute(late.order, late.deadline_ms)

    def _execute(self, order: WorkerOrder, deadline_ms: int) -> OrderReply:
        calls = self.site.workers[order.worker_id].calls(self.epoch)
        if isinstance(order, StopTask):
            return calls.stop(order.task, order.attempt)
        run = order.run
        task = run.task.id.name
        if isinstance(order, ThrottleTask):
            return calls.throttle(task, run.attempt, order.percent)
        text = run.task.job.spec.text
        return calls.start(StartOrder(task, run.attempt, text, deadline_ms))

    def _apply(self, order: WorkerOrder, reply: OrderReply) -> None:
        outcomes = self.scheduler.outcomes
        now_s = self.site.clock.monotonic_s()
        if isinstance(order, StopTask):
            outcomes.apply_stop(order, reply, now_s)
        elif isinstance(order, ThrottleTask):
            outcomes.apply_throttle(order, reply, now_s)
        elif isinstance(order, StartTask):
            outcomes.apply_start(order.run, reply, now_s)


class _ServiceRun:
    """Service under random orders, whose jobs are submitted and cancelled."""

    def __init__(self, seed: int, has_restarts: bool) -> None:
        self.random = random.Random(seed)
        self.has_restarts = has_restarts
        self.site = Site(workers_count=4)
        for worker in self.site.workers.values():
            worker.stops_slowly = True
        self.site.on_orders = self._cancel_in_flight
        self.owner = _OwnerOverNetwork(self.site, seed)
        # A new life of a worker executes a start that was meant for the former one.
        self.owner.starts_late = not has_restarts
        self.jobs_count = 0
        self.open_jobs: set[str] = set()

    def disturb(self) -> None:
        for _ in range(DISTURBED_STEPS_COUNT):
            if self.random.random() < 0.3:
                self._submit()
            self._cancel_in_flight()
            self._set_gauges()
            self._disturb_workers()
            self._step()

    def _disturb_workers(self) -> None:
        worker = self.site.workers[f"w{self.random.randrange(4)}"]
        if self.random.random() < 0.05:
            worker.is_unreachable = not worker.is_unreachable
        if self.has_restarts and self.random.random() < 0.05:
            worker.restart()

    def settle(self) -> None:
        """Ends the disturbance, and waits until all has to be in order."""
        self.owner.is_sound = True
        self.site.on_orders = lambda: None
        self._cancel(0.3)
        for worker in self.site.workers.values():
            worker.is_unreachable = False
        while self.owner.late_count:
            self._step()
        for _ in range(round(SETTLED_S / STEP_S)):
            self._step()

    def _step(self) -> None:
        self.owner.step()
        self.site.advance(STEP_S)
        self.check_single_runs()

    def _submit(self) -> None:
        job_id = f"j{self.jobs_count}"
        count = self.random.randint(1, 4)
        is_best_effort = self.random.random() < 0.5
        kind = {"is_best_effort": True} if is_best_effort else {"goal_ms": GOAL_MS}
        step = make_step(count, 400, is_long_running=True, **kind)
        self.site.submit(job_id, step)
        self.jobs_count += 1
        self.open_jobs.add(job_id)

    def _cancel_in_flight(self) -> None:
        """Cancels some jobs, also such whose orders to start wait to be sent."""
        self._cancel(0.04)
        self.owner._read_jobs()

    def _cancel(self, share: float) -> None:
        for job_id in sorted(self.open_jobs):
            if self.random.random() < share:
                self.site.cancel(job_id)
                self.open_jobs.discard(job_id)

    def _set_gauges(self) -> None:
        for worker in self.site.workers.values():
            for task in worker.running:
                worker.gauges[task] = self.random.choice((20, 20, 150))

    def check_single_runs(self) -> None:
        running = [t for w in self.site.workers.values() for t in w.running]
        assert len(running) == len(set(running)), f"runs twice: {sorted(running)}"

    def check_settled(self) -> None:
        for name, worker in self.site.workers.items():
            known = self.owner.scheduler.workers[name].runs
            believed = {task: run.attempt for task, run in known.items()}
            assert worker.running == believed, name
            for task in worker.running:
                assert task.split(".")[0] in self.open_jobs, f"{task} was cancelled"
                share = worker.throttle_percents.get(task, 100)
                assert known[task].share_percent == share, task


@pytest.mark.parametrize("has_restarts", [False, True])
@pytest.mark.parametrize("seed", range(25))
def test_workers_run_what_their_owner_believes_whatever_orders_get_lost(
    seed, has_restarts
):
    """Guards against an answer that is applied to a run that has moved on."""
    run = _ServiceRun(seed, has_restarts)
    run.disturb()
    run.settle()
    run.check_settled()
    assert run.jobs_count > 10
