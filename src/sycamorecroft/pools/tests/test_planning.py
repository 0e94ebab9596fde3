"""Plans of the reserve and of moves."""

from collections import Counter

from hypothesis import given, seed, strategies as st

from sycamorecroft.pools.demand import DemandTracker, PoolNeed
from sycamorecroft.pools.planning import (
    BufferRequest,
    MovePlan,
    MoveRequest,
    PlacedHost,
    plan_buffer,
    plan_moves,
)
from sycamorecroft.pools.records import BudgetRecord
from sycamorecroft.pools.state import HostRecord, HostState

SEED = 20261204
LONG_S = 3600.0


def _host(pool: str, number: int) -> HostRecord:
    return HostRecord(
        host=f"{pool}-{number}",
        address="127.0.0.1:1",
        data_centre="dc",
        rack=f"{pool}-rack{number // 4}",
        pool=pool,
        state=HostState.ACTIVE,
        epoch=1,
        slots_count=8,
        connections_count=64,
        target_pool=None,
        maintenance_id=None,
    )


def _budget(pool: str, ratio: float = 0.25) -> BudgetRecord:
    return BudgetRecord(
        pool=pool,
        hosts_count=8,
        planned_out_count=0,
        failed_out_count=0,
        max_unavailable_ratio=ratio,
    )


def _plan(
    needs: dict[str, PoolNeed], hosts: list[HostRecord] | None = None
) -> MovePlan:
    fleet = hosts or [_host(pool, number) for pool in needs for number in range(8)]
    budgets = {pool: _budget(pool) for pool in needs}
    return plan_moves(MoveRequest(tuple(fleet), budgets, needs))


def test_short_pool_takes_hosts_within_the_givers_budgets() -> None:
    """Guards against moves that take a pool below its availability budget."""
    needs = {
        "a": PoolNeed(12, 12, LONG_S),
        "b": PoolNeed(1, 1, 0.0),
        "c": PoolNeed(1, 7, 0.0),
    }
    plan = _plan(needs)
    givers = Counter(move.source_pool for move in plan.moves)
    assert givers == {"b": 2, "c": 1}
    assert plan.lacking_counts == {"a": 1}


def test_need_of_seconds_moves_nothing() -> None:
    """Guards against moves that cost more than they gain."""
    needs = {"a": PoolNeed(12, 12, 30.0), "b": PoolNeed(1, 1, 0.0)}
    assert _plan(needs).moves == ()


def test_hosts_on_their_way_are_counted() -> None:
    """Guards against a second move for the same need."""
    hosts = [_host(pool, number) for pool in ("a", "b") for number in range(8)]
    hosts[8]["state"] = HostState.DRAINING
    hosts[8]["target_pool"] = "a"
    needs = {"a": PoolNeed(9, 9, LONG_S), "b": PoolNeed(1, 1, 0.0)}
    assert _plan(needs, hosts).moves == ()


def test_unneeded_hosts_stay_where_they_are() -> None:
    """Guards against moves that serve no need."""
    assert _plan({"a": PoolNeed(1, 1, LONG_S), "b": PoolNeed(8, 8, LONG_S)}).moves == ()


def test_pool_keeps_hosts_for_ten_minutes_after_a_need() -> None:
    """Guards against a pool that gives a host up and takes it back."""
    tracker = DemandTracker()
    for second in range(0, 120, 10):
        tracker.observe(7.0, float(second))
    for second in range(120, 710, 10):
        tracker.observe(0.1, float(second))
    assert tracker.need(8, 700.0).release_count == 8
    for second in range(710, 800, 10):
        tracker.observe(0.1, float(second))
    assert tracker.need(8, 790.0).release_count == 1


def test_peak_of_seconds_is_averaged() -> None:
    """Guards against a plan that follows peaks that queueing absorbs."""
    tracker = DemandTracker()
    for second in range(60):
        tracker.observe(10.0 if second >= 50 else 0.1, float(second))
    need = tracker.need(1, 60.0)
    assert need.needed_count <= 2
    assert need.expected_duration_s < 60.0


_HOSTS = st.lists(
    st.builds(
        lambda pool, rack: (f"p{pool}", f"r{rack}"),
        st.integers(0, 2),
        st.integers(0, 4),
    ),
    max_size=25,
)


@seed(SEED)
@given(_HOSTS, st.lists(st.integers(0, 4), min_size=3, max_size=3), st.integers(0, 1))
def test_held_hosts_survive_any_rack(
    places: list[tuple[str, str]], needs: list[int], batch: int
) -> None:
    """Guards against a reserve that a rack failure within a wave exhausts."""
    hosts = tuple(
        PlacedHost(f"h{number}", pool, rack)
        for number, (pool, rack) in enumerate(places)
    )
    pools = {f"p{number}": need for number, need in enumerate(needs)}
    plan = plan_buffer(BufferRequest(hosts, pools, dict.fromkeys(pools, batch)))
    held = [host for host in hosts if host.host in plan.held_hosts]
    wanted_count = sum(needs) + 3 * batch
    left_counts = [
        sum(host.rack != rack for host in held)
        for rack in {host.rack for host in hosts}
    ]
    assert plan.missing_count == max(0, wanted_count - min(left_counts, default=0))
    assert plan.missing_count == 0 or len(held) == len(hosts)
