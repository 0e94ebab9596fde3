"""Tests of maintenance waves over pools with several controllers."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.upkeep.controller import Pool, UpkeepController, UpkeepSettings
from sycamorecroft.upkeep.fleet_store import FleetStore
from sycamorecroft.upkeep.hosts import Host, HostCalls, HostOrderStatus, HostState
from sycamorecroft.upkeep.order_sender import OrderSender
from sycamorecroft.upkeep.waves import Wave

UPKEEP_S = 2.0
LEASE_MS = 3000


class _FakeHosts(HostCalls):
    """Fake platform whose hosts take :data:`UPKEEP_S` seconds for their upkeep."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.pools: dict[str, str] = {}
        self._upkeep_until_s: dict[str, float] = {}
        self.upkeeps: set[tuple[int, str]] = set()
        self.orders: list[tuple[str, str, int, float]] = []
        self.lost_responses_count = 0
        self.peak_down_count = 0

    def list_hosts(self):
        return tuple(
            Host(
                name,
                pool,
                self._state(name),
                "dc",
                ("a", "r"),
                Resources(8),
                f"w{name}",
            )
            for name, pool in self.pools.items()
        )

    def _state(self, name):
        is_down = self._clock.monotonic_s() < self._upkeep_until_s.get(name, 0.0)
        return HostState.UPKEEP if is_down else HostState.UP

    def down_hosts(self) -> set[str]:
        """
        :returns: hosts in upkeep.
        """
        return {name for name in self.pools if self._state(name) is HostState.UPKEEP}

    def move(self, host, pool, token):
        raise NotImplementedError

    def start_upkeep(self, host, wave, token):
        now_s = self._clock.monotonic_s()
        self.orders.append((host, token.holder, token.number, now_s))
        if (wave, host) not in self.upkeeps:
            if self._state(host) is not HostState.UP:
                return HostOrderStatus.REFUSED
            self.upkeeps.add((wave, host))
            self._upkeep_until_s[host] = now_s + UPKEEP_S
        down = self.down_hosts()
        self.peak_down_count = max(self.peak_down_count, len(down))
        if self.lost_responses_count:
            self.lost_responses_count -= 1
            return HostOrderStatus.UNKNOWN
        return HostOrderStatus.DONE


