"""Runs load and faults for a time, then waits until all accepted jobs are complete.

``python -m soak.run --seed 1 --duration-s 30`` exits with 1 if a guarantee was
violated.
"""

import argparse
import random
import sys
import threading
import time
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from soak.callers import LINK_FAULT_LOAD, RESTART_LOAD, Caller, KeyTester
from soak.faults import FaultSchedule, LinkFaults
from soak.observer import Observer
from soak.restarts import RestartFaults
from soak.run_log import RunLog
from soak.site import DEFAULT_SOURCE, SoakSite

CALL_PAUSE_S = 0.05
STEP_INTERVAL_S = 0.01
COMPLETION_LIMIT_S = 60.0
# A key is replaced after this share of the time, so that there is time to test it.
KEY_REPLACED_RATIO = 0.3


class SoakResult(NamedTuple):
    """Result of a run.

    :param refused_keys_count: calls that were refused because of their key.
    :param broken: one message for each violation of a guarantee.
    :param folder: folder with the logs of the nodes.
    """

    accepted_count: int
    complete_count: int
    refused_keys_count: int
    broken: tuple[str, ...]
    folder: str


class FaultKind(StrEnum):
    """Faults of a run: of links, or mixes of restarts and broken feeds, or both."""

    LINKS = "links"
    RESTARTS = "restarts"
    ALL = "all"


_SCHEDULES: dict[FaultKind, tuple[type[FaultSchedule], ...]] = {
    FaultKind.LINKS: (LinkFaults,),
    FaultKind.RESTARTS: (RestartFaults,),
    FaultKind.ALL: (LinkFaults, RestartFaults),
}


def run(
    seed: int,
    duration_s: float,
    nodes_count: int = 3,
    faults: FaultKind = FaultKind.LINKS,
    source: Path = DEFAULT_SOURCE,
) -> SoakResult:
    """
    :param seed: seed of callers and faults.
    :param duration_s: time for which load and faults run.
    :param faults: faults of the run.
    :param source: folder of the modules of the nodes.
    :returns: result of the run.
    """
    load = LINK_FAULT_LOAD if faults is FaultKind.LINKS else RESTART_LOAD
    site = SoakSite(
        nodes_count,
        workers_count=6,
        task_s=load.task_s,
        rng=random.Random(seed),
        source=source,
    )
    observer = Observer(site.incarnations)
    run_stopped, load_stopped = threading.Event(), threading.Event()
    job_paths: dict[str, str] = {}

    def make_caller(kind: type[Caller], number: int) -> Caller:
        return kind(site, observer, job_paths, seed * 1000 + number, load)

    def run_caller(caller: Caller) -> None:
        while not run_stopped.wait(CALL_PAUSE_S):
            caller.step(is_submitting=not load_stopped.is_set())
            observer.check_workers()
            observer.check_finished_tasks()

    key_tester = make_caller(KeyTester, load.callers_count)
    callers = [
        threading.Thread(target=run_caller, args=(caller,), daemon=True)
        for caller in (
            *(make_caller(Caller, number) for number in range(load.callers_count)),
            key_tester,
        )
    ]
    schedules = [schedule(site, seed) for schedule in _SCHEDULES[faults]]
    try:
        site.wait_until_ready()
        for caller in callers:
            caller.start()
        _inject_faults(site, schedules, duration_s)
        load_stopped.set()
        _wait_for_refusals(site, observer, key_tester)
        _wait_for_completion(observer, site.run_log)
    finally:
        run_stopped.set()
        for caller in callers:
            if caller.is_alive():
                caller.join(10)
        site.close()
    violations = [*observer.violations, *site.run_log.violations]
    if not violations:
        # The completion of jobs is waited for only until the first violation.
        violations = [
            f"accepted job {job_id} did not complete by the end of the run"
            for job_id in sorted(observer.unfinished_jobs())
        ]
    return SoakResult(
        len(observer.accepted),
        len(observer.complete),
        observer.refused_keys_count,
        tuple(violations),
        str(site.folder),
    )


def _inject_faults(
    site: SoakSite, schedules: list[FaultSchedule], duration_s: float
) -> None:
    """Injects faults for a time, and then ends all of them."""
    key_replaced_s = time.monotonic() + KEY_REPLACED_RATIO * duration_s
    end_s = time.monotonic() + duration_s
    next_steps_s = [time.monotonic() + s.next_pause_s() for s in schedules]
    while time.monotonic() < end_s:
        for number, schedule in enumerate(schedules):
            if time.monotonic() >= next_steps_s[number]:
                schedule.step()
                next_steps_s[number] = time.monotonic() + schedule.next_pause_s()
            schedule.run_due_recoveries()
        if time.monotonic() >= key_replaced_s:
            site.replace_key()
        time.sleep(STEP_INTERVAL_S)
    for schedule in schedules:
        schedule.run_due_recoveries(includes_pending=True)


def _wait_for_refusals(
    site: SoakSite, observer: Observer, key_tester: KeyTester
) -> None:
    """Waits until each node refuses the withdrawn key.

    A node that got SIGTERM shortly before the end of the faults may end meanwhile.
    """
    site.replace_key()
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    for node in site.nodes:
        while node.is_running and not key_tester.is_refused(node):
            if time.monotonic() > end_s:
                violation = f"{node.name} doesn't refuse a withdrawn key"
                observer.record_key_check(0, violation)
                return
            time.sleep(0.1)


def _wait_for_completion(observer: Observer, run_log: RunLog) -> None:
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    while (
        observer.unfinished_jobs()
        and not (observer.violations or run_log.violations)
        and time.monotonic() < end_s
    ):
        time.sleep(0.2)


def main() -> int:
    """
    :returns: 0 if no guarantee was violated, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--nodes-count", type=int, default=3)
    parser.add_argument("--faults", type=FaultKind, default=FaultKind.LINKS)
    parser.add_argument(
        "--source",
        type=Path,
        default=DEFAULT_SOURCE,
        help="folder of the modules of the nodes, to play another landing",
    )
    arguments = parser.parse_args()
    result = run(
        arguments.seed,
        arguments.duration_s,
        arguments.nodes_count,
        arguments.faults,
        arguments.source.resolve(),
    )
    print(f"seed {arguments.seed}: {result}")
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
