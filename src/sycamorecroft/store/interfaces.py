"""Interfaces of the platform's services, independent of their transport."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple


class Row(NamedTuple):
    """A row of the table service.

    ``part`` is the name of the part (partition) of the table that holds the row. All
    rows of one transaction belong to the same part.
    ``value`` is JSON text; ``None`` marks a deleted row in the result of a scan.
    ``version`` is the number of the commit that wrote the row. Commit numbers increase
    across the whole service.
    """

    table: str
    key: str
    value: bytes | None
    version: int
    part: str = ""


class Check(NamedTuple):
    """Condition of a transaction: version of a row, ``None`` if it must be absent."""

    table: str
    key: str
    version: int | None
    part: str = ""


class Put(NamedTuple):
    """Write of one row; ``value`` is JSON text, ``None`` deletes the row."""

    table: str
    key: str
    value: bytes | None
    part: str = ""


class Scan(NamedTuple):
    """Result of a scan; ``version`` is the commit number the scan reflects.

    ``store_time_ms`` is the reading of the store's monotonic clock when it responded, 0
    if the store has none.
    """

    rows: tuple[Row, ...]
    version: int
    store_time_ms: int = 0


class StorePurpose(StrEnum):
    """Purposes among which the store budget is divided."""

    CLAIMS = "claims"
    JOBS = "jobs"
    REGISTRATION = "registration"
    LEASES = "leases"
    POOLS = "pools"
    CONFIGURATION = "configuration"
    VIEW = "view"
    OPERATORS = "operators"


class TableService(ABC):
    """Transactional table service of the platform."""

    @abstractmethod
    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        """
        :returns: the row, or ``None`` when it is absent.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """

    @abstractmethod
    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        """
        :param after_version: returns only rows written or deleted after this commit
            number; 0 returns the live rows only.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """

    @abstractmethod
    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        """Applies all of ``puts`` if all of ``checks`` hold, else none of them.

        :returns: the commit number, which is the version of each written row.
        :raises StoreConflictError: when a check failed; nothing was written.
        :raises StoreUnavailableError: when it is known that nothing was written.
        :raises StoreOutcomeUnknownError: when the response was lost; the outcome can be
            learned by reading a row back.
        """


class PartitionedTableService(TableService):
    """Table service whose tables are partitioned and have a change feed."""

    @abstractmethod
    def scan_part(
        self,
        table: str,
        part: str,
        *,
        purpose: StorePurpose,
        first_key: str = "",
        end_key: str = "",
    ) -> Scan:
        """
        :param first_key: first key of the range; empty for the start of the part.
        :param end_key: exclusive end of the range; empty for no limit.
        :returns: live rows of one part, ordered by key.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """

    @abstractmethod
    def parts(self, table: str) -> tuple[str, ...]:
        """
        :returns: names of the parts of a table that hold rows.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """

    @abstractmethod
    def changes(self, table: str, *, after_version: int, wait_s: float) -> Scan:
        """Waits for changes of a table.

        :param wait_s: longest wait in seconds.
        :returns: rows written or deleted after the version, in order; no rows when
            none changed within ``wait_s``.
        :raises StoreHistoryLostError: when the store no longer has all changes after
            the version.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """


class ObjectStore(ABC):
    """Object store of the platform."""

    @abstractmethod
    def put(self, key: str, body: bytes) -> None:
        """
        :raises StoreUnavailableError: when the object can't be stored.
        """

    @abstractmethod
    def get(self, key: str) -> bytes | None:
        """
        :returns: the object, or ``None`` when it is absent.
        :raises StoreUnavailableError: when the store can't be reached.
        """

    @abstractmethod
    def delete(self, key: str) -> None:
        """
        :raises StoreUnavailableError: when the store can't be reached.
        """


class HostStatus(StrEnum):
    """Status of a host in the platform's host list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(StrEnum):
    """What the platform uses a host for."""

    WORKER = "worker"
    ENTRY = "entry"


class PlatformHost(NamedTuple):
    """A host of the platform's host list. ``address`` is ``ip:port``."""

    name: str
    role: HostRole
    address: str
    data_centre: str
    rack: str
    status: HostStatus
    processors_count: int
    memory_bytes: int
    accelerators_count: int
    slots_count: int
    connections_count: int


class HostListing(NamedTuple):
    """The platform's host list as of a time; removed hosts are absent."""

    hosts: tuple[PlatformHost, ...]
    as_of: datetime


class HostList(ABC):
    """List of live and leaving hosts; it lags behind their state."""

    @abstractmethod
    def list_hosts(self) -> HostListing:
        """
        :raises StoreUnavailableError: when the list can't be read.
        """


class HostPhase(StrEnum):
    """Progress of a host through a reboot, as the platform reports it."""

    UP = "up"
    DRAINING = "draining"
    REBOOTING = "rebooting"


class HostControl(ABC):
    """Drains and reboots hosts. Both calls are idempotent by operation id."""

    @abstractmethod
    def drain(self, host: str, *, operation_id: str) -> None:
        """
        :raises PlatformError: when the call failed; it can be retried.
        """

    @abstractmethod
    def reboot(self, host: str, *, operation_id: str) -> None:
        """
        :raises PlatformError: when the call failed; it can be retried.
        """

    @abstractmethod
    def phase(self, host: str) -> HostPhase:
        """
        :raises PlatformError: when the phase can't be read.
        """


class TaskSize(NamedTuple):
    """Resources of a task: as declared, or as observed in usage reports."""

    processors_count: float
    memory_bytes: int
    accelerators_count: int


class TaskState(StrEnum):
    """State of a task as the platform reports it."""

    RUNNING = "running"
    THROTTLED = "throttled"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_lapsed"


class TaskStart(NamedTuple):
    """Request to start a task. ``task_id`` makes the start idempotent.

    ``epoch`` is the fencing token of the controller; the platform rejects an epoch
    lower than the highest it has seen for ``fence``.
    """

    task_id: str
    worker: str
    fence: str
    epoch: int
    lease_s: float
    size: TaskSize
    command: str
    checkpoint_key: str | None


class TaskStatus(NamedTuple):
    """A task as the platform reports it; ``usage`` lags behind."""

    task_id: str
    worker: str
    state: TaskState
    usage: TaskSize
    checkpoint_key: str | None
    detail: str


class TaskService(ABC):
    """Runs tasks on workers under leases."""

    @abstractmethod
    def start(self, request: TaskStart) -> None:
        """
        :raises StoreOutcomeUnknownError: when the response was lost.
        :raises NotLeaseHolderError: when the platform has seen a higher epoch.
        :raises PlatformError: when the worker rejected the task.
        """

    @abstractmethod
    def list_tasks(self, worker: str) -> tuple[TaskStatus, ...]:
        """
        :returns: tasks of the worker, including ended ones that the platform still
            remembers.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """

    @abstractmethod
    def get(self, task_id: str) -> TaskStatus | None:
        """
        :returns: the task, or ``None`` if the platform has never seen it.
        """

    @abstractmethod
    def renew(self, task_id: str, *, epoch: int, lease_s: float) -> None:
        """Extends the lease of a running task."""

    @abstractmethod
    def checkpoint(self, task_id: str, *, epoch: int) -> None:
        """Requests that the task write a checkpoint to the object store."""

    @abstractmethod
    def throttle(self, task_id: str, *, epoch: int, ratio: float) -> None:
        """Limits the task to ``ratio`` of its processors; 1.0 removes the limit."""

    @abstractmethod
    def stop(self, task_id: str, *, epoch: int) -> None:
        """Stops the task; stopping an ended task has no effect."""
