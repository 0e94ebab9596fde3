"""Runs load and faults for a time, then waits until all accepted jobs are complete.

``python -m soak.run --seed 1 --duration-s 30`` exits with 1 if a guarantee was
violated.
"""

import argparse
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from soak.accounts import account_of
from soak.callers import (
    FLOODING_ACCOUNT,
    LINK_FAULT_LOAD,
    RESTART_LOAD,
    Caller,
    FloodCaller,
    KeyTester,
)
from soak.faults import FaultSchedule, LinkFaults
from soak.limits import HIGH_LIMIT_CPU, LOW_LIMIT_CPU
from soak.observer import Observer
from soak.restarts import RestartFaults
from soak.run_log import RunLog
from soak.site import DEFAULT_SOURCE, SoakSite, add_source_argument

CALL_PAUSE_S = 0.05
STEP_INTERVAL_S = 0.01
COMPLETION_LIMIT_S = 60.0
# A key is replaced after this share of the time, so that there is time to test it.
KEY_REPLACED_RATIO = 0.3
# The limit is low for long enough that the former one is no longer in force.
LIMIT_LOWERED_RATIO = 0.2
LIMIT_RAISED_RATIO = 0.85
FLOOD_START_RATIO = 0.4
# Threads of the flood, and the pause of each between two submissions.
FLOOD_CALLERS_COUNT = 3
FLOOD_PAUSE_S = 0.02


class SoakResult(NamedTuple):
    """Result of a run.

    :param refused_keys_count: calls that were refused because of their key.
    :param submissions_count: submissions by account.
    :param beside_flood_count: jobs of other accounts that completed during the flood.
    :param broken: one message for each violation of a guarantee.
    :param folder: folder with the logs of the nodes.
    """

    accepted_count: int
    complete_count: int
    refused_keys_count: int
    submissions_count: dict[str, int]
    beside_flood_count: int
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
        task_cpu=load.cpu,
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
    first_number = load.callers_count + 1
    flood_numbers = range(first_number, first_number + FLOOD_CALLERS_COUNT)
    flood = _Flood([make_caller(FloodCaller, n) for n in flood_numbers], observer)
    schedules = [schedule(site, seed) for schedule in _SCHEDULES[faults]]
    try:
        site.wait_until_ready()
        for caller in callers:
            caller.start()
        _inject_faults(site, schedules, duration_s, flood)
        load_stopped.set()
        site.run_log.log("all faults have ended")
        _wait_for_refusals(site, observer, key_tester)
        _wait_for_others(observer, site.run_log)
        flood.stop()
        site.run_log.log("the flood ends")
        _wait_for_completion(observer, site.run_log)
        site.run_log.log("all jobs are complete")
    finally:
        run_stopped.set()
        flood.stop()
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
        dict(Counter(map(account_of, observer.submitted))),
        flood.other_complete_count,
        tuple(violations),
        str(site.folder),
    )


class _Flood:
    """Threads that flood, and the jobs of other accounts that complete meanwhile.

    :ivar other_complete_count: number of these jobs, once the flood has ended.
    """

    def __init__(self, callers: list[FloodCaller], observer: Observer) -> None:
        self._threads = [
            threading.Thread(target=self._run, args=(caller,), daemon=True)
            for caller in callers
        ]
        self._observer = observer
        self._is_started = False
        self._stopped = threading.Event()
        self._complete_before: set[str] = set()
        self.other_complete_count = 0

    def _run(self, caller: FloodCaller) -> None:
        while not self._stopped.wait(FLOOD_PAUSE_S):
            caller.step(is_submitting=True)

    def start(self) -> None:
        """Starts the flood, once in a run."""
        if self._is_started:
            return
        self._is_started = True
        self._complete_before = self._observer.complete.copy()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the flood, and waits for the calls that are under way."""
        if self._stopped.is_set() or not self._is_started:
            return
        self._stopped.set()
        complete = self._observer.complete - self._complete_before
        self.other_complete_count = sum(
            account_of(job_id) != FLOODING_ACCOUNT for job_id in complete
        )
        for thread in self._threads:
            thread.join(10)


def _inject_faults(
    site: SoakSite,
    schedules: list[FaultSchedule],
    duration_s: float,
    flood: _Flood,
) -> None:
    """Injects faults for a time, and then ends all of them."""
    start_s = time.monotonic()
    end_s = start_s + duration_s
    next_steps_s = [time.monotonic() + s.next_pause_s() for s in schedules]
    while time.monotonic() < end_s:
        for number, schedule in enumerate(schedules):
            if time.monotonic() >= next_steps_s[number]:
                schedule.step()
                next_steps_s[number] = time.monotonic() + schedule.next_pause_s()
            schedule.run_due_recoveries()
        elapsed_ratio = (time.monotonic() - start_s) / duration_s
        _change_configuration(site, elapsed_ratio)
        if elapsed_ratio >= FLOOD_START_RATIO:
            flood.start()
        time.sleep(STEP_INTERVAL_S)
    for schedule in schedules:
        schedule.run_due_recoveries(includes_pending=True)


def _change_configuration(site: SoakSite, elapsed_ratio: float) -> None:
    """Makes the changes that are due. Each is repeated until it is stored."""
    if elapsed_ratio >= KEY_REPLACED_RATIO:
        site.replace_key()
    if elapsed_ratio >= LIMIT_RAISED_RATIO:
        site.change_limit(HIGH_LIMIT_CPU)
    elif elapsed_ratio >= LIMIT_LOWERED_RATIO:
        site.change_limit(LOW_LIMIT_CPU)


def _wait_for_refusals(
    site: SoakSite, observer: Observer, key_tester: KeyTester
) -> None:
    """Waits until each node refuses the withdrawn key.

    A node that got SIGTERM shortly before the end of the faults may end meanwhile.
    """
    _change_configuration(site, 1.0)
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    for node in site.nodes:
        while node.is_running and not key_tester.is_refused(node):
            if time.monotonic() > end_s:
                violation = f"{node.name} doesn't refuse a withdrawn key"
                observer.record_key_check(0, violation)
                return
            time.sleep(0.1)


def _jobs_beside_flood(observer: Observer) -> set[str]:
    """
    :returns: accepted and unfinished jobs of accounts that keep to their rate.
    """
    return {
        job_id
        for job_id in observer.unfinished_jobs()
        if account_of(job_id) != FLOODING_ACCOUNT
    }


def _wait_for_others(observer: Observer, run_log: RunLog) -> None:
    """Waits, with the flood in progress, for the jobs of the other accounts."""
    _wait_for_completion(observer, run_log, _jobs_beside_flood)
    if not (observer.violations or run_log.violations):
        observer.record_unfinished(_jobs_beside_flood(observer), "during the flood")


def _wait_for_completion(
    observer: Observer,
    run_log: RunLog,
    select_jobs: Callable[[Observer], set[str]] = Observer.unfinished_jobs,
) -> None:
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    while (
        select_jobs(observer)
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
    add_source_argument(parser)
    arguments = parser.parse_args()
    result = run(
        arguments.seed,
        arguments.duration_s,
        arguments.nodes_count,
        arguments.faults,
        arguments.source,
    )
    print(f"seed {arguments.seed}: {result}")
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
