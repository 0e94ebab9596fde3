"""Answers of the store are lost, and the writes are done seconds later."""

import json
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig.site import HOST_NAME, Site, play  # noqa: E402

LOST_SHARE = 0.35
LOST_S = 4.5
PAUSE_S = 4.5
ROUNDS_COUNT = 9
JOB_INTERVAL_S = 1 / 90
CALLERS_COUNT = 150


def main(site: Site) -> list[str]:
    """
    :returns: what broke the rule.
    """
    route = {
        "name": "r-hotline",
        "host": HOST_NAME,
        "prefix": "/hotline/",
        "service": "hotline",
        "attempts": 4,
    }
    site.configure([route])
    for _ in range(8):
        site.add_worker("hotline", cpu=64000)
    for _ in range(3):
        site.add_node()
    site.wait_until_ready()
    trouble = threading.Thread(target=_lose_answers, args=(site,), daemon=True)
    trouble.start()
    accepted = _submit_jobs(site, trouble)
    time.sleep(10.0)
    return _find_unknown_jobs(site, accepted)


def _lose_answers(site: Site) -> None:
    for _ in range(ROUNDS_COUNT):
        time.sleep(PAUSE_S)
        if site.is_troubled:
            site.store.lost_share = LOST_SHARE
            site.record.write(f"{LOST_SHARE:.0%} of the writes get no answer")
        time.sleep(LOST_S)
        site.store.lost_share = 0.0
        site.record.write("the store answers as usual")


def _submit_jobs(site: Site, trouble: threading.Thread) -> list[str]:
    """
    :returns: ids of the accepted jobs.
    """
    spec = json.dumps({"ms": 300, "cpu": 500})
    step = {"count": 1, "cpu": 500, "mem-mb": 10, "estimate-ms": 300}
    accepted: list[str] = []
    ids = random.Random(7)

    def submit(job_id: str) -> None:
        # The balancer chooses the node by a hash of the client, here always the same.
        node = site.nodes[0]
        body = {"spec": spec, "phases": [step]}
        if site.send(node, "POST", f"/hotline/{job_id}", body).status == 200:
            accepted.append(job_id)

    with ThreadPoolExecutor(CALLERS_COUNT) as callers:
        while trouble.is_alive():
            job_id = f"{ids.getrandbits(64):016x}"
            callers.submit(submit, job_id)
            time.sleep(JOB_INTERVAL_S)
    return accepted


def _find_unknown_jobs(site: Site, accepted: list[str]) -> list[str]:
    started = {
        event["task"].partition(".")[0]
        for event in site.events()
        if event["event"] == "start"
    }
    site.record.write(f"{len(accepted)} jobs accepted")
    broken = []
    for job_id in accepted:
        if job_id in started:
            continue
        answers = [site.send(node, "GET", f"/hotline/{job_id}") for node in site.nodes]
        if any(answer.status == 410 for answer in answers):
            broken.append(
                f"LOST: job {job_id} was accepted with 200, no task of it has started, "
                f"and a GET is answered {[answer.status for answer in answers]}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(play(__file__, ("hotline",), main))
