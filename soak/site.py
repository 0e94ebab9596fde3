"""Nodes as processes, with the platform's stand-ins behind proxies."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3

from soak.proxy import Proxy
from standins.platform_http import MachineServer, StoreServer, WorkerServer

READY_LIMIT_S = 60.0
ROOT = Path(__file__).resolve().parent.parent
FLEET = {
    "version": 1,
    "routes": [
        {
            "name": f"r-{service}",
            "host": "jobs.example",
            "prefix": f"/{service}/",
            "service": service,
            "attempts": 3,
        }
        for service in ("rating", "dispatch")
    ],
    "services": [{"name": "rating"}, {"name": "dispatch"}],
    "limits": {"max-body-bytes": 100000},
}


def free_port() -> int:
    """
    :returns: a port that nobody listens on.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)


def _is_ready(http: urllib3.PoolManager, node: "NodeProcess") -> bool:
    try:
        return http.request("GET", f"http://{node.ready}/api/readyz").status == 200
    except urllib3.exceptions.HTTPError:
        return False


class NodeProcess:
    """A node and its own link to the store."""

    def __init__(self, name: str, store: StoreServer, machines: str, folder: Path):
        self.name = name
        self.link = Proxy(_endpoint(store.address))
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self._settings = folder / f"{name}.jsonc"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self.is_paused = False
        settings = {
            "host": name,
            "data_centre": "dc1",
            "front_address": self.front,
            "ready_address": self.ready,
            "metrics_address": f"127.0.0.1:{free_port()}",
            "store": {"address": self.link.address, "row_limit_bytes": 65536},
            "machines": {"address": machines, "lease_ms": 3000},
            "bounds": {
                "grace_s": 6,
                "lease_max_ms": 10000,
                "status_s": 120,
                "upkeep_s": 2,
            },
        }
        self._settings.write_text(json.dumps(settings), encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process; its log grows over restarts."""
        environment = os.environ | {
            "SYCAMORECROFT_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "src"),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "sycamorecroft.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, by its id."""
        if self.is_running:
            os.kill(self._process.pid, number)
            self.is_paused = number == signal.SIGSTOP

    def end(self) -> None:
        """Kills the process and waits for it."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(10)


class SoakSite:
    """Store, workers and nodes of one soak run."""

    def __init__(self, nodes_count: int, workers_count: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = StoreServer(free_port())
        self.machines = MachineServer(free_port())
        self.workers: list[WorkerServer] = []
        self.worker_links: list[Proxy] = []
        self.store.put("op", "config", FLEET)
        for number in range(workers_count):
            self._add_worker(number)
        self.nodes = [
            NodeProcess(f"h{n}", self.store, self.machines.address, self.folder)
            for n in range(nodes_count)
        ]
        for node in self.nodes:
            node.start()

    def wait_until_ready(self) -> None:
        """Waits until all nodes accept jobs.

        :raises TimeoutError: when they don't in time.
        """
        http = urllib3.PoolManager(retries=False, timeout=2.0)
        end_s = time.monotonic() + READY_LIMIT_S
        for node in self.nodes:
            while not _is_ready(http, node):
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{node.name} isn't ready, see {self.folder}")
                time.sleep(0.1)

    def _add_worker(self, number: int) -> None:
        server = WorkerServer(free_port(), task_s=0.3)
        link = Proxy(_endpoint(server.address))
        self.workers.append(server)
        self.worker_links.append(link)
        entry = {
            "service": ("rating", "dispatch")[number % 2],
            "addr": link.address,
            "state": "ready",
            "capacity": {"cpu": 4000, "mem-mb": 1000, "gpu": 0},
            "labels": ["a", f"r{number % 3}"],
            "born": 1,
        }
        self.store.put("servers", f"i-{number}", entry)

    @property
    def links(self) -> list[Proxy]:
        """All proxies."""
        return [node.link for node in self.nodes] + self.worker_links

    def close(self) -> None:
        """Ends what this site has started."""
        for node in self.nodes:
            node.end()
        for link in self.links:
            link.close()
        for server in (self.store, self.machines, *self.workers):
            server.stop()
