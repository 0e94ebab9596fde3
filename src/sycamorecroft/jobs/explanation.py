"""Explains the state of a job and what it waits for, in the order of decisions.

Pure functions of the job's record and of the facts that its placement depends on.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.jobs.records import (
    ENDED_STATES,
    LIVE_STATES,
    JobRecord,
    JobState,
    SizeRecord,
)
from sycamorecroft.pools.state import HostState, PoolView


class JobFinding(NamedTuple):
    """Result of one decision step; ``holds_up`` is true if the job waits for it."""

    step: str
    holds_up: bool
    detail: str


class JobFacts(NamedTuple):
    """Inputs of a job's placement; ``jobs`` are the jobs of its account."""

    configuration: FleetConfiguration | None
    view: PoolView
    jobs: tuple[JobRecord, ...]


def explain_job(record: JobRecord, facts: JobFacts) -> tuple[JobFinding, ...]:
    """
    :returns: findings in the order acceptance, state, attempts, placement,
        cancellation.
    """
    accepted = (
        f"at {record['submitted_at']} for service {record['service']}, team "
        f"{record['team']}, {record['urgency'].value}, "
        f"{_format_size(record['declared'])}"
    )
    return (
        JobFinding("accepted", False, accepted),
        _state(record),
        _attempts(record),
        *_placement(record, facts),
        _cancellation(record),
    )


def _state(record: JobRecord) -> JobFinding:
    detail = record["state"].value
    if record["reason"]:
        detail += f": {record['reason']}"
    return JobFinding("state", record["state"] == JobState.UNPLACEABLE, detail)


def _attempts(record: JobRecord) -> JobFinding:
    if not record["attempt"]:
        return JobFinding("attempts", False, "none yet")
    detail = f"{record['attempt']} made"
    if record["state"] in LIVE_STATES:
        granted = _format_size(record["granted"])
        detail += f"; the latest may be running on {record['worker']} with {granted}"
    if record["failed_workers"]:
        detail += f"; failed on {', '.join(record['failed_workers'])}"
    if record["required"] is not None:
        detail += f"; exceeded its size, needs {_format_size(record['required'])}"
    return JobFinding("attempts", False, detail)


def _placement(record: JobRecord, facts: JobFacts) -> Iterable[JobFinding]:
    if record["state"] != JobState.QUEUED:
        return ()
    if facts.configuration is None:
        return (
            JobFinding("placement", True, "this daemon has no configuration in force"),
        )
    service = facts.configuration.services.get(record["service"])
    if service is None:
        detail = f"service {record['service']} is no longer configured"
        return (JobFinding("placement", True, detail),)
    return (
        _workers(service.pool, facts),
        _quota(record, service.account, service.pool, facts),
    )


def _workers(pool: str, facts: JobFacts) -> JobFinding:
    hosts = [host for host in facts.view.hosts.values() if host["pool"] == pool]
    active_count = sum(host["state"] == HostState.ACTIVE for host in hosts)
    busy = {job["worker"] for job in facts.jobs if job["state"] in LIVE_STATES}
    detail = (
        f"pool {pool} has {active_count} of {len(hosts)} hosts active; jobs of the "
        f"account run on {len(busy)} of them"
    )
    return JobFinding("placement", active_count == 0, detail)


def _quota(record: JobRecord, account: str, pool: str, facts: JobFacts) -> JobFinding:
    assert facts.configuration is not None
    team = facts.configuration.accounts[account].teams.get(record["team"])
    if team is None:
        detail = f"team {record['team']} is no longer configured"
        return JobFinding("quota", True, detail)
    services = facts.configuration.services
    running_count = sum(
        job["team"] == record["team"]
        and job["state"] in LIVE_STATES
        and job["service"] in services
        and services[job["service"]].pool == pool
        for job in facts.jobs
    )
    detail = (
        f"{running_count} jobs of team {team.name} run in pool {pool}, "
        f"{team.slots_quota_count} are allowed"
    )
    return JobFinding("quota", running_count >= team.slots_quota_count, detail)


def _cancellation(record: JobRecord) -> JobFinding:
    if not record["is_cancel_requested"]:
        return JobFinding("cancellation", False, "not requested")
    if record["state"] in ENDED_STATES:
        return JobFinding("cancellation", False, "requested, but the job has ended")
    return JobFinding("cancellation", True, "requested, waits until the task stops")


def _format_size(size: SizeRecord | None) -> str:
    if size is None:
        return "unknown size"
    return (
        f"{size['processors_count']:g} processors, {size['memory_bytes']} bytes, "
        f"{size['accelerators_count']} accelerators"
    )
