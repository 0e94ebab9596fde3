"""Kills workers' processes, each time beside another disruption, and checks all runs.

``python -m soak.crash_run --seed 1 --crashes-count 12`` exits with 1 if a task ran
twice, or if an accepted job isn't complete in the end.
"""

import argparse
import random
import sys
import time
from pathlib import Path
from typing import NamedTuple

from soak.crash_checks import (
    find_foreign_acknowledgements,
    find_overlaps,
    find_repeats,
    find_runs,
    find_unfinished,
)
from soak.crash_faults import CRASHES, Crash, Disruption, draw_disruption
from soak.crash_site import CrashSite
from soak.site import DEFAULT_SOURCE, add_source_argument

CRASH_INTERVAL_S = 1.5
# The disruption begins this much before the crash, or after it.
OFFSET_S = (-0.3, 0.3)
COMPLETION_LIMIT_S = 60.0
POLL_S = 0.2


class CrashResult(NamedTuple):
    """Result of a play.

    :param repeated_count: tasks with several runs.
    :param broken: one message for each violation.
    :param folder: folder with the logs of the nodes.
    """

    runs_count: int
    repeated_count: int
    broken: tuple[str, ...]
    folder: str


def play(seed: int, crashes_count: int, source: Path = DEFAULT_SOURCE) -> CrashResult:
    """
    :param seed: seed of the crashes and disruptions.
    :param source: folder of the modules of the nodes.
    :returns: result of the play.
    """
    rng = random.Random(seed)
    site = CrashSite(source)
    try:
        site.start()
        for _ in range(crashes_count):
            time.sleep(CRASH_INTERVAL_S)
            _disrupt(site, rng.choice(CRASHES)(), draw_disruption(rng), rng)
        site.stop_load()
        unfinished = _wait_for_completion(site)
    finally:
        site.close()
    runs = find_runs(site.workers)
    return CrashResult(
        sum(map(len, runs.values())),
        sum(len(group) > 1 for group in runs.values()),
        (
            *find_overlaps(runs),
            *find_repeats(site.workers, runs),
            *find_foreign_acknowledgements(site.workers),
            *(f"{task} of an accepted job didn't end as done" for task in unfinished),
        ),
        str(site.folder),
    )


def _disrupt(
    site: CrashSite, crash: Crash, disruption: Disruption, rng: random.Random
) -> None:
    offset_s = rng.uniform(*OFFSET_S)
    if offset_s < 0:
        disruption.begin(site)
        time.sleep(-offset_s)
        crash.play(site, rng)
    else:
        crash.play(site, rng)
        time.sleep(offset_s)
        disruption.begin(site)
    time.sleep(rng.uniform(*disruption.duration_s))
    disruption.end(site)


def _wait_for_completion(site: CrashSite) -> list[str]:
    """Returns the tasks of accepted jobs that haven't ended in time."""
    end_s = time.monotonic() + COMPLETION_LIMIT_S
    while True:
        unfinished = find_unfinished(site.workers, list(site.accepted))
        if not unfinished or time.monotonic() > end_s:
            return unfinished
        time.sleep(POLL_S)


def main() -> int:
    """
    :returns: 0 if no rule was broken, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--crashes-count", type=int, default=12)
    add_source_argument(parser)
    arguments = parser.parse_args()
    result = play(arguments.seed, arguments.crashes_count, arguments.source)
    print(f"seed {arguments.seed}: {result}")
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