class _Fleet:
    """Two pools with a controller each, and a standby pool of the second controller."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10.0)
        self.tables = MemoryPartitions()
        self.hosts = _FakeHosts(self.clock)
        self.marks = {}
        self.peak_down_counts: dict[int, int] = {}
        for pool in ("p0", "p1", "standby"):
            for number in range(4):
                self.hosts.pools[f"{pool}-{number}"] = pool
        self.controllers = {
            "h0": (self.create("h0"), ["p0"]),
            "h1": (self.create("h1"), ["p1", "standby"]),
        }

    def create(self, entry_host: str) -> UpkeepController:
        fleet_store = FleetStore(self.tables, entry_host)
        return UpkeepController(
            fleet_store,
            OrderSender(fleet_store, self.clock),
            self.hosts,
            self.clock,
            UpkeepSettings(UPKEEP_S, LEASE_MS),
            self.report,
        )

    def report(self, number: int, is_complete: bool) -> None:
        put = Put("status", f"wave/{number}", b"1" if is_complete else b"0")
        self.tables.transact((), (put,), purpose=StorePurpose.POOLS)

    def pool(self, name: str) -> Pool:
        if name == "standby":
            return Pool(name, None)
        marks = self.marks.get(name)
        workers = tuple(
            WorkerSnapshot(
                f"w{host}",
                host,
                Resources(8000, 8, 0),
                Resources(),
                0,
                0,
                marks is not None and f"w{host}" in marks.reserved,
                True,
                True,
            )
            for host, pool in self.hosts.pools.items()
            if pool == name
        )
        return Pool(name, PoolSnapshot(self.clock.monotonic_s(), workers))

    def run(self, wave: Wave, duration_s: float) -> None:
        self.run_waves((wave,), duration_s)

    def run_waves(self, waves: tuple[Wave, ...], duration_s: float) -> None:
        """Steps all controllers.

        ``peak_down_counts`` gets the largest number of hosts of each wave that were in
        upkeep at once, for whichever wave.
        """
        peaks = self.peak_down_counts
        for _ in range(round(duration_s / 0.5)):
            self.clock.advance(0.5)
            self.tables.store_time_ms += 500
            for controller, pools in self.controllers.values():
                marks = controller.step(waves, [self.pool(name) for name in pools])
                self.marks.update(marks)
            for wave in waves:
                count = len(self.hosts.down_hosts() & set(wave.hosts))
                peaks[wave.number] = max(count, peaks.get(wave.number, 0))

    def is_complete(self, number: int = 1) -> bool:
        row = self.tables.row("status", f"wave/{number}")
        return row is not None and row.value == b"1"


def _wave(fleet, concurrent_limit_count=3):
    hosts = tuple(fleet.hosts.pools)
    return Wave(1, hosts, 60.0, concurrent_limit_count)


def test_wave_over_several_controllers_keeps_its_concurrency_limit():
    """Guards against more hosts in upkeep at once than the operator allows."""
    fleet = _Fleet()
    wave = _wave(fleet)
    fleet.run(wave, 30.0)
    assert fleet.is_complete()
    assert {order[0] for order in fleet.hosts.orders} == set(wave.hosts)
    assert fleet.hosts.peak_down_count <= 3


def test_wave_is_not_complete_before_its_last_host():
    """Guards against a wave that is reported as complete while hosts are pending."""
    fleet = _Fleet()
    fleet.run(_wave(fleet, concurrent_limit_count=1), 5.0)
    assert not fleet.is_complete()
    assert fleet.tables.row("status", "wave/1").value == b"0"


def test_fencing_tokens_of_a_host_increase_and_are_not_shared():
    """Guards against two holders with the same token and against decreasing tokens."""
    fleet = _Fleet()
    fleet.hosts.lost_responses_count = 4
    fleet.run(_wave(fleet), 30.0)
    holders: dict[int, set[str]] = {}
    for _, holder, token, _ in fleet.hosts.orders:
        holders.setdefault(token, set()).add(holder)
    assert all(len(names) == 1 for names in holders.values())
    for host in fleet.hosts.pools:
        tokens = [order[2] for order in fleet.hosts.orders if order[0] == host]
        assert tokens == sorted(set(tokens))


def test_new_controller_waits_before_it_orders_for_the_same_host():
    """Guards against orders of two holders for one host within the lease time."""
    fleet = _Fleet()
    fleet.hosts.lost_responses_count = 99
    wave = _wave(fleet)
    fleet.run(wave, 2.0)
    fleet.hosts.lost_responses_count = 0
    fleet.controllers["h0"] = (fleet.create("h2"), ["p0"])
    fleet.run(wave, 30.0)
    assert fleet.is_complete()
    for host in fleet.hosts.pools:
        orders = [order for order in fleet.hosts.orders if order[0] == host]
        for previous, later in zip(orders, orders[1:], strict=False):
            if previous[1] != later[1]:
                assert later[3] - previous[3] > LEASE_MS / 1000


def test_removed_host_does_not_block_a_wave():
    """Guards against a wave that waits for a host removed from the host list."""
    fleet = _Fleet()
    wave = _wave(fleet)
    wave = wave._replace(hosts=(*wave.hosts, "removed"))
    fleet.run(wave, 40.0)
    assert fleet.is_complete()


def test_standby_hosts_are_not_all_selected_at_once():
    """Guards against a wave that leaves no standby host for a pool that must grow."""
    fleet = _Fleet()
    hosts = tuple(name for name in fleet.hosts.pools if "standby" in name)
    controller, _ = fleet.controllers["h1"]
    controller.step((Wave(1, hosts, 60.0, 1),), [fleet.pool("standby")])
    assert len(controller.upkeep_hosts) == 1


def test_orders_of_a_wave_are_sent_together():
    """Guards against moves delayed because upkeep starts one host at a time."""
    fleet = _Fleet()
    fleet.run(_wave(fleet, concurrent_limit_count=12), 2.0)
    started_s = {order[3] for order in fleet.hosts.orders if "standby" in order[0]}
    assert len(started_s) == 1


MALFORMED_VALUE = b"\xff{"


def _store_malformed(fleet, table, key):
    put = Put(table, key, MALFORMED_VALUE, FLEET_CONTROLLER_CLAIM)
    fleet.tables.transact((), (put,), purpose=StorePurpose.POOLS)


def test_malformed_row_of_a_wave_holds_up_that_wave_alone():
    """Guards against a malformed row that stops the upkeep and moves of all hosts, and
    against upkeep beyond a limit whose hosts in upkeep are unknown.
    """
    fleet = _Fleet()
    _store_malformed(fleet, "waves", "7")
    fleet.run(_wave(fleet), 30.0)
    assert fleet.is_complete()
    fleet.hosts.orders.clear()
    fleet.run(_wave(fleet)._replace(number=7), 30.0)
    assert not fleet.hosts.orders
    assert fleet.tables.row("status", "wave/7") is None


def test_malformed_order_row_delays_its_host_by_the_lease_time():
    """Guards against a malformed row that stops the upkeep of all hosts, and against an
    order within the lease time of another entry host's.
    """
    fleet = _Fleet()
    _store_malformed(fleet, "machines", "p0-1")
    start_s = fleet.clock.monotonic_s()
    fleet.run(_wave(fleet), 30.0)
    assert fleet.is_complete()
    ordered_s = {host: time_s for host, _, _, time_s in fleet.hosts.orders}
    assert ordered_s["p0-1"] > start_s + LEASE_MS / 1000
    assert ordered_s["p0-0"] < ordered_s["p0-1"]


def test_malformed_size_of_a_pool_is_replaced():
    """Guards against a malformed row that stops the moves of all hosts."""
    fleet = _Fleet()
    _store_malformed(fleet, "pools", "p0")
    fleet_store = FleetStore(fleet.tables, "h0")
    assert fleet_store.initial_count("p0", 4) == 4
    assert fleet_store.initial_count("p0", 2) == 4


def _common_waves(numbers):
    """Two waves, of which the second one's only host belongs to both."""
    hosts = tuple(f"p0-{number}" for number in range(4))
    waves = {1: Wave(1, hosts, 60.0, 1), 2: Wave(2, hosts[-1:], 60.0, 1)}
    return tuple(waves[number] for number in numbers)


@pytest.mark.parametrize("numbers", [(1, 2), (2, 1)])
def test_upkeep_for_one_wave_does_not_count_for_another(numbers):
    """Guards against a wave reported as complete with a host whose upkeep belonged to
    another wave.
    """
    fleet = _Fleet()
    del fleet.controllers["h1"]
    waves = _common_waves(numbers)
    for _ in range(80):
        fleet.run_waves(waves, 0.5)
        for wave in waves:
            if fleet.is_complete(wave.number):
                assert {(wave.number, host) for host in wave.hosts} <= (
                    fleet.hosts.upkeeps
                )
    assert all(fleet.is_complete(wave.number) for wave in waves)


@pytest.mark.parametrize("numbers", [(1, 2), (2, 1)])
def test_upkeep_for_another_wave_counts_towards_the_limit(numbers):
    """Guards against more hosts of a wave in upkeep than it allows, because one of them
    is in upkeep for another wave.
    """
    fleet = _Fleet()
    del fleet.controllers["h1"]
    fleet.run_waves(_common_waves(numbers), 40.0)
    assert fleet.peak_down_counts == {1: 1, 2: 1}
    assert fleet.is_complete(1) and fleet.is_complete(2)
