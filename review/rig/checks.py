"""Checks of what the workers have seen against the rule TWICE."""

from typing import NamedTuple

# Two runs that overlap by less are not told apart from runs that follow each other.
MIN_OVERLAP_S = 0.02


class Interval(NamedTuple):
    """Time during which a worker carried out a run."""

    task: str
    attempt: int
    worker: str
    start_s: float
    end_s: float
    how: str


def intervals(events: list[dict], end_s: float) -> list[Interval]:
    """
    :param end_s: time at which runs still in progress are cut.
    :returns: all runs; those of a worker that ended end with it.
    """
    open_runs: dict[tuple[str, str], tuple[int, float]] = {}
    found = []
    for event in events:
        worker = event["worker"]
        match event["event"]:
            case "start":
                open_runs[worker, event["task"]] = (event["run"], event["t"])
            case "end":
                opened = open_runs.pop((worker, event["task"]), None)
                if opened is None:
                    # The worker was killed just after it had noted this.
                    continue
                attempt, start_s = opened
                found.append(
                    Interval(
                        event["task"],
                        attempt,
                        worker,
                        start_s,
                        event["t"],
                        event["how"],
                    )
                )
            case "down":
                for name in [name for name in open_runs if name[0] == worker]:
                    attempt, start_s = open_runs.pop(name)
                    found.append(
                        Interval(name[1], attempt, worker, start_s, event["t"], "down")
                    )
    for (worker, task), (attempt, start_s) in open_runs.items():
        found.append(Interval(task, attempt, worker, start_s, end_s, "running"))
    return found


def doubled_runs(runs: list[Interval], origin_s: float) -> list[str]:
    """
    :param origin_s: start of the record, from which times are given.
    :returns: pairs of runs of one task that were carried out at the same time.
    """
    by_task: dict[str, list[Interval]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    broken = []
    for task, group in by_task.items():
        group.sort(key=lambda run: run.start_s)
        for index, first in enumerate(group):
            for second in group[index + 1 :]:
                overlap_s = min(first.end_s, second.end_s) - second.start_s
                if overlap_s > MIN_OVERLAP_S:
                    broken.append(
                        f"TWICE: {task} ran {overlap_s:.3f} s at the same time: "
                        + _describe(first, origin_s)
                        + " and "
                        + _describe(second, origin_s)
                    )
    return broken


def repeated_runs(events: list[dict], origin_s: float) -> list[str]:
    """
    :returns: starts after a run that had ended ``done``, where that end was taken note
        of at any time.
    """
    noted = {
        (event["worker"], event["task"], event["run"])
        for event in events
        if event["event"] == "noted" and event["how"] == "done"
    }
    done_s: dict[str, float] = {}
    for event in events:
        is_done = event["event"] == "end" and event["how"] == "done"
        if is_done and (event["worker"], event["task"], event["run"]) in noted:
            done_s.setdefault(event["task"], event["t"])
    return [
        f"TWICE: {event['task']} run {event['run']} started on {event['worker']} at "
        f"{event['t'] - origin_s:.3f} after an end 'done' at "
        f"{done_s[event['task']] - origin_s:.3f} that was taken note of"
        for event in events
        if event["event"] == "start" and event["t"] > done_s.get(event["task"], 1e18)
    ]


def _describe(run: Interval, origin_s: float) -> str:
    return (
        f"run {run.attempt} on {run.worker} from {run.start_s - origin_s:.3f} to "
        f"{run.end_s - origin_s:.3f} ({run.how})"
    )
