"""Interfaces to the platform's services, independent of their transport."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple


class Row(NamedTuple):
    """A row of the table service.

    ``part`` names the part of the table that holds the row. Rows of one transaction
    share their part.
    ``value`` is JSON text; ``None`` marks a deleted row in the result of a scan.
    ``version`` is the number of the commit that wrote the row. Commit numbers rise
    over the whole service.
    """

    table: str
    key: str
    value: bytes | None
    version: int
    part: str = ""


class Check(NamedTuple):
    """Condition of a transaction; ``version`` ``None`` means the row is absent."""

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

    ``store_time_ms`` is the steady clock of the store when it answered, 0 where the
    store has none.
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
        :raises StoreUnavailableError: when no answer was had in time.
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
        :param after_version: only rows written or deleted after this commit number;
            0 returns the live rows only.
        :raises StoreUnavailableError: when no answer was had in time.
        """

    @abstractmethod
    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        """Writes all of ``puts`` if all of ``checks`` hold, else nothing.

        :returns: the commit number, which is the version of each written row.
        :raises StoreConflictError: when a check failed; nothing was written.
        :raises StoreUnavailableError: when it is known that nothing was written.
        :raises StoreOutcomeUnknownError: when the answer was lost; read back to know.
        """


class PartitionedTableService(TableService):
    """Table service whose tables have parts and a feed of changes."""

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
        :param first_key: first key of the range; empty for the first of the part.
        :param end_key: key after the range; empty for no limit.
        :returns: live rows of one part, by key.
        :raises StoreUnavailableError: when no answer was had in time.
        """

    @abstractmethod
    def parts(self, table: str) -> tuple[str, ...]:
        """
        :returns: names of the parts of a table that hold rows.
        :raises StoreUnavailableError: when no answer was had in time.
        """

    @abstractmethod
    def changes(self, table: str, *, after_version: int, wait_s: float) -> Scan:
        """Waits for changes of a table.

        :returns: rows written or deleted after the version, in order; no rows when
            none changed within ``wait_s`` seconds.
        :raises StoreHistoryLostError: when the store no longer knows all of them.
        :raises StoreUnavailableError: when no answer was had in time.
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
    """Status of a host in the platform's list, which lags."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(StrEnum):
    """What the platform uses a host for."""

    WORKER = "worker"
    ENTRY = "entry"


class PlatformHost(NamedTuple):
    """An entry of the platform's host list. ``address`` is ``ip:port``."""

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
    """The platform's host list; hosts that are gone are absent."""

    hosts: tuple[PlatformHost, ...]
    as_of: datetime


class HostList(ABC):
    """Lagging list of live and leaving hosts."""

    @abstractmethod
    def list_hosts(self) -> HostListing:
        """
        :raises StoreUnavailableError: when the list can't be had.
        """


class HostPhase(StrEnum):
    """Progress of a host through a reboot, as the platform reports it."""

    UP = "up"
    DRAINING = "draining"
    REBOOTING = "rebooting"


class HostControl(ABC):
    """Drains and reboots hosts. Both calls are idempotent for one operation id."""

    @abstractmethod
    def drain(self, host: str, *, operation_id: str) -> None:
        """
        :raises PlatformError: when the call failed; it may be repeated.
        """

    @abstractmethod
    def reboot(self, host: str, *, operation_id: str) -> None:
        """
        :raises PlatformError: when the call failed; it may be repeated.
        """

    @abstractmethod
    def phase(self, host: str) -> HostPhase:
        """
        :raises PlatformError: when the phase can't be had.
        """


class TaskSize(NamedTuple):
    """Size of a task: declared, or observed in usage reports."""

    processors_count: float
    memory_bytes: int
    accelerators_count: int


class TaskState(StrEnum):
    """State of a task by the platform's word."""

    RUNNING = "running"
    THROTTLED = "throttled"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"


class TaskStart(NamedTuple):
    """Request to start a task. ``task_id`` makes the start idempotent.

    ``epoch`` is the fencing token of the controller; the platform refuses a lower
    epoch than the highest it has seen for ``fence``.
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
    """A task as the platform reports it; ``usage`` lags."""

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
        :raises StoreOutcomeUnknownError: when the answer was lost.
        :raises NotLeaseHolderError: when a higher epoch has been seen.
        :raises PlatformError: when the worker refused the task.
        """

    @abstractmethod
    def list_tasks(self, worker: str) -> tuple[TaskStatus, ...]:
        """
        :returns: tasks of the worker, ended ones too until they are forgotten.
        :raises StoreUnavailableError: when no answer was had in time.
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
        """Asks the task to write a checkpoint to the object store."""

    @abstractmethod
    def throttle(self, task_id: str, *, epoch: int, ratio: float) -> None:
        """Limits the task to ``ratio`` of its processors; 1.0 lifts the limit."""

    @abstractmethod
    def stop(self, task_id: str, *, epoch: int) -> None:
        """Stops the task; stopping an ended task has no effect."""
