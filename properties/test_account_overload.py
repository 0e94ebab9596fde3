"""Client accounts that together send more than their workers can do, by load pattern.

The pool is as large as the accounts' rates need, on average. A job needs about 97 core
seconds: one or two steps of 4 to 12 tasks of 4.5 to 13.5 cores.
"""

import pytest

from properties.seeds import SEED
from standins.service_driver import make_fleet
from standins.service_load import (
    WORKER_MILLICORES,
    ArrivalPhase,
    ArrivalStream,
    PoolSize,
    ServiceLoad,
)
from sycamorecroft.scheduling.capacity_holds import CapacityHolds
from sycamorecroft.scheduling.fair_shares import PlacementShares

WEIGHTS = {f"large{n}": 2.0 for n in range(3)} | {f"small{n}": 0.25 for n in range(17)}
SMALLEST = {name: weight for name, weight in WEIGHTS.items() if weight == 0.25}
WORKERS_COUNT = 20
DURATION_S = 12.0
USUAL_RATIO = 0.6


def _load(ratios, *, with_accounts=True, weights=WEIGHTS, duration_s=DURATION_S):
    """Returns a load in which each account sends a multiple of its weight a second."""
    streams = [
        ArrivalStream(
            name, [ArrivalPhase(duration_s, ratios.get(name, ratios["*"]) * weight)]
        )
        for name, weight in WEIGHTS.items()
    ]
    fleet = make_fleet(**weights) if with_accounts else None
    return ServiceLoad(streams, PoolSize(WORKERS_COUNT, WORKERS_COUNT), SEED, fleet)


def _in_time_ratio(load, names):
    results = [load.result(name) for name in names]
    in_time_count = sum(result.in_time_count for result in results)
    late_count = sum(result.late_count + result.incomplete_count for result in results)
    return in_time_count / (in_time_count + late_count)


def test_one_account_floods():
    """Guards against a flood that makes the jobs of the other accounts late."""
    others = [name for name in WEIGHTS if name != "large0"]
    ratios = {"*": USUAL_RATIO, "large0": 7.5}
    load, unfair = _load(ratios), _load(ratios, with_accounts=False)
    load.run()
    unfair.run()
    assert _in_time_ratio(load, others) > 0.85
    assert _in_time_ratio(load, others) > _in_time_ratio(unfair, others) + 0.2
    # The flooding account keeps about what it is in time with at its rate.
    assert load.result("large0").in_time_count > 0.6 * 2.0 * DURATION_S


def test_the_smallest_account_in_the_worst_seconds():
    """Guards against small accounts that lose their share while large ones flood."""
    ratios = {"*": USUAL_RATIO, "large0": 6.0, "large1": 6.0, "large2": 6.0}
    load = _load(ratios)
    load.run()
    assert _in_time_ratio(load, SMALLEST) > 0.8


def test_all_accounts_flood():
    """Guards against an order that favours an account when all send too much."""
    load = _load({"*": 4.0})
    load.run()
    done = {name: load.result(name).in_time_count for name in WEIGHTS}
    large = [done[name] for name in WEIGHTS if name not in SMALLEST]
    assert max(large) < 2 * min(large)
    small_count = sum(done[name] for name in SMALLEST)
    weight_ratio = sum(SMALLEST.values()) / sum(WEIGHTS.values())
    assert small_count / sum(done.values()) == pytest.approx(weight_ratio, abs=0.15)


def test_without_a_flood_accounts_cost_nothing():
    """Guards against jobs that shares make late although there is room for all."""
    ratios = {"*": 0.4}
    load = _load(ratios)
    result = load.run()
    assert result.late_count + result.incomplete_count <= 1


def test_an_account_returns():
    """Guards against an account that waits for what others took in its absence."""
    phases = [ArrivalPhase(6.0, 0.0), ArrivalPhase(DURATION_S, USUAL_RATIO * 2.0)]
    streams = [
        ArrivalStream("north", [ArrivalPhase(DURATION_S, 40.0)]),
        ArrivalStream("south", phases),
    ]
    fleet = make_fleet(north=6.0, south=2.0)
    load = ServiceLoad(streams, PoolSize(WORKERS_COUNT, WORKERS_COUNT), SEED, fleet)
    usage = []
    load.at(5.9, lambda: usage.append(load.scheduler.usage.allocated("north")))
    load.run()
    # Nothing is kept for an account that sends nothing.
    assert usage[0].cpu_millicores > 0.85 * WORKERS_COUNT * WORKER_MILLICORES
    assert load.result("south").in_time_count > 0.8 * 6.0 * USUAL_RATIO * 2.0


def test_weights_change():
    """Guards against shares of a former configuration."""
    streams = [
        ArrivalStream(name, [ArrivalPhase(16.0, 25.0)]) for name in ("north", "south")
    ]
    load = ServiceLoad(
        streams,
        PoolSize(WORKERS_COUNT, WORKERS_COUNT),
        SEED,
        make_fleet(north=9.0, south=3.0),
    )
    fleet = make_fleet(north=3.0, south=9.0)
    load.at(8.0, lambda: load.scheduler.apply_fleet(fleet))
    shares = []
    for elapsed_s in (6.0, 7.0, 12.0, 14.0):
        load.at(elapsed_s, lambda: shares.append(_north_ratio(load.scheduler.usage)))
    load.run()
    assert min(shares[:2]) > 0.6
    assert max(shares[2:]) < 0.4


def _north_ratio(usage):
    north, south = (usage.allocated(name).cpu_millicores for name in ("north", "south"))
    return north / (north + south)


def _large_beside_small():
    streams = [
        ArrivalStream("north", [ArrivalPhase(20.0, 20.0)], 8, 4000),
        ArrivalStream("south", [ArrivalPhase(20.0, 0.5)], 1, 60_000),
    ]
    fleet = make_fleet(north=30.0, south=10.0)
    return ServiceLoad(streams, PoolSize(10, 10), SEED, fleet)


def test_large_jobs_beside_small_ones(monkeypatch):
    """Guards against small tasks that take each gap before a large one fits."""
    load = _large_beside_small()
    load.run()
    # The last two are submitted too late to be expected.
    assert load.result("south", to_s=18.0).incomplete_count == 0
    monkeypatch.setattr(CapacityHolds, "add", lambda *args: None)
    without_holds = _large_beside_small()
    without_holds.run()
    count = without_holds.result("south", to_s=18.0).incomplete_count
    assert count > 4


def test_shares_keep_what_rates_do_not(monkeypatch):
    """Guards against shares without effect: rates count jobs, whatever their size.

    Both accounts send as many jobs as they may, one of them jobs of ten times the size.
    """
    streams = [
        ArrivalStream("north", [ArrivalPhase(DURATION_S, 5.0)], 60, 4000),
        ArrivalStream("south", [ArrivalPhase(DURATION_S, 5.0)], 6, 4000),
    ]

    def run():
        pool = PoolSize(10, 10)
        fleet = make_fleet(north=5.0, south=5.0)
        load = ServiceLoad(streams, pool, SEED, fleet)
        load.run()
        return load.result("south").in_time_work_ratio

    in_time_ratio = run()
    monkeypatch.setattr(PlacementShares, "is_below", lambda *args: True)
    monkeypatch.setattr(PlacementShares, "has_room", lambda *args: True)
    assert in_time_ratio > 0.8
    assert in_time_ratio > run() + 0.2
