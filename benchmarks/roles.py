"""Measures state, messages and processor time of control roles at three sizes each.

Run ``python -m benchmarks.roles``. All components run in this process on an in-memory
platform, so the results include no transport. Each time is the median of several calls.
The last row of each table is the slope: the increase from the smallest to the largest
size, for each unit of size. The baseline is the smallest size. The inputs are the same
in each run.
"""

import argparse
import statistics
import time
import tracemalloc
from collections.abc import Callable
from datetime import datetime
from typing import NamedTuple

from benchmarks.flood_load import (
    MEAN_SERVICE_TIME_S,
    SERVICES,
    site_configuration,
    site_view,
)
from benchmarks.usage import describe_load
from standins.memory_fleet import MemoryFleet, PoolShape
from sycamorecroft.configuration.codec import decode_configuration, encode_configuration
from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    PoolConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
    Urgency,
)
from sycamorecroft.membership.state import MemberDigest, MembershipState
from sycamorecroft.pools.records import HOSTS_TABLE
from sycamorecroft.pools.view import PoolViewReader
from sycamorecroft.pools.view_actor import encode_view
from sycamorecroft.routing.owner import QueueMembership, QueueOwner
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.store.interfaces import Put, StorePurpose

MEMBERS_COUNTS = (9, 18, 27)
WORKERS_COUNTS = (40, 200, 1000)
POOLS_COUNT = 22
TEAMS_COUNTS = (30, 100, 290)
RUNS_COUNT = 21
RACK_SIZE = 4

_WIDTH = 12


class TableRow(NamedTuple):
    """Values at one size, in the order of the table's columns."""

    size: int
    values: tuple[float, ...]


def median_processor_ms(action: Callable[[], object]) -> float:
    """
    :returns: median processor time of a call, in milliseconds.
    """
    times_ms = []
    for _ in range(RUNS_COUNT):
        started_ns = time.process_time_ns()
        action()
        times_ms.append((time.process_time_ns() - started_ns) / 1e6)
    return statistics.median(times_ms)


def allocated_kib(build: Callable[[], object]) -> float:
    """
    :returns: memory that stays allocated for the result of a call, in KiB.
    """
    tracemalloc.start()
    try:
        result = build()
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return allocated_bytes / 1024


class _GossipExchange:
    """Membership of one daemon that exchanges gossip with one peer.

    Before each exchange the peer's digests of all members have higher counters.
    """

    def __init__(self, count: int) -> None:
        names = [f"entry-{number}" for number in range(count)]
        digests = [
            MemberDigest(
                name, "20261204T100000.000000-0a1b2c3d", 1, 9, 9, 99, 500, True
            )
            for name in names
        ]
        self.state = MembershipState(digests[0], names)
        self._peer_digests = digests[1:]
        self._codec, self._peer_codec = GossipCodec(names[0]), GossipCodec(names[1])
        self._peer, self._own = names[1], names[0]
        self._counter = 1
        self.exchange()
        full = self._codec.encode("unknown", self.state.digests())
        self.full_bytes = len(full.SerializeToString())
        self.incremental_bytes = self.exchange()

    def exchange(self) -> int:
        """
        :returns: size in bytes of the reply to a peer's message.
        """
        self._counter += 1
        digests = [d._replace(counter=self._counter) for d in self._peer_digests]
        message = self._peer_codec.encode(self._own, digests)
        self.state.merge(self._codec.decode(self._peer, message), self._counter)
        self.state.start_round(self.state.own)
        self.state.view(self._counter)
        reply = self._codec.encode(self._peer, self.state.digests())
        self._peer_codec.decode(self._own, reply)
        return len(reply.SerializeToString())


def membership_row(count: int) -> TableRow:
    gossip = _GossipExchange(count)
    exchange_ms = median_processor_ms(gossip.exchange)
    return TableRow(count, (exchange_ms, gossip.full_bytes, gossip.incremental_bytes))


