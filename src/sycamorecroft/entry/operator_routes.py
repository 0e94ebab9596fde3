"""Operator interface: the routes of all its handlers."""

from sycamorecroft.entry.application import Route
from sycamorecroft.entry.operator_configuration import ConfigurationHandlers
from sycamorecroft.entry.operator_explanations import ExplanationHandlers
from sycamorecroft.entry.operator_hosts import HostHandlers
from sycamorecroft.entry.operator_interface import OperatorState, OperatorStores
from sycamorecroft.entry.operator_maintenance import MaintenanceHandlers
from sycamorecroft.entry.operator_status import StatusHandlers


def operator_routes(state: OperatorState, stores: OperatorStores) -> tuple[Route, ...]:
    """
    :returns: all routes of the operator interface.
    """
    return (
        *StatusHandlers(state).routes(),
        *ConfigurationHandlers(state, stores).routes(),
        *HostHandlers(state, stores).routes(),
        *MaintenanceHandlers(state, stores).routes(),
        *ExplanationHandlers(state, stores).routes(),
    )
