"""Nodes as processes, with settings like those of a small deployment."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path

from standins.ports import reserve_port

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 30.0
# Bounds of sites/osst-croft.toml.
CONTACT_S = 3.0
LEASE_MS = 3000


class Record:
    """Lines of ``record.txt``, with the time in seconds. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> float:
        """Appends a line.

        :returns: its time.
        """
        with self._lock:
            now_s = time.monotonic()
            self._file.write(f"{now_s:.3f} {text}\n")
            self._file.flush()
            return now_s


class Node:
    """A node process, and when it was started or stopped."""

    def __init__(
        self,
        name: str,
        store_address: str,
        machines_address: str,
        folder: Path,
        record: Record,
        *,
        cores_count: float = 1.07,
        link_mbps: float = 1000.0,
        changes: dict | None = None,
    ) -> None:
        self.name = name
        self.disturbed_s: list[float] = []
        self.front_address = f"127.0.0.1:{reserve_port()}"
        self.ready_address = f"127.0.0.1:{reserve_port()}"
        self._record = record
        self._path = folder / f"{name}.jsonc"
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        settings = {
            "host": name,
            "data_centre": "ondangwa",
            "front_address": self.front_address,
            "ready_address": self.ready_address,
            "metrics_address": f"127.0.0.1:{reserve_port()}",
            "store": {"address": store_address, "row_limit_bytes": 65536},
            "machines": {"address": machines_address, "lease_ms": LEASE_MS},
            "capacity": {
                "processor_share_ratio": cores_count,
                "processor_speed_ratio": 1,
                "link_mbps": link_mbps,
                "memory_mb": 300,
                "descriptors_count": 4100,
            },
            "placement": {"remote_slowdown_ratio": 1.5, "is_preemption_enabled": True},
            "bounds": {
                "grace_s": 6,
                "lease_max_ms": 10000,
                "status_s": 120,
                "stop_ms": 900,
                "upkeep_s": 2,
            },
        }
        settings |= changes or {}
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environment = os.environ | {
            "SYCAMORECROFT_SETTINGS": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "sycamorecroft.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.disturbed_s.append(self._record.write(f"{self.name} started"))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.disturbed_s.append(self._record.write(f"{self.name} gets {number.name}"))
        self._process.send_signal(number)

    def wait_ended(self, timeout_s: float = 15.0) -> None:
        """Waits until the process has ended."""
        self._process.wait(timeout_s)

    def wait_ready(self) -> None:
        """Waits until the node reports itself ready.

        :raises TimeoutError: when it isn't ready in time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        url = f"http://{self.ready_address}/api/readyz"
        while time.monotonic() < end_s:
            try:
                with urllib.request.urlopen(url, timeout=1.0):
                    return
            except OSError:
                time.sleep(0.1)
        raise TimeoutError(f"{self.name} isn't ready; see {self._log_path}")

    def is_in_touch(self, time_s: float) -> bool:
        """
        :returns: whether its process ran for ``contact-ms`` before a moment.
        """
        return not any(
            time_s - CONTACT_S < disturbed_s <= time_s
            for disturbed_s in self.disturbed_s
        )

    def close(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(10)


def create_folder() -> Path:
    """
    :returns: a temporary folder for settings and logs.
    """
    return Path(tempfile.mkdtemp(prefix="review-"))