def _fleet(workers_count: int) -> MemoryFleet:
    sizes = [workers_count // POOLS_COUNT] * POOLS_COUNT
    sizes[0] += workers_count % POOLS_COUNT
    pools = tuple(
        PoolShape(f"p{number}", size, RACK_SIZE, 0.25)
        for number, size in enumerate(sizes)
    )
    return MemoryFleet(pools, entry_hosts_count=9, host_list_lag_s=10.0, reboot_s=60.0)


def view_row(workers_count: int) -> TableRow:
    memory_fleet = _fleet(workers_count)
    reader = PoolViewReader(memory_fleet.tables)
    reader.refresh()
    row = memory_fleet.tables.scan(HOSTS_TABLE, purpose=StorePurpose.VIEW).rows[0]

    def refresh() -> None:
        put = Put(HOSTS_TABLE, row.key, row.value)
        memory_fleet.tables.transact([], [put], purpose=StorePurpose.POOLS)
        reader.refresh()

    return TableRow(
        workers_count,
        (
            median_processor_ms(reader.refresh),
            median_processor_ms(refresh),
            len(encode_view(reader.view)),
            allocated_kib(lambda: PoolViewReader(memory_fleet.tables).refresh()),
        ),
    )


def controllers_row(workers_count: int) -> TableRow:
    memory_fleet = _fleet(workers_count)
    pools, maintenance = (
        memory_fleet.pool_controller("daemon"),
        memory_fleet.maintenance("daemon"),
    )

    def step_pools() -> None:
        memory_fleet.clock.advance(1.0)
        pools.step()

    def step_maintenance() -> None:
        memory_fleet.clock.advance(1.0)
        maintenance.step(memory_fleet.clock.now())

    step_pools()
    step_maintenance()
    return TableRow(
        workers_count,
        (median_processor_ms(step_pools), median_processor_ms(step_maintenance)),
    )


def _configuration(teams_count: int) -> FleetConfiguration:
    """Returns a configuration whose pools grow with its teams, 22 at 290 teams."""
    pools_count = max(1, POOLS_COUNT * teams_count // TEAMS_COUNTS[-1])
    names = [f"service-{number}" for number in range(pools_count)]
    teams = {
        f"team-{number}": TeamConfiguration(f"team-{number}", 1.0, 16)
        for number in range(teams_count)
    }
    return FleetConfiguration(
        1,
        {"account": AccountConfiguration("account", ("dc",), 0.999, teams)},
        {n: PoolConfiguration(n, "account", 45, 0.25, False) for n in names},
        {
            n: ServiceConfiguration(
                n, "account", n, True, Urgency.NORMAL, 5.0, 8_388_608, (503,)
            )
            for n in names
        },
    )


def configuration_row(teams_count: int) -> TableRow:
    configuration = _configuration(teams_count)
    text = encode_configuration(configuration)
    return TableRow(
        teams_count,
        (
            median_processor_ms(lambda: encode_configuration(configuration)),
            median_processor_ms(lambda: decode_configuration(text)),
            len(text),
            allocated_kib(lambda: decode_configuration(text)),
        ),
    )


def owner_row(workers_count: int) -> TableRow:
    configuration, view = site_configuration(), site_view(workers_count)
    members = QueueMembership(frozenset({"e0"}), 1)

    def build() -> QueueOwner:
        return QueueOwner(SERVICES[0], configuration, view, members, 0.0)

    owner = build()
    return TableRow(
        workers_count,
        (
            median_processor_ms(build),
            median_processor_ms(lambda: owner.tick(MEAN_SERVICE_TIME_S)),
            median_processor_ms(lambda: owner.view_changed(view, MEAN_SERVICE_TIME_S)),
            allocated_kib(build),
        ),
    )


def _print_table(name: str, columns: tuple[str, ...], rows: list[TableRow]) -> None:
    print(f"{name}: {', '.join(columns)}")
    for row in rows:
        cells = "".join(f"{value:{_WIDTH}.3f}" for value in row.values)
        print(f"  {row.size:6}{cells}")
    first, last = rows[0], rows[-1]
    slopes = "".join(
        f"{(b - a) / (last.size - first.size):{_WIDTH}.4f}"
        for a, b in zip(first.values, last.values, strict=True)
    )
    print(f"  slope {slopes}")


def main() -> None:
    """Prints one table for each role."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {describe_load()}")
    _print_table(
        "membership by members",
        ("exchange ms (both ends)", "full digests bytes", "incremental reply bytes"),
        [membership_row(count) for count in MEMBERS_COUNTS],
    )
    _print_table(
        "pool view by workers",
        ("refresh ms", "refresh with 1 change ms", "snapshot bytes", "memory KiB"),
        [view_row(count) for count in WORKERS_COUNTS],
    )
    _print_table(
        f"controllers by workers in {POOLS_COUNT} pools, at rest",
        ("pool controller step ms", "maintenance controller step ms"),
        [controllers_row(count) for count in WORKERS_COUNTS],
    )
    _print_table(
        "configuration by teams",
        ("encode ms", "decode ms", "bytes", "memory KiB"),
        [configuration_row(count) for count in TEAMS_COUNTS],
    )
    _print_table(
        "queue owner by workers of one pool",
        ("build ms", "tick ms", "view change ms", "memory KiB"),
        [owner_row(count) for count in WORKERS_COUNTS],
    )
    print(describe_load())


if __name__ == "__main__":
    main()
