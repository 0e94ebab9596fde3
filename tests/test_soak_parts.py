"""Tests of the soak's own parts: the log of runs, the proxy and restarted workers."""

import contextlib
import random
import socket
import threading
import time

import pytest

from soak import run
from soak.accounts import CONFIGURATION_BOUND_S, UNKNOWN_KEY, Key, KeyRing, account_of
from soak.limits import HIGH_LIMIT_CPU, LOW_LIMIT_CPU, AccountLimit
from soak.observer import Observer
from soak.proxy import LinkMode, Proxy
from soak.run_log import LoggedWorker, RunLog
from soak.workers import ConnectionLoss, SoakWorker, fixed_task_s
from standins.platform_http import StoreServer
from standins.ports import reserve_port
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.scheduling.calls import OrderStatus, RunOutcome, StartOrder

TASK = "0000000000000001.0.0.0"
TIMEOUT_S = 0.3


def _start(worker: LoggedWorker, attempt: int, lease_ms: int = 5000) -> None:
    order = StartOrder(TASK, attempt, "", worker.clock_ms + lease_ms)
    assert worker.calls(1).start(order).status is OrderStatus.DONE


def _acknowledge(worker: LoggedWorker, number: int = 1) -> None:
    worker.calls(1).renew_leases(acknowledged=number, deadline_ms=None, wait_ms=0)


@pytest.fixture
def log():
    return RunLog()


@pytest.mark.parametrize("stops_first", [False, True])
def test_higher_attempt_beside_a_run_on_the_same_worker_is_a_violation(
    log, stops_first
):
    """Guards against a soak that overlooks two runs of a task on one worker."""
    worker = LoggedWorker("i-0", 1, log)
    worker.stops_slowly = True
    _start(worker, 1)
    if stops_first:
        worker.calls(1).stop(TASK, 1)
    _start(worker, 2)
    assert len(log.violations) == 1
    assert "ran twice at the same time: attempt 1 on i-0" in log.violations[0]


def test_runs_on_two_workers_are_a_violation(log):
    """Guards against a soak that overlooks two runs of a task on two workers."""
    _start(LoggedWorker("i-0", 1, log), 1)
    _start(LoggedWorker("i-1", 1, log), 2)
    assert len(log.violations) == 1


def test_start_after_the_end_of_the_former_run_is_allowed(log):
    """Guards against false alarms for runs that ended, lapsed or died with a worker."""
    workers = [LoggedWorker(f"i-{number}", 1, log) for number in range(4)]
    _start(workers[0], 1)
    workers[0].finish(TASK, RunOutcome.STOPPED)
    _start(workers[1], 2, lease_ms=1)
    workers[1].created_s -= 10
    _start(workers[2], 3)
    log.record_restart(workers[2])
    _start(workers[3], 4)
    assert not log.violations


@pytest.mark.parametrize("is_acknowledged_first", [False, True])
def test_start_after_an_acknowledged_end_is_a_violation(log, is_acknowledged_first):
    """Guards against a soak that overlooks starts between an end and its notice."""
    first, second = LoggedWorker("i-0", 1, log), LoggedWorker("i-1", 1, log)
    _start(first, 1)
    first.finish(TASK, RunOutcome.DONE)
    if is_acknowledged_first:
        _acknowledge(first)
    _start(second, 2)
    _acknowledge(first)
    assert len(log.violations) == 1
    assert "started again after an end that was acknowledged" in log.violations[0]


@pytest.mark.parametrize("loss", ["restart", "lapse"])
def test_start_after_an_end_that_is_lost_is_allowed(log, loss):
    """Guards against false alarms for ends that nobody can know of."""
    first, second = LoggedWorker("i-0", 1, log), LoggedWorker("i-1", 1, log)
    _start(first, 1)
    first.finish(TASK, RunOutcome.DONE)
    if loss == "restart":
        log.record_restart(first)
    else:
        first.clock_ms = first.deadline_ms
        first.expire_leases()
        _acknowledge(first)
    _start(second, 2)
    assert not log.violations


