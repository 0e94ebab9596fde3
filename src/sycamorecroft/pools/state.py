"""Host records and the immutable view of all pools."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, TypedDict


class HostState(StrEnum):
    """Lifecycle state of a host within its pool."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    OUT = "out"


class HostRecord(TypedDict):
    """Value of a row of table ``hosts``; the row is the only truth on the pool."""

    host: str
    address: str
    data_centre: str
    rack: str
    pool: str
    state: HostState
    epoch: int
    slots_count: int
    connections_count: int
    target_pool: str | None
    maintenance_id: str | None


class PoolView(NamedTuple):
    """Snapshot of all host records as of a commit number of the table service."""

    version: int
    hosts: Mapping[str, HostRecord]


class EntryRecord(TypedDict):
    """Value of a row of table ``entries``: registration of an entry host.

    ``granted_hosts`` are workers on which this entry host holds or has issued grants
    while they drain; a draining host is drained once no entry host names it.
    """

    entry: str
    incarnation: str
    view_version: int
    staged_version: int
    granted_hosts: list[str]
    expires_at: str
