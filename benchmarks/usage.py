"""Reads processor time, memory and sent bytes from ``/proc`` and ``ss``."""

import os
import re
import shutil
import subprocess
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

_NS_PER_S = 1e9
_SENT = re.compile(r"\bbytes_sent:(\d+)")


class ProcessUsage(NamedTuple):
    """Processor time of a process since its start, and its current resident memory."""

    processor_s: float
    resident_bytes: int


def read_usage(process_id: int) -> ProcessUsage:
    """
    :returns: usage of a process. The processor time of threads that have ended is not
        included.
    """
    folder = Path(f"/proc/{process_id}")
    total_ns = 0
    for task in (folder / "task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    resident_pages_count = int((folder / "statm").read_text().split()[1])
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    return ProcessUsage(total_ns / _NS_PER_S, resident_pages_count * page_bytes)


def sent_bytes(ports: Iterable[int]) -> int | None:
    """Sums the bytes sent so far on open TCP connections to or from the given ports.

    ``ss`` lists both ends of a loopback connection, and only sent bytes are summed, so
    each byte counts once. The sum includes HTTP/2 framing, but no TCP or IP headers.

    :returns: ``None`` if ``ss`` is not installed.
    """
    ss_path = shutil.which("ss")
    if ss_path is None:
        return None
    filters = " or ".join(f"sport = :{port} or dport = :{port}" for port in ports)
    command = [ss_path, "-tinH", f"( {filters} )"]
    listing = subprocess.run(command, capture_output=True, text=True, check=True)
    return sum(int(count) for count in _SENT.findall(listing.stdout))


def describe_load() -> str:
    """
    :returns: load average and number of cores of this host, to print with results.
    """
    averages = " ".join(f"{load:.1f}" for load in os.getloadavg())
    return f"load average {averages} on {os.cpu_count()} cores"
