"""JSON bodies of the operator interface, as the tool encodes and decodes them."""

from collections.abc import Mapping
from datetime import datetime

import msgspec

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.jobs import JobRecord
from sycamorecroft.maintenance import SelectionKind
from sycamorecroft.maintenance.records import WaveRecord
from sycamorecroft.pools.state import HostRecord

CONFIGURATION_PATH = "/v1/operator/configuration"
ROLLBACK_PATH = "/v1/operator/configuration/rollback"
HISTORY_PATH = "/v1/operator/configuration/history"
HOSTS_PATH = "/v1/operator/hosts"
MOVES_PATH = "/v1/operator/moves"
INVENTORY_PATH = "/v1/operator/inventory"
STATUS_PATH = "/v1/operator/status"
MAINTENANCE_PATH = "/v1/operator/maintenance"
EXPLAIN_PATH = "/v1/operator/explain"
JOBS_PATH = "/v1/jobs"


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The latest published version.

    Before the first one is published, ``version`` is 0 and ``configuration`` is null.
    ``in_force_version`` is that of the answering daemon, 0 for none.
    """

    version: int
    in_force_version: int
    configuration: msgspec.Raw


class PublishRequest(msgspec.Struct, frozen=True):
    """A configuration to publish as the version after ``base_version``."""

    base_version: int
    author: str
    configuration: msgspec.Raw


class RollbackRequest(msgspec.Struct, frozen=True):
    """An earlier version to publish again as the version after ``base_version``."""

    base_version: int
    author: str
    to_version: int


class HistoryReply(msgspec.Struct, frozen=True):
    """Published versions, latest first."""

    versions: tuple[PublishedVersion, ...]


class HostsReply(msgspec.Struct, frozen=True):
    """Host records as of commit ``view_version`` of the table service."""

    view_version: int
    hosts: tuple[HostRecord, ...]


class FailureReply(msgspec.Struct, frozen=True):
    """Body of every response with a status of 400 or more."""

    error: str
    message: str


class EntryHostReply(msgspec.Struct, frozen=True):
    """State of an entry host as one daemon received it by gossip."""

    entry: str
    is_reached: bool
    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool


class PoolReply(msgspec.Struct, frozen=True):
    """Host counts of a pool by state, and its availability budget."""

    pool: str
    is_spare: bool
    configured_count: int
    active_count: int
    planned_out_count: int
    failed_out_count: int
    allowed_out_count: int
    budget_left_count: int


class QueueReply(msgspec.Struct, frozen=True):
    """Waiting requests, slots and ejected hosts of a queue, reported by its owner."""

    waiting_counts: Mapping[Urgency, int]
    parked_count: int
    granted_count: int
    slots_count: int
    limit_count: int
    ejected_count: int
    ejected_hosts: tuple[str, ...] = ()


class StoreReply(msgspec.Struct, frozen=True):
    """Breaker state and age of a daemon's last contact with the table service."""

    state: str
    contact_age_s: float | None


class FailureCountReply(msgspec.Struct, frozen=True):
    """Number of failed requests in the last minute by service, outcome and reason.

    A failed request was not run, or its outcome is unknown.
    """

    service: str | None
    outcome: str
    reason: str
    count: int


class StatusReply(msgspec.Struct, frozen=True):
    """The fleet as one daemon sees it."""

    entry: str | None
    in_force_version: int
    staged_version: int
    view_version: int
    entries: tuple[EntryHostReply, ...]
    live_entries: tuple[str, ...]
    expected_entries_count: int
    pool_counts: tuple[PoolReply, ...]
    services: tuple[str, ...]
    queues: Mapping[str, QueueReply]
    store: StoreReply
    admitted_count: int
    held_leases: tuple[str, ...]
    recent_failures: tuple[FailureCountReply, ...]


class MovesReply(msgspec.Struct, frozen=True):
    """Target pool by host of the moves that operators requested."""

    moves: Mapping[str, str]


