"""Site of a soak run: node processes, and the platform's stand-ins behind proxies."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3

from soak.proxy import Proxy
from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port
from standins.worker_http import WorkerServer

READY_TIMEOUT_S = 60.0
# Unequal, so that services are handed over when a large node is back after a fault.
LINKS_MBPS = (5.0, 100.0, 100.0)
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


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)


def _is_ready(http: urllib3.PoolManager, node: "NodeProcess") -> bool:
    try:
        return (
            http.request("GET", f"http://{node.ready_address}/api/readyz").status == 200
        )
    except urllib3.exceptions.HTTPError:
        return False


class NodeProcess:
    """Node process with a proxy of its own to the store."""

    def __init__(
        self,
        name: str,
        store: StoreServer,
        hosts_address: str,
        folder: Path,
        link_mbps: float,
    ) -> None:
        """
        :param link_mbps: bandwidth that the node's settings give for its link.
        """
        self.name = name
        self.link = Proxy(_split_address(store.address))
        self.front_address = f"127.0.0.1:{reserve_port()}"
        self.ready_address = f"127.0.0.1:{reserve_port()}"
        self._settings_path = folder / f"{name}.jsonc"
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self.is_paused = False
        settings = {
            "host": name,
            "data_centre": "dc1",
            "front_address": self.front_address,
            "ready_address": self.ready_address,
            "metrics_address": f"127.0.0.1:{reserve_port()}",
            "store": {"address": self.link.address, "row_limit_bytes": 65536},
            "machines": {"address": hosts_address, "lease_ms": 3000},
            "bounds": {
                "grace_s": 6,
                "lease_max_ms": 10000,
                "status_s": 120,
                "upkeep_s": 2,
            },
            "capacity": {"link_mbps": link_mbps},
        }
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process; restarts append to the same log."""
        environment = os.environ | {
            "SYCAMORECROFT_SETTINGS": str(self._settings_path),
            "PYTHONPATH": str(ROOT / "src"),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "sycamorecroft.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        if self.is_running:
            os.kill(self._process.pid, number)
            self.is_paused = number == signal.SIGSTOP

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(10)


class SoakSite:
    """Store, hosts, workers and nodes of one soak run.

    :ivar folder: folder with the settings and logs of the nodes.
    """

    def __init__(self, nodes_count: int, workers_count: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = StoreServer(reserve_port())
        self.hosts = HostServer(reserve_port())
        self.workers: list[WorkerServer] = []
        self.worker_links: list[Proxy] = []
        self.store.put("op", "config", FLEET)
        for number in range(workers_count):
            self._add_worker(number)
        self.nodes = [
            NodeProcess(
                f"h{n}",
                self.store,
                self.hosts.address,
                self.folder,
                LINKS_MBPS[n % len(LINKS_MBPS)],
            )
            for n in range(nodes_count)
        ]
        for node in self.nodes:
            node.start()

    def wait_until_ready(self) -> None:
        """Waits until all nodes accept jobs.

        :raises TimeoutError: when a node is not ready within ``READY_TIMEOUT_S``.
        """
        http = urllib3.PoolManager(retries=False, timeout=2.0)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not _is_ready(http, node):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f"{node.name} is not ready in time, see logs in {self.folder}"
                    )
                time.sleep(0.1)

    def _add_worker(self, number: int) -> None:
        server = WorkerServer(reserve_port(), task_duration_s=0.3)
        link = Proxy(_split_address(server.address))
        self.workers.append(server)
        self.worker_links.append(link)
        registration = {
            "service": ("rating", "dispatch")[number % 2],
            "addr": link.address,
            "state": "ready",
            "capacity": {"cpu": 4000, "mem-mb": 1000, "gpu": 0},
            "labels": ["a", f"r{number % 3}"],
            "born": 1,
        }
        self.store.put("servers", f"i-{number}", registration)

    @property
    def links(self) -> list[Proxy]:
        """Proxies of nodes and workers."""
        return [node.link for node in self.nodes] + self.worker_links

    def close(self) -> None:
        """Ends all processes, proxies and servers of the site."""
        for node in self.nodes:
            node.kill()
        for link in self.links:
            link.close()
        for server in (self.store, self.hosts, *self.workers):
            server.stop()
