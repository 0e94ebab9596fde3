"""JSON messages of the platform's HTTP API (section 7 of docs/design.md)."""

from datetime import datetime
from typing import TypedDict

from sycamorecroft.store.interfaces import (
    Check,
    HostListing,
    HostPhase,
    HostRole,
    HostStatus,
    PlatformHost,
    Put,
    Row,
    Scan,
    TaskSize,
    TaskStart,
    TaskState,
    TaskStatus,
)


class CheckBody(TypedDict):
    """:class:`Check` as JSON."""

    table: str
    key: str
    version: int | None


class PutBody(TypedDict):
    """:class:`Put` as JSON; ``value`` is JSON text as a string."""

    table: str
    key: str
    value: str | None


class TransactionBody(TypedDict):
    """Body of ``POST /tables/transact``."""

    checks: list[CheckBody]
    puts: list[PutBody]


class CommitBody(TypedDict):
    """Response to ``POST /tables/transact``."""

    version: int


class RowBody(TypedDict):
    """:class:`Row` as JSON."""

    table: str
    key: str
    value: str | None
    version: int


class ScanBody(TypedDict):
    """:class:`Scan` as JSON."""

    rows: list[RowBody]
    version: int


class HostBody(TypedDict):
    """:class:`PlatformHost` as JSON."""

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


class ListingBody(TypedDict):
    """:class:`HostListing` as JSON."""

    hosts: list[HostBody]
    as_of: datetime


class PhaseBody(TypedDict):
    """Response to ``GET /hosts/{host}``."""

    phase: HostPhase


class HostOperationBody(TypedDict):
    """Body of ``POST /hosts/{host}/drain`` and ``POST /hosts/{host}/reboot``."""

    operation_id: str


class SizeBody(TypedDict):
    """:class:`TaskSize` as JSON."""

    processors_count: float
    memory_bytes: int
    accelerators_count: int


class TaskStartBody(TypedDict):
    """:class:`TaskStart` as JSON; the path names the worker, too."""

    task_id: str
    worker: str
    fence: str
    epoch: int
    lease_s: float
    size: SizeBody
    command: str
    checkpoint_key: str | None


class TaskStatusBody(TypedDict):
    """:class:`TaskStatus` as JSON."""

    task_id: str
    worker: str
    state: TaskState
    usage: SizeBody
    checkpoint_key: str | None
    detail: str


class TasksBody(TypedDict):
    """Response to ``GET /workers/{host}/tasks`` and ``GET /usage``."""

    tasks: list[TaskStatusBody]


class RenewBody(TypedDict):
    """Body of ``POST /tasks/{id}/renew``."""

    epoch: int
    lease_s: float


class ThrottleBody(TypedDict):
    """Body of ``POST /tasks/{id}/throttle``."""

    epoch: int
    ratio: float


class EpochBody(TypedDict):
    """Body of ``POST /tasks/{id}/checkpoint`` and ``POST /tasks/{id}/stop``."""

    epoch: int


def put_body(put: Put) -> PutBody:
    value = None if put.value is None else put.value.decode()
    return PutBody(table=put.table, key=put.key, value=value)


def put_from_body(body: PutBody) -> Put:
    value = body["value"]
    return Put(body["table"], body["key"], None if value is None else value.encode())


def check_body(check: Check) -> CheckBody:
    return CheckBody(table=check.table, key=check.key, version=check.version)


def check_from_body(body: CheckBody) -> Check:
    return Check(body["table"], body["key"], body["version"])


def row_body(row: Row) -> RowBody:
    value = None if row.value is None else row.value.decode()
    return RowBody(table=row.table, key=row.key, value=value, version=row.version)


def row_from_body(body: RowBody) -> Row:
    value = body["value"]
    encoded = None if value is None else value.encode()
    return Row(body["table"], body["key"], encoded, body["version"])


def scan_body(scan: Scan) -> ScanBody:
    return ScanBody(rows=[row_body(row) for row in scan.rows], version=scan.version)


def scan_from_body(body: ScanBody) -> Scan:
    return Scan(tuple(row_from_body(row) for row in body["rows"]), body["version"])


def host_body(host: PlatformHost) -> HostBody:
    return HostBody(**host._asdict())


def host_from_body(body: HostBody) -> PlatformHost:
    return PlatformHost(**body)


def listing_body(listing: HostListing) -> ListingBody:
    hosts = [host_body(host) for host in listing.hosts]
    return ListingBody(hosts=hosts, as_of=listing.as_of)


def listing_from_body(body: ListingBody) -> HostListing:
    return HostListing(
        tuple(host_from_body(host) for host in body["hosts"]), body["as_of"]
    )


def size_body(size: TaskSize) -> SizeBody:
    return SizeBody(**size._asdict())


def start_body(request: TaskStart) -> TaskStartBody:
    fields = request._asdict() | {"size": size_body(request.size)}
    return TaskStartBody(**fields)


def start_from_body(body: TaskStartBody) -> TaskStart:
    fields = dict(body) | {"size": TaskSize(**body["size"])}
    return TaskStart(**fields)


def status_body(status: TaskStatus) -> TaskStatusBody:
    fields = status._asdict() | {"usage": size_body(status.usage)}
    return TaskStatusBody(**fields)


def status_from_body(body: TaskStatusBody) -> TaskStatus:
    fields = dict(body) | {"usage": TaskSize(**body["usage"])}
    return TaskStatus(**fields)
