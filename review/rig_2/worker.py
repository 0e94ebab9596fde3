"""Stand-in of a worker, as ``PROTOCOL.md`` describes it under "Running tasks".

The text of a job tells what its tasks do: ``lasts`` runs until it is stopped, and
``work N`` ends as done after N milliseconds.
"""

import random
import threading
import time

from review.rig_2.http_json import ConnectionDroppedError, JsonStandIn, Request
from review.rig_2.record import Record

ADVANCE_INTERVAL_S = 0.005
FINISHED_PAGE_COUNT = 500
# Longer than any script runs.
DARK_MAX_S = 120
# The way between two zones and back.
NETWORK_S = 0.0018


class Run:
    """A run in progress."""

    def __init__(self, task: str, attempt: int, spec: str, now_s: float) -> None:
        self.task = task
        self.attempt = attempt
        self.started_s = now_s
        self.stop_due_s: float | None = None
        words = spec.split()
        is_bounded = len(words) == 2 and words[0] == "work"
        self.end_due_s = now_s + int(words[1]) / 1000 if is_bounded else None


class Worker(JsonStandIn):
    """One incarnation of a worker.

    :ivar running: runs in progress by the name of their task.
    :ivar malformed: what a run list holds in place of a checkpoint, besides its runs;
        ``None`` for a sound one.
    :ivar is_up: whether the worker answers; a crashed one runs nothing.
    """

    def __init__(
        self,
        worker_id: str,
        record: Record,
        *,
        hold_max_ms: int = 10_000,
        stop_ms: int = 900,
        stop_after_s: float = 0.1,
        machine: str = "",
        labels: tuple[str, ...] = ("a", "r1"),
        port: int = 0,
    ) -> None:
        """
        :param labels: the worker's kind and its rack.
        :param port: port of a former incarnation; 0 selects a free one.
        """
        self.labels = labels
        self.worker_id = worker_id
        self.machine = machine or f"m-{worker_id}"
        self.born_ms = int(time.time() * 1000)
        self.born_at_s = record.now_s()
        self.running: dict[str, Run] = {}
        self.starts: list[tuple[str, float]] = []
        self.is_up = True
        self.is_dark = False
        self.malformed: list | None = None
        self._record = record
        self._hold_max_ms = hold_max_ms
        self._stop_s = min(stop_after_s, stop_ms / 1000)
        self._created_s = time.monotonic()
        self._changed = threading.Condition()
        self._fence = 0
        self._deadline_ms = 0
        self._finished: list[list] = []
        self._ends_count = 0
        self._barred: dict[str, int] = {}
        self._grey_until_s = 0.0
        self._grey_share = 0.0
        self._grey_random = random.Random()
        super().__init__(port)
        threading.Thread(target=self._advance_repeatedly, daemon=True).start()

    def turn_grey(self, duration_s: float, share: float, seed: int) -> None:
        """Resets a share of the requests without carrying them out."""
        self._grey_random = random.Random(seed)
        self._grey_share = share
        self._grey_until_s = time.monotonic() + duration_s

    def crash(self) -> None:
        """Ends the worker: it runs nothing and answers nothing."""
        with self._changed:
            self.is_up = False
            self.running.clear()
            self._changed.notify_all()
        self.close()

    def go_dark(self) -> None:
        """Crashes without a word: nothing runs, and no request gets an answer."""
        with self._changed:
            self.is_dark = True
            self.running.clear()

    def _clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self._created_s) * 1000)

    def _advance_repeatedly(self) -> None:
        while self.is_up:
            time.sleep(ADVANCE_INTERVAL_S)
            with self._changed:
                self._advance()

    def _advance(self) -> None:
        now_s = time.monotonic()
        is_lapsed = bool(self._deadline_ms) and self._clock_ms() >= self._deadline_ms
        for run in list(self.running.values()):
            if is_lapsed:
                self._end(run, "lapsed")
            elif run.stop_due_s is not None and now_s >= run.stop_due_s:
                self._end(run, "stopped")
            elif run.end_due_s is not None and now_s >= run.end_due_s:
                self._end(run, "done")
        if is_lapsed:
            self._deadline_ms = 0

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._ends_count += 1
        self._finished.append([self._ends_count, run.task, run.attempt, how, ""])
        self._barred[run.task] = max(run.attempt, self._barred.get(run.task, 0))
        self._record.add(
            "run_ended",
            worker=self.worker_id,
            task=run.task,
            attempt=run.attempt,
            how=how,
        )
        self._changed.notify_all()

    def handle(self, request: Request) -> tuple[int, dict]:
        body = request.body
        path = request.path
        time.sleep(NETWORK_S)
        self._wait_if_dark()
        is_grey = time.monotonic() < self._grey_until_s
        if is_grey and self._grey_random.random() < self._grey_share:
            self._record.add(
                "request_reset",
                worker=self.worker_id,
                path=path,
                task=body.get("task", ""),
                attempt=body.get("attempt", ""),
            )
            raise ConnectionDroppedError
        if request.headers.get("x-expect-instance") != self.worker_id:
            return 421, {}
        with self._changed:
            if not self.is_up:
                raise ConnectionDroppedError
            if body.get("fence", 0) < self._fence:
                return 409, self._reply(reason="fence")
            self._fence = body.get("fence", 0)
            self._advance()
            if path == "/api/hold":
                return self._hold(body)
            if path == "/api/run-start":
                return self._start(body)
            if path == "/api/run-stop":
                return self._stop(body)
            return 200, self._reply()

    def _wait_if_dark(self) -> None:
        if not self.is_dark:
            return
        time.sleep(DARK_MAX_S)
        raise ConnectionDroppedError

    def _reply(self, **fields: object) -> dict:
        return {"clock-ms": self._clock_ms(), "born": self.born_ms} | fields

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + self._hold_max_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict) -> tuple[int, dict]:
        task, attempt = body["task"], body["attempt"]
        if body["deadline-ms"] <= self._clock_ms():
            return 409, self._reply(reason="late")
        self._extend(body["deadline-ms"])
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return 200, self._reply()
        if attempt <= self._barred.get(task, 0):
            return 409, self._reply(reason="old")
        self.running[task] = Run(task, attempt, body["spec"], time.monotonic())
        self.starts.append((task, self._record.now_s()))
        self._record.add(
            "run_started",
            worker=self.worker_id,
            task=task,
            attempt=attempt,
            fence=body["fence"],
            labels=",".join(self.labels),
        )
        return 200, self._reply()

    def _stop(self, body: dict) -> tuple[int, dict]:
        task, attempt = body["task"], body["attempt"]
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt and run.stop_due_s is None:
            run.stop_due_s = time.monotonic() + self._stop_s
        self._record.add(
            "stop_taken",
            worker=self.worker_id,
            task=task,
            attempt=attempt,
            is_running=run is not None,
        )
        return 200, self._reply()

    def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body.get("deadline-ms", 0))
        cursor = body.get("ack-cursor", 0)
        self._finished = [row for row in self._finished if row[0] > cursor]
        wait_s = min(body.get("wait-ms", 0), 2000) / 1000
        self._changed.wait_for(
            lambda: self._finished or not self.is_up or self.is_dark, wait_s
        )
        self._wait_if_dark()
        if not self.is_up:
            raise ConnectionDroppedError
        running = [[run.task, run.attempt, "", 100, 0] for run in self.running.values()]
        if self.malformed is not None:
            running.append(["", 0, self.malformed, 0, 0])
        finished = self._finished[:FINISHED_PAGE_COUNT]
        return 200, self._reply(running=running, finished=finished)
