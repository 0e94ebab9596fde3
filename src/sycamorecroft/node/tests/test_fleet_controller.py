"""Tests of the fleet controller's settings."""

import time

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.ports import reserve_port
from sycamorecroft.capacity.forecast_store import FORECASTS_TABLE
from sycamorecroft.clock import BoottimeClock
from sycamorecroft.node.fleet_controller import FleetController, FleetView
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.settings.node import (
    CapacityPlanningSettings,
    HostControlSettings,
    NodeSettings,
    PlatformLimitSettings,
    StoreSettings,
)

WAIT_S = 1.0


class _Tables(MemoryPartitions):
    def __init__(self) -> None:
        super().__init__()
        self.read_tables: set[str] = set()

    def scan_part(self, table, part, **options):
        self.read_tables.add(table)
        return super().scan_part(table, part, **options)


@pytest.mark.parametrize("is_enabled", [False, True])
def test_forecast_is_enabled_by_the_setting(is_enabled):
    """Guards against a forecast that runs without the setting, or never."""
    address = f"127.0.0.1:{reserve_port()}"
    settings = NodeSettings(
        host="h0",
        data_centre="dc1",
        front_address=address,
        ready_address=address,
        metrics_address=address,
        store=StoreSettings(address=address, row_limit_bytes=65536),
        machines=HostControlSettings(address=address, lease_ms=3000),
        bounds=PlatformLimitSettings(
            grace_s=6, lease_max_ms=10000, status_s=120, upkeep_s=2
        ),
        capacity_planning=CapacityPlanningSettings(is_forecast_enabled=is_enabled),
    )
    tables = _Tables()
    controller = FleetController(
        settings,
        tables,
        BoottimeClock(),
        ServiceClaim(FLEET_CONTROLLER_CLAIM, 1, 1, None, 0),
        FleetView(lambda: (), lambda: ()),
    )
    controller.start()
    end_s = time.monotonic() + WAIT_S
    while FORECASTS_TABLE not in tables.read_tables and time.monotonic() < end_s:
        time.sleep(0.02)
    controller.stop()
    assert (FORECASTS_TABLE in tables.read_tables) == is_enabled
