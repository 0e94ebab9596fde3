"""Workers of a soak run, which restart under their id and register themselves."""

import random
import threading
import time
from collections.abc import Callable
from enum import StrEnum

from soak.proxy import LinkMode, Proxy
from soak.run_log import LoggedWorker, RunLog
from standins.platform_http import StoreServer
from standins.ports import reserve_port
from standins.worker_http import WorkerServer
from sycamorecroft.errors import StoreUnavailableError

HEARTBEAT_S = 1.5
# A registration that lapsed with the store is back within this time of its return.
REGISTRATION_LIMIT_S = 2.0
FIXED_TASK_S = 0.3
TASK_S = (0.3, 3.0)
STOP_S = (0.1, 0.6)
# The platform's workers have clocks that may be 2% slow.
CLOCK_RATES = (0.98, 1.0)


def varied_task_s(task: str) -> float:
    """
    :returns: time that runs of a task take, within ``TASK_S``.
    """
    shortest_s, longest_s = TASK_S
    return shortest_s + int(task[:4], 16) / 0xFFFF * (longest_s - shortest_s)


def fixed_task_s(task: str) -> float:
    """
    :returns: ``FIXED_TASK_S`` for each task.
    """
    return FIXED_TASK_S


class ConnectionLoss(StrEnum):
    """What becomes of the connections to a worker that ends.

    ``SILENT``: they stay open and deliver nothing, as after a loss of power.
    """

    SILENT = "silent"
    CLOSED = "closed"
    RESET = "reset"


class _Incarnation(WorkerServer):
    """Server of one incarnation."""

    def __init__(
        self, worker: LoggedWorker, stop_s: float, task_s: Callable[[str], float]
    ) -> None:
        self._task_s = task_s
        port = reserve_port()
        self.target = ("127.0.0.1", port)
        super().__init__(port, stop_s=stop_s, worker=worker)

    def task_duration_s(self, task: str) -> float:
        return self._task_s(task)


class SoakWorker:
    """Worker behind a proxy. Its id stays the same through all incarnations.

    :ivar link: proxy at the address that the current incarnation registers.
    :ivar incarnations: state of each incarnation, the current one last.
    """

    def __init__(
        self,
        number: int,
        store: StoreServer,
        log: RunLog,
        task_s: Callable[[str], float],
        rng: random.Random,
    ) -> None:
        self.worker_id = f"i-{number}"
        self.service = ("rating", "dispatch")[number % 2]
        self._number = number
        self._store = store
        self._log = log
        self._task_s = task_s
        self._random = rng
        self._lock = threading.Lock()
        self._is_store_away = False
        self.incarnations: list[LoggedWorker] = []
        self._former_links: list[Proxy] = []
        self._server = self._start_incarnation()
        self.link = Proxy(self._server.target)
        self._next_heartbeat_s = 0.0
        self.send_heartbeat(time.monotonic(), is_store_reachable=True)

    def _start_incarnation(self) -> _Incarnation:
        born_ms = int(time.time() * 1000)
        if self.incarnations:
            born_ms = max(born_ms, self.incarnations[-1].incarnation_ms + 1)
        worker = LoggedWorker(self.worker_id, born_ms, self._log)
        worker.clock_rate = self._random.uniform(*CLOCK_RATES)
        self.incarnations.append(worker)
        stop_s = self._random.uniform(*STOP_S)
        return _Incarnation(worker, stop_s, self._task_s)

    def advance(self) -> None:
        """Ends the runs whose time, stop or lease is over."""
        self._server.advance()

    def restart(
        self, loss: ConnectionLoss, *, is_moved: bool, registration_delay_s: float
    ) -> None:
        """Ends the current incarnation and starts the next one at once.

        :param is_moved: whether the next incarnation has another address.
        :param registration_delay_s: time until the next incarnation registers. The
            registration of the former one stays until then.
        """
        former_server, former_link = self._server, self.link
        former_link.set_target(None)
        _LOSSES[loss](former_link)
        former_server.kill()
        self._log.record_restart(former_server.worker)
        with self._lock:
            self._server = self._start_incarnation()
            if is_moved:
                self.link = Proxy(self._server.target)
                self._former_links.append(former_link)
                if loss is ConnectionLoss.SILENT:
                    former_link.mode = LinkMode.STALLED
            else:
                former_link.set_target(self._server.target)
            self._next_heartbeat_s = time.monotonic() + registration_delay_s
        threading.Thread(target=former_server.stop, daemon=True).start()

    def lapse_registration(self, return_delay_s: float | None = None) -> None:
        """Removes the registration.

        :param return_delay_s: time until the worker registers again; ``None`` leaves it
            at the next heartbeat.
        """
        with self._lock:
            self._store.drop("servers", self.worker_id)
            if return_delay_s is not None:
                self._next_heartbeat_s = time.monotonic() + return_delay_s

    def send_heartbeat(self, now_s: float, *, is_store_reachable: bool) -> None:
        """Registers the worker if its next heartbeat is due.

        :param now_s: monotonic time.
        :param is_store_reachable: whether workers reach the store.
        """
        with self._lock:
            if now_s < self._next_heartbeat_s:
                return
            try:
                if not is_store_reachable:
                    raise StoreUnavailableError("workers don't reach the store")
                if self._is_store_away:
                    self._is_store_away = False
                    delay_s = self._random.uniform(0, REGISTRATION_LIMIT_S)
                    self._next_heartbeat_s = now_s + delay_s
                    return
                self._register()
                self._next_heartbeat_s = now_s + HEARTBEAT_S
            except StoreUnavailableError:
                self._is_store_away = True

    def _register(self) -> None:
        registration = {
            "service": self.service,
            "addr": self.link.address,
            "state": "ready",
            "capacity": {"cpu": 4000, "mem-mb": 1000, "gpu": 0},
            "labels": ["a", f"r{self._number % 3}"],
            "born": self.incarnations[-1].incarnation_ms,
        }
        if self._store.read("servers", self.worker_id) != registration:
            self._store.put("servers", self.worker_id, registration)

    def close(self) -> None:
        """Ends the worker and its proxies."""
        for link in (self.link, *self._former_links):
            link.close()
        self._server.kill()
        self._server.stop()


_LOSSES: dict[ConnectionLoss, Callable[[Proxy], None]] = {
    ConnectionLoss.SILENT: Proxy.silence,
    ConnectionLoss.CLOSED: Proxy.close_all,
    ConnectionLoss.RESET: Proxy.reset_all,
}
