"""Records of maintenance waves and their progress in table ``maintenance``."""

import hashlib
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec

from sycamorecroft.pools.records import decode_record
from sycamorecroft.store.interfaces import Row

MAINTENANCE_TABLE = "maintenance"
WAVE_PREFIX = "wave/"
PROGRESS_PREFIX = "progress/"


class WaveState(StrEnum):
    """State of a wave, set by operators, or by the controller once it is finished."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    FINISHED = "finished"


class SelectionKind(StrEnum):
    """Kind of object that a selection names."""

    RACK = "rack"
    POOL = "pool"
    HOSTS = "hosts"


class Selection(NamedTuple):
    """Hosts selected for a wave. Racks and pools are resolved on declaration."""

    kind: SelectionKind
    names: tuple[str, ...]


class WaveRecord(TypedDict):
    """Value of row ``wave/<id>``. ``deadline`` is ISO 8601 with an offset from UTC.

    A reboot for another wave also completes this wave for the host, except on
    ``rebooting_hosts``, which were already rebooting when this wave was declared.
    """

    id: str
    selection_kind: SelectionKind
    selection_names: list[str]
    hosts: list[str]
    deadline: str
    declared_at: str
    rebooting_hosts: list[str]
    state: WaveState


class HostOutcome(StrEnum):
    """Outcome of a wave for one host."""

    DONE = "done"
    TAKEN_OUT = "taken_out"
    REMOVED = "removed"


class ProgressRecord(TypedDict):
    """Value of row ``progress/<wave id>/<host>``."""

    wave_id: str
    host: str
    outcome: HostOutcome
    ended_at: str


class WaveRow(NamedTuple):
    """A wave's record and the version of its row."""

    record: WaveRecord
    version: int


def wave_id_of(idempotency_key: str) -> str:
    """
    :returns: id of the wave that is declared with this key.
    """
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:16]


def wave_key(wave_id: str) -> str:
    """
    :returns: key of the wave's row.
    """
    return f"{WAVE_PREFIX}{wave_id}"


def progress_key(wave_id: str, host: str) -> str:
    """
    :returns: key of the row that stores the wave's outcome for a host.
    """
    return f"{PROGRESS_PREFIX}{wave_id}/{host}"


def deadline_of(record: WaveRecord) -> datetime:
    """
    :returns: the wave's deadline as a time-zone-aware ``datetime``.
    """
    return datetime.fromisoformat(record["deadline"])


def encode_record(record: WaveRecord | ProgressRecord) -> bytes:
    """
    :returns: the record as JSON text.
    """
    return msgspec.json.encode(record)


def decode_wave(row: Row) -> WaveRow:
    """
    :returns: the wave with the version of its row.
    :raises RecordError: when a known field is missing or malformed.
    """
    return WaveRow(decode_record(row.value or b"", WaveRecord), row.version)


def decode_progress(row: Row) -> ProgressRecord:
    """
    :returns: the outcome of a wave for one host.
    :raises RecordError: when a known field is missing or malformed.
    """
    return decode_record(row.value or b"", ProgressRecord)
