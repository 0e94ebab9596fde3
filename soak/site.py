"""Site of a soak run: node processes, and the platform's stand-ins behind proxies."""

import argparse
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import urllib3

from soak.accounts import KeyRing
from soak.limits import LIMITED_ACCOUNT, AccountLimit
from soak.proxy import Proxy
from soak.run_log import LoggedWorker, RunLog
from soak.workers import SoakWorker
from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY, OwnerRow
from sycamorecroft.scheduling.rows import decode_row

READY_TIMEOUT_S = 60.0
# Unequal, so that services are handed over when a large node is back after a fault.
LINKS_MBPS = (5.0, 100.0, 100.0)
ROOT = Path(__file__).resolve().parent.parent
DEFAULT_SOURCE = ROOT / "src"
# Ends of runs are noticed this much later at most.
ADVANCE_INTERVAL_S = 0.01
FLEET = {
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


def add_source_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the option that plays the nodes of another landing."""
    parser.add_argument(
        "--source",
        type=lambda text: Path(text).resolve(),
        default=DEFAULT_SOURCE,
        help="folder of the modules of the nodes, to play another landing",
    )


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
        source: Path,
    ) -> None:
        """
        :param link_mbps: bandwidth that the node's settings give for its link.
        :param source: folder of the node's modules.
        """
        self.name = name
        self._source = source
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
            "PYTHONPATH": str(self._source),
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
            if number in (signal.SIGSTOP, signal.SIGCONT):
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
    :ivar run_log: all runs on the workers.
    :ivar keys: keys of the client accounts.
    :ivar limit: limit of one of the client accounts.
    """

    def __init__(
        self,
        nodes_count: int,
        workers_count: int,
        task_s: Callable[[str], float],
        task_cpu: int,
        rng: random.Random,
        source: Path = DEFAULT_SOURCE,
    ) -> None:
        """
        :param task_s: time that the runs of a task take.
        :param task_cpu: demand of each task, in thousandths of a core.
        :param source: folder of the modules of the nodes.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = StoreServer(reserve_port())
        self.hosts = HostServer(reserve_port())
        self.limit = AccountLimit(task_cpu)
        self.run_log = RunLog(self.folder / "faults.log", self.limit)
        self._store_away_until_s = 0.0
        self._stopped = threading.Event()
        self.keys = KeyRing()
        self._version = 0
        self._publish(self.keys.tenants())
        self.workers = [
            SoakWorker(number, self.store, self.run_log, task_s, rng)
            for number in range(workers_count)
        ]
        threading.Thread(target=self._advance_workers, daemon=True).start()
        self.nodes = [
            NodeProcess(
                f"h{n}",
                self.store,
                self.hosts.address,
                self.folder,
                LINKS_MBPS[n % len(LINKS_MBPS)],
                source,
            )
            for n in range(nodes_count)
        ]
        for node in self.nodes:
            node.start()

    def _publish(self, tenants: list[dict[str, object]]) -> None:
        self._version += 1
        limit = {"max-count": {"cpu": self.limit.cpu}}
        tenants = [
            tenant | limit if tenant["name"] == LIMITED_ACCOUNT else tenant
            for tenant in tenants
        ]
        fleet = FLEET | {"version": self._version, "tenants": tenants}
        self.store.put("op", "config", fleet)

    def change_limit(self, cpu: int) -> None:
        """Changes the limit of an account, unless the store is unavailable.

        :param cpu: new limit, in thousandths of a core.
        """
        if self.limit.cpu == cpu:
            return
        with contextlib.suppress(StoreUnavailableError):
            self.limit.change(cpu, lambda: self._publish(self.keys.tenants()))
            self.run_log.log(f"limit of {LIMITED_ACCOUNT} is {cpu}")

    def replace_key(self) -> None:
        """Replaces a key, once in a run, unless the store is unavailable."""
        if self.keys.is_replaced:
            return
        with contextlib.suppress(StoreUnavailableError):
            self.keys.replace_one(self._publish)
            self.run_log.log(f"key {self.keys.withdrawn.text} is withdrawn")

    def _advance_workers(self) -> None:
        while not self._stopped.wait(ADVANCE_INTERVAL_S):
            now_s = time.monotonic()
            is_reachable = now_s >= self._store_away_until_s
            for worker in self.workers:
                worker.advance()
                worker.send_heartbeat(now_s, is_store_reachable=is_reachable)

    def break_store_off(self, nodes: list[NodeProcess], refused_s: float) -> None:
        """Closes all connections of nodes to the store without a response.

        :param nodes: nodes whose connections are closed; if these are all nodes, the
            workers don't reach the store either.
        :param refused_s: time for which new connections are closed as well.
        """
        if len(nodes) == len(self.nodes):
            self._store_away_until_s = time.monotonic() + refused_s
        for node in nodes:
            node.link.close_all(refused_s)

    def owner(self, service: str) -> NodeProcess | None:
        """
        :returns: node that owns a service; ``None`` if none has claimed it.
        """
        row = self.store.tables.row(OWNERS_TABLE, ROW_KEY, service)
        name = decode_row(row.value, OwnerRow).entry_host if row else None
        return next((node for node in self.nodes if node.name == name), None)

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

    def incarnations(self) -> list[LoggedWorker]:
        """
        :returns: state of each incarnation of each worker.
        """
        return [state for worker in self.workers for state in worker.incarnations]

    @property
    def links(self) -> list[Proxy]:
        """Proxies of nodes and workers."""
        return [node.link for node in self.nodes] + [
            worker.link for worker in self.workers
        ]

    def link_name(self, link: Proxy) -> str:
        """
        :returns: id of the node or worker at the link.
        """
        names = [node.name for node in self.nodes] + [
            worker.worker_id for worker in self.workers
        ]
        return names[self.links.index(link)]

    def close(self) -> None:
        """Ends all processes, proxies and servers of the site."""
        self._stopped.set()
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.link.close()
        for worker in self.workers:
            worker.close()
        for server in (self.store, self.hosts):
            server.stop()
