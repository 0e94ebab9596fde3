"""Site whose workers are processes, so that killing one ends its runs at once."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections import deque
from pathlib import Path
from typing import NamedTuple

import urllib3

from soak.site import DEFAULT_SOURCE, ROOT, NodeProcess
from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY, OwnerRow
from sycamorecroft.scheduling.rows import decode_row

WORKERS_COUNT = 8
NODES_COUNT = 3
JOB_INTERVAL_S = 0.13
TASK_S = 0.8
HEARTBEAT_S = 1.5
WAIT_S = 60.0
POLL_S = 0.1
# A process takes longer to start than two crashes of a worker may be apart.
SPARE_PROCESSES_COUNT = 2
SERVICE = "rating"
STEP = {"count": 4, "cpu": 1000, "mem-mb": 10, "estimate-ms": 800}
FLEET = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "jobs.example",
            "prefix": "/rating/",
            "service": SERVICE,
            "attempts": 4,
        }
    ],
    "services": [{"name": SERVICE}],
    "limits": {"max-body-bytes": 100000},
}


class WorkerEvent(NamedTuple):
    """Event that a worker process has reported. Its time is monotonic, in s."""

    time_s: float
    kind: str
    task: str
    attempt: int


class WorkerProcess:
    """One process of a worker and what it has reported.

    :ivar ended_s: monotonic time at which the process was known to be over.
    """

    def __init__(self, port: int) -> None:
        self.born_ms = 0
        self.ended_s = float("inf")
        self.events: list[WorkerEvent] = []
        self._is_up = threading.Event()
        command = [sys.executable, "-m", "standins.worker_process"]
        self._process = subprocess.Popen(
            [*command, str(port), str(TASK_S)],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": f"{DEFAULT_SOURCE}{os.pathsep}{ROOT}"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def begin(self) -> None:
        """Lets the worker start, and waits until it answers calls.

        :raises TimeoutError: when it doesn't start in time.
        """
        self.born_ms = int(time.time() * 1000)
        self._process.stdin.write(f"{self.born_ms}\n")
        self._process.stdin.close()
        if not self._is_up.wait(WAIT_S):
            raise TimeoutError("the process of a worker didn't start in time")

    def _read(self) -> None:
        for line in self._process.stdout:
            event = WorkerEvent(*json.loads(line))
            if event.kind == "up":
                self._is_up.set()
            else:
                self.events.append(event)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self._process.kill()
        self._process.wait(10)
        self.ended_s = time.monotonic()
        self._reader.join(10)
        self._process.stdout.close()

    def latest_s(self, kind: str) -> float:
        """
        :returns: monotonic time of the latest event of that kind, 0 if there is none.
        """
        times_s = (event.time_s for event in list(self.events) if event.kind == kind)
        return max(times_s, default=0.0)


class CrashingWorker:
    """Worker whose processes have the same id and address.

    :ivar processes: those that have been started, the latest one last.
    """

    def __init__(self, number: int, store: StoreServer) -> None:
        self.id = f"i-{number}"
        self._number = number
        self._store = store
        self._port = reserve_port()
        self._spares = deque(
            WorkerProcess(self._port) for _ in range(SPARE_PROCESSES_COUNT)
        )
        self.processes: list[WorkerProcess] = []

    def begin(self) -> None:
        """Starts the worker, or its next incarnation, without registering it."""
        process = self._spares.popleft()
        self._spares.append(WorkerProcess(self._port))
        process.begin()
        self.processes.append(process)

    def register(self) -> None:
        """Writes the registration of the worker's latest process."""
        registration = {
            "service": SERVICE,
            "addr": f"127.0.0.1:{self._port}",
            "state": "ready",
            "capacity": {"cpu": 64000, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", f"r{self._number // 4}"],
            "born": self.processes[-1].born_ms,
        }
        self._store.put("servers", self.id, registration)

    def crash(self, *, registers_at_once: bool) -> None:
        """Kills the process and starts the next one.

        :param registers_at_once: whether that registers now, or at the next heartbeat.
        """
        self.processes[-1].kill()
        self.begin()
        if registers_at_once:
            self.register()

    def latest_s(self, kind: str) -> float:
        """
        :returns: monotonic time of the latest event of that kind in the process that
            runs, 0 if there is none.
        """
        return self.processes[-1].latest_s(kind)

    def close(self) -> None:
        """Ends all processes of the worker."""
        for process in (*self.processes[-1:], *self._spares):
            process.kill()


class CrashSite:
    """Store, hosts, workers and nodes, and a caller that submits jobs.

    :ivar accepted: ids of the jobs that were accepted.
    """

    def __init__(self, source: Path = DEFAULT_SOURCE) -> None:
        """
        :param source: folder of the modules of the nodes.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="crashes-"))
        self.store = StoreServer(reserve_port())
        self.hosts = HostServer(reserve_port())
        self.store.put("op", "config", FLEET)
        self.workers = [
            CrashingWorker(number, self.store) for number in range(WORKERS_COUNT)
        ]
        self.accepted: list[str] = []
        self._stopped = threading.Event()
        self._load_stopped = threading.Event()
        self.nodes = [
            NodeProcess(
                f"h{n}", self.store, self.hosts.address, self.folder, 100.0, source
            )
            for n in range(NODES_COUNT)
        ]

    def start(self) -> None:
        """Starts everything, and waits for the first start of a task.

        :raises TimeoutError: when no task is started in time.
        """
        for worker in self.workers:
            worker.begin()
            worker.register()
        for target in (self._send_heartbeats, self._submit_jobs):
            threading.Thread(target=target, daemon=True).start()
        for node in self.nodes:
            node.start()
        end_s = time.monotonic() + WAIT_S
        while not any(worker.latest_s("start") for worker in self.workers):
            if time.monotonic() > end_s:
                raise TimeoutError(f"no task was started, see logs in {self.folder}")
            time.sleep(POLL_S)

    def owner(self) -> NodeProcess | None:
        """
        :returns: node that owns the service, ``None`` if none has claimed it.
        """
        row = self.store.tables.row(OWNERS_TABLE, ROW_KEY, SERVICE)
        name = decode_row(row.value, OwnerRow).entry_host if row else None
        return next((node for node in self.nodes if node.name == name), None)

    def latest_starter(self) -> CrashingWorker:
        """
        :returns: worker that has started a task last.
        """
        return max(self.workers, key=lambda worker: worker.latest_s("start"))

    def _send_heartbeats(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            for worker in self.workers:
                worker.register()

    def _submit_jobs(self) -> None:
        http = urllib3.PoolManager(retries=False, timeout=3.0)
        headers = {"Host": "jobs.example", "Content-Type": "application/json"}
        body = json.dumps({"spec": "(text)", "phases": [STEP]})
        number = 0
        while not self._load_stopped.wait(JOB_INTERVAL_S):
            number += 1
            node = self.nodes[number % NODES_COUNT]
            url = f"http://{node.front_address}/rating/{number:016x}"
            try:
                response = http.request("POST", url, body=body, headers=headers)
            except urllib3.exceptions.HTTPError:
                # The node isn't ready, or doesn't run.
                continue
            if response.status == 200:
                self.accepted.append(f"{number:016x}")

    def stop_load(self) -> None:
        """Submits no more jobs."""
        self._load_stopped.set()

    def close(self) -> None:
        """Ends all processes and servers."""
        self._load_stopped.set()
        self._stopped.set()
        for node in self.nodes:
            node.kill()
            node.link.close()
        for worker in self.workers:
            worker.close()
        for server in (self.store, self.hosts):
            server.stop()
