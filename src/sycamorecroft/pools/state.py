"""Records of hosts and entry hosts, and the immutable pool view."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, TypedDict


class HostState(StrEnum):
    """Lifecycle state of a host within its pool; ``OUT`` is a host that failed."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    OUT = "out"


class HostRecord(TypedDict):
    """Value of a row of table ``hosts``, which alone determines the host's pool."""

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


class EntryHostRecord(TypedDict):
    """Value of a row of table ``entries``: registration of an entry host.

    ``granted_hosts`` are draining hosts on which this entry host holds or has issued
    grants; a draining host counts as drained only once no entry host names it.
    """

    entry: str
    incarnation: str
    view_version: int
    staged_version: int
    granted_hosts: list[str]
    expires_at: str
