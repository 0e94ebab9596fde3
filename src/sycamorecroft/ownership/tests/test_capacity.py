"""Tests of how the capacities of entry hosts are compared."""

from sycamorecroft.ownership.capacity import (
    CAPACITY_KEY_PREFIX,
    CapacityRow,
    CapacityTable,
)
from sycamorecroft.ownership.hosts import ENTRY_HOSTS_TABLE
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import Row


def _table(**capacities):
    table = CapacityTable()
    table.apply(
        Row(ENTRY_HOSTS_TABLE, CAPACITY_KEY_PREFIX + name, encode_row(capacity), 1)
        for name, capacity in capacities.items()
    )
    return table


def test_scarcer_resource_decides():
    """Guards against a host with many cores and a thin link that counts as large."""
    table = _table(h0=CapacityRow(2.0, 5.0), h1=CapacityRow(1.0, 100.0))
    loads = table.loads({"h0": 0, "h1": 0})
    assert loads["h0"].capacity_ratio == 0.05
    assert loads["h1"].capacity_ratio == 0.5


def test_unknown_capacity_counts_as_the_smallest():
    """Guards against services that prefer hosts about which nothing is known."""
    table = _table(h0=CapacityRow(2.0, 100.0), h1=CapacityRow(1.0, 100.0))
    loads = table.loads({"h0": 0, "h1": 0, "h2": 0})
    assert loads["h2"].capacity_ratio == loads["h1"].capacity_ratio == 0.5
    assert CapacityTable().loads({"h2": 0})["h2"].capacity_ratio == 1.0


def test_malformed_row_leaves_the_other_capacities():
    """Guards against one bad row that hides the capacities of all entry hosts."""
    table = _table(h0=CapacityRow(2.0, 100.0), h1=CapacityRow(1.0, 100.0))
    table.apply([Row(ENTRY_HOSTS_TABLE, CAPACITY_KEY_PREFIX + "h1", b"{}", 2)])
    assert table.loads({"h0": 0, "h1": 0})["h1"].capacity_ratio == 0.5
