"""Tests of host moves between pools, named by load pattern."""

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.capacity.controller import CapacityController, CapacitySettings
from sycamorecroft.clock import Clock, ManualClock
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.upkeep.fleet_store import FleetStore
from sycamorecroft.upkeep.hosts import Host, HostCalls, HostOrderStatus, HostState
from sycamorecroft.upkeep.order_sender import OrderSender

WORKER_MILLICORES = 64000
LEASE_MS = 3000
STEP_S = 0.25


class _FakeHosts(HostCalls):
    """Fake platform whose hosts move immediately."""

    def __init__(self, pools: dict[str, str], clock: Clock) -> None:
        self.pools = pools
        self.moves: list[tuple[str, str]] = []
        self.moved_s: dict[str, float] = {}
        self._clock = clock
        self.status = HostOrderStatus.DONE

    def list_hosts(self):
        return tuple(
            Host(
                n, p, HostState.UP, "dc", ("a",), Resources(WORKER_MILLICORES), f"w{n}"
            )
            for n, p in sorted(self.pools.items())
        )

    def move(self, host, pool, token):
        self.moves.append((host, pool))
        if self.status is HostOrderStatus.DONE:
            self.pools[host] = pool
            self.moved_s[host] = self._clock.monotonic_s()
        return self.status

    def start_upkeep(self, host, wave, token):
        raise NotImplementedError


