"""Batch planning: budgets, racks and the reserve for one further rack failure."""

from hypothesis import given, seed, strategies as st

from sycamorecroft.maintenance.planning import (
    Batch,
    BatchRequest,
    WaitReason,
    plan_batch,
)
from sycamorecroft.pools.records import BudgetRecord
from sycamorecroft.pools.state import HostRecord, HostState

SEED = 20261204


def _host(number: int, rack_size: int, state: HostState) -> HostRecord:
    return HostRecord(
        host=f"h{number}",
        address="127.0.0.1:1",
        data_centre="dc",
        rack=f"r{number // rack_size}",
        pool="a",
        state=state,
        epoch=1,
        slots_count=8,
        connections_count=64,
        target_pool=None,
        maintenance_id=None,
    )


def _plan(
    hosts_count: int,
    ratio: float,
    *,
    rack_size: int = 4,
    states: dict[int, HostState] | None = None,
    failed: frozenset[str] = frozenset(),
    needed_count: int = 0,
) -> Batch:
    states = states or {}
    hosts = {
        f"h{number}": _host(number, rack_size, states.get(number, HostState.ACTIVE))
        for number in range(hosts_count)
    }
    budget = BudgetRecord(
        pool="a",
        hosts_count=hosts_count,
        planned_out_count=0,
        failed_out_count=0,
        max_unavailable_ratio=ratio,
    )
    waiting = [
        name
        for name, host in hosts.items()
        if host["state"] == HostState.ACTIVE and name not in failed
    ]
    request = BatchRequest(
        hosts, {"a": budget}, tuple(waiting), failed, {"a": needed_count}
    )
    return plan_batch(request)


def test_small_pool_is_limited_by_its_budget() -> None:
    """Guards against a wave that stalls in pools too small for a rack reserve, or that
    exceeds their budget."""
    assert _plan(8, 0.25).hosts == ("h0", "h1")
    assert _plan(8, 0.25, states={0: HostState.REBOOTING}).hosts == ("h1",)
    assert _plan(8, 0.25, rack_size=2).hosts == ("h0",)
    out = {0: HostState.REBOOTING, 1: HostState.DRAINING}
    batch = _plan(8, 0.25, states=out)
    assert batch.hosts == ()
    assert batch.waits["h2"].reason == WaitReason.POOL_BUDGET


def test_large_pool_keeps_reserve_for_one_rack() -> None:
    """Guards against a batch that leaves no reserve for a further rack failure."""
    assert _plan(40, 0.2).hosts == ("h0", "h1", "h2", "h3")
    assert _plan(40, 0.15).hosts == ("h0", "h1")


def test_other_racks_wait_for_rack_in_maintenance() -> None:
    """Guards against maintenance in two racks of a pool at the same time."""
    batch = _plan(40, 0.2, states={7: HostState.REBOOTING})
    assert batch.hosts == ("h4", "h5", "h6")
    assert batch.waits["h0"].reason == WaitReason.OTHER_RACK


def test_failed_hosts_count_against_budget() -> None:
    """Guards against drains that reduce capacity further after a rack failure."""
    batch = _plan(40, 0.2, failed=frozenset({"h36", "h37", "h38", "h39"}))
    assert batch.hosts == ()
    assert batch.waits["h0"].reason == WaitReason.RACK_RESERVE
    assert _plan(8, 0.25, states={4: HostState.OUT, 5: HostState.OUT}).hosts == ()


def test_demand_limits_batch() -> None:
    """Guards against maintenance of hosts that the demand requires."""
    batch = _plan(40, 0.2, needed_count=38)
    assert batch.hosts == ("h0", "h1")
    assert batch.waits["h2"].reason == WaitReason.DEMAND
    assert _plan(40, 0.2, needed_count=41).hosts == ()


@seed(SEED)
@given(
    st.integers(1, 30),
    st.floats(0, 1),
    st.integers(1, 6),
    st.lists(st.integers(0, 29), max_size=8),
)
def test_batches_keep_budget_and_reserve(
    hosts_count: int, ratio: float, rack_size: int, out: list[int]
) -> None:
    """Guards against a batch beyond the budget or without a reserve that would fit."""
    states = {number: HostState.OUT for number in out if number < hosts_count}
    batch = _plan(hosts_count, ratio, rack_size=rack_size, states=states)
    allowed_count = int(hosts_count * ratio + 1e-9)
    out_hosts = set(states) | {int(host[1:]) for host in batch.hosts}
    if batch.hosts:
        assert len(out_hosts) <= allowed_count
    assert len({int(host[1:]) // rack_size for host in batch.hosts}) <= 1
    racks_count = -(-hosts_count // rack_size)
    worst_count = max(
        len(out_hosts | _rack_hosts(rack, rack_size, hosts_count))
        for rack in range(racks_count)
    )
    # If a rack is larger than the budget, no batch can keep the reserve.
    largest_rack_count = min(rack_size, hosts_count)
    has_reserve = worst_count <= allowed_count
    assert has_reserve or len(batch.hosts) <= 1 or largest_rack_count > allowed_count


def _rack_hosts(rack: int, rack_size: int, hosts_count: int) -> set[int]:
    first = rack * rack_size
    return set(range(first, min(first + rack_size, hosts_count)))
