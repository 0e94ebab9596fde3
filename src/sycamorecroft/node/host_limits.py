"""What the size of an entry host allows its listeners, and limits in force."""

from typing import NamedTuple

from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.memory_budget import CONNECTION_ALLOWANCE_BYTES
from sycamorecroft.scheduling.model import FleetSnapshot
from sycamorecroft.settings.node import (
    DEFAULT_DESCRIPTORS_COUNT,
    DEFAULT_MEMORY_MB,
    HostCapacitySettings,
)

# A node without callers takes about 38 MB, more while it owns services.
PROCESS_MEMORY_MB = 64
# The kernel doubles it, and may fill all of that with what isn't read yet.
RECEIVE_BUFFER_BYTES = 32 * 1024
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
SEND_BUFFER_BYTES = 64 * 1024
# Channel, parser and socket of a connection.
CONNECTION_OBJECTS_BYTES = 8 * 1024
CONNECTION_BYTES = CONNECTION_ALLOWANCE_BYTES + CONNECTION_OBJECTS_BYTES + UNREAD_BYTES
CONNECTIONS_RATIO = 0.5
# With 900 clients a process took an eighth of its memory more than what was counted,
# since the allocator can't return all freed memory at once.
BUDGET_RATIO = 0.375
MIN_BUDGET_BYTES = 8 * 1024 * 1024
# What a job takes while it is decoded, checked and stored, beside its body: up to six
# times its size with as many steps as are allowed.
COPIES_RATIO = 6.0
# Reserved for files on the users' hosts.
FILE_DESCRIPTORS_COUNT = 200
MAX_CONNECTIONS_COUNT = 2000
MIN_CONNECTIONS_COUNT = 16
# Balancer and platform keep few connections.
MAX_PROBE_CONNECTIONS_COUNT = 64
# Part of the connections for each of the two listeners for probes, if there are few.
PROBE_CONNECTIONS_RATIO = 0.125
_MB = 1024 * 1024


class HostLimits(NamedTuple):
    """Bytes and connections that the listeners of a node may hold."""

    budget_bytes: int
    connections_count: int
    probe_connections_count: int


def host_limits(capacity: HostCapacitySettings) -> HostLimits:
    """
    :param capacity: size of the entry host.
    :returns: parts of the memory that the process doesn't need otherwise for bodies and
        for connections, and half of the descriptors for connections; the other half is
        for the store, workers and everything else.
    """
    memory_mb = capacity.memory_mb or DEFAULT_MEMORY_MB
    descriptors_count = capacity.descriptors_count or DEFAULT_DESCRIPTORS_COUNT
    free_bytes = max(0.0, memory_mb - PROCESS_MEMORY_MB) * _MB
    by_memory_count = int(free_bytes * CONNECTIONS_RATIO) // CONNECTION_BYTES
    by_descriptors_count = int(descriptors_count - FILE_DESCRIPTORS_COUNT) // 2
    total_count = min(by_memory_count, by_descriptors_count, MAX_CONNECTIONS_COUNT)
    probes_count = int(total_count * PROBE_CONNECTIONS_RATIO)
    probes_count = min(MAX_PROBE_CONNECTIONS_COUNT, probes_count)
    probes_count = max(MIN_CONNECTIONS_COUNT, probes_count)
    return HostLimits(
        max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_RATIO)),
        max(MIN_CONNECTIONS_COUNT, total_count - 2 * probes_count),
        probes_count,
    )


def limits_in_force(
    fleet: FleetSnapshot, defaults: ConnectionLimits
) -> ConnectionLimits:
    """
    :param fleet: configuration in force.
    :param defaults: limits for those that it doesn't have.
    :returns: limits of connections.
    """
    return ConnectionLimits(
        fleet.header_limit_bytes or defaults.header_limit_bytes,
        fleet.body_limit_bytes or defaults.body_limit_bytes,
        fleet.header_timeout_ms / 1000 or defaults.header_timeout_s,
        fleet.idle_timeout_ms / 1000 or defaults.idle_timeout_s,
    )