class _Fleet:
    """Two pools of eight hosts and a standby pool of four.

    :param move_s: time in seconds until the worker of a moved host is registered.
    """

    def __init__(self, entry_host: str = "h0", move_s: float = 0.0) -> None:
        self._move_s = move_s
        self.clock = ManualClock()
        self.clock.advance(10.0)
        self.tables = MemoryPartitions()
        names = {f"{pool}{n}": pool for pool in ("p", "q") for n in range(8)}
        names |= {f"s{n}": "standby" for n in range(4)}
        self.hosts = _FakeHosts(names, self.clock)
        self.controller = self.create(entry_host)
        self.upkeep_hosts: frozenset[str] = frozenset()
        self.due_hosts: frozenset[str] = frozenset()
        self.waiting = {"p": 0, "q": 0}
        self.used = {"p": 0, "q": 0}

    def create(
        self, entry_host: str, store_type: type[FleetStore] = FleetStore
    ) -> CapacityController:
        fleet_store = store_type(self.tables, entry_host)
        return CapacityController(
            fleet_store,
            OrderSender(fleet_store, self.clock),
            self.hosts,
            self.clock,
            CapacitySettings(LEASE_MS),
            lambda: frozenset({"standby"}),
        )

    def snapshot(self, pool: str) -> PoolSnapshot:
        names = [n for n, p in self.hosts.pools.items() if p == pool]
        latest_s = self.clock.monotonic_s() - self._move_s
        moved_s = self.hosts.moved_s
        names = [n for n in names if moved_s.get(n, latest_s) <= latest_s]
        reserved = self.controller.reserved_workers(pool)
        used = self.used[pool]
        workers = tuple(
            WorkerSnapshot(
                f"w{name}",
                name,
                Resources(WORKER_MILLICORES),
                Resources(used // len(names)),
                int(used > 0),
                0,
                f"w{name}" in reserved,
                True,
                True,
            )
            for name in names
        )
        waiting = Resources(self.waiting[pool])
        return PoolSnapshot(self.clock.monotonic_s(), workers, waiting)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.tables.store_time_ms += int(STEP_S * 1000)
            snapshots = {pool: self.snapshot(pool) for pool in ("p", "q")}
            self.controller.step(snapshots, self.upkeep_hosts, self.due_hosts)

    def count(self, pool: str) -> int:
        return sum(p == pool for p in self.hosts.pools.values())


def test_hosts_move_directly_between_pools_with_alternating_load():
    """Guards against a busy pool that waits for hosts which an idle pool keeps."""
    fleet = _Fleet()
    fleet.waiting["p"] = 20 * WORKER_MILLICORES
    fleet.run(1.0)
    assert fleet.count("p") == 12
    fleet.waiting = {"p": 0, "q": 20 * WORKER_MILLICORES}
    fleet.run(1.5)
    assert fleet.count("q") > 8
    assert "standby" not in {pool for _, pool in fleet.hosts.moves}


def test_rising_load_gets_hosts_that_another_pool_has_drained():
    """Guards against hosts sent to standby while a pool waits for the first ones."""
    fleet = _Fleet(move_s=4.0)
    fleet.used["q"] = 8 * WORKER_MILLICORES
    fleet.run(3.0)
    assert fleet.count("p") == 8
    fleet.waiting["q"] = 6 * WORKER_MILLICORES
    fleet.run(0.5)
    assert fleet.count("p") == 6
    assert "standby" not in {pool for _, pool in fleet.hosts.moves}


def test_hosts_of_an_idle_pool_are_drained_before_another_pool_needs_them():
    """Guards against a burst that waits until marks are applied and reported."""
    fleet = _Fleet()
    fleet.run(1.5)
    assert len(fleet.controller.reserved_workers("p")) == 2
    assert fleet.count("p") == 8
    fleet.used["q"] = 8 * WORKER_MILLICORES
    fleet.waiting["q"] = 20 * WORKER_MILLICORES
    fleet.run(0.25)
    assert fleet.count("p") == 6
    assert fleet.count("q") == 14


def test_released_host_is_available_to_another_pool_immediately():
    """Guards against a lease time between moves ordered by different entry hosts."""
    fleet = _Fleet()
    fleet.waiting["p"] = 10 * WORKER_MILLICORES
    fleet.run(1.0)
    assert fleet.count("p") > 8
    fleet.waiting["p"] = 0
    fleet.run(4.0)
    assert fleet.count("standby") > 0
    fleet.waiting["q"] = 10 * WORKER_MILLICORES
    fleet.run(2 * STEP_S)
    assert fleet.count("q") > 8


def test_two_overloaded_pools_share_the_standby_hosts():
    """Guards against one pool that takes all standby hosts."""
    fleet = _Fleet()
    fleet.used = {"p": 8 * WORKER_MILLICORES, "q": 8 * WORKER_MILLICORES}
    fleet.waiting = {"p": 20 * WORKER_MILLICORES, "q": 20 * WORKER_MILLICORES}
    fleet.run(1.0)
    assert fleet.count("p") == fleet.count("q") == 10


def test_pool_that_needs_hosts_keeps_its_reserved_ones():
    """Guards against moves of a host to the pool that it is already in.

    Observed on a large simulated site after a power failure of all hosts: 57 such moves
    in 4 s.
    """
    fleet = _Fleet()
    fleet.run(1.5)
    assert fleet.controller.reserved_workers("p")
    fleet.waiting["p"] = 20 * WORKER_MILLICORES
    fleet.run(2.0)
    assert all(not host.startswith("p") for host, _ in fleet.hosts.moves)


def test_overloaded_pool_does_not_starve_another():
    """Guards against a backlog that occupies all hosts while another pool starves.

    Observed on a large simulated site after a power failure: one pool kept 102 hosts
    for late jobs for 9 s while a pool with current load had 18.
    """
    fleet = _Fleet()
    fleet.used["p"] = 4 * WORKER_MILLICORES
    fleet.waiting["p"] = 90 * WORKER_MILLICORES
    fleet.run(2.0)
    assert fleet.count("p") == 14
    fleet.used["q"] = 6 * WORKER_MILLICORES
    fleet.waiting["q"] = 20 * WORKER_MILLICORES
    fleet.run(2.0)
    reserved = fleet.controller.reserved_workers("p")
    assert len(reserved) == 4
    assert not fleet.controller.reserved_workers("q")


def test_busy_worker_is_not_moved():
    """Guards against tasks that are killed by the move of their host."""
    fleet = _Fleet()
    fleet.used["p"] = WORKER_MILLICORES // 2
    fleet.run(3.0)
    fleet.waiting["q"] = 40 * WORKER_MILLICORES
    fleet.run(3.0)
    assert not [host for host, _ in fleet.hosts.moves if host.startswith("p")]


def test_hosts_selected_for_upkeep_are_not_moved():
    """Guards against moving a host whose upkeep is about to start."""
    fleet = _Fleet()
    fleet.upkeep_hosts = frozenset({"s0", "s1", "p0"})
    fleet.run(3.0)
    fleet.waiting["q"] = 40 * WORKER_MILLICORES
    fleet.run(3.0)
    assert not {host for host, _ in fleet.hosts.moves} & fleet.upkeep_hosts


def test_hosts_due_for_upkeep_go_to_standby_first_and_leave_it_last():
    """Guards against upkeep of hosts that their pool could use instead."""
    fleet = _Fleet()
    fleet.due_hosts = frozenset({"p6", "p7", "s0", "s1", "s2"})
    fleet.waiting["q"] = 8 * WORKER_MILLICORES
    fleet.run(STEP_S)
    assert [host for host, _ in fleet.hosts.moves] == ["s3"]
    fleet.hosts.moves.clear()
    fleet.waiting["q"] = 0
    fleet.run(3.0)
    to_standby = {host for host, pool in fleet.hosts.moves if pool == "standby"}
    assert to_standby & {"p6", "p7"} == {"p6", "p7"}


def test_new_controller_waits_before_it_moves_the_same_host():
    """Guards against orders of two holders for one host within the lease time."""
    fleet = _Fleet()
    fleet.hosts.status = HostOrderStatus.UNKNOWN
    fleet.waiting["q"] = 40 * WORKER_MILLICORES
    fleet.run(STEP_S)
    ordered = {host for host, _ in fleet.hosts.moves}
    assert ordered
    fleet.controller = fleet.create("h1")
    fleet.hosts.moves.clear()
    fleet.run(2.0)
    assert not ordered & {host for host, _ in fleet.hosts.moves}
    fleet.run(3.0)
    assert ordered & {host for host, _ in fleet.hosts.moves}


def test_order_with_an_outdated_claim_is_not_sent():
    """Guards against an order that an entry host sends after it was suspended."""
    fleet = _Fleet()
    claim_orders = FleetStore.claim_orders

    class _SlowFleetStore(FleetStore):
        def claim_orders(self, *arguments, **options):
            token = claim_orders(self, *arguments, **options)
            fleet.clock.advance(4.0)
            return token

    fleet.controller = fleet.create("h0", _SlowFleetStore)
    fleet.waiting["q"] = 40 * WORKER_MILLICORES
    fleet.run(STEP_S)
    assert not fleet.hosts.moves
