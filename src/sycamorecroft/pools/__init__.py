"""Host records, the pool view, moves between pools and their planning."""

from sycamorecroft.pools.clearance import Acknowledgements, Blocker, Clearance
from sycamorecroft.pools.controller import PoolController, PoolStepReport
from sycamorecroft.pools.planning import plan_buffer, plan_moves
from sycamorecroft.pools.registration import EntryRegistration
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import EntryRecord, HostRecord, HostState, PoolView
from sycamorecroft.pools.view import PoolViewReader

__all__ = [
    "Acknowledgements",
    "Blocker",
    "Clearance",
    "EntryRecord",
    "EntryRegistration",
    "HostRecord",
    "HostState",
    "NewHost",
    "PoolController",
    "PoolRegistry",
    "PoolStepReport",
    "PoolView",
    "PoolViewReader",
    "plan_buffer",
    "plan_moves",
]
