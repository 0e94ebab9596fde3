"""Tests of what the size of an entry host allows its listeners."""

import pytest

from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.node.host_limits import (
    CONNECTION_BYTES,
    COPIES_RATIO,
    FILE_DESCRIPTORS_COUNT,
    PROCESS_MEMORY_MB,
    host_limits,
    limits_in_force,
)
from sycamorecroft.platform import decode_fleet
from sycamorecroft.settings.node import HostCapacitySettings

MB = 2**20
DEFAULTS = ConnectionLimits(16_384, 2**20, 10.0, 10.0)


@pytest.mark.parametrize("memory_mb", (96, 128, 200, 552))
@pytest.mark.parametrize("descriptors_count", (400, 4100, 8192))
def test_listeners_stay_within_the_host(memory_mb, descriptors_count):
    """Guards against limits that together exceed the memory or the descriptors."""
    limits = host_limits(
        HostCapacitySettings(memory_mb=memory_mb, descriptors_count=descriptors_count)
    )
    connections_count = limits.connections_count + 2 * limits.probe_connections_count
    held_bytes = limits.budget_bytes + connections_count * CONNECTION_BYTES
    assert held_bytes <= (memory_mb - PROCESS_MEMORY_MB) * MB
    free_count = descriptors_count - FILE_DESCRIPTORS_COUNT
    assert connections_count <= free_count / 2 + 1
    assert limits.budget_bytes >= 262_144 * (9 / 8 + COPIES_RATIO)


def test_small_host_still_serves():
    """Guards against a host that is said to be smaller than the process, and that then
    serves nobody."""
    limits = host_limits(HostCapacitySettings(memory_mb=16, descriptors_count=256))
    assert limits.connections_count >= 16
    assert limits.probe_connections_count >= 16
    assert limits.budget_bytes >= 262_144 * (9 / 8 + COPIES_RATIO)


def test_host_of_unknown_size_has_the_default_limits():
    """Guards against a node that doesn't start where the platform says no size."""
    unknown = HostCapacitySettings(memory_mb=None, descriptors_count=None)
    assert host_limits(unknown) == host_limits(HostCapacitySettings())


def test_configured_limits_replace_those_of_the_program():
    """Guards against limits of the configuration in force that don't take effect."""
    text = b"""{"version": 1, "routes": [], "services": [], "limits": %s}"""
    limits = b"""{"max-body-bytes": 262144, "max-header-bytes": 8192,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000}"""
    fleet = decode_fleet(text % limits)
    assert limits_in_force(fleet, DEFAULTS) == (8192, 262_144, 3.0, 15.0)
    assert limits_in_force(decode_fleet(text % b"{}"), DEFAULTS) == DEFAULTS
