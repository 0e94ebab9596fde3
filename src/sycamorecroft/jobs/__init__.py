"""Durable jobs: submission, placement and execution as tasks of the platform."""

from sycamorecroft.jobs.controller import JobController
from sycamorecroft.jobs.records import JobRecord, JobRequest, JobState
from sycamorecroft.jobs.settings import JobSettings
from sycamorecroft.jobs.store import CancelCounts, JobStore
from sycamorecroft.jobs.workers import PoolWorkers, Worker, WorkerSource

__all__ = [
    "CancelCounts",
    "JobController",
    "JobRecord",
    "JobRequest",
    "JobSettings",
    "JobState",
    "JobStore",
    "PoolWorkers",
    "Worker",
    "WorkerSource",
]
