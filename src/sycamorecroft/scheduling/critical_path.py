"""Estimated duration of a job, and the time that its objective allows."""

from sycamorecroft.scheduling.model import JobSpec, Queue


def critical_path_ms(spec: JobSpec, done_steps: frozenset[int] = frozenset()) -> float:
    """
    :param done_steps: numbers of completed steps, which count as 0 ms.
    :returns: estimated duration in ms of the critical path of the job's steps.
    """
    ends_ms: list[float] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends_ms[other] for other in step.after), default=0.0)
        duration_ms = 0 if number in done_steps else step.estimate_ms
        ends_ms.append(start_ms + duration_ms)
    return max(ends_ms, default=0.0)


def allowed_s(queue: Queue, spec: JobSpec) -> float:
    """
    :returns: time in seconds after its acceptance in which a job must complete to meet
        the objective of its queue.
    """
    allowed_ms = queue.stretch_ratio * critical_path_ms(spec) + queue.objective_ms
    return allowed_ms / 1000
