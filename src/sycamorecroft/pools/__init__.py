"""Assignment of worker hosts to pools: host records, pool view, planning of moves."""

from sycamorecroft.pools.clearance import Acknowledgements, Blocker, Clearance
from sycamorecroft.pools.controller import PoolController, PoolStepReport
from sycamorecroft.pools.planning import plan_buffer, plan_moves
from sycamorecroft.pools.registration import EntryHostRegistration
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import EntryHostRecord, HostRecord, HostState, PoolView
from sycamorecroft.pools.view import PoolViewReader

__all__ = [
    "Acknowledgements",
    "Blocker",
    "Clearance",
    "EntryHostRecord",
    "EntryHostRegistration",
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
