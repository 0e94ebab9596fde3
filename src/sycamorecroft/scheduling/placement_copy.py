"""Copy of the state of a service that its next placement reads and changes."""

from typing import NamedTuple

from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.advice import ApprovalCache
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.kept_room import KeptRoom
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.placement_order import PlacementOrder
from sycamorecroft.scheduling.quota_gate import NoQuotas, QuotaGate
from sycamorecroft.scheduling.workers import Worker


class PlacementCopy(NamedTuple):
    """State of a service at ``taken_s`` (monotonic) and ``taken_ms`` (Unix time).

    It shares nothing with the scheduler that either of them changes, but for runs,
    which a placement only reads.

    ``jobs``: jobs with waiting tasks, by id. ``dirty_jobs``: ids of the jobs that the
    next commits hold.
    """

    service: str
    epoch: int
    taken_s: float
    taken_ms: int
    jobs: dict[str, Job]
    workers: dict[str, Worker]
    usage: AccountUsage
    ranking: JobRanking
    near: NearPlacement
    order: PlacementOrder
    kept_room: KeptRoom
    approvals: ApprovalCache
    dirty_jobs: set[str]
    row_limit_bytes: int
    quotas: QuotaGate = NoQuotas()