class MoveRequestBody(msgspec.Struct, frozen=True):
    """Target pool of a requested host move."""

    target_pool: str


class InventoryHostBody(msgspec.Struct, frozen=True):
    """A declared worker host and its pool."""

    host: str
    address: str
    data_centre: str
    rack: str
    pool: str
    slots_count: int
    connections_count: int


class InventoryReply(msgspec.Struct, frozen=True):
    """The declared hosts; ``version`` is 0 if none have been declared."""

    version: int
    hosts: tuple[InventoryHostBody, ...]


class InventoryRequest(msgspec.Struct, frozen=True):
    """All worker hosts, replacing those of ``base_version``."""

    base_version: int
    hosts: tuple[InventoryHostBody, ...]


class InventoryPublishedReply(msgspec.Struct, frozen=True):
    """Version and size of the inventory in the store."""

    version: int
    hosts_count: int


class WaveReply(msgspec.Struct, frozen=True):
    """A maintenance wave."""

    wave: WaveRecord


class WavesReply(msgspec.Struct, frozen=True):
    """All maintenance waves."""

    waves: tuple[WaveRecord, ...]


class WaveProgressReply(msgspec.Struct, frozen=True):
    """A wave, the outcomes by finished host and the states of all its hosts."""

    wave: WaveRecord
    outcomes: Mapping[str, str]
    remaining_hosts: tuple[str, ...]
    host_states: Mapping[str, str]


class WaveRequest(msgspec.Struct, frozen=True):
    """A maintenance wave to declare."""

    idempotency_key: str
    kind: SelectionKind
    names: tuple[str, ...]
    deadline: datetime


class HostExplanationReply(msgspec.Struct, frozen=True):
    """The condition that a host of a wave waits for."""

    host: str
    reason: str
    detail: str


class WaveExplanationReply(msgspec.Struct, frozen=True):
    """Explanations of a wave's hosts.

    Only the controller knows the demand and the time since a host failed.
    """

    is_by_controller: bool
    hosts: tuple[HostExplanationReply, ...]


class JobsReply(msgspec.Struct, frozen=True):
    """Jobs of a client account; ``jobs`` may list fewer than ``jobs_count``."""

    jobs: tuple[JobRecord, ...]
    jobs_count: int


class JobSizeBody(msgspec.Struct, frozen=True):
    """Declared resource demand of a job."""

    processors_count: float
    memory_bytes: int
    accelerators_count: int


class JobSubmission(msgspec.Struct, frozen=True):
    """A job to submit."""

    service: str
    command: str
    team: str
    urgency: Urgency
    size: JobSizeBody


class FindingReply(msgspec.Struct, frozen=True):
    """Result of one decision step; ``holds_up`` marks what the subject waits for."""

    step: str
    holds_up: bool
    detail: str


class HostFindingsReply(msgspec.Struct, frozen=True):
    """Findings on a host, in order of the decision steps."""

    host: str
    findings: tuple[FindingReply, ...]


class JobFindingsReply(msgspec.Struct, frozen=True):
    """Findings on a job, in order of the decision steps."""

    job_id: str
    state: str
    findings: tuple[FindingReply, ...]


class StepReply(msgspec.Struct, frozen=True):
    """One step in the processing of a request."""

    step: str
    result: str
    host: str | None
    duration_ms: float


class RequestRecordReply(msgspec.Struct, frozen=True):
    """A request that was not run or whose outcome is unknown."""

    request_id: str
    ended_at: str
    service: str | None
    team: str | None
    urgency: str | None
    outcome: str
    reason: str
    message: str
    body_bytes: int
    duration_ms: float
    steps: tuple[StepReply, ...]


class RequestReply(msgspec.Struct, frozen=True):
    """An entry host's record of a request, ``None`` if it has none."""

    entry: str | None
    record: RequestRecordReply | None
