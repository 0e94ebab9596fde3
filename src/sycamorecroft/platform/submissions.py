"""Decodes and validates job submissions."""

from typing import Annotated, TypedDict

import msgspec

from sycamorecroft.errors import RequestError
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.scheduling.model import JobSpec, Resources, StepSpec

TEXT_LIMIT_BYTES = 4000
# Each step has a task at least. A list of empty objects would take a hundred times its
# size as steps.
STEPS_LIMIT_COUNT = 1000
# The decoder checks the length of a list once it is complete, when a list of empty
# objects takes 25 times its size. Texts may contain braces as well.
BRACES_LIMIT_COUNT = 20 * STEPS_LIMIT_COUNT

_WireStep = TypedDict(
    "_WireStep",
    {
        "count": int,
        "cpu": int,
        "mem-mb": int,
        "gpu": int,
        "estimate-ms": int,
        "after": list[int],
        "checkpointed": bool,
        "gang": bool,
        "rack-local": bool,
        "requires": str,
        "affinity": str,
        "anti-affinity": int,
        "speculative": bool,
        "long-running": bool,
        "image": str,
        "goal-ms": int,
        "fills": bool,
        "may-miss": int,
    },
    total=False,
)

_WireJob = TypedDict(
    "_WireJob",
    {
        "spec": str,
        "phases": Annotated[
            list[_WireStep], msgspec.Meta(max_length=STEPS_LIMIT_COUNT)
        ],
        "times": int,
        "start-at-ms": int,
        "interval-ms": int,
    },
    total=False,
)


def decode_job(body: bytes) -> JobSpec:
    """
    :param body: JSON body of a submission.
    :returns: the job.
    :raises RequestError: when the body isn't a valid job.
    """
    if len(body) > BRACES_LIMIT_COUNT and body.count(b"{") > BRACES_LIMIT_COUNT:
        raise RequestError(f"a job has at most {STEPS_LIMIT_COUNT} steps")
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
    except JSON_ERRORS as error:
        raise RequestError(f"body is not a valid job: {error}") from error
    steps = tuple(_step(step) for step in wire.get("phases", ()))
    job = JobSpec(
        text=wire.get("spec", ""),
        steps=steps,
        occurrences_count=wire.get("times", 0),
        start_at_ms=wire.get("start-at-ms", 0),
        interval_ms=wire.get("interval-ms", 0),
    )
    _check_job(job)
    return job


def _step(wire: _WireStep) -> StepSpec:
    return StepSpec(
        tasks_count=wire.get("count", 0),
        demand=Resources(wire.get("cpu", 0), wire.get("mem-mb", 0), wire.get("gpu", 0)),
        estimate_ms=wire.get("estimate-ms", 0),
        after=tuple(wire.get("after", ())),
        is_checkpointed=wire.get("checkpointed", False),
        is_gang=wire.get("gang", False),
        is_rack_local=wire.get("rack-local", False),
        is_speculative=wire.get("speculative", False),
        is_long_running=wire.get("long-running", False),
        is_best_effort=wire.get("fills", False),
        required_label=wire.get("requires", ""),
        preferred_rack=wire.get("affinity", ""),
        tasks_per_worker_limit=wire.get("anti-affinity", 0),
        image=wire.get("image", ""),
        goal_ms=wire.get("goal-ms", 0),
        max_unavailable_count=wire.get("may-miss", 0),
    )


def _check_job(job: JobSpec) -> None:
    if len(job.text.encode()) > TEXT_LIMIT_BYTES:
        raise RequestError(f"spec must not be longer than {TEXT_LIMIT_BYTES} bytes")
    if not job.steps:
        raise RequestError("a job must have at least one step, got none")
    if min(job.occurrences_count, job.start_at_ms, job.interval_ms) < 0:
        raise RequestError("times, start-at-ms and interval-ms must not be negative")
    for number, step in enumerate(job.steps):
        if step.tasks_count < 1:
            message = f"step {number} must have at least 1 task, got {step.tasks_count}"
            raise RequestError(message)
        if (
            min(*step.demand, step.tasks_per_worker_limit, step.max_unavailable_count)
            < 0
        ):
            raise RequestError(
                f"demand and limits of step {number} must not be negative"
            )
        if any(not 0 <= dependency < number for dependency in step.after):
            message = f"step {number} may depend on steps before it only"
            raise RequestError(message)
