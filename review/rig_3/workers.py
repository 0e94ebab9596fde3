"""Stand-in of a worker, which registers itself and runs what it is told to start."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from review.rig_3.site import Record
from standins.platform_http import JsonServer, StoreServer
from standins.ports import reserve_port

HEARTBEAT_S = 1.5
HOLD_POLL_S = 0.01
LEASE_MAX_MS = 10000


class Kind(NamedTuple):
    """Capacity and label of a kind of worker."""

    name: str
    cpu: int


class Course(NamedTuple):
    """How long a run takes, and how it ends."""

    duration_s: float
    how: str = "done"


class _Run(NamedTuple):
    attempt: int
    end_s: float
    how: str
    cpu: int


class Worker(JsonServer):
    """One incarnation of a worker, at an address of its own.

    It doesn't guard its capacity: it starts whatever it is told to start.

    :ivar started_s: time of each start, by task.
    :ivar ended_s: time of each end, by task.
    :ivar most_cpu: most that its runs have asked for at once.
    :ivar is_silent: whether it writes no heartbeats.
    :ivar crashed_s: time at which it ended, ``None`` as long as it is up.
    :ivar on_start: called at each order to start, before it is carried out.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        kind: Kind,
        store: StoreServer,
        record: Record,
        *,
        port: int | None = None,
        course: Callable[[str], Course] = lambda task: Course(0.3),
        task_cpu: int = 1000,
    ) -> None:
        """
        :param course: returns what becomes of a run of a task.
        :param task_cpu: what each task asks for, in thousandths of a core.
        """
        self.worker_id = worker_id
        self._service = service
        self._kind = kind
        self._store = store
        self._record = record
        self._course = course
        self._task_cpu = task_cpu
        self._lock = threading.Lock()
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._runs: dict[str, _Run] = {}
        self._ended_attempts: dict[str, int] = {}
        self._finished: list[list] = []
        self._number = 0
        self._seq = 0
        self._stopped = threading.Event()
        self.started_s: dict[str, list[float]] = {}
        self.ended_s: dict[str, list[float]] = {}
        self.most_cpu = 0
        self.is_silent = False
        self.crashed_s: float | None = None
        self.on_start: Callable[[Worker], None] = lambda worker: None
        super().__init__(port or reserve_port())
        record.write(f"{worker_id} born {self._born_ms}, {kind.cpu} thousandths")

    def start_heartbeats(self, delay_s: float = 0.0) -> None:
        """Registers now, or at its first heartbeat, and then with each."""
        threading.Thread(target=self._register, args=(delay_s,), daemon=True).start()

    def _register(self, delay_s: float) -> None:
        while not self._stopped.wait(delay_s):
            if self.is_silent:
                delay_s = HOLD_POLL_S
                continue
            self._seq += 1
            self._store.put(
                "servers",
                self.worker_id,
                {
                    "service": self._service,
                    "addr": self.address,
                    "zone": "ondangwa",
                    "version": "1",
                    "slots": 8,
                    "state": "ready",
                    "cold-left-ms": 0,
                    "seq": self._seq,
                    "capacity": {"cpu": self._kind.cpu, "mem-mb": 131072, "gpu": 0},
                    "labels": [self._kind.name, "r1-0"],
                    "born": self._born_ms,
                    "machine": f"m-{self.worker_id}",
                },
            )
            self._record.write(
                f"{self.worker_id} registers, {self._kind.cpu} thousandths"
            )
            delay_s = HEARTBEAT_S

    def running_tasks(self) -> list[str]:
        """
        :returns: names of the tasks that run now.
        """
        with self._lock:
            return list(self._runs)

    def stop(self) -> None:
        with self._lock:
            if self.crashed_s is None:
                self.crashed_s = self._record.write(f"{self.worker_id} is down")
            self._stopped.set()
        super().stop()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000) + 1

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        if self._stopped.is_set():
            return 503, {}
        if path == "/api/hold":
            return self._hold(body)
        if path == "/api/run-start":
            self.on_start(self)
        with self._lock:
            if self._stopped.is_set():
                return 503, {}
            self._advance()
            if body["fence"] < self._fence:
                return self._refuse("fence")
            self._fence = body["fence"]
            if path == "/api/run-start":
                return self._start(body)
            if path == "/api/run-stop":
                return self._stop(body)
        return 400, {}

    def _refuse(self, reason: str) -> tuple:
        return 409, {"clock-ms": self._clock_ms(), "reason": reason}

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self._clock_ms() + LEASE_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, body: dict) -> tuple:
        task, attempt = body["task"], body["attempt"]
        if body["deadline-ms"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(body["deadline-ms"])
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, {"clock-ms": self._clock_ms()}
        if run is not None or attempt <= self._ended_attempts.get(task, 0):
            return self._refuse("old")
        now_s = self._record.write(f"{self.worker_id} starts {task}, attempt {attempt}")
        course = self._course(task)
        end_s = now_s + course.duration_s
        self._runs[task] = _Run(attempt, end_s, course.how, self._task_cpu)
        self.started_s.setdefault(task, []).append(now_s)
        used = sum(run.cpu for run in self._runs.values())
        if used > self.most_cpu:
            self.most_cpu = used
            self._record.write(f"{self.worker_id} runs {used} of {self._kind.cpu}")
        return 200, {"clock-ms": self._clock_ms()}

    def _stop(self, body: dict) -> tuple:
        task, attempt = body["task"], body["attempt"]
        run = self._runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(task, "stopped")
        self._ended_attempts[task] = max(self._ended_attempts.get(task, 0), attempt)
        return 200, {"clock-ms": self._clock_ms()}

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._ended_attempts[task] = run.attempt
        self._number += 1
        self._finished.append([self._number, task, run.attempt, how, ""])
        now_s = self._record.write(
            f"{self.worker_id} ends {task}, {run.attempt}: {how}"
        )
        self.ended_s.setdefault(task, []).append(now_s)

    def _advance(self) -> None:
        now_s = time.monotonic()
        is_lapsed = self._clock_ms() >= self._deadline_ms
        for task, run in list(self._runs.items()):
            if now_s >= run.end_s:
                self._end(task, run.how)
            elif is_lapsed:
                self._end(task, "lapsed")

    def _hold(self, body: dict) -> tuple:
        end_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while True:
            with self._lock:
                if self._stopped.is_set():
                    return 503, {}
                self._advance()
                if body["fence"] < self._fence:
                    return self._refuse("fence")
                self._fence = body["fence"]
                if "deadline-ms" in body:
                    self._extend(body["deadline-ms"])
                cursor = body["ack-cursor"]
                self._finished = [row for row in self._finished if row[0] > cursor]
                if self._finished or time.monotonic() >= end_s:
                    break
            time.sleep(HOLD_POLL_S)
        with self._lock:
            return 200, {
                "clock-ms": self._clock_ms(),
                "born": self._born_ms,
                "running": [
                    [task, run.attempt, "", 100, run.cpu]
                    for task, run in self._runs.items()
                ],
                "finished": self._finished[:500],
            }
