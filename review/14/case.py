"""A job is started long after its cancelling was answered with 410."""

import json
import os
import sys
import time
import traceback
import urllib.error
import urllib.request
from pathlib import Path

from review.rig_3.links import Link, Partition
from review.rig_3.machines import FLEET, wait_for
from review.rig_3.site import Node, Record, create_folder
from review.rig_3.store import PatientStore
from review.rig_3.workers import Kind, Worker
from standins.platform_http import HostServer
from standins.ports import reserve_port
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY, OwnerRow
from sycamorecroft.scheduling.rows import decode_row

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Shorter than node_cut on the standard day scale-2 of the site file, 12 s.
CUT_S = 8.0
CANCEL_S = 3.0
DEADLINE_MS = 3000
JOB = {
    "spec": "(text)",
    "phases": [{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 300}],
}


class Site:
    """Store, a worker and two nodes, each with its own path to the store."""

    def __init__(self, record: Record) -> None:
        folder = create_folder()
        self.record = record
        self.store = PatientStore(reserve_port())
        self.hosts = HostServer(reserve_port())
        self.store.put("op", "config", FLEET)
        kind = Kind("a", 64000)
        self.worker = Worker("w-1", "rating", kind, self.store, record)
        self.worker.start_heartbeats()
        self.partitions: dict[str, Partition] = {}
        self.links: dict[str, Link] = {}
        self.nodes: dict[str, Node] = {}
        for name in ("frontend-1", "frontend-2"):
            partition = self.partitions[name] = Partition()
            link = Link(f"{name} to store", self.store.address, partition, record)
            self.links[name] = link
            self.nodes[name] = Node(
                name, link.address, self.hosts.address, folder, record
            )

    def owner(self) -> str:
        """
        :returns: node that runs the jobs; empty if there is none.
        """
        row = self.store.tables.row(OWNERS_TABLE, ROW_KEY, "rating")
        return decode_row(row.value, OwnerRow).entry_host if row else ""

    def cut_at_write(self, name: str) -> None:
        """Cuts a machine off while its next write is on the way."""

        def cut(data: bytes) -> None:
            if data.startswith(b"POST /api/rows-tx"):
                self.links[name].on_bytes = lambda data: None
                self.partitions[name].begin(CUT_S)
                self.record.write(f"{name} is cut off for {CUT_S} s")

        self.links[name].on_bytes = cut

    def call(self, method: str, name: str, job_id: str) -> int:
        """
        :returns: status of the answer, 0 if there is none.
        """
        request = urllib.request.Request(
            f"http://{self.nodes[name].front_address}/rating/{job_id}",
            method=method,
            data=json.dumps(JOB).encode() if method == "POST" else None,
            headers={
                "Host": "jobs.example",
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(DEADLINE_MS),
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=DEADLINE_MS / 1000) as reply:
                status = reply.status
        except urllib.error.HTTPError as error:
            status = error.code
        except OSError:
            status = 0
        self.record.write(f"{method} {job_id} at {name}: {status}")
        return status

    def close(self) -> None:
        """Ends all processes and servers."""
        for node in self.nodes.values():
            node.close()
        for link in self.links.values():
            link.close()
        self.worker.stop()
        self.hosts.stop()
        self.store.stop()


def run(record: Record) -> int:
    """
    :returns: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    site = Site(record)
    try:
        for node in site.nodes.values():
            node.start()
        for node in site.nodes.values():
            node.wait_ready()
        if not wait_for(lambda: site.owner() != "", 10.0):
            record.write("no owner")
            return 2
        time.sleep(4.0)
        owner = site.owner()
        entry = next(name for name in site.nodes if name != owner)
        record.write(f"owner is {owner}")
        if site.call("POST", entry, "00000000000000aa") != 200:
            return 2
        job_id = "5c0e7a21d94b36f8"
        if HAS_TROUBLE:
            site.cut_at_write(entry)
        submitted = site.call("POST", entry, job_id)
        cancelled = site.call("DELETE", owner, job_id)
        cancelled_s = time.monotonic()
        if cancelled not in (200, 410):
            record.write("not cancelled")
            return 2
        time.sleep(CUT_S + 8.0)
        state = site.call("GET", owner, job_id)
        record.write(f"submitted {submitted}, cancelled {cancelled}, then {state}")
        started = site.worker.started_s.get(f"{job_id}.0.0.0", [])
        is_broken = False
        for started_s in started:
            passed_s = started_s - cancelled_s
            is_in_touch = site.nodes[owner].is_in_touch(started_s)
            record.write(f"started {passed_s:.3f} s after, in touch: {is_in_touch}")
            is_broken |= passed_s > CANCEL_S and is_in_touch
        if is_broken:
            record.write("UNASKED broken")
        return 1 if is_broken else 0
    finally:
        site.close()


def main() -> int:
    """
    :returns: the exit code.
    """
    record = Record(FOLDER / "record.txt")
    try:
        return run(record)
    except Exception:
        record.write(traceback.format_exc())
        return 2


if __name__ == "__main__":
    sys.exit(main())
