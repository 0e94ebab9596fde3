"""A queue is removed and added again with another service: a job runs twice."""

import os
import sys
import time
import traceback
from pathlib import Path

from review.rig_3.callers import call
from review.rig_3.runs import find_overlaps
from review.rig_3.site import Node, Record, create_folder
from review.rig_3.store import PatientStore
from review.rig_3.workers import Course, Kind, Worker
from standins.platform_http import HostServer
from standins.ports import reserve_port

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS_COUNT = 5
TASK_S = 10.0
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0
JOB = {
    "spec": "(text)",
    "phases": [{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 10000}],
}


def write_config(
    store: PatientStore, record: Record, version: int, route: str, service: str
) -> None:
    """Writes a version of the configuration, as the operator does.

    :param service: service of the queue; there is no queue if it is empty.
    """
    config = {
        "version": version,
        "routes": [],
        "services": [
            {"name": "rating", "rejects-overload": True},
            {"name": "dispatch", "rejects-overload": True},
        ],
        "limits": {"max-body-bytes": 100000},
    }
    if service:
        config["routes"] = [
            {
                "name": route,
                "host": "jobs.example",
                "prefix": "/rating/",
                "service": service,
                "attempts": 3,
            }
        ]
    store.put("op", "config", config)
    record.write(f"version {version}: /rating/ -> {service or 'no route'}")


class Site:
    """Store, a worker of each service, and nodes."""

    def __init__(self, record: Record) -> None:
        folder = create_folder()
        self.record = record
        self.store = PatientStore(reserve_port())
        self.hosts = HostServer(reserve_port())
        write_config(self.store, record, 3, "q-1", "rating")
        self.workers = [
            Worker(
                f"w-{service}",
                service,
                Kind("a", 64000),
                self.store,
                record,
                course=lambda task: Course(TASK_S),
            )
            for service in ("rating", "dispatch")
        ]
        for worker in self.workers:
            worker.start_heartbeats()
        self.nodes = [
            Node(
                f"frontend-{number}",
                self.store.address,
                self.hosts.address,
                folder,
                record,
            )
            for number in (1, 2)
        ]

    def start(self) -> None:
        """Starts the nodes."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready()
        time.sleep(4.0)

    def move_queue(self) -> None:
        """Removes the route, and adds one with its prefix and the other service."""
        write_config(self.store, self.record, 8, "", "")
        time.sleep(CONFIG_APPLY_S)
        write_config(self.store, self.record, 11, "q-2", "dispatch")

    def close(self) -> None:
        """Ends all processes and servers."""
        for node in self.nodes:
            node.close()
        for worker in self.workers:
            worker.stop()
        self.hosts.stop()
        self.store.stop()


def run(record: Record) -> int:
    """
    :returns: 1 if a rule was broken, 0 if they held, 2 if the case couldn't run.
    """
    site = Site(record)
    try:
        site.start()
        job_ids = [f"5c0e7a21d94b360{number}" for number in range(JOBS_COUNT)]
        for job_id in job_ids:
            if call("POST", site.nodes[0], job_id, record, JOB)[0] != 200:
                return 2
        time.sleep(1.0)
        if HAS_TROUBLE:
            site.move_queue()
        time.sleep(VISIBLE_S)
        broken = [
            f"LOST: an accepted job is unknown, {job_id}"
            for job_id in job_ids
            if call("GET", site.nodes[1], job_id, record)[0] == 410
        ]
        # Such a request also arrives seconds after the 2xx response for that id.
        for job_id in job_ids:
            call("POST", site.nodes[1], job_id, record, JOB)
        time.sleep(TASK_S + 3.0)
        tasks = [f"{job_id}.0.0.0" for job_id in job_ids]
        broken += [f"TWICE: {text}" for text in find_overlaps(site.workers, tasks)]
        for text in broken:
            record.write(f"broken {text}")
        return 1 if broken else 0
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
