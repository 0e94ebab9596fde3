"""Creation of the stores that the operator interface uses."""

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.daemon.store import PlatformClients
from sycamorecroft.entry.operator_interface import OperatorStores
from sycamorecroft.jobs import JobStore
from sycamorecroft.maintenance import MaintenanceController, WaveStore
from sycamorecroft.maintenance.explainer import MaintenanceExplainer
from sycamorecroft.maintenance.snapshot import MaintenanceSnapshotReader
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.move_requests import MoveRequestStore
from sycamorecroft.store.interfaces import StorePurpose


def operator_stores(
    platform: PlatformClients,
    clock: Clock,
    maintenance: MaintenanceController,
    jobs: JobStore,
) -> OperatorStores:
    """
    :returns: stores that use the operators' share of the store budget where possible,
        because the configuration history alone needs one read per version.
    """
    tables = platform.tables
    return OperatorStores(
        ConfigurationStore(tables, clock, StorePurpose.OPERATORS),
        InventoryStore(tables),
        MoveRequestStore(tables),
        WaveStore(tables, clock),
        MaintenanceExplainer(
            maintenance, MaintenanceSnapshotReader(tables, platform.host_list, clock)
        ),
        jobs,
    )
