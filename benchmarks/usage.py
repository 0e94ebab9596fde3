"""Processor time, memory and bytes of processes, read from ``/proc`` and ``ss``."""

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
    """Use of a process since its start, and its memory at present."""

    processor_s: float
    resident_bytes: int


def read_usage(process_id: int) -> ProcessUsage:
    """
    :returns: use of all threads of a process that run now.
    """
    folder = Path(f"/proc/{process_id}")
    total_ns = 0
    for task in (folder / "task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    resident_count = int((folder / "statm").read_text().split()[1])
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    return ProcessUsage(total_ns / _NS_PER_S, resident_count * page_bytes)


def sent_bytes(ports: Iterable[int]) -> int | None:
    """Sums what TCP connections to or from listening ports have sent so far.

    Both ends of a loopback connection are listed, so the sum counts each byte once, as
    sent. It includes the framing of HTTP/2, but no TCP or IP headers.

    :returns: ``None`` where ``ss`` isn't there.
    """
    program = shutil.which("ss")
    if program is None:
        return None
    filters = " or ".join(f"sport = :{port} or dport = :{port}" for port in ports)
    command = [program, "-tinH", f"( {filters} )"]
    listing = subprocess.run(command, capture_output=True, text=True, check=True)
    return sum(int(match) for match in _SENT.findall(listing.stdout))


def load_line() -> str:
    """
    :returns: load of the machine, to print with each figure.
    """
    averages = " ".join(f"{load:.1f}" for load in os.getloadavg())
    return f"load average {averages} on {os.cpu_count()} cores"
