"""Rows of the tables ``jobs``, ``jobs_ended`` and ``jobs_by_day``.

A job's row moves from ``jobs`` to ``jobs_ended`` in the transaction that ends the job,
so that a new lease holder reads only the jobs that have not ended.
"""

import hashlib
import json
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple, TypedDict

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.store.day_index import DayTables, index_put
from sycamorecroft.store.interfaces import Put, StorePurpose, TaskSize

JOBS_TABLE = "jobs"
ENDED_TABLE = "jobs_ended"
DAYS_TABLE = "jobs_by_day"
JOBS_DAY_TABLES = DayTables(ENDED_TABLE, DAYS_TABLE, StorePurpose.JOBS)
_ID_DIGITS_COUNT = 32
_ISO_DATE_LENGTH = 10


class JobState(StrEnum):
    """State of a job; an attempt may run only in ``STARTING`` and ``RUNNING``."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNPLACEABLE = "unplaceable"


LIVE_STATES = frozenset({JobState.STARTING, JobState.RUNNING})
ENDED_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


class JobRequest(NamedTuple):
    """Submission of a job; its first three fields identify the job."""

    account: str
    service: str
    idempotency_key: str
    team: str
    urgency: Urgency
    command: str
    size: TaskSize


class SizeRecord(TypedDict):
    """Stored form of a :class:`TaskSize`."""

    processors_count: float
    memory_bytes: int
    accelerators_count: int


class JobRecord(TypedDict):
    """Value of a row of ``jobs`` or ``jobs_ended``; its key is the job id.

    ``attempt`` is the number of the latest attempt, 0 before the first one. While the
    state is ``starting`` or ``running``, that attempt may be running on ``worker``
    with size ``granted``, and ``epoch`` is the lease epoch that started it.
    ``required`` is the size that a restart needs, ``peak`` the largest observed usage.
    """

    job_id: str
    token: str
    account: str
    service: str
    team: str
    urgency: Urgency
    command: str
    request_digest: str
    declared: SizeRecord
    state: JobState
    reason: str
    is_cancel_requested: bool
    attempt: int
    epoch: int
    worker: str | None
    granted: SizeRecord | None
    required: SizeRecord | None
    peak: SizeRecord | None
    checkpoint_key: str | None
    failed_workers: list[str]
    submitted_at: str
    ended_at: str | None


class JobRow(NamedTuple):
    """A job's record and the version of its row."""

    record: JobRecord
    version: int


def jobs_prefix(account: str, service: str | None = None) -> str:
    """
    :returns: common prefix of the ids of an account's jobs, or of a service's jobs.
    """
    return f"{account}:" if service is None else f"{account}:{service}:"


def job_id_of(request: JobRequest) -> str:
    """
    :returns: id derived from account, service and idempotency key, so that a repeated
        submission gets the id of the first one.
    """
    identity = [request.account, request.service, request.idempotency_key]
    digest = hashlib.sha256(json.dumps(identity).encode()).hexdigest()
    return jobs_prefix(request.account, request.service) + digest[:_ID_DIGITS_COUNT]


def request_digest(request: JobRequest) -> str:
    """
    :returns: SHA-256 digest of all fields of a submission, in hexadecimal.
    """
    return hashlib.sha256(json.dumps(request).encode()).hexdigest()


def new_job(request: JobRequest, token: str, submitted_at: datetime) -> JobRecord:
    """
    :param token: unique to the submission; identifies it after a lost response.
    :returns: record of a queued job without attempts.
    """
    return {
        "job_id": job_id_of(request),
        "token": token,
        "account": request.account,
        "service": request.service,
        "team": request.team,
        "urgency": request.urgency,
        "command": request.command,
        "request_digest": request_digest(request),
        "declared": size_record(request.size),
        "state": JobState.QUEUED,
        "reason": "",
        "is_cancel_requested": False,
        "attempt": 0,
        "epoch": 0,
        "worker": None,
        "granted": None,
        "required": None,
        "peak": None,
        "checkpoint_key": None,
        "failed_workers": [],
        "submitted_at": submitted_at.isoformat(),
        "ended_at": None,
    }


def size_record(size: TaskSize) -> SizeRecord:
    """
    :returns: the stored form of a size.
    """
    return {
        "processors_count": size.processors_count,
        "memory_bytes": size.memory_bytes,
        "accelerators_count": size.accelerators_count,
    }


def task_size(size: SizeRecord) -> TaskSize:
    """
    :returns: the size that a row stores.
    """
    return TaskSize(**size)


def task_id_of(record: JobRecord) -> str:
    """
    :returns: id of the task that executes the job's latest attempt.
    """
    return f"{record['job_id']}:{record['attempt']}"


def job_puts(record: JobRecord) -> tuple[Put, ...]:
    """
    :returns: writes that store a job; one that has ended moves to ``jobs_ended`` and
        is indexed by day.
    """
    value = json.dumps(record, separators=(",", ":")).encode()
    if record["ended_at"] is None:
        return (Put(JOBS_TABLE, record["job_id"], value),)
    return (
        Put(JOBS_TABLE, record["job_id"], None),
        Put(ENDED_TABLE, record["job_id"], value),
        index_put(
            DAYS_TABLE,
            record["ended_at"][:_ISO_DATE_LENGTH],
            record["job_id"],
            record["checkpoint_key"],
        ),
    )


def decode_job(value: bytes) -> JobRecord:
    """
    :param value: JSON text of the row.
    :returns: the record with its state and urgency as enum members.
    """
    record = json.loads(value)
    record["state"] = JobState(record["state"])
    record["urgency"] = Urgency(record["urgency"])
    return record
