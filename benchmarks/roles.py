"""State, messages and processor time of control roles at three sizes each.

Run ``python -m benchmarks.roles``. All parts run in this process on the platform in
memory, so that the figures hold no transport. Each cost is the median of several runs;
the last row of each table is a worked-out slope: the increase from the smallest to the
largest size for each unit. The baseline is the smallest size. The run is deterministic.
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
from benchmarks.usage import load_line
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


class Row(NamedTuple):
    """Figures at one size, in the order of the table's columns."""

    size: int
    figures: tuple[float, ...]


def milliseconds(action: Callable[[], object]) -> float:
    """
    :returns: median processor time of a call.
    """
    times_ms = []
    for _ in range(RUNS_COUNT):
        started_ns = time.process_time_ns()
        action()
        times_ms.append((time.process_time_ns() - started_ns) / 1e6)
    return statistics.median(times_ms)


def kibibytes(build: Callable[[], object]) -> float:
    """
    :returns: memory that stays allocated for the result of a call.
    """
    tracemalloc.start()
    try:
        result = build()
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return allocated_bytes / 1024


class _Members:
    """One daemon's membership, and messages of a peer with risen counters."""

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
        whole = self._codec.encode("unknown", self.state.digests())
        self.whole_bytes = len(whole.SerializeToString())
        self.later_bytes = self.exchange()

    def exchange(self) -> int:
        """
        :returns: size of the answer to a peer's message.
        """
        self._counter += 1
        digests = [d._replace(counter=self._counter) for d in self._peer_digests]
        message = self._peer_codec.encode(self._own, digests)
        self.state.merge(self._codec.decode(self._peer, message), self._counter)
        self.state.start_round(self.state.own)
        self.state.view(self._counter)
        answer = self._codec.encode(self._peer, self.state.digests())
        self._peer_codec.decode(self._own, answer)
        return len(answer.SerializeToString())


def membership_row(count: int) -> Row:
    members = _Members(count)
    cost_ms = milliseconds(members.exchange)
    return Row(count, (cost_ms, members.whole_bytes, members.later_bytes))


def _fleet(workers_count: int) -> MemoryFleet:
    sizes = [workers_count // POOLS_COUNT] * POOLS_COUNT
    sizes[0] += workers_count % POOLS_COUNT
    pools = tuple(
        PoolShape(f"p{number}", size, RACK_SIZE, 0.25)
        for number, size in enumerate(sizes)
    )
    return MemoryFleet(pools, entry_hosts_count=9, host_list_lag_s=10.0, reboot_s=60.0)


def view_row(workers_count: int) -> Row:
    world = _fleet(workers_count)
    reader = PoolViewReader(world.tables)
    reader.refresh()
    row = world.tables.scan(HOSTS_TABLE, purpose=StorePurpose.VIEW).rows[0]

    def refresh() -> None:
        put = Put(HOSTS_TABLE, row.key, row.value)
        world.tables.transact([], [put], purpose=StorePurpose.POOLS)
        reader.refresh()

    return Row(
        workers_count,
        (
            milliseconds(reader.refresh),
            milliseconds(refresh),
            len(encode_view(reader.view)),
            kibibytes(lambda: PoolViewReader(world.tables).refresh()),
        ),
    )


def controllers_row(workers_count: int) -> Row:
    world = _fleet(workers_count)
    pools, maintenance = world.pool_controller("daemon"), world.maintenance("daemon")

    def step_pools() -> None:
        world.clock.advance(1.0)
        pools.step()

    def step_maintenance() -> None:
        world.clock.advance(1.0)
        maintenance.step(world.clock.now())

    step_pools()
    step_maintenance()
    return Row(
        workers_count, (milliseconds(step_pools), milliseconds(step_maintenance))
    )


def _configuration(teams_count: int) -> FleetConfiguration:
    """Makes a configuration whose pools grow with its teams, 22 with 290."""
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


def configuration_row(teams_count: int) -> Row:
    configuration = _configuration(teams_count)
    text = encode_configuration(configuration)
    return Row(
        teams_count,
        (
            milliseconds(lambda: encode_configuration(configuration)),
            milliseconds(lambda: decode_configuration(text)),
            len(text),
            kibibytes(lambda: decode_configuration(text)),
        ),
    )


def owner_row(workers_count: int) -> Row:
    configuration, view = site_configuration(), site_view(workers_count)
    members = QueueMembership(frozenset({"e0"}), 1)

    def build() -> QueueOwner:
        return QueueOwner(SERVICES[0], configuration, view, members, 0.0)

    owner = build()
    return Row(
        workers_count,
        (
            milliseconds(build),
            milliseconds(lambda: owner.tick(MEAN_SERVICE_TIME_S)),
            milliseconds(lambda: owner.view_changed(view, MEAN_SERVICE_TIME_S)),
            kibibytes(build),
        ),
    )


def _print_table(name: str, columns: tuple[str, ...], rows: list[Row]) -> None:
    print(f"{name}: {', '.join(columns)}")
    for row in rows:
        figures = "".join(f"{figure:{_WIDTH}.3f}" for figure in row.figures)
        print(f"  {row.size:6}{figures}")
    first, last = rows[0], rows[-1]
    slopes = "".join(
        f"{(b - a) / (last.size - first.size):{_WIDTH}.4f}"
        for a, b in zip(first.figures, last.figures, strict=True)
    )
    print(f"  slope {slopes}")


def main() -> None:
    """Prints one table for each role."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {load_line()}")
    _print_table(
        "membership by members",
        ("exchange ms (both ends)", "whole digests bytes", "later answer bytes"),
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
    print(load_line())


if __name__ == "__main__":
    main()
