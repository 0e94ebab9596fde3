"""Runs a whole site on loopback: the platform, backend servers and daemons.

The quick start, the features and the benchmarks use it. :meth:`Site.stop` ends all
processes.
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
LOGGED_LINES_COUNT = 10
# Daemons poll the table service every second.
STORE_CONTACT_AGE_LIMIT_S = 2.0
STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1

# The control port of the backend stand-in precedes the ports of its servers.
_CONTROL_PORT_OFFSET = 1


class Response(NamedTuple):
    """HTTP response of a daemon or stand-in."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """
        :returns: the body decoded as JSON.
        """
        return msgspec.json.decode(self.body)


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = READY_TIMEOUT_S
) -> float:
    """Polls a condition until it holds.

    :param description: description of the condition, for the error.
    :returns: seconds waited.
    :raises TimeoutError: when the condition does not hold within ``timeout_s``.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            message = f"{description}: condition not met within {timeout_s} s"
            raise TimeoutError(message)
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started_s


class Site:
    """Site that runs one deployment.

    :param deployment: folder with ``template.jsonc``, ``daemon.jsonc``, ``hosts.json``
        and one parameter file.
    :param folder: folder for settings and logs.
    :param port_shift: added to all ports, so that sites can run side by side.
    :param service_time_ms: mean service time of the backend servers.
    :param reboot_s: duration of a host's reboot.
    :param settings: settings of the daemons that override the deployment's.
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
        self._settings_overrides = dict(settings or {})
        self.inventory: HostInventory = load_inventory(deployment / "hosts.json")
        self._processes: dict[str, subprocess.Popen] = {}
        self._http = urllib3.PoolManager(maxsize=64, num_pools=64)
        self.entry_hosts = tuple(
            entry_host.name for entry_host in self._settings.entries
        )

    # Addresses

    def _shift_port(self, address: str) -> str:
        host, _, port = address.rpartition(":")
        return f"{host}:{int(port) + self._port_shift}"

    @property
    def platform_address(self) -> str:
        """``ip:port`` of the platform."""
        url = self._settings.platform_url
        return self._shift_port(url.removeprefix("http://"))

    @property
    def backend_control_address(self) -> str:
        """``ip:port`` of the backend servers' control interface."""
        first_port = self.inventory.base_port + self._port_shift
        return f"{self.inventory.base_ip}:{first_port - _CONTROL_PORT_OFFSET}"

    def http_address(self, entry_host: str) -> str:
        """``ip:port`` on which an entry host serves callers."""
        first_address = self._settings.http_address
        host, _, port = self._shift_port(first_address).rpartition(":")
        return f"{host}:{int(port) + self.entry_hosts.index(entry_host)}"

    # Processes

    def start(self) -> None:
        """Starts all processes, publishes configuration and inventory, and waits."""
        self.start_platform()
        self.start_backends()
        for entry_host in self.entry_hosts:
            self.start_entry_host(entry_host)
        self.wait_for_listeners()
        self.publish_configuration()
        self.publish_inventory()
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Starts the platform and declares its host list."""
        port = self.platform_address.rpartition(":")[2]
        self._spawn_process(
            "platform",
            ["-m", "standins.platform_service", "--port", port],
            ["--reboot-s", str(self._reboot_s), "--host-list-lag-s", "2"],
        )
        wait_until(self._is_platform_responding, "platform responds")
        self.declare_hosts()

    def start_backends(self) -> None:
        """Starts all backend servers in one process."""
        first_port = self.inventory.base_port + self._port_shift
        size = self.inventory.worker_size
        self._spawn_process(
            "backend",
            ["-m", "standins.backend", "--first-port", str(first_port)],
            ["--control-port", str(first_port - _CONTROL_PORT_OFFSET)],
            ["--count", str(len(self.inventory.workers))],
            ["--slots", str(size.slots_count)],
            ["--connections", str(size.connections_count)],
            ["--service-time-ms", str(self._service_time_ms)],
        )

    def start_entry_host(self, entry_host: str) -> None:
        """Starts the daemon of an entry host."""
        path = self._folder / f"{entry_host}.json"
        path.write_text(json.dumps(self._daemon_settings(entry_host)), encoding="utf-8")
        self._spawn_process(entry_host, ["-m", "sycamorecroft.daemon.main", str(path)])

    def _daemon_settings(self, entry_host: str) -> dict[str, Any]:
        document = msgspec.to_builtins(self._settings)
        for entry_settings in document["entries"]:
            entry_settings["grpc_address"] = self._shift_port(
                entry_settings["grpc_address"]
            )
        own_entry = next(
            entry_settings
            for entry_settings in document["entries"]
            if entry_settings["name"] == entry_host
        )
        document |= {
            "entry": entry_host,
            "http_address": self.http_address(entry_host),
            "grpc_address": own_entry["grpc_address"],
            "platform_url": f"http://{self.platform_address}",
        }
        return document | self._settings_overrides

    def _spawn_process(self, name: str, *arguments: list[str]) -> None:
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
        """Kills a process and waits until it has ended."""
        self._processes[name].kill()
        self._processes[name].wait(STOP_TIMEOUT_S)

    def stop_entry_host(
        self, entry_host: str, timeout_s: float = STOP_TIMEOUT_S
    ) -> int:
        """Stops a daemon gracefully.

        :returns: its exit code.
        :raises subprocess.TimeoutExpired: when it has not ended after ``timeout_s``.
        """
        self._processes[entry_host].terminate()
        return self._processes[entry_host].wait(timeout_s)

    def stop(self) -> None:
        """Kills all processes, also suspended ones, and waits until they have ended."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)

    def read_log(self, name: str) -> str:
        """
        :returns: output of a process, from its standard output and error.
        """
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    # Calls

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
        :raises urllib3.exceptions.HTTPError: when there is no complete response.
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
        entry_host: str,
        service: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Response:
        """Sends a caller's request to an entry host."""
        path = f"/v1/services/{service}/requests"
        address = self.http_address(entry_host)
        return self.call(address, "POST", path, body, headers, timeout_s)

    def call_operator(
        self, entry_host: str, method: str, path: str, body: object = None
    ) -> Response:
        """Calls the operator interface of an entry host, with ``body`` as JSON."""
        content = None if body is None else msgspec.json.encode(body)
        address = self.http_address(entry_host)
        return self.call(address, method, f"/v1/operator/{path}", content)

    def status(self, entry_host: str) -> dict[str, Any]:
        """
        :returns: status of the fleet as reported by an entry host.
        """
        return self.call_operator(entry_host, "GET", "status").json()

    def set_fault(self, fault: Mapping[str, Any]) -> None:
        """Injects a fault into the platform; see ``POST /faults`` of its stand-in."""
        content = msgspec.json.encode(dict(fault))
        self.call(self.platform_address, "POST", "/faults", content)

    def clear_faults(self) -> None:
        """Ends all faults of the platform."""
        self.call(self.platform_address, "DELETE", "/faults")

    # Declarations

    def declare_hosts(self, without: frozenset[str] = frozenset()) -> None:
        """Declares the platform's host list.

        :param without: names of hosts to leave out.
        """
        size = msgspec.to_builtins(self.inventory.worker_size)
        workers = [
            {
                "name": worker.name,
                "role": "worker",
                "address": self._shift_port(self.inventory.address_of(worker)),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "status": "live",
                **size,
            }
            for worker in self.inventory.workers
        ]
        zero_size = dict.fromkeys(size, 0)
        entry_host_rows = [
            {
                "name": entry_host,
                "role": "entry",
                "address": self.http_address(entry_host),
                "data_centre": self._settings.data_centre,
                "rack": "entry",
                "status": "live",
                **zero_size,
            }
            for entry_host in self.entry_hosts
        ]
        hosts = [
            host for host in workers + entry_host_rows if host["name"] not in without
        ]
        body = msgspec.json.encode({"hosts": hosts})
        self.call(self.platform_address, "POST", "/hosts", body)

    def compile(self):
        """
        :returns: the configuration compiled from the deployment.
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
        """Publishes the deployment's configuration.

        :raises RuntimeError: when the call is rejected.
        """
        body = {
            "base_version": base_version,
            "author": "site",
            "configuration": msgspec.Raw(encode_configuration(self.compile())),
        }
        response = self.call_operator(self.entry_hosts[0], "PUT", "configuration", body)
        _require_success(response)

    def publish_inventory(self) -> None:
        """Publishes the inventory, which assigns each worker to a pool.

        :raises RuntimeError: when the call is rejected.
        """
        size = self.inventory.worker_size
        hosts = [
            {
                "host": worker.name,
                "address": self._shift_port(self.inventory.address_of(worker)),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "pool": worker.pool,
                "slots_count": size.slots_count,
                "connections_count": size.connections_count,
            }
            for worker in self.inventory.workers
        ]
        body = {"base_version": 0, "hosts": hosts}
        _require_success(
            self.call_operator(self.entry_hosts[0], "PUT", "inventory", body)
        )

    # Waiting

    def wait_for_listeners(self) -> None:
        """Waits until the HTTP servers of all daemons respond.

        :raises TimeoutError: with the last log lines of a daemon that doesn't.
        """
        for entry_host in self.entry_hosts:
            try:
                wait_until(
                    lambda entry_host=entry_host: self.is_responding(entry_host),
                    f"{entry_host} responds",
                )
            except TimeoutError as error:
                raise TimeoutError(f"{error}; {self._describe(entry_host)}") from error

    def _describe(self, name: str) -> str:
        """Returns the exit status of a process, if it has ended, and its last lines."""
        status = self._processes[name].poll()
        state = "is running" if status is None else f"has ended with status {status}"
        log = self._folder / f"{name}.log"
        lines = log.read_text(errors="replace").splitlines()[-LOGGED_LINES_COUNT:]
        return f"{name} {state}; last log lines: {lines}"

    def wait_until_ready(self) -> float:
        """
        :returns: seconds until all daemons were ready and listed all workers.
        """
        count = len(self.inventory.workers)
        return wait_until(
            lambda: all(
                self._is_ready(entry_host, count) for entry_host in self.entry_hosts
            ),
            "all entry hosts are ready and list all workers",
        )

    def wait_until_store_reached(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        """
        :returns: seconds until all daemons had reached the platform's table service.
        :raises TimeoutError: when one hasn't within ``timeout_s``.
        """
        return wait_until(
            lambda: all(
                self._store_age_s(entry_host) < STORE_CONTACT_AGE_LIMIT_S
                for entry_host in self.entry_hosts
            ),
            "all daemons reach the store",
            timeout_s,
        )

    def _store_age_s(self, entry_host: str) -> float:
        """Returns the age of the last contact, infinite if calls are refused."""
        store = self.status(entry_host)["store"]
        is_disconnected = store["contact_age_s"] is None or store["state"] != "closed"
        return float("inf") if is_disconnected else store["contact_age_s"]

    def is_responding(self, entry_host: str) -> bool:
        """
        :returns: whether the daemon's HTTP server responds.
        """
        try:
            address = self.http_address(entry_host)
            return self.call(address, "GET", "/healthz", timeout_s=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _is_ready(self, entry_host: str, workers_count: int) -> bool:
        ready = self.call(self.http_address(entry_host), "GET", "/readyz")
        if ready.status != 200:
            return False
        pools = self.status(entry_host)["pools"]
        return sum(sum(states.values()) for states in pools.values()) == workers_count

    def _is_platform_responding(self) -> bool:
        try:
            return self.call(self.platform_address, "GET", "/hosts").status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _require_success(response: Response) -> None:
    if response.status != 200:
        message = f"expected status 200, got {response.status}: {response.body!r}"
        raise RuntimeError(message)
