"""Stand-in of a worker, as PROTOCOL.md describes it, as a process of its own.

The specification of a job tells the worker how its tasks behave:
``{"ms": 300, "cpu": 500, "saves": true}``.
"""

import json
import os
import random
import secrets
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig.http_json import NO_ANSWER, Answer, Request, call, serve  # noqa: E402

HEARTBEAT_S = 1.5
CHECKPOINT_S = 0.5
HOLD_MAX_MS = 10_000
ENDS_PAGE_COUNT = 500
STEP_S = 0.01
ORDER_PATHS = ("/api/run-start", "/api/run-stop", "/api/pace")
LATE_S = (2.0, 12.0)


class Run:
    """A run that the worker carries out."""

    def __init__(self, body: dict) -> None:
        self.task: str = body["task"]
        self.attempt: int = body["attempt"]
        spec = json.loads(body["spec"])
        self.duration_s = spec["ms"] / 1000
        self.cpu = spec.get("cpu", 0)
        self.saves = spec.get("saves", False)
        self.saved: str = body.get("checkpoint", "")
        self.started_s = time.monotonic()
        self.saved_s = self.started_s
        self.stop_at_s: float | None = None

    def percent(self, now_s: float) -> int:
        """
        :returns: share of the work that is done.
        """
        return min(100, int(100 * (now_s - self.started_s) / self.duration_s))


