"""Tells why a worker isn't a candidate for a task."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.scheduling.placement import choose_worker, fits_when_empty
from sycamorecroft.scheduling.tasks import Task
from sycamorecroft.scheduling.workers import Worker


class Exclusion(StrEnum):
    """Why a worker isn't a candidate.

    ``HELD``: it is held for another step. ``EVACUATION``: its free capacity is kept for
    a long-running task. ``SIZE``: it is too small. ``RESOURCES``: it has no room now.
    ``LAST_ATTEMPT``: the task has failed there, and has one attempt left. ``OTHER``: a
    reason that isn't told apart.
    """

    UNREGISTERED = "unregistered"
    DRAINING = "draining"
    RESERVED = "reserved"
    QUARANTINED = "quarantined"
    NO_CONTACT = "no_contact"
    HELD = "held"
    EVACUATION = "evacuation"
    LABEL = "label"
    SIZE = "size"
    TASKS_PER_WORKER = "tasks_per_worker"
    RESOURCES = "resources"
    LAST_ATTEMPT = "last_attempt"
    NOT_APPROVED = "not_approved"
    OTHER = "other"


# Exclusions that don't end when the worker's runs do.
PERMANENT = frozenset((Exclusion.LABEL, Exclusion.SIZE))


class Access(NamedTuple):
    """What a step may use besides workers that accept tasks and aren't held.

    ``held``: ids of the workers that are held. ``own_held``: those held for the step.
    ``approved``: ids of the approved workers, ``None`` if none need approval.
    """

    held: frozenset[str]
    own_held: frozenset[str]
    approved: frozenset[str] | None


def exclusion(
    worker: Worker, task: Task, access: Access, now_s: float
) -> Exclusion | None:
    """
    :returns: why the worker is no candidate for the task, ``None`` if it is one. The
        placement's own rules decide on that; the reasons only name what is seen.
    """
    is_candidate = (
        worker.accepts_tasks(now_s)
        and choose_worker((worker,), task, now_s) is not None
        and _may_use(worker, task, access)
    )
    if is_candidate:
        return None
    reasons = (*_worker_reasons(worker, now_s), *_task_reasons(worker, task, access))
    return next((reason for reason, applies in reasons if applies), Exclusion.OTHER)


_Reasons = Iterable[tuple[Exclusion, bool]]


def _worker_reasons(worker: Worker, now_s: float) -> _Reasons:
    yield Exclusion.UNREGISTERED, not worker.is_registered
    yield Exclusion.DRAINING, worker.registration.is_draining
    yield Exclusion.RESERVED, worker.is_reserved
    yield Exclusion.QUARANTINED, now_s < worker.quarantined_until_s
    yield Exclusion.NO_CONTACT, not worker.is_in_contact(now_s)


def _task_reasons(worker: Worker, task: Task, access: Access) -> _Reasons:
    spec = task.spec
    is_unlabelled = spec.required_label not in ("", *worker.labels)
    yield Exclusion.LABEL, is_unlabelled
    yield Exclusion.SIZE, not fits_when_empty(worker, task)
    yield Exclusion.HELD, _is_held_for_others(worker, task, access)
    yield Exclusion.EVACUATION, _is_kept_for_evacuation(worker, task, access)
    yield Exclusion.TASKS_PER_WORKER, _is_at_limit(worker, task)
    yield Exclusion.RESOURCES, not worker.free.covers(spec.allocation)
    yield Exclusion.LAST_ATTEMPT, worker.id in task.failed_workers
    yield Exclusion.NOT_APPROVED, not _is_approved(worker, access)


def _may_use(worker: Worker, task: Task, access: Access) -> bool:
    return (
        not _is_held_for_others(worker, task, access)
        and not _is_kept_for_evacuation(worker, task, access)
        and _is_approved(worker, access)
    )


def _is_held_for_others(worker: Worker, task: Task, access: Access) -> bool:
    if not access.own_held:
        return worker.id in access.held
    # A gang may need other workers in addition.
    is_other = task.spec.is_gang and worker.id not in access.held
    return worker.id not in access.own_held and not is_other


def _is_kept_for_evacuation(worker: Worker, task: Task, access: Access) -> bool:
    may_use = task.spec.is_long_running or access.own_held
    return worker.is_evacuation_target and not may_use


def _is_approved(worker: Worker, access: Access) -> bool:
    return access.approved is None or worker.id in access.approved


def _is_at_limit(worker: Worker, task: Task) -> bool:
    limit = task.spec.tasks_per_worker_limit
    return bool(limit) and worker.step_tasks_count(task) >= limit
