"""Starts a whole site on loopback: the platform, backend servers and daemons.

Used by the quick start, the features and the benchmarks. All processes end with
:meth:`Site.stop`.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import urllib3

from sycamorecroft.configuration.codec import encode_configuration
from sycamorecroft.configuration.compilation import compile_configuration
from sycamorecroft.configuration.template import (
    HostInventory,
    load_inventory,
    load_parameters,
    load_template,
)
from sycamorecroft.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1

# The backend stand-in's control port stands before the ports of its servers.
_CONTROL_PORT_OFFSET = 1


class Response(NamedTuple):
    """Response of a daemon or stand-in."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """
        :returns: the decoded body.
        """
        return msgspec.json.decode(self.body)


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = READY_TIMEOUT_S
) -> float:
    """
    :param what: what is waited for, for the error.
    :returns: seconds waited.
    :raises TimeoutError: if the condition doesn't hold in time.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            message = f"{what}: not within {timeout_s} s"
            raise TimeoutError(message)
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started_s


class Site:
    """A site of one deployment.

    :param deployment: folder with ``template.jsonc``, ``daemon.jsonc``, ``hosts.json``
        and one parameter file.
    :param folder: folder for settings and logs.
    :param port_shift: added to all ports, so that sites can run side by side.
    :param service_time_ms: mean service time of the backend servers.
    :param settings: settings of the daemons that differ from the deployment's.
    """

    def __init__(
        self,
        deployment: Path,
        folder: Path,
        *,
        port_shift: int = 0,
        service_time_ms: float = 20.0,
        reboot_s: float = 2.0,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self.deployment = deployment
        self._folder = folder
        self._port_shift = port_shift
        self._service_time_ms = service_time_ms
        self._reboot_s = reboot_s
        self._settings = load_settings(deployment / "daemon.jsonc")
        self._changed_settings = dict(settings or {})
        self.inventory: HostInventory = load_inventory(deployment / "hosts.json")
        self._processes: dict[str, subprocess.Popen] = {}
        self._http = urllib3.PoolManager(maxsize=64, num_pools=64)
        self.entries = tuple(entry.name for entry in self._settings.entries)

    # Addresses.

    def _shifted(self, address: str) -> str:
        host, _, port = address.rpartition(":")
        return f"{host}:{int(port) + self._port_shift}"

    @property
    def platform_address(self) -> str:
        """``ip:port`` of the platform."""
        url = self._settings.platform_url
        return self._shifted(url.removeprefix("http://"))

    @property
    def backend_control_address(self) -> str:
        """``ip:port`` of the control interface of the backend servers."""
        first_port = self.inventory.base_port + self._port_shift
        return f"{self.inventory.base_ip}:{first_port - _CONTROL_PORT_OFFSET}"

    def http_address(self, entry: str) -> str:
        """``ip:port`` on which ``entry`` serves callers."""
        first = self._settings.http_address
        host, _, port = self._shifted(first).rpartition(":")
        return f"{host}:{int(port) + self.entries.index(entry)}"

    # Processes.

    def start(self) -> None:
        """Starts everything, publishes the configuration and the inventory."""
        self.start_platform()
        self.start_backends()
        for entry in self.entries:
            self.start_entry(entry)
        self.wait_for_listeners()
        self.publish_configuration()
        self.publish_inventory()
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Starts the platform and declares its host list."""
        port = self.platform_address.rpartition(":")[2]
        self._spawn(
            "platform",
            ["-m", "standins.platform_service", "--port", port],
            ["--reboot-s", str(self._reboot_s), "--host-list-lag-s", "2"],
        )
        wait_until(self._platform_answers, "platform listens")
        self.declare_hosts()

    def start_backends(self) -> None:
        """Starts all backend servers in one process."""
        first_port = self.inventory.base_port + self._port_shift
        size = self.inventory.worker_size
        self._spawn(
            "backend",
            ["-m", "standins.backend", "--first-port", str(first_port)],
            ["--control-port", str(first_port - _CONTROL_PORT_OFFSET)],
            ["--count", str(len(self.inventory.workers))],
            ["--slots", str(size.slots_count)],
            ["--connections", str(size.connections_count)],
            ["--service-time-ms", str(self._service_time_ms)],
        )

    def start_entry(self, entry: str) -> None:
        """Starts the daemon of an entry host."""
        path = self._folder / f"{entry}.json"
        path.write_text(json.dumps(self._entry_settings(entry)), encoding="utf-8")
        self._spawn(entry, ["-m", "sycamorecroft.daemon.main", str(path)])

    def _entry_settings(self, entry: str) -> dict[str, Any]:
        document = msgspec.to_builtins(self._settings)
        for peer in document["entries"]:
            peer["grpc_address"] = self._shifted(peer["grpc_address"])
        own = next(peer for peer in document["entries"] if peer["name"] == entry)
        document |= {
            "entry": entry,
            "http_address": self.http_address(entry),
            "grpc_address": own["grpc_address"],
            "platform_url": f"http://{self.platform_address}",
        }
        return document | self._changed_settings

    def _spawn(self, name: str, *arguments: list[str]) -> None:
        command = [sys.executable, *(item for part in arguments for item in part)]
        environment = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def process_id(self, name: str) -> int:
        """
        :returns: process id of an entry host's daemon, ``platform`` or ``backend``.
        """
        return self._processes[name].pid

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self._processes[name].kill()
        self._processes[name].wait(STOP_TIMEOUT_S)

    def stop_entry(self, entry: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Planned stop of a daemon.

        :returns: its exit code.
        """
        self._processes[entry].terminate()
        return self._processes[entry].wait(timeout_s)

    def stop(self) -> None:
        """Ends all processes."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)

    def logs(self, name: str) -> str:
        """
        :returns: what a process has written.
        """
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    # Calls.

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Response:
        """
        :raises urllib3.exceptions.HTTPError: if there is no whole response.
        """
        response = self._http.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=dict(headers or {}),
            timeout=timeout_s,
            retries=False,
        )
        return Response(response.status, response.headers, response.data)

    def request(
        self,
        entry: str,
        service: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Response:
        """Sends a caller's request through an entry host."""
        path = f"/v1/services/{service}/requests"
        address = self.http_address(entry)
        return self.call(address, "POST", path, body, headers, timeout_s)

    def operate(
        self, entry: str, method: str, path: str, body: object = None
    ) -> Response:
        """Makes an operator call."""
        content = None if body is None else msgspec.json.encode(body)
        address = self.http_address(entry)
        return self.call(address, method, f"/v1/operator/{path}", content)

    def status(self, entry: str) -> dict[str, Any]:
        """
        :returns: status of the fleet as ``entry`` sees it.
        """
        return self.operate(entry, "GET", "status").json()

    def set_fault(self, fault: Mapping[str, Any]) -> None:
        """Sets a fault of the platform."""
        content = msgspec.json.encode(dict(fault))
        self.call(self.platform_address, "POST", "/faults", content)

    def clear_faults(self) -> None:
        """Ends all faults of the platform."""
        self.call(self.platform_address, "DELETE", "/faults")

    # Declarations.

    def declare_hosts(self, without: frozenset[str] = frozenset()) -> None:
        """Declares the platform's host list.

        :param without: hosts that are gone.
        """
        size = msgspec.to_builtins(self.inventory.worker_size)
        workers = [
            {
                "name": worker.name,
                "role": "worker",
                "address": self._shifted(self.inventory.address_of(worker)),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "status": "live",
                **size,
            }
            for worker in self.inventory.workers
        ]
        small = dict.fromkeys(size, 0)
        entries = [
            {
                "name": entry,
                "role": "entry",
                "address": self.http_address(entry),
                "data_centre": self._settings.data_centre,
                "rack": "entry",
                "status": "live",
                **small,
            }
            for entry in self.entries
        ]
        hosts = [host for host in workers + entries if host["name"] not in without]
        body = msgspec.json.encode({"hosts": hosts})
        self.call(self.platform_address, "POST", "/hosts", body)

    def compile(self):
        """
        :returns: the deployment's configuration.
        """
        template = load_template(self.deployment / "template.jsonc")
        names = ("template.jsonc", "daemon.jsonc", "tool.jsonc")
        files = [
            load_parameters(path)
            for path in sorted(self.deployment.glob("*.jsonc"))
            if path.name not in names
        ]
        return compile_configuration(template, files, version=1)

    def publish_configuration(self, base_version: int = 0) -> None:
        """Publishes the deployment's configuration."""
        body = {
            "base_version": base_version,
            "author": "site",
            "configuration": msgspec.Raw(encode_configuration(self.compile())),
        }
        response = self.operate(self.entries[0], "PUT", "configuration", body)
        _require_ok(response)

    def publish_inventory(self) -> None:
        """Declares the pool of each worker."""
        size = self.inventory.worker_size
        hosts = [
            {
                "host": worker.name,
                "address": self._shifted(self.inventory.address_of(worker)),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "pool": worker.pool,
                "slots_count": size.slots_count,
                "connections_count": size.connections_count,
            }
            for worker in self.inventory.workers
        ]
        body = {"base_version": 0, "hosts": hosts}
        _require_ok(self.operate(self.entries[0], "PUT", "inventory", body))

    # Waits.

    def wait_for_listeners(self) -> None:
        """Waits until all daemons answer."""
        for entry in self.entries:
            wait_until(lambda entry=entry: self.answers(entry), f"{entry} listens")

    def wait_until_ready(self) -> float:
        """
        :returns: seconds until all daemons are ready and know all workers.
        """
        count = len(self.inventory.workers)
        return wait_until(
            lambda: all(self._is_ready(entry, count) for entry in self.entries),
            "all entry hosts ready",
        )

    def answers(self, entry: str) -> bool:
        """
        :returns: whether the daemon's HTTP server answers.
        """
        try:
            address = self.http_address(entry)
            return self.call(address, "GET", "/healthz", timeout_s=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _is_ready(self, entry: str, workers_count: int) -> bool:
        ready = self.call(self.http_address(entry), "GET", "/readyz")
        if ready.status != 200:
            return False
        pools = self.status(entry)["pools"]
        return sum(sum(states.values()) for states in pools.values()) == workers_count

    def _platform_answers(self) -> bool:
        try:
            return self.call(self.platform_address, "GET", "/hosts").status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _require_ok(response: Response) -> None:
    if response.status != 200:
        message = f"call failed with status {response.status}: {response.body!r}"
        raise RuntimeError(message)
