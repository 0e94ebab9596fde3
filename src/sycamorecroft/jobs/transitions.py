"""State transitions of a job, as pure functions from one record to the next.

They check invariant I9: a new attempt starts only when the previous one is known to
have ended, and none starts after the job has ended.
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
from sycamorecroft.jobs.usage import elementwise_max
from sycamorecroft.store.interfaces import TaskSize, TaskState, TaskStatus

FAILED_WORKERS_MAX_COUNT = 3
# A restarted job gets more than its observed usage, which the old size limited.
SIZE_GROWTH_RATIO = 1.5
USAGE_HEADROOM_RATIO = 1.2
# Usage reports fluctuate, so a job exceeds its size only above this multiple of it.
OVERUSE_RATIO = 1.1
LIVE_TASK_STATES = frozenset({TaskState.RUNNING, TaskState.THROTTLED})


def start_attempt(
    record: JobRecord, *, worker: str, size: TaskSize, epoch: int
) -> JobRecord:
    """
    :returns: the job with its next attempt, in state ``starting``.
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
    :param peak: largest usage observed in any attempt.
    :returns: the job in state ``running``.
    :raises InvariantError: if the job has ended.
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
    :param status: status of the attempt's task, which the platform reports as ended.
    :param peak: largest usage observed in any attempt.
    :param workers_count: number of workers of the pool that the job fits on.
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
        return _apply_failure(record, status, workers_count, now)
    record["checkpoint_key"] = status.checkpoint_key or record["checkpoint_key"]
    record["required"] = _required_size(record, peak)
    return requeue(record, f"attempt {record['attempt']} ended: {status.state}")


def requeue(record: JobRecord, reason: str) -> JobRecord:
    """
    :param record: a job whose latest attempt is known to have ended, or never to have
        started.
    :returns: the job in state ``queued``, without a worker.
    :raises InvariantError: if the job has ended.
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
    :returns: the job in state ``unplaceable``.
    :raises InvariantError: if an attempt may be running.
    """
    if record["state"] in LIVE_STATES:
        raise InvariantError(
            f"I9: job {record['job_id']!r} has an attempt that may be running"
        )
    return {**record, "state": JobState.UNPLACEABLE, "reason": reason}


def end_job(
    record: JobRecord, state: JobState, reason: str, now: datetime
) -> JobRecord:
    """
    :param state: one of ``ENDED_STATES``.
    :returns: the job in this state, with the time of its end.
    :raises InvariantError: if the job has ended already.
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
    :returns: the job marked for cancellation; one that has ended is unchanged.
    """
    if record["state"] in ENDED_STATES:
        return record
    return {**record, "is_cancel_requested": True}


def _apply_failure(
    record: JobRecord, status: TaskStatus, workers_count: int, now: datetime
) -> JobRecord:
    failed = sorted({*record["failed_workers"], status.worker})
    record = {**record, "failed_workers": failed}
    allowed_count = min(FAILED_WORKERS_MAX_COUNT, max(1, workers_count))
    if len(failed) < allowed_count:
        return requeue(record, f"failed on {status.worker}: {status.detail}")
    reason = f"failed on {len(failed)} workers ({', '.join(failed)}): {status.detail}"
    return end_job(record, JobState.FAILED, reason, now)


def _required_size(record: JobRecord, peak: TaskSize) -> SizeRecord | None:
    granted = record["granted"]
    if granted is None or not exceeds_size(peak, task_size(granted)):
        return record["required"]
    size = task_size(granted)
    if peak.processors_count > size.processors_count:
        processors_count = _increased(size.processors_count, peak.processors_count)
        size = size._replace(processors_count=processors_count)
    if peak.memory_bytes > size.memory_bytes:
        memory_bytes = int(_increased(size.memory_bytes, peak.memory_bytes))
        size = size._replace(memory_bytes=memory_bytes)
    if record["required"] is not None:
        size = elementwise_max(size, task_size(record["required"]))
    return size_record(size)


def exceeds_size(usage: TaskSize, granted: TaskSize) -> bool:
    """
    :returns: whether the usage exceeds the granted processors or memory by more than
        the tolerance for fluctuation.
    """
    return (
        usage.processors_count > granted.processors_count * OVERUSE_RATIO
        or usage.memory_bytes > granted.memory_bytes * OVERUSE_RATIO
    )


def _increased(granted: float, used: float) -> float:
    return max(granted * SIZE_GROWTH_RATIO, used * USAGE_HEADROOM_RATIO)


def _require_not_ended(record: JobRecord) -> None:
    if record["state"] in ENDED_STATES:
        message = f"I9: job {record['job_id']!r} has ended ({record['state']})"
        raise InvariantError(message)
