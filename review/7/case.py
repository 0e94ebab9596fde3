"""A task of a cancelled job runs on, because its order to stop isn't repeated."""

import random
import threading
import time
from pathlib import Path

from review.rig_2.main import run_case
from review.rig_2.record import Record
from review.rig_2.site import Node, Site

SEED = 6
# One of eight workers at a time.
GREY_WORKERS = ("w3", "w5")
GREY_S = 6.5
GREY_SHARE = 0.45
JOB_INTERVAL_S = 0.1
CANCEL_WITHIN_S = 0.03
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.9
MARGIN_S = 1.0
STEP = {"count": 32, "cpu": 50, "mem-mb": 64, "estimate-ms": 500, "long-running": True}


class Caller:
    """Submits jobs that last and cancels each soon after its acknowledgement."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._random = rng
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.cancelled_s: dict[str, float] = {}

    def run(self, duration_s: float) -> None:
        """Submits jobs for a time, and waits until all are cancelled."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            job_id = f"{self._random.getrandbits(64):016x}"
            node = self._random.choice(self._site.nodes)
            delay_s = self._random.uniform(0, CANCEL_WITHIN_S)
            arguments = (node, job_id, delay_s)
            thread = threading.Thread(target=self._play_job, args=arguments)
            thread.start()
            self._threads.append(thread)
            time.sleep(JOB_INTERVAL_S)
        for thread in self._threads:
            thread.join()

    def _play_job(self, node: Node, job_id: str, delay_s: float) -> None:
        if not self._site.submit(node, job_id, "lasts", [STEP]):
            return
        time.sleep(delay_s)
        if self._site.cancel(node, job_id):
            with self._lock:
                self.cancelled_s[job_id] = self._site.record.now_s()


def play(record: Record, is_disturbed: bool) -> list[str]:
    """
    :returns: one line for each task that runs on.
    """
    site = Site(record)
    try:
        site.start()
        job_id = "00000000000000aa"
        first = {"count": 8, "cpu": 100, "mem-mb": 64, "estimate-ms": 100}
        accepted = site.submit(site.nodes[0], job_id, "work 100", [first])
        if not (
            accepted and site.wait_for_state(site.nodes[0], job_id, "complete", 20)
        ):
            raise TimeoutError("the first job did not complete")
        caller = Caller(site, random.Random(SEED))
        for worker_id in GREY_WORKERS:
            if is_disturbed:
                site.workers[worker_id].turn_grey(GREY_S, GREY_SHARE, SEED)
                record.add("grey_begins", worker=worker_id, share=GREY_SHARE)
            caller.run(GREY_S)
        record.add("grey_ended_and_all_cancelled", jobs=len(caller.cancelled_s))
        time.sleep(CONTACT_S)
        calm_s = record.now_s()
        time.sleep(CANCEL_S + STOP_S + MARGIN_S)
        running = site.running()
    finally:
        site.close()
    return [
        f"task {task} attempt {attempt} still runs on {worker}; its job's cancelling "
        f"was acknowledged at {cancelled_s:.3f}, and nothing was disturbed from "
        f"{calm_s - CONTACT_S:.3f} to {record.now_s():.3f}"
        for worker, task, attempt in running
        if (cancelled_s := caller.cancelled_s.get(task.split(".")[0])) is not None
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
