"""Callers that submit, query and cancel jobs."""

import json
import math
import random
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from soak.observer import Observer
from soak.site import SoakSite
from soak.workers import fixed_task_s, varied_task_s

TIMEOUT_MS = 3000


class Load(NamedTuple):
    """Load of a run.

    ``tasks_count``: tasks of the first step of each job. ``cpu``: what each of them
    requests, in thousandths of a core. ``open_limit_count``: number of accepted jobs in
    progress with which no new job is submitted. ``task_s``: time that runs of a task
    take.
    """

    callers_count: int
    tasks_count: int
    cpu: int
    open_limit_count: float
    task_s: Callable[[str], float]


LINK_FAULT_LOAD = Load(8, 2, 500, math.inf, fixed_task_s)
# Two thirds of the room are used: a worker that looks empty after its restart is then
# chosen again soon.
RESTART_LOAD = Load(16, 4, 250, 16, varied_task_s)


class Caller:
    """Submits, queries and cancels jobs at random nodes, on persistent connections."""

    def __init__(
        self,
        site: SoakSite,
        observer: Observer,
        job_paths: dict[str, str],
        seed: int,
        load: Load,
    ) -> None:
        """
        :param job_paths: path of each submitted job, shared by all callers.
        """
        self._site = site
        self._observer = observer
        self._random = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
        self._job_paths = job_paths
        self._load = load

    def step(self, *, is_submitting: bool) -> None:
        choice_ratio = self._random.random()
        open_count = len(self._observer.unfinished_jobs())
        is_submitting &= open_count < self._load.open_limit_count
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
        phases = [
            {
                "count": self._load.tasks_count,
                "cpu": self._load.cpu,
                "mem-mb": 10,
                "estimate-ms": int(self._load.task_s(job_id) * 1000),
            }
        ]
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
