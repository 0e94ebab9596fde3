"""A small deployment on loopback: nodes as processes, and the stand-ins around them."""

import json
import os
import shlex
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from review.rig_2.cloud import Cloud
from review.rig_2.http_json import call
from review.rig_2.record import Record
from review.rig_2.worker import Worker
from standins.platform_http import PAGE_ROWS_COUNT, StoreServer
from standins.ports import reserve_port
from sycamorecroft.store.interfaces import StorePurpose

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 30.0
STORE_ANSWER_S = 0.004
TRANSACTION_S = 0.008
CAPACITY = {"cpu": 64_000, "mem-mb": 131_072, "gpu": 0}
HOST_NAME = "jobs.example"


class Store(StoreServer):
    """The project's stand-in of the store, with the times of the users' store.

    The version in an answer is that of the read: a version taken later could be that of
    a row which the answer lacks.
    """

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        time.sleep(TRANSACTION_S if path == "/api/rows-tx" else STORE_ANSWER_S)
        return super().handle(method, path, query, body)

    def _handle_call(self, path: str, query: dict, body: dict) -> dict:
        if path in ("/api/rows-tx", "/api/rows-parts"):
            return super()._handle_call(path, query, body)
        tables = self.tables
        if path == "/api/rows-feed":
            scan = tables.changes(
                query["table"],
                after_version=int(query["after"]),
                wait_s=int(query["wait-ms"]) / 1000,
            )
            return self._encode_rows(scan.rows) | {"ver": scan.version}
        scan = tables.scan_part(
            query["table"],
            query.get("part", ""),
            purpose=StorePurpose.VIEW,
            first_key=query.get("from", ""),
            end_key=query.get("to", ""),
        )
        page = scan.rows[:PAGE_ROWS_COUNT]
        has_more = len(scan.rows) > PAGE_ROWS_COUNT
        tables.store_time_ms = int(time.monotonic() * 1000)
        encoded = self._encode_rows(page)
        return encoded | {"ver": scan.version, "has-more": has_more}


