"""Rows in which a service's jobs are stored.

Each service has one table of jobs, so that its owner watches only submissions to that
service, and one table of progress, which only the owner writes. All rows that an owner
writes share one part, because a transaction can't span parts. Jobs are spread over
several parts: the transactions of one part are serialized, so that a slow store would
refuse submissions that many entry hosts send to the same part.

A version of the configuration may give a queue to another service. A job stays in the
tables of the service that its queue had when it was accepted, and its location, a row
that depends on the queue's address and the job's id only, names that service. The parts
of jobs are the same for all services, so that one transaction stores both rows.
"""

import zlib
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple, TypeVar

import msgspec

from sycamorecroft.errors import RecordError
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.scheduling.model import JobSpec, Queue

Decoded = TypeVar("Decoded")

JOB_LOCATIONS_TABLE = "job_locations"
CANCEL_SUFFIX = "~cancel"
# Follows the key of a closed location in the table of jobs whose owner removes it.
CLOSED_SUFFIX = "~closed"
ADDRESS_DIGEST_BYTES = 8
# A store that is a hundred times slower than usual commits fewer than two transactions
# a second per part, no matter how many entry hosts send them.
JOB_PARTS_COUNT = 96


def jobs_table(service: str) -> str:
    """
    :returns: name of the table with the jobs and cancellations of a service.
    """
    return f"jobs.{service}"


def jobs_part(job_id: str) -> str:
    """
    :returns: part that stores the row of a job, its cancellation and its location.
    """
    return f"jobs/{zlib.crc32(job_id.encode()) % JOB_PARTS_COUNT}"


def location_key(queue: Queue, job_id: str) -> str:
    """
    :returns: key of a job's location. Jobs that share an id but not the address at
        which they were submitted have different ones.
    """
    address = f"{queue.host_name} {queue.path_prefix}".encode()
    digest = blake2b(address, digest_size=ADDRESS_DIGEST_BYTES).hexdigest()
    return f"{job_id}.{digest}"


def progress_table(service: str) -> str:
    """
    :returns: name of the table with the progress of a service's jobs.
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
        return self in _FINAL_STATES


_FINAL_STATES = frozenset((JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED))


class JobRow(NamedTuple):
    """An accepted job, with the parameters that its queue had when it was accepted.

    ``accepted_ms`` is Unix time. ``account`` is the name of the client account that
    submitted the job, empty if there is none.
    """

    queue: Queue
    spec: JobSpec
    accepted_ms: int
    account: str = ""


class StoredRow(NamedTuple):
    """Where the row of a job is stored.

    ``location_key`` is that of the job's location, empty if it isn't known.
    """

    version: int
    part: str
    location_key: str = ""


class CancelRow(NamedTuple):
    """Cancellation of a job. ``requested_ms`` is Unix time."""

    requested_ms: int


class JobLocation(NamedTuple):
    """Service whose tables hold a job.

    ``service`` is empty if the location is closed: its job was cancelled before it was
    stored, and can't be stored any more. ``recorded_ms`` is the Unix time at which the
    job was accepted or the location was closed. ``account`` is the name of the client
    account that submitted the job, empty if there is none.
    """

    service: str
    recorded_ms: int
    account: str = ""

    @property
    def is_closed(self) -> bool:
        """Whether no job can be stored at this location."""
        return not self.service


ALL_STEPS = -1


class TaskProgress(NamedTuple):
    """Progress of a task that has been started at least once.

    ``attempt`` is the number of the last start. ``worker_id`` and ``incarnation_ms``
    name the worker, and its incarnation, on which a run may be in progress;
    ``worker_id`` is empty if there is none.

    If ``step`` is :data:`ALL_STEPS`, the entry stands for all tasks of the occurrences
    from ``index`` to ``occurrence``, which are done.
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
    """Progress of a job. ``changed_ms`` is Unix time.

    In a final state, ``tasks`` lists only tasks whose runs may still be in progress.
    ``account`` is that of the job's row, empty if the job has none; ``None`` if the
    progress doesn't say.
    """

    state: JobState
    changed_ms: int
    tasks: tuple[TaskProgress, ...] = ()
    account: str | None = None


def encode_row(row: NamedTuple) -> bytes:
    """
    :returns: the row as a JSON array.
    """
    is_without_account = (
        isinstance(row, JobRow | ProgressRow)
        and row.account == row._field_defaults["account"]
    )
    # Releases without accounts refuse rows with a field that they don't know.
    return msgspec.json.encode(row[:-1] if is_without_account else row)


def decode_row(value: bytes, row_type: type[Decoded]) -> Decoded:
    """
    :returns: the decoded row.
    :raises RecordError: when the value isn't a row of that type.
    """
    try:
        return msgspec.json.decode(value, type=row_type)
    except JSON_ERRORS as error:
        raise RecordError(
            f"malformed row, expected {row_type.__name__}: {error}"
        ) from error
