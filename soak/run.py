"""One run: load and faults for a while, then quiet until all accepted jobs are done.

``python -m soak.run --seed 1 --duration-s 30`` exits with 1 when a promise was broken.
"""

import argparse
import json
import random
import signal
import sys
import threading
import time
from typing import NamedTuple

import urllib3

from soak.observer import Observer
from soak.proxy import LinkMode
from soak.site import SoakSite

FAULT_PAUSE_S = (0.2, 1.5)
FAULT_TIME_S = (0.3, 6.0)
CALL_PAUSE_S = 0.05
CALLERS_COUNT = 8
SETTLE_LIMIT_S = 60.0
TIMEOUT_MS = 3000


class SoakResult(NamedTuple):
    """Outcome of a run."""

    accepted_count: int
    complete_count: int
    broken: tuple[str, ...]
    folder: str


class _Caller:
    """Submits, asks for and cancels jobs at random nodes, on kept connections."""

    def __init__(
        self, site: SoakSite, observer: Observer, paths: dict[str, str], seed: int
    ) -> None:
        """
        :param paths: path of each job that was submitted, shared by all callers.
        """
        self._site = site
        self._observer = observer
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
        self._paths = paths

    def step(self, *, submits: bool) -> None:
        draw = self._random.random()
        if submits and (draw < 0.4 or not self._paths):
            self._submit(f"{self._random.getrandbits(64):016x}")
        elif submits and draw < 0.45:
            self._submit(self._random.choice(list(self._paths)))
        elif submits and draw < 0.48:
            self._cancel(self._random.choice(list(self._paths)))
        elif self._paths:
            missing = self._observer.missing()
            self._ask(self._random.choice(sorted(missing or self._paths)))

    def _submit(self, job_id: str) -> None:
        service = self._random.choice(("rating", "dispatch"))
        path = self._paths.setdefault(job_id, f"/{service}/{job_id}")
        phases = [{"count": 2, "cpu": 500, "mem-mb": 10, "estimate-ms": 300}]
        if int(job_id, 16) % 2:
            phases.append(phases[0] | {"count": 1, "after": [0]})
        self._observer.begin_submission(job_id)
        status, _ = self._call("POST", path, {"spec": job_id, "phases": phases})
        self._observer.record_submission(job_id, status)

    def _ask(self, job_id: str) -> None:
        before = self._observer.known(job_id)
        status, body = self._call("GET", self._paths[job_id])
        self._observer.record_state(job_id, before, status, body.get("state", ""))

    def _cancel(self, job_id: str) -> None:
        self._observer.cancelled.add(job_id)
        self._call("DELETE", self._paths[job_id])

    def _call(self, method: str, path: str, body: dict | None = None):
        node = self._random.choice(self._site.nodes)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(TIMEOUT_MS)}
        data = None if body is None else json.dumps(body)
        try:
            response = self._http.request(
                method, f"http://{node.front}{path}", body=data, headers=headers
            )
            return response.status, json.loads(response.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}


class _Faults:
    """Injects overlapping faults from outside the processes."""

    def __init__(self, site: SoakSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._due: list[tuple[float, object]] = []

    def step(self) -> None:
        kinds = (self._cut, self._reset, self._signal, self._darken, self._lose)
        self._random.choice(kinds)()
        self.end_due()

    def _later(self, action) -> None:
        self._due.append(
            (time.monotonic() + self._random.uniform(*FAULT_TIME_S), action)
        )

    def _cut(self) -> None:
        link = self._random.choice(self._site.links)
        link.mode = self._random.choice(list(LinkMode))
        self._later(lambda: setattr(link, "mode", LinkMode.PASS))

    def _reset(self) -> None:
        self._random.choice(self._site.links).reset_all()

    def _signal(self) -> None:
        node = self._random.choice(self._site.nodes)
        number = self._random.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
        node.send(number)
        self._later(lambda: self._revive(node))

    def _revive(self, node) -> None:
        if node.is_paused:
            node.send(signal.SIGCONT)
        if not node.is_running:
            node.start()

    def _darken(self) -> None:
        tables = self._site.store.tables
        tables.is_dark = True
        self._later(lambda: setattr(tables, "is_dark", False))

    def _lose(self) -> None:
        tables = self._site.store.tables
        tables.faulty_table = self._random.choice(("commits", "jobs.rating", "owners"))
        if self._random.random() < 0.5:
            tables.lost_answers_count += 1
            return
        tables.delayed_count += 1
        self._later(tables.apply_delayed)

    def end_due(self, *, all_of_them: bool = False) -> None:
        """Ends faults whose time is over."""
        now_s = time.monotonic()
        due = [item for item in self._due if all_of_them or item[0] <= now_s]
        self._due = [item for item in self._due if item not in due]
        for _, action in due:
            action()
        if all_of_them:
            self._site.store.tables.lost_answers_count = 0
            self._site.store.tables.delayed_count = 0
            for node in self._site.nodes:
                self._revive(node)


def run(seed: int, duration_s: float, nodes_count: int = 3) -> SoakResult:
    """
    :returns: outcome of a run with this seed.
    """
    site = SoakSite(nodes_count, workers_count=6)
    observer = Observer(server.worker for server in site.workers)
    stopped, quiet = threading.Event(), threading.Event()
    paths: dict[str, str] = {}

    def call(number: int) -> None:
        caller = _Caller(site, observer, paths, seed * 1000 + number)
        while not stopped.wait(CALL_PAUSE_S):
            caller.step(submits=not quiet.is_set())
            observer.check_workers()
            observer.check_ends()

    callers = [
        threading.Thread(target=call, args=(n,), daemon=True)
        for n in range(CALLERS_COUNT)
    ]
    faults = _Faults(site, seed)
    try:
        site.wait_until_ready()
        for caller in callers:
            caller.start()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            time.sleep(faults._random.uniform(*FAULT_PAUSE_S))
            faults.step()
        faults.end_due(all_of_them=True)
        quiet.set()
        _settle(observer)
    finally:
        stopped.set()
        for caller in callers:
            caller.join(10)
        site.close()
    broken = list(observer.broken)
    broken += [f"job {job_id} never ended" for job_id in sorted(observer.missing())]
    return SoakResult(
        len(observer.accepted),
        len(observer.complete),
        tuple(broken),
        str(site.folder),
    )


def _settle(observer: Observer) -> None:
    end_s = time.monotonic() + SETTLE_LIMIT_S
    while observer.missing() and not observer.broken and time.monotonic() < end_s:
        time.sleep(0.2)


def main() -> int:
    """
    :returns: 0 if every promise held.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--nodes-count", type=int, default=3)
    arguments = parser.parse_args()
    result = run(arguments.seed, arguments.duration_s, arguments.nodes_count)
    print(f"seed {arguments.seed}: {result}")
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
