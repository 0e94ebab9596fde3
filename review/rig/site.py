"""A small deployment: nodes with the settings of the deploy file, and stand-ins."""

import contextlib
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from rig.http_json import Answer, Request, call, free_port, serve
from rig.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "jobs.example"
READY_TIMEOUT_S = 40.0

BOUNDS = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "hold-max-ms": 10000,
    "stop-ms": 900,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "maintenance-s": 2,
    "lease-ms": 3000,
}


class CannotRunError(Exception):
    """The case can't be played here."""


def render(template: str, fields: dict) -> str:
    """Fills in a settings template as DEPLOY.md describes it.

    :returns: the settings.
    """

    def find(path: str) -> object:
        value: object = fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) else ""

    def placeholder(match: re.Match) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", placeholder, text)


class Record:
    """The file ``record.txt`` of a case. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def write(self, text: str, time_s: float | None = None) -> None:
        """Adds a line with its time in seconds from the start."""
        time_s = time.monotonic() if time_s is None else time_s
        with self._lock:
            self._file.write(f"{time_s - self.start_s:9.3f} {text}\n")
            self._file.flush()


class WorkerProcess:
    """A worker; it may be killed, and started again under its id."""

    def __init__(self, site: "Site", number: int, service: str, **settings) -> None:
        self._site = site
        self.settings = {
            "id": f"i-{number:010x}",
            "service": service,
            "machine": f"m-{number}",
            "rack": f"r{number // 4}",
            "cpu": 4000,
            "stop_ms": 400,
            "store": site.store.address,
            "events": str(site.folder / "events"),
            "port": free_port(),
        } | settings
        self.process: subprocess.Popen | None = None

    @property
    def id(self) -> str:
        """Id under which the worker registers."""
        return self.settings["id"]

    def start(self) -> None:
        """Starts a life of the worker."""
        self.process = self._site.spawn(
            [sys.executable, str(ROOT / "review/rig/worker.py")]
            + [json.dumps(self.settings)]
        )
        self._site.record.write(f"worker {self.id} started")

    def kill(self) -> None:
        """Ends the life of the worker without notice."""
        # The time before the signal, so that no run counts longer than it lasted.
        self._site.log_event("down", self.id)
        self.process.kill()
        self.process.wait()
        self._site.record.write(f"worker {self.id} killed")


class NodeProcess:
    """A node as the deploy file starts it."""

    def __init__(self, site: "Site", name: str, store_address: str = "") -> None:
        self._site = site
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split()
        text = render(
            (ROOT / role["template"]).read_text(),
            {
                "node-name": name,
                "zone": "z1",
                "ip": "127.0.0.1",
                "listen": {"front": self.front, "ready": self.ready},
                "platform": {
                    "addr": store_address or site.store.address,
                    "row-bytes": 65536,
                },
                "cloud": {"addr": site.cloud_address},
                "limits": {"cpu-share": 0.537, "cores": 2, "link-mbps": 1000.0},
                "bounds": BOUNDS,
            },
        )
        # All nodes share the loopback address, so each gets a metrics port of its own.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}")
        self._settings_path = site.folder / f"{name}.jsonc"
        self._settings_path.write_text(text)
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMORECROFT_SETTINGS"] = str(self._settings_path)
        with (self._site.folder / f"{self.name}.log").open("ab") as log:
            self.process = self._site.spawn(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._site.record.write(f"node {self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)
        self._site.record.write(f"node {self.name} got {number.name}")


class Site:
    """Store, machine service, workers and nodes on loopback.

    :ivar is_troubled: whether the case shall bring about its disruption.
    """

    def __init__(self, case_folder: Path, services: tuple[str, ...]) -> None:
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case_folder / "record.txt")
        self._processes: list[subprocess.Popen] = []
        self.store = Store()
        self.cloud_address = serve(self._handle_cloud)
        self.workers: list[WorkerProcess] = []
        self.nodes: list[NodeProcess] = []
        self._services = services
        self._version = 0
        self.routes: list[dict] = []

    def configure(self, routes: list[dict]) -> None:
        """Writes a version of the configuration."""
        self._version += 1
        self.routes = routes
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "rejects-overload": True} for name in self._services
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.store.put("op", "config", configuration)
        targets = ", ".join(f"{r['prefix']} to {r['service']}" for r in routes)
        self.record.write(f"configuration {self._version}: {targets}")

    def add_worker(self, service: str, **settings) -> WorkerProcess:
        """Starts a worker."""
        worker = WorkerProcess(self, len(self.workers) + 1, service, **settings)
        self.workers.append(worker)
        worker.start()
        return worker

    def add_node(self, store_address: str = "") -> NodeProcess:
        """Starts a node."""
        node = NodeProcess(self, f"front-{len(self.nodes) + 1}", store_address)
        self.nodes.append(node)
        node.start()
        return node

    def spawn(self, command: list[str], **options) -> subprocess.Popen:
        """Starts a process that ends with the site."""
        process = subprocess.Popen(command, **options)
        self._processes.append(process)
        return process

    def wait_until_ready(self) -> None:
        """Waits until all nodes report ready.

        :raises CannotRunError: when that takes too long.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while call(node.ready, "GET", "/api/readyz").status != 200:
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{node.name} isn't ready")
                time.sleep(0.1)
        # The nodes wait for each other before they claim services.
        time.sleep(5.0)
        self.record.write("all nodes are ready")

    def send(
        self, node: NodeProcess, method: str, path: str, body: dict | None = None
    ) -> Answer:
        """Sends a client's request, and records it with its answer."""
        headers = {"Host": HOST_NAME, "X-Deadline-Ms": "3000"}
        sent_s = time.monotonic() - self.record.start_s
        answer = call(node.front, method, path, body, headers)
        self.record.write(
            f"client {method} {path} at {node.name} sent {sent_s:.3f} "
            f"answered {answer.status or 'nothing'} {json.dumps(answer.body)}"
        )
        return answer

    def log_event(self, event: str, worker_id: str) -> None:
        """Adds an event of a worker that its process can't report."""
        line = {"t": time.monotonic(), "worker": worker_id, "event": event}
        with (self.folder / "events").open("a") as events:
            events.write(json.dumps(line) + "\n")

    def events(self) -> list[dict]:
        """
        :returns: what the workers have seen so far, in order.
        """
        path = self.folder / "events"
        lines = path.read_text().splitlines() if path.exists() else []
        events = []
        for line in lines:
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return sorted(events, key=lambda event: event["t"])

    def _handle_cloud(self, request: Request) -> Answer:
        if request.path != "/api/machines":
            return Answer(409, {"reason": "busy"})
        machines = [
            {
                "machine": worker.settings["machine"],
                "pool": worker.settings["service"],
                "state": "up",
                "zone": "z1",
                "labels": ["a", worker.settings["rack"]],
                "capacity": {
                    "cpu": worker.settings["cpu"],
                    "mem-mb": 65536,
                    "gpu": 0,
                },
                "id": worker.id,
            }
            for worker in self.workers
        ]
        return Answer(200, {"machines": machines, "next-token": ""})

    def close(self) -> None:
        """Ends all processes and writes what the workers saw to the record."""
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        for event in self.events():
            fields = " ".join(f"{k}={v}" for k, v in event.items() if k != "t")
            self.record.write(fields, event["t"])
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case_file: str, services: tuple[str, ...], action) -> int:
    """Plays a case.

    :param action: called with the site; returns what broke the rule.
    :returns: exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
        be played.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site(Path(case_file).resolve().parent, services)
    try:
        broken = action(site)
    except Exception as error:
        site.record.write(f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        return 2
    finally:
        site.close()
    for line in broken:
        site.record.write(f"BROKEN: {line}")
    site.record.write("the rule was broken" if broken else "the rule held")
    print("\n".join(broken[:8]) or "the rule held")
    return 1 if broken else 0
