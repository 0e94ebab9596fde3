"""Workers crash and start again at once, under the id and address that they had."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig.checks import doubled_runs, intervals, repeated_runs  # noqa: E402
from rig.site import HOST_NAME, Site, WorkerProcess, play  # noqa: E402

WORKERS_COUNT = 8
CRASHES_COUNT = 24
CRASH_PAUSE_S = 3.0
JOB_INTERVAL_S = 0.13


def main(site: Site) -> list[str]:
    """
    :returns: what broke the rule.
    """
    route = {
        "name": "r-photo",
        "host": HOST_NAME,
        "prefix": "/photo/",
        "service": "rating",
        "attempts": 4,
    }
    site.configure([route])
    for _ in range(WORKERS_COUNT):
        site.add_worker("rating", cpu=64000)
    for _ in range(3):
        site.add_node()
    site.wait_until_ready()
    stopped = threading.Event()
    load = threading.Thread(target=_submit_jobs, args=(site, stopped), daemon=True)
    load.start()
    time.sleep(2.0)
    for _ in range(CRASHES_COUNT):
        worker = _latest_starter(site)
        if site.is_troubled:
            worker.kill()
            worker.start()
        time.sleep(CRASH_PAUSE_S)
    stopped.set()
    load.join()
    time.sleep(4.0)
    events = site.events()
    runs = intervals(events, time.monotonic())
    origin_s = site.record.start_s
    return doubled_runs(runs, origin_s) + repeated_runs(events, origin_s)


def _latest_starter(site: Site) -> WorkerProcess:
    """Returns the worker that has started a task last."""
    starts = [event["worker"] for event in site.events() if event["event"] == "start"]
    return next(worker for worker in site.workers if worker.id == starts[-1])


def _submit_jobs(site: Site, stopped: threading.Event) -> None:
    spec = json.dumps({"ms": 800, "cpu": 1000})
    step = {"count": 4, "cpu": 1000, "mem-mb": 10, "estimate-ms": 800}
    number = 0
    while not stopped.wait(JOB_INTERVAL_S):
        number += 1
        node = site.nodes[number % len(site.nodes)]
        body = {"spec": spec, "phases": [step]}
        site.send(node, "POST", f"/photo/{number:016x}", body)


if __name__ == "__main__":
    sys.exit(play(__file__, ("rating",), main))
