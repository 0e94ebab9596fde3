"""Rows in which a service's jobs are stored.

Jobs lie in one table for each service, so that its owner follows a feed of its own
submissions; their progress lies in another, which only the owner writes. All rows that
an owner writes share one part, since a transaction may not span several. Jobs are
spread over several parts: the transactions of one part queue up, and a slow store would
refuse submissions of many entry hosts to one part.
"""

import zlib
from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.model import JobSpec, Queue

Decoded = TypeVar("Decoded")

CANCEL_SUFFIX = "~cancel"
# Of one part, a store that is a hundred times slower than usual stores fewer than two
# transactions a second, whichever host they come from.
JOB_PARTS_COUNT = 64


def jobs_table(service: str) -> str:
    """
    :returns: table of the jobs and cancellations of a service.
    """
    return f"jobs.{service}"


def jobs_part(service: str, job_id: str) -> str:
    """
    :returns: part of the row of a job and of its cancellation.
    """
    return f"{service}/{zlib.crc32(job_id.encode()) % JOB_PARTS_COUNT}"


def progress_table(service: str) -> str:
    """
    :returns: table of the progress of the jobs of a service.
    """
    return f"progress.{service}"


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class JobRow(NamedTuple):
    """An accepted job with the parameters of its queue at that time.

    ``accepted_ms`` is Unix time.
    """

    queue: Queue
    spec: JobSpec
    accepted_ms: int


class CancelRow(NamedTuple):
    """A cancellation of a job. ``requested_ms`` is Unix time."""

    requested_ms: int


class TaskProgress(NamedTuple):
    """Progress of a task that has been started or has failed.

    ``attempt`` is the number of the last start. ``worker_id`` is empty unless a run
    may be in progress there, on the life of the worker that began at ``born_ms``.
    """

    occurrence: int
    step: int
    index: int
    attempt: int
    failures_count: int = 0
    is_done: bool = False
    worker_id: str = ""
    incarnation_ms: int = 0
    checkpoint: str = ""


class ProgressRow(NamedTuple):
    """Progress of a job. ``changed_ms`` is Unix time; final states have no tasks."""

    state: JobState
    changed_ms: int
    tasks: tuple[TaskProgress, ...] = ()


def encode_row(row: NamedTuple) -> bytes:
    """
    :returns: JSON text of a row.
    """
    return msgspec.json.encode(row)


def decode_row(value: bytes, row_type: type[Decoded]) -> Decoded:
    """
    :raises RecordError: when the value isn't a row of that type.
    """
    try:
        return msgspec.json.decode(value, type=row_type)
    except msgspec.DecodeError as error:
        raise RecordError(f"row of type {row_type.__name__}: {error}") from error