class Node:
    """Process of the role in ``deploy/system.toml``."""

    def __init__(self, name: str, settings: dict, folder: Path) -> None:
        self.name = name
        self.front_address = settings["front_address"]
        self.ready_address = settings["ready_address"]
        self._path = folder / f"{name}.jsonc"
        self._path.write_text(json.dumps(settings), encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMORECROFT_SETTINGS"] = str(self._path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["entry"]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """
        :returns: whether the node takes requests.
        """
        return call(self.ready_address, "GET", "/api/readyz", timeout_s=1)[0] == 200

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(10)


class Site:
    """Nodes, store, host control and workers.

    :ivar workers: workers by id, each in its latest incarnation.
    """

    def __init__(
        self,
        record: Record,
        *,
        nodes_count: int = 2,
        workers_count: int = 8,
        upkeep_s: float = 2.0,
        has_standby: bool = False,
        kinds: tuple[str, ...] = ("a",),
    ) -> None:
        """
        :param kinds: kinds of the workers, by turns.
        :param has_standby: whether the pool ``spare`` is one of standby machines.
        """
        self.record = record
        self._has_standby = has_standby
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(reserve_port())
        self.cloud = Cloud(record, upkeep_s=upkeep_s)
        self._stopped = threading.Event()
        self.store.put("op", "config", self.configuration())
        self.workers: dict[str, Worker] = {}
        for number in range(workers_count):
            kind = kinds[number % len(kinds)]
            worker = Worker(f"w{number}", record, labels=(kind, "r1"))
            self.workers[worker.worker_id] = worker
            self.cloud.add(worker.machine, "rating", worker.worker_id, CAPACITY)
        self._register_all()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        self.nodes = [self._create_node(f"n{n}", upkeep_s) for n in range(nodes_count)]

    def configuration(self) -> dict:
        """
        :returns: the operator's configuration.
        """
        return {
            "version": 1,
            "routes": [
                {
                    "name": "r-rating",
                    "host": HOST_NAME,
                    "prefix": "/rating/",
                    "service": "rating",
                    "attempts": 3,
                    "priority": 0,
                    "stretch": 2.0,
                    "objective-ms": 2500,
                }
            ],
            "services": [
                {"name": "rating", "rejects-overload": True},
                {
                    "name": "spare",
                    "rejects-overload": True,
                    "standby": self._has_standby,
                },
            ],
            "limits": {"max-body-bytes": 262_144},
        }

    def _create_node(self, name: str, upkeep_s: float) -> Node:
        settings = {
            "host": name,
            "data_centre": "dc1",
            "front_address": f"127.0.0.1:{reserve_port()}",
            "ready_address": f"127.0.0.1:{reserve_port()}",
            "metrics_address": f"127.0.0.1:{reserve_port()}",
            "store": {"address": self.store.address, "row_limit_bytes": 65_536},
            "machines": {"address": self.cloud.address, "lease_ms": 3000},
            "bounds": {
                "grace_s": 6,
                "lease_max_ms": 10_000,
                "status_s": 120,
                "stop_ms": 900,
                "upkeep_s": upkeep_s,
            },
        }
        return Node(name, settings, self.folder)

    def _registration(self, worker: Worker) -> dict:
        return {
            "service": "rating",
            "addr": worker.address,
            "zone": "dc1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": CAPACITY,
            "labels": list(worker.labels),
            "machine": worker.machine,
            "born": worker.born_ms,
        }

    def register(self, worker: Worker) -> None:
        """Writes the entry of a worker, if it is up and its entry differs."""
        value = self._registration(worker)
        if worker.is_up and self.store.read("servers", worker.worker_id) != value:
            self.store.put("servers", worker.worker_id, value)

    def _register_all(self) -> None:
        for worker in list(self.workers.values()):
            self.register(worker)

    def restart_worker(
        self, worker_id: str, down_s: float, labels: tuple[str, ...]
    ) -> Worker:
        """Crashes a worker, and starts it again under its id at its address.

        The new incarnation writes its entry as soon as it takes requests.

        :param labels: kind and rack of the new incarnation.
        """
        former = self.workers[worker_id]
        former.crash()
        self.record.add("worker_crashed", worker=worker_id)
        time.sleep(down_s)
        worker = Worker(
            worker_id,
            self.record,
            machine=former.machine,
            labels=labels,
            port=former.port,
        )
        self.workers[worker_id] = worker
        self.register(worker)
        self.record.add("worker_born", worker=worker_id, labels=",".join(labels))
        return worker

    def _send_heartbeats(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            self._register_all()

    def start(self) -> None:
        """Starts the nodes, and waits until all take requests.

        :raises TimeoutError: when one isn't ready in time.
        """
        for node in self.nodes:
            node.start()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > end_s:
                raise TimeoutError("the nodes are not ready in time")
            time.sleep(0.1)

    def submit(self, node: Node, job_id: str, spec: str, steps: list[dict]) -> bool:
        """
        :returns: whether the job was accepted.
        """
        body = {"spec": spec, "phases": steps}
        path = f"/rating/{job_id}"
        status, _ = call(node.front_address, "POST", path, body=body)
        self.record.add("submitted", job=job_id, node=node.name, status=status)
        return status == 200

    def state(self, node: Node, job_id: str) -> str | None:
        """
        :returns: the state of the job; ``None`` if it isn't shown.
        """
        status, body = call(node.front_address, "GET", f"/rating/{job_id}")
        return body.get("state") if status == 200 else None

    def cancel(self, node: Node, job_id: str) -> bool:
        """
        :returns: whether the cancelling was acknowledged.
        """
        status, _ = call(node.front_address, "DELETE", f"/rating/{job_id}")
        self.record.add("cancelled", job=job_id, node=node.name, status=status)
        return status is not None and (200 <= status < 300 or status == 410)

    def wait_for_state(
        self, node: Node, job_id: str, state: str, timeout_s: float
    ) -> bool:
        """
        :returns: whether the job is shown in that state in time.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.state(node, job_id) == state:
                return True
            time.sleep(0.1)
        return False

    def running(self) -> list[tuple[str, str, int]]:
        """
        :returns: worker, task and attempt of each run in progress.
        """
        return [
            (worker.worker_id, run.task, run.attempt)
            for worker in list(self.workers.values())
            if worker.is_up
            for run in list(worker.running.values())
        ]

    def owner(self, service: str) -> Node | None:
        """
        :returns: the node that owns a service, as the store has it.
        """
        row = self.store.tables.row("owners", "row", service)
        if row is None or row.value is None:
            return None
        name = json.loads(row.value)[0]
        return next((node for node in self.nodes if node.name == name), None)

    def close(self) -> None:
        """Ends all processes that the site has started."""
        self._stopped.set()
        for node in self.nodes:
            node.end()