class Worker:
    """One life of a worker; all state is lost with the process."""

    def __init__(self, settings: dict) -> None:
        self._settings = settings
        self.id: str = settings["id"]
        self._born_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._lock = threading.Condition()
        self._events = open(settings["events"], "a", encoding="utf-8")  # noqa: SIM115
        self._fence = 0
        self._deadline_ms = 0
        self._running: dict[str, Run] = {}
        self._ended_attempts: dict[str, int] = {}
        self._ends: list[list] = []
        self._ends_count = 0
        self._late_share = 0.0
        self._is_late = False
        self._random = random.Random(settings["port"])
        self.address = serve(self._handle, settings.get("port", 0))

    def run(self) -> None:
        """Registers the worker, then works until it or the script is killed."""
        self._log("up", born=self._born_ms)
        threading.Thread(target=self._register, daemon=True).start()
        parent = os.getppid()
        while os.getppid() == parent:
            time.sleep(STEP_S)
            with self._lock:
                self._step(time.monotonic())

    def _register(self) -> None:
        settings, number = self._settings, 0
        while True:
            number += 1
            entry = {
                "service": settings["service"],
                "addr": self.address,
                "zone": "z1",
                "version": "1",
                "slots": 64,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": number,
                "capacity": {"cpu": settings["cpu"], "mem-mb": 65536, "gpu": 0},
                "labels": ["a", settings["rack"]],
                "machine": settings["machine"],
                "born": self._born_ms,
            }
            call(settings["store"], "POST", "/worker", {"id": self.id, "entry": entry})
            time.sleep(HEARTBEAT_S)

    def _log(self, event: str, **fields: object) -> None:
        line = {"t": time.monotonic(), "worker": self.id, "event": event} | fields
        self._events.write(json.dumps(line) + "\n")
        self._events.flush()

    def _clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self._started_s) * 1000)

    def _step(self, now_s: float) -> None:
        has_lapsed = self._running and self._clock_ms() >= self._deadline_ms
        for run in list(self._running.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif run.stop_at_s is not None and now_s >= run.stop_at_s:
                self._end(run, "stopped")
            elif run.stop_at_s is None and now_s - run.started_s >= run.duration_s:
                self._end(run, "done")
            elif run.saves and now_s - run.saved_s >= CHECKPOINT_S:
                run.saved, run.saved_s = secrets.token_hex(8), now_s

    def _end(self, run: Run, how: str) -> None:
        del self._running[run.task]
        self._note_ended(run.task, run.attempt)
        if how == "stopped" and run.saves:
            run.saved = secrets.token_hex(8)
        self._ends_count += 1
        saved = run.saved if run.saves else ""
        self._ends.append([self._ends_count, run.task, run.attempt, how, saved])
        self._log("end", task=run.task, run=run.attempt, how=how, n=self._ends_count)
        self._lock.notify_all()

    def _note_ended(self, task: str, attempt: int) -> None:
        self._ended_attempts[task] = max(attempt, self._ended_attempts.get(task, 0))

    def _handle(self, request: Request) -> Answer:
        if request.path == "/late":
            # How the script makes the worker leave a share of the orders unanswered.
            self._late_share = request.body["share"]
            return Answer(200, {})
        is_order = request.path in ORDER_PATHS
        if is_order and self._random.random() < self._late_share:
            delay_s = self._random.uniform(*LATE_S)
            threading.Timer(delay_s, self._execute, (request, True)).start()
            time.sleep(LATE_S[1])
            return NO_ANSWER
        return self._execute(request)

    def _execute(self, request: Request, is_late: bool = False) -> Answer:
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return Answer(421, {})
        with self._lock:
            self._is_late = is_late
            body = request.body
            if body.get("fence", 0) < self._fence:
                return self._refuse("fence")
            self._fence = max(self._fence, body.get("fence", 0))
            match request.path:
                case "/api/run-start":
                    return self._start(body)
                case "/api/run-stop":
                    return self._stop(body)
                case "/api/hold":
                    return self._hold(body)
                case "/api/pace":
                    return Answer(200, {"clock-ms": self._clock_ms()})
        return Answer(404, {})

    def _refuse(self, reason: str) -> Answer:
        return Answer(409, {"clock-ms": self._clock_ms(), "reason": reason})

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict) -> Answer:
        task, attempt = body["task"], body["attempt"]
        current = self._running.get(task)
        if body["deadline-ms"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(body["deadline-ms"])
        if current is not None and current.attempt == attempt:
            return Answer(200, {"clock-ms": self._clock_ms()})
        if attempt <= self._ended_attempts.get(task, 0) or current is not None:
            return self._refuse("old")
        run = Run(body)
        used = sum(other.cpu for other in self._running.values())
        if used + run.cpu > self._settings["cpu"]:
            return self._refuse("room")
        self._running[task] = run
        late = self._is_late
        self._log("start", task=task, run=attempt, fence=body["fence"], late=late)
        return Answer(200, {"clock-ms": self._clock_ms()})

    def _stop(self, body: dict) -> Answer:
        task, attempt = body["task"], body["attempt"]
        run = self._running.get(task)
        if run is not None and run.attempt <= attempt:
            if run.stop_at_s is None:
                run.stop_at_s = time.monotonic() + self._settings["stop_ms"] / 1000
        else:
            self._note_ended(task, attempt)
        self._log("stop", task=task, run=attempt)
        return Answer(200, {"clock-ms": self._clock_ms()})

    def _hold(self, body: dict) -> Answer:
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        acknowledged = body.get("ack-cursor", 0)
        if acknowledged > self._ends_count:
            self._log("cursor ahead", cursor=acknowledged, n=self._ends_count)
        for end in self._ends:
            if end[0] <= acknowledged:
                self._log("noted", task=end[1], run=end[2], how=end[3], n=end[0])
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        end_s = time.monotonic() + min(2000, body.get("wait-ms", 0)) / 1000
        while not self._ends and time.monotonic() < end_s:
            self._lock.wait(end_s - time.monotonic())
        now_s = time.monotonic()
        running = [
            [run.task, run.attempt, run.saved if run.saves else "", run.percent(now_s)]
            + [run.cpu]
            for run in self._running.values()
        ]
        return Answer(
            200,
            {
                "clock-ms": self._clock_ms(),
                "born": self._born_ms,
                "running": running,
                "finished": self._ends[:ENDS_PAGE_COUNT],
            },
        )


if __name__ == "__main__":
    Worker(json.loads(sys.argv[1])).run()
