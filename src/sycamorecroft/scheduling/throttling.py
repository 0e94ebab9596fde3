"""Throttles best-effort tasks that slow down serving tasks on the same worker.

The share of best-effort tasks is halved while a serving task of the same worker exceeds
its response-time goal, and raised in small steps while all are well below their goals.
This is additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

from collections.abc import Iterable, Iterator
from itertools import chain
from typing import NamedTuple

from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.workers import Worker

FULL_PERCENT = 100
# Below this share a best-effort task is paused, which takes four steps from 100 %.
MIN_PERCENT = 10
RAISE_PERCENT = 20
# Workers report, once a second, the response times of the last half second; a change of
# share takes that long to show.
LOWER_INTERVAL_S = 0.8
RAISE_INTERVAL_S = 2.0
# An order without an answer may be carried out late, after the ones that follow it. The
# share is ordered again at this interval until none is expected to be.
REPEAT_INTERVAL_S = 1.0
LATE_ORDER_LIMIT_S = 15.0
# Shares are raised only while response times are below this ratio of their goals.
RAISE_BELOW_GOAL_RATIO = 0.7


class Throttle(NamedTuple):
    """Share of a worker's capacity that a run may use from now on."""

    run: Run
    percent: int


def plan_throttles(workers: Iterable[Worker], now_s: float) -> Iterator[Throttle]:
    """
    :returns: runs whose share changes now, or has to be ordered again.
    """
    for worker in workers:
        if not worker.long_running_count or not worker.is_in_contact(now_s):
            continue
        for throttle in chain(
            _plan_worker(worker, now_s), _plan_repeats(worker, now_s)
        ):
            throttle.run.ordered_percent = throttle.percent
            throttle.run.throttled_s = now_s
            yield throttle


def _plan_worker(worker: Worker, now_s: float) -> Iterator[Throttle]:
    running = [r for r in worker.runs.values() if r.phase is RunPhase.RUNNING]
    best_effort_runs = [run for run in running if run.task.spec.is_best_effort]
    if not best_effort_runs:
        return
    peak_goal_ratio = max((_goal_ratio(run) for run in running), default=0.0)
    since_change_s = now_s - worker.throttled_s
    lowest_percent = min(_known_percent(run) for run in best_effort_runs)
    if peak_goal_ratio > 1.0:
        new_percent = lowest_percent // 2 if lowest_percent // 2 >= MIN_PERCENT else 0
        is_due = since_change_s >= LOWER_INTERVAL_S
    else:
        new_percent = min(FULL_PERCENT, lowest_percent + RAISE_PERCENT)
        is_due = (
            since_change_s >= RAISE_INTERVAL_S
            and peak_goal_ratio < RAISE_BELOW_GOAL_RATIO
        )
    changed = [run for run in best_effort_runs if run.share_percent != new_percent]
    if not is_due or not changed:
        return
    worker.throttled_s = now_s
    for run in changed:
        yield Throttle(run, new_percent)


def _plan_repeats(worker: Worker, now_s: float) -> Iterator[Throttle]:
    """Repeats confirmed shares that an earlier order without an answer may undo."""
    for run in worker.runs.values():
        if run.unsettled_until_s is None or run.phase is not RunPhase.RUNNING:
            continue
        is_confirmed = run.share_percent == run.ordered_percent
        if is_confirmed and now_s - run.throttled_s >= REPEAT_INTERVAL_S:
            yield Throttle(run, run.ordered_percent)


def _known_percent(run: Run) -> int:
    return FULL_PERCENT if run.share_percent is None else run.share_percent


def _goal_ratio(run: Run) -> float:
    """
    :returns: ratio of a serving task's response times to their goal; 0 for other tasks.
    """
    spec = run.task.spec
    if spec.is_best_effort or not spec.goal_ms:
        return 0.0
    return run.gauge / spec.goal_ms
