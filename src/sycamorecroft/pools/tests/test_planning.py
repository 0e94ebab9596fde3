"""Tests of the planning of the buffer and of moves."""

from collections import Counter

from hypothesis import given, seed, strategies as st

from sycamorecroft.pools.demand import DemandTracker, PoolNeed
from sycamorecroft.pools.planning import (
    BufferPlanInput,
    MovePlan,
    MovePlanInput,
    PlacedHost,
    plan_buffer,
    plan_moves,
)
from sycamorecroft.pools.records import BudgetRecord
from sycamorecroft.pools.state import HostRecord, HostState

SEED = 20261204
SUSTAINED_S = 3600.0


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
    return plan_moves(MovePlanInput(tuple(fleet), budgets, needs))


def test_shortage_is_met_within_the_budgets_of_the_source_pools() -> None:
    """Guards against moves that take a pool below its availability budget."""
    needs = {
        "a": PoolNeed(12, 12, SUSTAINED_S),
        "b": PoolNeed(1, 1, 0.0),
        "c": PoolNeed(1, 7, 0.0),
    }
    plan = _plan(needs)
    source_counts = Counter(move.source_pool for move in plan.moves)
    assert source_counts == {"b": 2, "c": 1}
    assert plan.shortage_counts == {"a": 1}


def test_brief_need_causes_no_move() -> None:
    """Guards against moves that cost more than they gain."""
    needs = {"a": PoolNeed(12, 12, 30.0), "b": PoolNeed(1, 1, 0.0)}
    assert _plan(needs).moves == ()


def test_hosts_moving_to_a_pool_count_as_supply() -> None:
    """Guards against a second move for the same need."""
    hosts = [_host(pool, number) for pool in ("a", "b") for number in range(8)]
    hosts[8]["state"] = HostState.DRAINING
    hosts[8]["target_pool"] = "a"
    needs = {"a": PoolNeed(9, 9, SUSTAINED_S), "b": PoolNeed(1, 1, 0.0)}
    assert _plan(needs, hosts).moves == ()


def test_unneeded_hosts_stay_in_their_pool() -> None:
    """Guards against moves that serve no need."""
    assert (
        _plan(
            {"a": PoolNeed(1, 1, SUSTAINED_S), "b": PoolNeed(8, 8, SUSTAINED_S)}
        ).moves
        == ()
    )


def test_pool_keeps_hosts_for_ten_minutes_after_its_need_fell() -> None:
    """Guards against a pool that releases a host and soon needs it again."""
    tracker = DemandTracker()
    for second in range(0, 120, 10):
        tracker.observe(7.0, float(second))
    for second in range(120, 710, 10):
        tracker.observe(0.1, float(second))
    assert tracker.need(8, 700.0).release_count == 8
    for second in range(710, 800, 10):
        tracker.observe(0.1, float(second))
    assert tracker.need(8, 790.0).release_count == 1


def test_brief_peak_is_averaged() -> None:
    """Guards against moves for peaks that queueing absorbs."""
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
def test_allocated_hosts_survive_any_rack_failure(
    places: list[tuple[str, str]], needs: list[int], batch: int
) -> None:
    """Guards against a buffer too small for a rack failure during a wave."""
    hosts = tuple(
        PlacedHost(f"h{number}", pool, rack)
        for number, (pool, rack) in enumerate(places)
    )
    pools = {f"p{number}": need for number, need in enumerate(needs)}
    plan = plan_buffer(BufferPlanInput(hosts, pools, dict.fromkeys(pools, batch)))
    allocated = [host for host in hosts if host.host in plan.allocated_hosts]
    required_count = sum(needs) + 3 * batch
    surviving_counts = [
        sum(host.rack != rack for host in allocated)
        for rack in {host.rack for host in hosts}
    ]
    assert plan.missing_count == max(
        0, required_count - min(surviving_counts, default=0)
    )
    assert plan.missing_count == 0 or len(allocated) == len(hosts)
