"""Processes of the system on loopback, with what the kernel counts for them."""

import json
import os
import resource
import subprocess
import sys
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port
from standins.site import ROOT, wait_until
from sycamorecroft.settings.daemon import DaemonSettings
from sycamorecroft.settings.node import HostCapacitySettings

STOP_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 10.0
FLEET = {
    "version": 1,
    "routes": [
        {
            "name": "r-rating",
            "host": "jobs.example",
            "prefix": "/rating/",
            "service": "rating",
            "attempts": 3,
        }
    ],
    "services": [{"name": "rating"}],
    "limits": {
        "max-body-bytes": 1_000_000,
        "max-header-bytes": 16_384,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
}
JOB = {"spec": "text", "phases": [{"count": 1, "cpu": 500, "mem-mb": 10}]}
_PROCESS_FILES = Path("/proc")
_TCP_TABLES = (Path("/proc/net/tcp"), Path("/proc/net/tcp6"))


class ObservedProcess(ABC):
    """A process of the system, whose memory and descriptors are observed."""

    def __init__(self, folder: Path, name: str) -> None:
        self._settings_path = folder / f"{name}.jsonc"
        self.log_path = folder / f"{name}.log"
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
        self.peak_unread_bytes = 0
        self.peak_descriptors_count = 0
        self._process: subprocess.Popen | None = None

    @property
    @abstractmethod
    def ports(self) -> Mapping[str, int]:
        """Port of each listener by name."""

    @abstractmethod
    def is_serving(self) -> bool:
        """
        :returns: whether ordinary requests of a new caller are answered.
        """

    def start(
        self, arguments: Iterable[str], settings: object, descriptors_count: int
    ) -> None:
        """Starts the process and waits until it serves.

        :param arguments: arguments of the interpreter.
        :param settings: content of the settings file.
        :param descriptors_count: limit of open descriptors of the process.
        """
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")
        environment = os.environ | {
            "PYTHONPATH": f"{ROOT / 'src'}",
            "SYCAMORECROFT_SETTINGS": str(self._settings_path),
        }
        limits = (descriptors_count, descriptors_count)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
            )
        wait_until(self._is_up, "process serves")
        self.observe()

    def _is_up(self) -> bool:
        try:
            return self.is_serving()
        except urllib3.exceptions.HTTPError:
            return False

    @property
    def is_alive(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def _folder(self) -> Path:
        return _PROCESS_FILES / str(self._process.pid)

    @property
    def peak_resident_bytes(self) -> int:
        """Largest resident memory since the start."""
        text = (self._folder / "status").read_text(encoding="ascii")
        line = next(line for line in text.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def reconnect(self) -> None:
        """Closes kept connections, so that the next requests open new ones."""
        self.http.clear()

    def observe(self) -> None:
        """Notes the descriptors, and received bytes that the process hasn't read."""
        if not self.is_alive:
            return
        count = len(os.listdir(self._folder / "fd"))
        self.peak_descriptors_count = max(self.peak_descriptors_count, count)
        unread_bytes = _unread_bytes(set(self.ports.values()))
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread_bytes)

    @property
    def peak_memory_bytes(self) -> int:
        """Largest resident memory and largest number of unread bytes."""
        return self.peak_resident_bytes + self.peak_unread_bytes

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stops the process by SIGTERM.

        :returns: its exit code.
        :raises subprocess.TimeoutExpired: when it has not ended after ``timeout_s``.
        """
        self._process.terminate()
        return self._process.wait(timeout_s)

    def close(self) -> None:
        """Kills the process, if it is running."""
        if self.is_alive:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)
        self.http.clear()


def _unread_bytes(ports: set[int]) -> int:
    """Returns the bytes in receive queues of connections to local ports."""
    total_bytes = 0
    for table in _TCP_TABLES:
        for line in table.read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if int(fields[1].rpartition(":")[2], 16) in ports and not is_listening:
                total_bytes += int(fields[4].partition(":")[2], 16)
    return total_bytes


class ObservedNode(ObservedProcess):
    """A node with the stand-ins of the store and of the host service.

    :param memory_mb: memory of the host, as its settings say.
    :param descriptors_count: descriptors of the host.
    """

    def __init__(self, folder: Path, memory_mb: int, descriptors_count: int) -> None:
        super().__init__(folder, "node")
        self.store = StoreServer(reserve_port())
        self._hosts = HostServer(reserve_port())
        self.store.put("op", "config", FLEET)
        self._ports = {name: reserve_port() for name in ("front", "ready", "metrics")}
        self._jobs_count = 0
        capacity = _known_keys(
            HostCapacitySettings,
            {
                "link_mbps": 100.0,
                "memory_mb": memory_mb,
                "descriptors_count": descriptors_count,
            },
        )
        settings = {
            "host": "h0",
            "data_centre": "dc1",
            "front_address": f"127.0.0.1:{self._ports['front']}",
            "ready_address": f"127.0.0.1:{self._ports['ready']}",
            "metrics_address": f"127.0.0.1:{self._ports['metrics']}",
            "store": {"address": self.store.address, "row_limit_bytes": 65536},
            "machines": {"address": self._hosts.address, "lease_ms": 3000},
            "bounds": {
                "grace_s": 6,
                "lease_max_ms": 10000,
                "status_s": 120,
                "upkeep_s": 2,
            },
            "capacity": capacity,
        }
        self.start(["-m", "sycamorecroft.node"], settings, descriptors_count)

    @property
    def ports(self) -> Mapping[str, int]:
        return self._ports

    def call(self, listener: str, method: str, path: str, body: bytes | None = None):
        """
        :returns: response of a listener, over a connection that is kept open.
        """
        return self.http.request(
            method,
            f"http://127.0.0.1:{self._ports[listener]}{path}",
            body=body,
            headers={"Host": "jobs.example"},
        )

    def submit(self) -> int:
        """Submits a new job.

        :returns: status of the response.
        """
        self._jobs_count += 1
        path = f"/rating/{self._jobs_count:016x}"
        return self.call("front", "POST", path, json.dumps(JOB).encode()).status

    def is_serving(self) -> bool:
        ready = self.call("ready", "GET", "/api/readyz")
        statuses = (
            ready.status,
            self.call("metrics", "GET", "/metrics").status,
            self.submit(),
        )
        # A failed test shows which listener refused the request. Readiness without a
        # reason means that the node reports itself as not ready.
        print(f"readiness, metrics, submission: {statuses}, reason: {ready.data}")
        return statuses == (200, 200, 200)

    def close(self) -> None:
        super().close()
        self.store.stop()
        self._hosts.stop()


class ObservedDaemon(ObservedProcess):
    """Daemon of the first release, alone in its fleet and without a platform.

    :param limits: settings of the daemon in addition to the addresses.
    """

    def __init__(
        self, folder: Path, descriptors_count: int, limits: Mapping[str, Any]
    ) -> None:
        super().__init__(folder, "daemon")
        self._ports = {name: reserve_port() for name in ("http", "grpc")}
        grpc_address = f"127.0.0.1:{self._ports['grpc']}"
        settings = {
            "entry": "entry-1",
            "data_centre": "dc1",
            "http_address": f"127.0.0.1:{self._ports['http']}",
            "grpc_address": grpc_address,
            "entries": [{"name": "entry-1", "grpc_address": grpc_address}],
            "platform_url": f"http://127.0.0.1:{reserve_port()}",
            "drain_grace_s": 0.5,
        }
        settings |= _known_keys(DaemonSettings, limits)
        arguments = ["-m", "sycamorecroft.daemon.main", str(self._settings_path)]
        self.start(arguments, settings, descriptors_count)

    @property
    def ports(self) -> Mapping[str, int]:
        return self._ports

    def is_serving(self) -> bool:
        address = f"http://127.0.0.1:{self._ports['http']}"
        # Without a configuration in force, a request is refused with an outcome.
        response = self.http.request(
            "POST", f"{address}/v1/services/rating/requests", body=b"x" * 1000
        )
        outcome = response.headers.get("Sycamorecroft-Outcome")
        health = self.http.request("GET", f"{address}/healthz")
        return outcome == "not-run" and health.status == 200


def _known_keys(
    settings_type: type[msgspec.Struct], values: Mapping[str, Any]
) -> dict[str, Any]:
    """Leaves out keys that the settings don't have, which would be refused."""
    names = {field.encode_name for field in msgspec.structs.fields(settings_type)}
    return {name: value for name, value in values.items() if name in names}
