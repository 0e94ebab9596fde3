"""Callers that submit, query and cancel jobs."""

import json
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from soak.accounts import ACCOUNTS, UNKNOWN_KEY, Key, account_of
from soak.limits import LIMITED_ACCOUNT
from soak.observer import Observer
from soak.site import NodeProcess, SoakSite
from soak.workers import fixed_task_s, varied_task_s

TIMEOUT_MS = 3000
FLOODING_ACCOUNT = LIMITED_ACCOUNT
# Gives jobs of the flooding account, with short tasks.
FLOOD_PREFIX = "1000"


class Load(NamedTuple):
    """Load of a run.

    ``tasks_count``: tasks of the first step of each job. ``cpu``: what each of them
    requests, in thousandths of a core. ``open_limit_count``: number of accepted jobs in
    progress with which no new job is submitted. ``flood_limit_count``: the same for the
    flood, which then repeats submissions. ``task_s``: time that runs of a task take.
    """

    callers_count: int
    tasks_count: int
    cpu: int
    open_limit_count: float
    flood_limit_count: int
    task_s: Callable[[str], float]


LINK_FAULT_LOAD = Load(8, 2, 500, math.inf, 16, fixed_task_s)
# Two thirds of the room are used: a worker that looks empty after its restart is then
# chosen again soon.
RESTART_LOAD = Load(16, 4, 250, 16, 8, varied_task_s)


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
        # Keys leave the sequence of the other choices of a seed as it is.
        self._key_random = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
        self._job_paths = job_paths
        self._load = load

    def step(self, *, is_submitting: bool) -> None:
        choice_ratio = self._random.random()
        open_count = sum(
            not job_id.startswith(FLOOD_PREFIX)
            for job_id in self._observer.unfinished_jobs()
        )
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

    def _submit(self, job_id: str, key: Key | None = None) -> None:
        service = self._random.choice(("rating", "dispatch"))
        self._job_paths.setdefault(job_id, f"/{service}/{job_id}")
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
        body = {"spec": job_id, "phases": phases}
        status, _ = self._send("POST", job_id, key, body)
        self._observer.record_submission(job_id, status)

    def _query_state(self, job_id: str, key: Key | None = None) -> None:
        known_before = self._observer.known_state(job_id)
        status, body = self._send("GET", job_id, key)
        self._observer.record_state(job_id, known_before, status, body.get("state", ""))

    def _cancel(self, job_id: str) -> None:
        self._observer.cancelled.add(job_id)
        self._send("DELETE", job_id)

    def _send(
        self,
        method: str,
        job_id: str,
        key: Key | None = None,
        body: dict | None = None,
        node: NodeProcess | None = None,
    ):
        """Sends a call for a job.

        :param key: ``None`` for a key of the job's account.
        :param node: ``None`` for a random one.
        """
        node = node or self._random.choice(self._site.nodes)
        key = key or self._site.keys.choose(account_of(job_id), self._key_random)
        headers = {
            "Host": "jobs.example",
            "X-Deadline-Ms": str(TIMEOUT_MS),
            "Api-Key": key.text,
        }
        url = f"http://{node.front_address}{self._job_paths[job_id]}"
        data = None if body is None else json.dumps(body)
        sent_s = time.monotonic()
        try:
            response = self._http.request(method, url, body=data, headers=headers)
            status, answer = response.status, json.loads(response.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}
        account = account_of(job_id)
        violation = self._site.keys.find_violation(key, account, sent_s, status)
        if violation:
            violation = f"{method} {job_id}: {violation}"
        self._observer.record_key_check(status, violation)
        return status, answer


class KeyTester(Caller):
    """Calls with the withdrawn key, and with keys of the other account."""

    def step(self, *, is_submitting: bool) -> None:
        jobs = list(self._job_paths)
        if not jobs:
            return
        job_id = self._random.choice(jobs)
        keys = self._site.keys
        if self._random.random() < 0.5:
            other = next(name for name in ACCOUNTS if name != account_of(job_id))
            self._call_without_right(job_id, keys.choose(other, self._random))
        elif not keys.is_withdrawal_settled:
            self._call_without_right(job_id, UNKNOWN_KEY)
        elif is_submitting and self._random.random() < 0.3:
            self._submit(f"{self._random.getrandbits(64):016x}", keys.withdrawn)
        else:
            self._call_without_right(job_id, keys.withdrawn)

    def _call_without_right(self, job_id: str, key: Key) -> None:
        if self._random.random() < 0.5:
            self._query_state(job_id, key)
        else:
            self._send("DELETE", job_id, key)

    def is_refused(self, node: NodeProcess) -> bool:
        """
        :returns: whether the node refuses the withdrawn key.
        """
        job_id = next(iter(self._job_paths))
        return self._send("GET", job_id, self._site.keys.withdrawn, node=node)[0] == 401


class FloodCaller(Caller):
    """Submits jobs of one account without regard to what is refused."""

    def step(self, *, is_submitting: bool) -> None:
        jobs = [
            job_id
            for job_id in self._observer.unfinished_jobs()
            if job_id.startswith(FLOOD_PREFIX)
        ]
        if len(jobs) < self._load.flood_limit_count:
            self._submit(FLOOD_PREFIX + f"{self._random.getrandbits(48):012x}")
        else:
            # The work of a run, and so its length, stays bounded.
            self._submit(self._random.choice(jobs))
