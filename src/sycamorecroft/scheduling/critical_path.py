"""Estimated duration of a job, and the time that its objective allows."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import JobSpec, Queue


class CriticalPath(NamedTuple):
    """Longest chain of a job's steps, by estimated duration."""

    duration_s: float = 0.0
    steps_count: int = 0


def critical_path(
    spec: JobSpec, done_steps: frozenset[int] = frozenset()
) -> CriticalPath:
    """
    :param done_steps: numbers of completed steps, which aren't counted.
    :returns: the critical path of the steps that aren't completed.
    """
    paths: list[CriticalPath] = []
    for number, step in enumerate(spec.steps):
        before = max((paths[other] for other in step.after), default=CriticalPath())
        if number in done_steps:
            paths.append(before)
            continue
        duration_s = before.duration_s + step.estimate_ms / 1000
        paths.append(CriticalPath(duration_s, before.steps_count + 1))
    return max(paths, default=CriticalPath())


def allowed_s(queue: Queue, spec: JobSpec) -> float:
    """
    :returns: time in seconds after its acceptance in which a job must complete to meet
        the objective of its queue.
    """
    duration_s = critical_path(spec).duration_s
    return queue.stretch_ratio * duration_s + queue.objective_ms / 1000
