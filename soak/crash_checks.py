"""Checks of what the processes of workers have reported.

A run lasts until its process has ended. What a killed process has begun a moment before
its end is over with it, whatever its parent wrote down and when.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from soak.crash_site import STEP, CrashingWorker


class Run(NamedTuple):
    """Run of a task. Times are monotonic, in s."""

    worker: str
    attempt: int
    started_s: float
    ended_s: float


def find_runs(workers: Iterable[CrashingWorker]) -> dict[str, list[Run]]:
    """
    :returns: runs of each task in the order of their starts.
    """
    runs = defaultdict(list)
    for worker in workers:
        for process in worker.processes:
            ends = {
                (event.task, event.attempt): event.time_s
                for event in process.events
                if event.kind in ("done", "over")
            }
            for event in process.events:
                if event.kind == "start":
                    ended_s = ends.get((event.task, event.attempt), process.ended_s)
                    run = Run(worker.id, event.attempt, event.time_s, ended_s)
                    runs[event.task].append(run)
    return {
        task: sorted(group, key=lambda run: run.started_s)
        for task, group in runs.items()
    }


def find_overlaps(runs: dict[str, list[Run]]) -> list[str]:
    """
    :returns: pairs of runs of one task that were in progress at the same time.
    """
    return [
        f"{task} ran twice at the same time: {former} and {run}"
        for task, group in runs.items()
        for index, former in enumerate(group)
        for run in group[index + 1 :]
        if run.started_s < former.ended_s
    ]


def find_repeats(
    workers: Iterable[CrashingWorker], runs: dict[str, list[Run]]
) -> list[str]:
    """
    :returns: starts after a run had ended as done, if that was acknowledged.
    """
    ends_s: dict[str, float] = {}
    for task, time_s in _acknowledged_ends(workers):
        ends_s[task] = min(time_s, ends_s.get(task, time_s))
    return [
        f"{task} started after its end at {ends_s[task]}: {run}"
        for task, group in runs.items()
        for run in group
        if run.started_s > ends_s.get(task, float("inf"))
    ]


def _acknowledged_ends(
    workers: Iterable[CrashingWorker],
) -> Iterator[tuple[str, float]]:
    """Yields the task and the time of each end as done that was acknowledged."""
    for worker in workers:
        for process in worker.processes:
            events = process.events
            noted = {(e.task, e.attempt) for e in events if e.kind == "noted"}
            for event in events:
                if event.kind == "done" and (event.task, event.attempt) in noted:
                    yield event.task, event.time_s


def find_foreign_acknowledgements(workers: Iterable[CrashingWorker]) -> list[str]:
    """
    :returns: acknowledgements of more ends than the process that got them has had.
    """
    return [
        f"{worker.id}, process {number}: acknowledged beyond its ends: {event}"
        for worker in workers
        for number, process in enumerate(worker.processes)
        for event in process.events
        if event.kind == "ahead"
    ]


def find_unfinished(
    workers: Iterable[CrashingWorker], job_ids: Iterable[str]
) -> list[str]:
    """
    :returns: tasks of these jobs of which no run has ended as done.
    """
    done = {
        event.task
        for worker in workers
        for process in worker.processes
        for event in list(process.events)
        if event.kind == "done"
    }
    tasks = [f"{job_id}.0.0.{n}" for job_id in job_ids for n in range(STEP["count"])]
    return [task for task in tasks if task not in done]
