"""Latency and processor time of ordinary requests to the HTTP server.

``python -m benchmarks.http_server`` starts the server in a process of its own and sends
requests one after the other, over a kept connection and over new ones, with and without
idle connections beside them.
"""

import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from http.client import HTTPConnection
from statistics import quantiles
from typing import NamedTuple

from standins.ports import reserve_port
from sycamorecroft.entry.server import HttpServer, ServerSettings

REQUESTS_COUNT = 4000
WARM_UP_COUNT = 500
IDLE_COUNTS = (0, 200)
BODIES_BYTES = (400, 200_000)
LARGE_REQUESTS_COUNT = 800
_CONNECT_TIMEOUT_S = 10.0
_BODY = json.dumps({"state": "queued"}).encode()


class Cost(NamedTuple):
    """Latency of requests, and the server's processor time for each."""

    median_ms: float
    p99_ms: float
    processor_ms: float


def _respond(environ: dict, start_response: Callable) -> list[bytes]:
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(_BODY)))])
    return [_BODY]


def serve(port: int) -> None:
    """Serves until the process is killed."""
    settings = ServerSettings(f"127.0.0.1:{port}", 48, 2000, 2**20, 10)
    server = HttpServer(_respond, settings)
    server.start()
    while True:
        time.sleep(60)


def _processor_s(process_id: int) -> float:
    with open(f"/proc/{process_id}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    port: int, process_id: int, count: int, body_bytes: int, *, is_kept: bool
) -> Cost:
    """
    :param count: number of requests.
    :param is_kept: whether all requests use one connection.
    """
    body = b"x" * body_bytes
    connection = HTTPConnection("127.0.0.1", port)
    durations_s = []
    processor_s = _processor_s(process_id)
    for _ in range(count):
        started_s = time.perf_counter()
        connection.request("POST", "/rating/0011223344556677", body)
        connection.getresponse().read()
        if not is_kept:
            connection.close()
        durations_s.append(time.perf_counter() - started_s)
    connection.close()
    processor_s = _processor_s(process_id) - processor_s
    cuts = quantiles(durations_s, n=100)
    return Cost(cuts[49] * 1000, cuts[98] * 1000, processor_s / count * 1000)


def main() -> None:
    """Prints one line for each kind of load."""
    port = reserve_port()
    server = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.http_server", "serve", str(port)]
    )
    try:
        _wait_for(port)
        measure(port, server.pid, WARM_UP_COUNT, 400, is_kept=True)
        for idle_count in IDLE_COUNTS:
            idle = [
                socket.create_connection(("127.0.0.1", port)) for _ in range(idle_count)
            ]
            for body_bytes in BODIES_BYTES:
                for is_kept in (True, False):
                    is_large = body_bytes > 10_000
                    count = LARGE_REQUESTS_COUNT if is_large else REQUESTS_COUNT
                    cost = measure(port, server.pid, count, body_bytes, is_kept=is_kept)
                    print(
                        f"{idle_count:5} idle, body {body_bytes:7} B, "
                        f"{'kept' if is_kept else 'new '} connections: "
                        f"median {cost.median_ms:.3f} ms, p99 {cost.p99_ms:.3f} ms, "
                        f"processor {cost.processor_ms:.3f} ms a request"
                    )
            for connection in idle:
                connection.close()
    finally:
        server.kill()


def _wait_for(port: int) -> None:
    deadline_s = time.monotonic() + _CONNECT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except ConnectionRefusedError:
            time.sleep(0.05)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(int(sys.argv[2]))
    else:
        main()
