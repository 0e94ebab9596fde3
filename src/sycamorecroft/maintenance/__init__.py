"""Declared maintenance waves and the controller that executes them."""

from sycamorecroft.maintenance.controller import MaintenanceController, StepReport
from sycamorecroft.maintenance.explanation import HostExplanation
from sycamorecroft.maintenance.planning import (
    Batch,
    BatchRequest,
    WaitReason,
    plan_batch,
)
from sycamorecroft.maintenance.records import Selection, SelectionKind, WaveState
from sycamorecroft.maintenance.waves import WaveProgress, WaveStore

__all__ = [
    "Batch",
    "BatchRequest",
    "HostExplanation",
    "MaintenanceController",
    "Selection",
    "SelectionKind",
    "StepReport",
    "WaitReason",
    "WaveProgress",
    "WaveState",
    "WaveStore",
    "plan_batch",
]
