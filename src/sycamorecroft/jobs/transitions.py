"""Changes of a job's row: pure functions from one record to the next.

Each one checks I9: a new attempt only when the last one is known to have ended, and
none after the job has ended.
"""

from datetime import datetime

from sycamorecroft.errors import InvariantError
from sycamorecroft.invariants import check_job_single_attempt
from sycamorecroft.jobs.records import (
    ENDED_STATES,
    LIVE_STATES,
    JobRecord,
    JobState,
    SizeRecord,
    size_record,
    task_size,
)
from sycamorecroft.jobs.usage import largest
from sycamorecroft.store.interfaces import TaskSize, TaskState, TaskStatus

FAILED_WORKERS_MAX_COUNT = 3
# A restart gets more than was seen, since usage was limited by the old size.
GROWTH_RATIO = 1.5
HEADROOM_RATIO = 1.2
# Usage reports fluctuate; a job is over its size only beyond this share of it.
OVER_RATIO = 1.1
LIVE_TASK_STATES = frozenset({TaskState.RUNNING, TaskState.THROTTLED})


def start_attempt(
    record: JobRecord, *, worker: str, size: TaskSize, epoch: int
) -> JobRecord:
    """
    :raises InvariantError: if an attempt may be running or the job has ended.
    """
    _require_not_ended(record)
    attempt = record["attempt"] + 1
    live = [record["attempt"]] if record["state"] in LIVE_STATES else []
    check_job_single_attempt(record["job_id"], [*live, attempt])
    return {
        **record,
        "state": JobState.STARTING,
        "reason": "",
        "attempt": attempt,
        "epoch": epoch,
        "worker": worker,
        "granted": size_record(size),
    }


def mark_running(record: JobRecord, peak: TaskSize) -> JobRecord:
    """
    :param peak: largest usage seen in any attempt.
    """
    _require_not_ended(record)
    return {**record, "state": JobState.RUNNING, "peak": size_record(peak)}


def end_attempt(
    record: JobRecord,
    status: TaskStatus,
    *,
    peak: TaskSize,
    workers_count: int,
    now: datetime,
) -> JobRecord:
    """
    :param status: the attempt's task, which has ended by the platform's word.
    :param workers_count: workers of the pool that could run the job.
    :returns: the job after the attempt: ended, or queued for the next attempt.
    :raises InvariantError: if the task has not ended.
    """
    _require_not_ended(record)
    if status.state in LIVE_TASK_STATES:
        check_job_single_attempt(
            record["job_id"], [record["attempt"], record["attempt"] + 1]
        )
    record = {**record, "peak": size_record(peak)}
    if status.state is TaskState.SUCCEEDED:
        return end_job(record, JobState.SUCCEEDED, "", now)
    if record["is_cancel_requested"]:
        return end_job(record, JobState.CANCELLED, "cancelled", now)
    if status.state is TaskState.FAILED:
        return _after_failure(record, status, workers_count, now)
    record["checkpoint_key"] = status.checkpoint_key or record["checkpoint_key"]
    record["required"] = _required_size(record, peak)
    return queue_again(record, f"attempt {record['attempt']} ended: {status.state}")


def queue_again(record: JobRecord, reason: str) -> JobRecord:
    """
    :param record: a job whose last attempt is known to have ended, or never to have
        started.
    """
    _require_not_ended(record)
    return {
        **record,
        "state": JobState.QUEUED,
        "reason": reason,
        "worker": None,
        "granted": None,
    }


def mark_unplaceable(record: JobRecord, reason: str) -> JobRecord:
    """
    :raises InvariantError: if an attempt may be running.
    """
    if record["state"] in LIVE_STATES:
        raise InvariantError(f"I9: job {record['job_id']!r} has a live attempt")
    return {**record, "state": JobState.UNPLACEABLE, "reason": reason}


def end_job(
    record: JobRecord, state: JobState, reason: str, now: datetime
) -> JobRecord:
    """
    :param state: one of the states in which a job has ended.
    """
    _require_not_ended(record)
    return {
        **record,
        "state": state,
        "reason": reason,
        "granted": None,
        "ended_at": now.isoformat(),
    }


def request_cancel(record: JobRecord) -> JobRecord:
    """
    :returns: the record with the flag set; a job that has ended stays as it is.
    """
    if record["state"] in ENDED_STATES:
        return record
    return {**record, "is_cancel_requested": True}


def _after_failure(
    record: JobRecord, status: TaskStatus, workers_count: int, now: datetime
) -> JobRecord:
    failed = sorted({*record["failed_workers"], status.worker})
    record = {**record, "failed_workers": failed}
    allowed_count = min(FAILED_WORKERS_MAX_COUNT, max(1, workers_count))
    if len(failed) < allowed_count:
        return queue_again(record, f"failed on {status.worker}: {status.detail}")
    reason = f"failed on {len(failed)} workers ({', '.join(failed)}): {status.detail}"
    return end_job(record, JobState.FAILED, reason, now)


def _required_size(record: JobRecord, peak: TaskSize) -> SizeRecord | None:
    granted = record["granted"]
    if granted is None or not is_over(peak, task_size(granted)):
        return record["required"]
    size = task_size(granted)
    if peak.processors_count > size.processors_count:
        processors_count = _grown(size.processors_count, peak.processors_count)
        size = size._replace(processors_count=processors_count)
    if peak.memory_bytes > size.memory_bytes:
        memory_bytes = int(_grown(size.memory_bytes, peak.memory_bytes))
        size = size._replace(memory_bytes=memory_bytes)
    if record["required"] is not None:
        size = largest(size, task_size(record["required"]))
    return size_record(size)


def is_over(usage: TaskSize, granted: TaskSize) -> bool:
    """
    :returns: whether a usage exceeds the granted processors or memory.
    """
    return (
        usage.processors_count > granted.processors_count * OVER_RATIO
        or usage.memory_bytes > granted.memory_bytes * OVER_RATIO
    )


def _grown(granted: float, used: float) -> float:
    return max(granted * GROWTH_RATIO, used * HEADROOM_RATIO)


def _require_not_ended(record: JobRecord) -> None:
    if record["state"] in ENDED_STATES:
        message = f"I9: job {record['job_id']!r} has ended ({record['state']})"
        raise InvariantError(message)
