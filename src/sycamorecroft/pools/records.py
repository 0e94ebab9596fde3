"""Encoding of the rows of hosts, entry hosts and pool budgets.

Decoding keeps unknown fields, so that a daemon of an older version doesn't delete what
a newer one wrote.
"""

from typing import NamedTuple, TypedDict, TypeVar

import msgspec

from sycamorecroft.errors import RecordError
from sycamorecroft.pools.state import EntryHostRecord, HostRecord
from sycamorecroft.store.interfaces import Row

HOSTS_TABLE = "hosts"
POOLS_TABLE = "pools"
ENTRIES_TABLE = "entries"

Record = TypeVar("Record")


class BudgetRecord(TypedDict):
    """Value of a row of table ``pools``.

    ``hosts_count`` includes hosts out of service. ``planned_out_count`` counts
    draining, drained and rebooting hosts, ``failed_out_count`` the failed ones.
    """

    pool: str
    hosts_count: int
    planned_out_count: int
    failed_out_count: int
    max_unavailable_ratio: float


class HostRow(NamedTuple):
    """A host record and the commit number that wrote it."""

    record: HostRecord
    version: int


class BudgetRow(NamedTuple):
    """A pool's budget record and the commit number that wrote it."""

    record: BudgetRecord
    version: int


def allowed_out_count(budget: BudgetRecord) -> int:
    """
    :returns: number of hosts of the pool that may be out of service at once.
    """
    return int(budget["hosts_count"] * budget["max_unavailable_ratio"] + 1e-9)


def encode_record(record: HostRecord | EntryHostRecord | BudgetRecord) -> bytes:
    """
    :returns: the record as JSON.
    """
    return msgspec.json.encode(record)


def decode_host(value: bytes) -> HostRecord:
    """
    :raises RecordError: when a known field is missing or malformed.
    """
    return decode_record(value, HostRecord)


def decode_entry_host(value: bytes) -> EntryHostRecord:
    """
    :raises RecordError: when a known field is missing or malformed.
    """
    return decode_record(value, EntryHostRecord)


def decode_budget(value: bytes) -> BudgetRecord:
    """
    :raises RecordError: when a known field is missing or malformed.
    """
    return decode_record(value, BudgetRecord)


def host_row(row: Row) -> HostRow:
    """
    :raises RecordError: when the row is deleted or malformed.
    """
    return HostRow(decode_host(row.value or b""), row.version)


def find_host_row(row: Row) -> HostRow | None:
    """
    :returns: the row, ``None`` when it is malformed. A malformed row takes its host out
        of routing and planning without affecting other hosts.
    """
    try:
        return host_row(row)
    except RecordError:
        return None


def budget_row(row: Row) -> BudgetRow:
    """
    :raises RecordError: when the row is deleted or malformed.
    """
    return BudgetRow(decode_budget(row.value or b""), row.version)


def decode_record(value: bytes, record_type: type[Record]) -> Record:
    """Decodes the value of a row.

    :param record_type: ``TypedDict`` of the known fields.
    :returns: the record, with any fields that ``record_type`` doesn't declare.
    :raises RecordError: when a known field is missing or malformed.
    """
    try:
        fields = msgspec.json.decode(value)
        known = msgspec.convert(fields, record_type)
    except msgspec.MsgspecError as error:
        message = f"invalid {record_type.__name__} row: {error}; got {value[:200]!r}"
        raise RecordError(message) from error
    fields.update(known)
    return fields
