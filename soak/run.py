"""Runs load and faults for a time, then waits until all accepted jobs are complete.

``python -m soak.run --seed 1 --duration-s 30`` exits with 1 if a guarantee was
violated.
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
FAULT_DURATION_S = (0.3, 6.0)
CALL_PAUSE_S = 0.05
CALLERS_COUNT = 8
COMPLETION_LIMIT_S = 60.0
TIMEOUT_MS = 3000


class SoakResult(NamedTuple):
    """Result of a run.

    :param broken: one message for each violation of a guarantee.
    :param folder: folder with the logs of the nodes.
    """

    accepted_count: int
    complete_count: int
    broken: tuple[str, ...]
    folder: str


class _Caller:
    """Submits, queries and cancels jobs at random nodes, on persistent connections."""

    def __init__(
        self, site: SoakSite, observer: Observer, job_paths: dict[str, str], seed: int
    ) -> None:
        """
        :param job_paths: path of each submitted job, shared by all callers.
        """
        self._site = site
        self._observer = observer
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
        self._job_paths = job_paths

    def step(self, *, is_submitting: bool) -> None:
        choice_ratio = self._random.random()
        if is_submitting and (choice_ratio < 0.4 or not self._job_paths):
            self._submit(f"{self._random.getrandbits(64):016x}")
        elif is_submitting and choice_ratio < 0.45:
            self._submit(self._random.choice(list(self._job_paths)))
        elif is_submitting and choice_ratio < 0.48:
            self._cancel(self._random.choice(list(self._job_paths)))
        elif self._job_paths:
            unfinished_jobs = self._observer.unfinished_jobs()
            self._query_state(
                self._random.choice(sorted(unfinished_jobs or self._job_paths))
            )

    def _submit(self, job_id: str) -> None:
        service = self._random.choice(("rating", "dispatch"))
        path = self._job_paths.setdefault(job_id, f"/{service}/{job_id}")
        phases = [{"count": 2, "cpu": 500, "mem-mb": 10, "estimate-ms": 300}]
        if int(job_id, 16) % 2:
            phases.append(phases[0] | {"count": 1, "after": [0]})
        self._observer.record_submission_start(job_id)
        status, _ = self._send("POST", path, {"spec": job_id, "phases": phases})
        self._observer.record_submission(job_id, status)

    def _query_state(self, job_id: str) -> None:
        known_before = self._observer.known_state(job_id)
        status, body = self._send("GET", self._job_paths[job_id])
        self._observer.record_state(job_id, known_before, status, body.get("state", ""))

    def _cancel(self, job_id: str) -> None:
        self._observer.cancelled.add(job_id)
        self._send("DELETE", self._job_paths[job_id])

    def _send(self, method: str, path: str, body: dict | None = None):
        node = self._random.choice(self._site.nodes)
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(TIMEOUT_MS)}
        data = None if body is None else json.dumps(body)
        try:
            response = self._http.request(
                method, f"http://{node.front_address}{path}", body=data, headers=headers
            )
            return response.status, json.loads(response.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}


class _FaultSchedule:
    """Injects overlapping faults from outside the node processes."""

    def __init__(self, site: SoakSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._recoveries: list[tuple[float, object]] = []

    def step(self) -> None:
        fault_actions = (
            self._degrade_link,
            self._reset_link,
            self._signal_node,
            self._interrupt_store,
            self._fault_transactions,
        )
        self._random.choice(fault_actions)()
        self.run_due_recoveries()

    def _schedule_recovery(self, action) -> None:
        self._recoveries.append(
            (time.monotonic() + self._random.uniform(*FAULT_DURATION_S), action)
        )

    def _degrade_link(self) -> None:
        link = self._random.choice(self._site.links)
        link.mode = self._random.choice(list(LinkMode))
        self._schedule_recovery(lambda: setattr(link, "mode", LinkMode.PASS))

    def _reset_link(self) -> None:
        self._random.choice(self._site.links).reset_all()

    def _signal_node(self) -> None:
        node = self._random.choice(self._site.nodes)
        signal_number = self._random.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        )
        node.send_signal(signal_number)
        self._schedule_recovery(lambda: self._restore_node(node))

    def _restore_node(self, node) -> None:
        if node.is_paused:
            node.send_signal(signal.SIGCONT)
        if not node.is_running:
            node.start()

    def _interrupt_store(self) -> None:
        tables = self._site.store.tables
        tables.is_unavailable = True
        self._schedule_recovery(lambda: setattr(tables, "is_unavailable", False))

    def _fault_transactions(self) -> None:
        tables = self._site.store.tables
        tables.faulty_table = self._random.choice(("commits", "jobs.rating", "owners"))
        if self._random.random() < 0.5:
            tables.lost_responses_count += 1
            return
        tables.delayed_count += 1
        self._schedule_recovery(tables.apply_delayed)

    def run_due_recoveries(self, *, includes_pending: bool = False) -> None:
        """Ends faults whose duration has elapsed.

        :param includes_pending: whether to end all faults.
        """
        now_s = time.monotonic()
        due = [
            item for item in self._recoveries if includes_pending or item[0] <= now_s
        ]
        self._recoveries = [item for item in self._recoveries if item not in due]
        for _, action in due:
            action()
        if includes_pending:
            self._site.store.tables.lost_responses_count = 0
            self._site.store.tables.delayed_count = 0
            for node in self._site.nodes:
                self._restore_node(node)


def run(seed: int, duration_s: float, nodes_count: int = 3) -> SoakResult:
    """
    :param seed: seed of callers and faults.
    :param duration_s: time for which load and faults run.
    :returns: result of the run.
    """
    site = SoakSite(nodes_count, workers_count=6)
    observer = Observer(server.worker for server in site.workers)
    run_stopped, load_stopped = threading.Event(), threading.Event()
    job_paths: dict[str, str] = {}

    def run_caller(caller_number: int) -> None:
        caller = _Caller(site, observer, job_paths, seed * 1000 + caller_number)
        while not run_stopped.wait(CALL_PAUSE_S):
            caller.step(is_submitting=not load_stopped.is_set())
            observer.check_workers()
            observer.check_finished_tasks()

    callers = [
        threading.Thread(target=run_caller, args=(n,), daemon=True)
        for n in range(CALLERS_COUNT)
    ]
    faults = _FaultSchedule(site, seed)
    try:
        site.wait_until_ready()
        for caller in callers:
            caller.start()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            time.sleep(faults._random.uniform(*FAULT_PAUSE_S))
            faults.step()
        faults.run_due_recoveries(includes_pending=True)
        load_stopped.set()
        _wait_for_completion(observer)
    finally:
        run_stopped.set()
        for caller in callers:
            if caller.is_alive():
                caller.join(10)
        site.close()
    violations = list(observer.violations)
    violations += [
        f"accepted job {job_id} did not complete by the end of the run"
        for job_id in sorted(observer.unfinished_jobs())
    ]
    return SoakResult(
        len(observer.accepted),
        len(observer.complete),
        tuple(violations),
        str(site.folder),
    )


def _wait_for_completion(observer: Observer) -> None:
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    while (
        observer.unfinished_jobs()
        and not observer.violations
        and time.monotonic() < end_s
    ):
        time.sleep(0.2)


def main() -> int:
    """
    :returns: 0 if no guarantee was violated, 1 otherwise.
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
