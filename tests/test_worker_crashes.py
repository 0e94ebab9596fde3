"""Test of workers whose processes are killed and start again at once under their ids.

A run lasts until its process has ended. What a killed process has begun a moment before
its end is over with it, whatever its parent wrote down and when.
"""

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import urllib3

from soak.site import DEFAULT_SOURCE, NodeProcess
from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port

ROOT = Path(__file__).resolve().parent.parent
WORKERS_COUNT = 8
NODES_COUNT = 3
CRASHES_COUNT = 10
CRASH_INTERVAL_S = 1.5
JOB_INTERVAL_S = 0.13
TASK_S = 0.8
HEARTBEAT_S = 1.5
SETTLE_S = 3.0
WAIT_S = 60.0
STEP = {"count": 4, "cpu": 1000, "mem-mb": 10, "estimate-ms": 800}
FLEET = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "jobs.example",
            "prefix": "/rating/",
            "service": "rating",
            "attempts": 4,
        }
    ],
    "services": [{"name": "rating"}],
    "limits": {"max-body-bytes": 100000},
}


class Run(NamedTuple):
    """Run of a task. Times are monotonic, in s."""

    worker: str
    attempt: int
    started_s: float
    ended_s: float


class _Process:
    """One process of a worker and what it has reported."""

    def __init__(self, port):
        self.born_ms = 0
        self.ended_s = float("inf")
        self.is_up = threading.Event()
        self.events = []
        command = [sys.executable, "-m", "standins.worker_process"]
        self._process = subprocess.Popen(
            [*command, str(port), str(TASK_S)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def begin(self):
        """Lets the worker start."""
        self.born_ms = int(time.time() * 1000)
        self._process.stdin.write(f"{self.born_ms}\n")
        self._process.stdin.close()
        assert self.is_up.wait(WAIT_S)

    def _read(self):
        for line in self._process.stdout:
            event = json.loads(line)
            if event[1] == "up":
                self.is_up.set()
            else:
                self.events.append(event)

    def kill(self):
        self._process.kill()
        self._process.wait(10)
        self.ended_s = time.monotonic()
        self._reader.join(10)
        self._process.stdout.close()


class _Worker:
    """Worker whose processes have the same id and address."""

    def __init__(self, number, store):
        self.id = f"i-{number}"
        self._number = number
        self._store = store
        self._port = reserve_port()
        self._next_process = _Process(self._port)
        self.processes = []

    def begin(self):
        """Starts the worker, or its next incarnation, without registering it."""
        process = self._next_process
        process.begin()
        self.processes.append(process)
        self._next_process = _Process(self._port)

    def register(self):
        registration = {
            "service": "rating",
            "addr": f"127.0.0.1:{self._port}",
            "state": "ready",
            "capacity": {"cpu": 64000, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", f"r{self._number // 4}"],
            "born": self.processes[-1].born_ms,
        }
        self._store.put("servers", self.id, registration)

    def crash(self, *, registers_at_once):
        """Kills the process and starts the next one.

        :param registers_at_once: whether that registers now, or at the next heartbeat.
        """
        self.processes[-1].kill()
        self.begin()
        if registers_at_once:
            self.register()

    def close(self):
        self.processes[-1].kill()
        self._next_process.kill()

    def latest_start_s(self):
        events = self.processes[-1].events
        return max((event[0] for event in events if event[1] == "start"), default=0.0)


class _Site:
    def __init__(self):
        folder = Path(tempfile.mkdtemp(prefix="crashes-"))
        self.store = StoreServer(reserve_port())
        self.hosts = HostServer(reserve_port())
        self.store.put("op", "config", FLEET)
        self.workers = [_Worker(number, self.store) for number in range(WORKERS_COUNT)]
        self._stopped = threading.Event()
        self.nodes = [
            NodeProcess(
                f"h{n}", self.store, self.hosts.address, folder, 100.0, DEFAULT_SOURCE
            )
            for n in range(NODES_COUNT)
        ]

    def start(self):
        for worker in self.workers:
            worker.begin()
            worker.register()
        for target in (self._send_heartbeats, self._submit_jobs):
            threading.Thread(target=target, daemon=True).start()
        for node in self.nodes:
            node.start()

    def wait_for_first_start(self):
        end_s = time.monotonic() + WAIT_S
        while not any(worker.latest_start_s() for worker in self.workers):
            assert time.monotonic() < end_s, "no task was started"
            time.sleep(0.1)

    def _send_heartbeats(self):
        while not self._stopped.wait(HEARTBEAT_S):
            for worker in self.workers:
                worker.register()

    def _submit_jobs(self):
        http = urllib3.PoolManager(retries=False, timeout=3.0)
        headers = {"Host": "jobs.example", "Content-Type": "application/json"}
        body = json.dumps({"spec": "(text)", "phases": [STEP]})
        number = 0
        while not self._stopped.wait(JOB_INTERVAL_S):
            number += 1
            node = self.nodes[number % NODES_COUNT]
            url = f"http://{node.front_address}/rating/{number:016x}"
            try:
                http.request("POST", url, body=body, headers=headers)
            except urllib3.exceptions.HTTPError:
                # The node isn't ready yet.
                continue

    def close(self):
        self._stopped.set()
        for node in self.nodes:
            node.kill()
            node.link.close()
        for worker in self.workers:
            worker.close()
        for server in (self.store, self.hosts):
            server.stop()


def _find_runs(workers):
    """Returns the runs of each task, which end with their processes at the latest."""
    runs = defaultdict(list)
    for worker in workers:
        for process in worker.processes:
            ends = {
                (task, attempt): time_s
                for time_s, event, task, attempt in process.events
                if event in ("done", "over")
            }
            for time_s, event, task, attempt in process.events:
                if event == "start":
                    ended_s = ends.get((task, attempt), process.ended_s)
                    runs[task].append(Run(worker.id, attempt, time_s, ended_s))
    return {
        task: sorted(group, key=lambda r: r.started_s) for task, group in runs.items()
    }


def _find_noted_ends(workers):
    """Returns the time at which each task ended as done, if that was acknowledged."""
    ends = {}
    for worker in workers:
        for process in worker.processes:
            noted = {(e[2], e[3]) for e in process.events if e[1] == "noted"}
            for time_s, event, task, attempt in process.events:
                if event == "done" and (task, attempt) in noted:
                    ends[task] = min(time_s, ends.get(task, time_s))
    return ends


def test_tasks_run_once_while_processes_of_workers_are_killed():
    """Guards against a second run of a task beside the first one, or after an end that
    was acknowledged, when the worker that has started a task last is killed.
    """
    site = _Site()
    try:
        site.start()
        site.wait_for_first_start()
        for number in range(CRASHES_COUNT):
            time.sleep(CRASH_INTERVAL_S)
            worker = max(site.workers, key=_Worker.latest_start_s)
            worker.crash(registers_at_once=number % 2 == 0)
        time.sleep(SETTLE_S)
    finally:
        site.close()
    runs = _find_runs(site.workers)
    repeated = {task: group for task, group in runs.items() if len(group) > 1}
    assert repeated, "no crash has ended a run"
    doubled = [
        (task, former, run)
        for task, group in repeated.items()
        for index, former in enumerate(group)
        for run in group[index + 1 :]
        if run.started_s < former.ended_s
    ]
    assert not doubled
    ends = _find_noted_ends(site.workers)
    assert not [
        (task, run)
        for task, group in repeated.items()
        for run in group
        if run.started_s > ends.get(task, float("inf"))
    ]