@pytest.fixture
def proxy():
    """Proxy in front of a server that sends all data back."""
    server = socket.create_server(("127.0.0.1", 0))

    def echo(connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := connection.recv(100):
                connection.sendall(data)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection = server.accept()[0]
                threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    proxy = Proxy(server.getsockname())
    yield proxy
    proxy.close()
    server.close()


def _connect(proxy: Proxy) -> socket.socket:
    host, _, port = proxy.address.partition(":")
    connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    connection.sendall(b"1")
    return connection


def test_loss_of_connections_is_seen_by_a_caller_that_waits(proxy):
    """Guards against proxy faults without effect.

    Connections that were reset while a thread waited for their data stayed open, and
    callers waited until their time-outs.
    """
    reset = _connect(proxy)
    assert reset.recv(1) == b"1"
    proxy.reset_all()
    with pytest.raises(ConnectionResetError):
        reset.recv(1)
    closed = _connect(proxy)
    assert closed.recv(1) == b"1"
    proxy.close_all()
    assert closed.recv(1) == b""
    silent = _connect(proxy)
    assert silent.recv(1) == b"1"
    proxy.silence()
    silent.sendall(b"2")
    with pytest.raises(TimeoutError):
        silent.recv(1)
    assert _connect(proxy).recv(1) == b"1"


def test_reset_reaches_callers_whichever_end_is_reset_first(proxy, monkeypatch):
    """Guards against callers that see the end of a stream in place of a reset.

    The thread that copies data closes both ends as soon as one of them ends.
    """
    connections = [_connect(proxy) for _ in range(8)]
    for connection in connections:
        assert connection.recv(1) == b"1"
    shutdown = socket.socket.shutdown

    def shut_down_and_wait(self, how):
        shutdown(self, how)
        threading.Event().wait(0.02)

    monkeypatch.setattr(socket.socket, "shutdown", shut_down_and_wait)
    proxy.reset_all()
    for connection in connections:
        with pytest.raises(ConnectionResetError):
            connection.recv(1)


def test_new_connections_are_closed_while_they_are_refused(proxy):
    """Guards against a store that answers again at once after it broke off."""
    proxy.close_all(refused_s=TIMEOUT_S)
    with contextlib.suppress(ConnectionError):
        assert _connect(proxy).recv(1) == b""
    threading.Event().wait(TIMEOUT_S)
    assert _connect(proxy).recv(1) == b"1"


def test_connections_to_a_host_without_power_stay_open(proxy):
    """Guards against former addresses that close connections after a loss of power."""
    proxy.set_target(None)
    with contextlib.suppress(ConnectionError):
        assert _connect(proxy).recv(1) == b""
    proxy.mode = LinkMode.STALLED
    with pytest.raises(TimeoutError):
        _connect(proxy).recv(1)


@pytest.mark.parametrize("is_moved", [False, True])
@pytest.mark.parametrize("loss", list(ConnectionLoss))
def test_restarted_worker_knows_nothing_and_registers_later(log, loss, is_moved):
    """Guards against restarts of the stand-in that keep runs, clock or numbers."""
    store = StoreServer(reserve_port())
    worker = SoakWorker(0, store, log, fixed_task_s, random.Random(1))
    former, former_link = worker.incarnations[-1], worker.link
    former.created_s -= 20
    former.set_clock(former.created_s + 20)
    _start(former, 1)
    registration = store.read("servers", "i-0")
    worker.restart(loss, is_moved=is_moved, registration_delay_s=0.0)
    current = worker.incarnations[-1]
    assert not former.running
    assert not current.running
    assert current.incarnation_ms > former.incarnation_ms
    assert current.clock_ms < former.clock_ms
    assert (worker.link is not former_link) == is_moved
    assert store.read("servers", "i-0") == registration
    worker.send_heartbeat(float("inf"), is_store_reachable=True)
    registration = store.read("servers", "i-0")
    assert registration["born"] == current.incarnation_ms
    assert registration["addr"] == worker.link.address
    worker.close()
    store.stop()


NORTH, OTHER_NORTH, NEW_NORTH = (
    Key(f"north-{name}", "north") for name in ("0", "1", "new")
)
SOUTH = "south"


@pytest.mark.parametrize(
    ("key", "account", "status", "violation"),
    [
        (NORTH, "north", 200, None),
        (NORTH, SOUTH, 403, None),
        (NORTH, "north", 503, None),
        (UNKNOWN_KEY, "north", 401, None),
        (UNKNOWN_KEY, "north", 503, None),
        (NORTH, SOUTH, 200, "served for a job of south"),
        (UNKNOWN_KEY, "north", 200, "an unknown key was served"),
        (NORTH, "north", 401, "the valid key north-0 was refused"),
        (NORTH, "north", 403, "refused for a job of its account"),
    ],
)
def test_answers_are_checked_by_their_keys(key, account, status, violation):
    """Guards against a soak that overlooks what keys give, or gives false alarms."""
    found = KeyRing().find_violation(key, account, 0.0, status)
    assert violation in found if violation else found is None


def test_replaced_key_is_checked_once_its_withdrawal_must_be_in_force():
    """Guards against a soak that overlooks a withdrawn key, or gives false alarms
    within the bound.
    """
    keys = KeyRing()
    sent_s = time.monotonic()
    published = []

    def refuse(tenants):
        raise StoreUnavailableError("down")

    with pytest.raises(StoreUnavailableError):
        keys.replace_one(refuse)
    assert not keys.is_replaced
    keys.replace_one(published.append)
    assert published[0][0] == {"name": "north", "keys": ["north-1", "north-new"]}
    assert keys.withdrawn == NORTH
    for key, status in ((NORTH, 200), (NORTH, 401), (NEW_NORTH, 401)):
        assert keys.find_violation(key, "north", sent_s, status) is None
    late_s = time.monotonic() + CONFIGURATION_BOUND_S
    assert keys.find_violation(NORTH, "north", late_s, 401) is None
    assert "withdrawn key" in keys.find_violation(NORTH, "north", late_s, 200)
    assert "valid key" in keys.find_violation(NEW_NORTH, "north", late_s, 401)
    assert "valid key" in keys.find_violation(OTHER_NORTH, "north", sent_s, 401)


def test_jobs_are_divided_among_the_accounts():
    """Guards against a soak in which one account has all jobs."""
    accounts = {account_of(f"{digit:x}" + "0" * 15) for digit in range(16)}
    assert accounts == {"north", "south"}


def _start_tasks(log: RunLog, first: int, count: int, account_digit: int = 1) -> None:
    worker = LoggedWorker(f"i-{first}", 1, log)
    for number in range(first, first + count):
        task = f"{account_digit}{number:015x}.0.0.0"
        order = StartOrder(task, 1, "", worker.clock_ms + 60_000)
        assert worker.calls(1).start(order).status is OrderStatus.DONE


def test_runs_over_the_limit_on_all_workers_together_are_a_violation():
    """Guards against a soak that overlooks an overrun that no worker shows alone."""
    limit = AccountLimit(task_cpu=500)
    log = RunLog(limit=limit)
    # 1.1 times 8,000 and one task of 500 are 9,300: 18 tasks.
    _start_tasks(log, 0, 9)
    _start_tasks(log, 20, 9)
    _start_tasks(log, 40, 40, account_digit=0)
    assert not log.violations
    _start_tasks(log, 80, 1)
    assert len(log.violations) == 1
    assert "south runs 9500 with a limit of 8000" in log.violations[0]


def test_ended_and_replaced_runs_do_not_count_towards_the_limit():
    """Guards against false alarms for runs that ended, lapsed or were replaced."""
    log = RunLog(limit=AccountLimit(task_cpu=500))
    workers = [LoggedWorker(f"i-{number}", 1, log) for number in range(4)]
    for number, worker in enumerate(workers):
        for task in range(5):
            name = f"1{number:02x}{task:013x}.0.0.0"
            order = StartOrder(name, 1, "", worker.clock_ms + 5000)
            if number == 3 and not task:
                workers[0].finish_all(RunOutcome.STOPPED)
                workers[1].created_s -= 10
                log.record_restart(workers[2])
            worker.calls(1).start(order)
    _start_tasks(log, 0, 13)
    assert not log.violations
    replacement = StartOrder("103" + f"{0:013x}.0.0.0", 2, "", 10_000)
    assert workers[3].calls(1).start(replacement).status is OrderStatus.DONE
    assert not [text for text in log.violations if "south runs" in text]


def test_highest_limit_that_may_be_in_force_is_checked():
    """Guards against a soak that checks a lowered limit too early, or never."""
    limit = AccountLimit(task_cpu=500)

    def refuse():
        raise StoreUnavailableError("down")

    with pytest.raises(StoreUnavailableError):
        limit.change(LOW_LIMIT_CPU, refuse)
    assert limit.find_violation("south", 18, float("inf")) is None
    limit.change(
        LOW_LIMIT_CPU,
        lambda: limit.find_violation("south", 18, time.monotonic()) and pytest.fail(),
    )
    soon_s = time.monotonic() + CONFIGURATION_BOUND_S - 1
    late_s = time.monotonic() + CONFIGURATION_BOUND_S
    assert limit.find_violation("south", 18, soon_s) is None
    # 1.1 times 2,000 and one task of 500 are 2,700: 5 tasks.
    assert limit.find_violation("south", 5, late_s) is None
    assert limit.find_violation("south", 6, late_s)
    limit.change(HIGH_LIMIT_CPU, lambda: None)
    assert limit.find_violation("south", 18, late_s) is None
    assert limit.find_violation("south", 19, late_s)
    assert limit.find_violation("north", 100, late_s) is None


def test_job_beside_the_flood_that_does_not_complete_is_a_violation(monkeypatch, log):
    """Guards against a soak that overlooks an account that a flood crowds out."""
    monkeypatch.setattr(run, "COMPLETION_LIMIT_S", 0.0)
    north_job, south_job = "2" + "0" * 15, "1" + "0" * 15
    observer = Observer(list)
    for job_id in (north_job, south_job):
        observer.record_submission_start(job_id)
        observer.record_submission(job_id, 200)
    run._wait_for_others(observer, log)
    assert observer.violations == [
        f"accepted job {north_job} did not complete during the flood"
    ]
