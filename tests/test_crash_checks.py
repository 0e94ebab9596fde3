"""Tests of the checks of killed workers, on written records. Times are in s."""

from typing import NamedTuple

from soak.crash_checks import find_overlaps, find_runs
from soak.crash_site import WorkerEvent

TASK = "000000000000012d.0.0.1"
NEVER_S = float("inf")


class _Process(NamedTuple):
    """A process of a worker, which was gone at ``ended_s``."""

    ended_s: float
    events: list[WorkerEvent]


class _Worker(NamedTuple):
    id: str
    processes: list[_Process]


def _process(ended_s, *rows):
    """
    :param rows: time, kind and attempt number of each event.
    """
    events = [WorkerEvent(time_s, kind, TASK, n) for time_s, kind, n in rows]
    return _Process(ended_s, events)


SECOND_RUN = _process(NEVER_S, (54.966, "start", 2), (55.775, "done", 2))


def test_run_of_a_process_that_is_being_killed_ends_with_it():
    """Guards against a second run that is reported as one beside a process's remains.

    The killed process began the first run 10 ms before it was gone. Its worker came
    back without it and was killed again 13 s later.
    """
    killed = _Worker("i-5", [_process(54.683, (54.673, "start", 1)), _process(67.330)])
    other = _Worker("i-6", [SECOND_RUN])
    runs = find_runs([killed, other])
    assert [(run.worker, run.ended_s) for run in runs[TASK]] == [
        ("i-5", 54.683),
        ("i-6", 55.775),
    ]
    assert not find_overlaps(runs)


def test_run_of_the_restarted_process_beside_another_is_reported():
    """Guards against a check that takes a real second run for a killed process's."""
    later = _process(67.330, (54.850, "start", 1), (55.660, "done", 1))
    restarted = _Worker("i-5", [_process(54.683), later])
    other = _Worker("i-6", [SECOND_RUN])
    (report,) = find_overlaps(find_runs([restarted, other]))
    assert report.startswith(f"{TASK} ran twice at the same time")


def test_run_until_the_kill_beside_another_is_reported():
    """Guards against a check that passes over runs which a later kill has ended."""
    killed = _Worker("i-5", [_process(55.200, (54.673, "start", 1))])
    other = _Worker("i-6", [SECOND_RUN])
    assert len(find_overlaps(find_runs([killed, other]))) == 1
