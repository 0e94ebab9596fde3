"""Workers leave orders unanswered and carry them out late, and jobs are cancelled."""

import json
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig.http_json import call  # noqa: E402
from rig.site import HOST_NAME, Site, play  # noqa: E402

LATE_SHARE = 0.5
LATE_S = 5.5
PAUSE_S = 9.0
ROUNDS_COUNT = 8
CANCELLED_SHARE = 0.4
CANCEL_AFTER_S = 0.9
CANCEL_LIMIT_S = 3.0
JOB_INTERVAL_S = 0.15


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
    for _ in range(8):
        site.add_worker("rating", cpu=16000)
    for _ in range(3):
        site.add_node()
    site.wait_until_ready()
    trouble = threading.Thread(target=_delay_orders, args=(site,), daemon=True)
    trouble.start()
    cancelled_s = _submit_jobs(site, trouble)
    time.sleep(3.0)
    return _find_late_starts(site, cancelled_s)


def _delay_orders(site: Site) -> None:
    for _ in range(ROUNDS_COUNT):
        time.sleep(PAUSE_S - LATE_S)
        if site.is_troubled:
            _set_late_share(site, LATE_SHARE)
        time.sleep(LATE_S)
        _set_late_share(site, 0.0)


def _set_late_share(site: Site, share: float) -> None:
    for worker in site.workers:
        address = f"127.0.0.1:{worker.settings['port']}"
        call(address, "POST", "/late", {"share": share})
    site.record.write(f"{share:.0%} of the orders get no answer")


def _submit_jobs(site: Site, trouble: threading.Thread) -> dict[str, float]:
    """
    :returns: time at which the cancelling of each cancelled job was acknowledged.
    """
    spec = json.dumps({"ms": 800, "cpu": 1000})
    step = {"count": 6, "cpu": 1000, "mem-mb": 10, "estimate-ms": 800}
    cancelled_s: dict[str, float] = {}
    choice = random.Random(3)

    def submit(number: int, cancel_after_s: float | None) -> None:
        path = f"/photo/{number:016x}"
        node = site.nodes[number % len(site.nodes)]
        answer = site.send(node, "POST", path, {"spec": spec, "phases": [step]})
        if answer.status != 200 or cancel_after_s is None:
            return
        time.sleep(cancel_after_s)
        if site.send(node, "DELETE", path).status == 200:
            cancelled_s[f"{number:016x}"] = time.monotonic()

    number = 0
    with ThreadPoolExecutor(64) as callers:
        while trouble.is_alive():
            number += 1
            is_cancelled = choice.random() < CANCELLED_SHARE
            delay_s = choice.uniform(0, CANCEL_AFTER_S) if is_cancelled else None
            callers.submit(submit, number, delay_s)
            time.sleep(JOB_INTERVAL_S)
    return cancelled_s


def _find_late_starts(site: Site, cancelled_s: dict[str, float]) -> list[str]:
    origin_s = site.record.start_s
    broken = []
    for event in site.events():
        if event["event"] != "start" or event["late"]:
            continue
        time_s = cancelled_s.get(event["task"].partition(".")[0])
        if time_s is not None and event["t"] - time_s > CANCEL_LIMIT_S:
            broken.append(
                f"UNASKED: {event['task']} was started on {event['worker']} at "
                f"{event['t'] - origin_s:.3f}, and the cancelling of its job was "
                f"acknowledged at {time_s - origin_s:.3f}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(play(__file__, ("rating",), main))
