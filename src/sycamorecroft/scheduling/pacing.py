"""Slows down tasks that fill beside tasks that serve, when these are over their goal.

The share of filling tasks is halved while a serving task of the same worker is over its
goal, and raised in small steps while all are well below theirs. Source of the idea:
additive increase, multiplicative decrease; Chiu and Jain, 1989.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sycamorecroft.scheduling.jobs import Run, RunPhase
from sycamorecroft.scheduling.workers import Worker

FULL_PERCENT = 100
# Below this share a filling task is paused: four steps lead there from full speed.
LEAST_PERCENT = 10
RAISE_PERCENT = 20
# A change shows in the response times of the last half second, told once a second.
LOWER_INTERVAL_S = 0.8
RAISE_INTERVAL_S = 2.0
# Shares are raised only while response times are below this part of their goal.
CALM_RATIO = 0.7


class Pace(NamedTuple):
    """Share of a worker's capacity that a run may use from now on."""

    run: Run
    percent: int


def plan_paces(workers: Iterable[Worker], now_s: float) -> Iterator[Pace]:
    """
    :returns: runs whose share changes now.
    """
    for worker in workers:
        if worker.long_running_count and worker.is_in_contact(now_s):
            yield from _plan_worker(worker, now_s)


def _plan_worker(worker: Worker, now_s: float) -> Iterator[Pace]:
    running = [r for r in worker.runs.values() if r.phase is RunPhase.RUNNING]
    filling = [run for run in running if run.task.spec.fills]
    if not filling:
        return
    load = max((_goal_ratio(run) for run in running), default=0.0)
    silent_s = now_s - worker.paced_s
    slowest = min(_known_percent(run) for run in filling)
    if load > 1.0:
        wanted = slowest // 2 if slowest // 2 >= LEAST_PERCENT else 0
        is_due = silent_s >= LOWER_INTERVAL_S
    else:
        wanted = min(FULL_PERCENT, slowest + RAISE_PERCENT)
        is_due = silent_s >= RAISE_INTERVAL_S and load < CALM_RATIO
    changed = [run for run in filling if run.pace_percent != wanted]
    if not is_due or not changed:
        return
    worker.paced_s = now_s
    for run in changed:
        yield Pace(run, wanted)


def _known_percent(run: Run) -> int:
    return FULL_PERCENT if run.pace_percent is None else run.pace_percent


def _goal_ratio(run: Run) -> float:
    """
    :returns: response times of a serving task against their goal; 0 for other tasks.
    """
    spec = run.task.spec
    if spec.fills or not spec.goal_ms:
        return 0.0
    return run.gauge / spec.goal_ms
