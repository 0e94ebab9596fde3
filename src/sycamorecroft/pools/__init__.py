"""Host records, the pool view, moves between pools and their planning."""

from sycamorecroft.pools.clearance import Acknowledgements, Blocker, Clearance
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import EntryRecord, HostRecord, HostState, PoolView
from sycamorecroft.pools.view import PoolViewReader

__all__ = [
    "Acknowledgements",
    "Blocker",
    "Clearance",
    "EntryRecord",
    "HostRecord",
    "HostState",
    "NewHost",
    "PoolRegistry",
    "PoolView",
    "PoolViewReader",
]
