"""Tests of the forecast of demand, named by load pattern, and of its effect on waits.

Two pools of eight hosts and four standby hosts; a task occupies a whole host.
"""

import random
from collections import Counter
from collections.abc import Callable

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.capacity.controller import CapacityController, CapacitySettings
from sycamorecroft.capacity.forecast import (
    DemandForecaster,
    PoolRecord,
    SourceRecord,
)
from sycamorecroft.capacity.forecast_store import FORECASTS_TABLE, ForecastStore
from sycamorecroft.capacity.forecast_use import (
    DemandForecastUse,
    ForecastUse,
    NoForecast,
)
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.metrics import Metric
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.store.interfaces import Check, Put, StorePurpose
from sycamorecroft.upkeep.fleet_store import FleetStore
from sycamorecroft.upkeep.hosts import Host, HostCalls, HostOrderStatus, HostState
from sycamorecroft.upkeep.order_sender import OrderSender

MILLICORES = 32000
STEP_S = 0.25
MOVE_S = 1.5
PERIOD_S = 20.0
PEAK_S = 5.0
PEAK_COUNT = 12


class _Counts(NullRecorder):
    def __init__(self) -> None:
        self.outcomes: list[str] = []

    def count(self, metric: Metric, **attributes: str) -> None:
        self.outcomes.append(attributes["outcome"])


class _Tables(MemoryPartitions):
    unreadable_table = ""

    def scan_part(self, table, part, **options):
        if table == self.unreadable_table:
            raise StoreUnavailableError("the table can't be read")
        return super().scan_part(table, part, **options)


class _RecordedForecast(DemandForecastUse):
    """Records which pools should get or keep hosts for demand that is forecast."""

    expected: dict[str, int] = {}

    def update(self, snapshots, demands, minimum_counts):
        self.expected = super().update(snapshots, demands, minimum_counts)
        return self.expected


class _FixedForecast(NoForecast):
    """Expects the same rises at all times."""

    def __init__(self, expected: dict[str, int]) -> None:
        self.expected = expected

    def update(self, snapshots, demands, minimum_counts):
        return self.expected


class _Hosts(HostCalls):
    """Hosts that leave their pool when moved and register after :data:`MOVE_S`."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.pools = {f"{pool}{n}": pool for pool in ("p", "q") for n in range(8)}
        self.pools |= {f"s{n}": "standby" for n in range(4)}
        self.ready_s: dict[str, float] = {}

    def list_hosts(self):
        size = Resources(MILLICORES)
        return tuple(
            Host(name, pool, HostState.UP, "dc", ("a",), size, f"w{name}")
            for name, pool in sorted(self.pools.items())
        )

    def move(self, host, pool, token):
        self.pools[host] = pool
        self.ready_s[host] = self._clock.monotonic_s() + MOVE_S
        return HostOrderStatus.DONE

    def start_upkeep(self, host, wave, token):
        raise NotImplementedError

    def counts(self) -> dict[str, int]:
        return dict(Counter(self.pools.values()))

    def present(self, pool: str) -> list[str]:
        now_s = self._clock.monotonic_s()
        return [
            name
            for name, at in sorted(self.pools.items())
            if at == pool and self.ready_s.get(name, 0.0) <= now_s
        ]


Demand = Callable[[str, float], int]


class _Fleet:
    """Fleet whose demand in hosts is a function of pool and time."""

    def __init__(self, demand: Demand, is_forecast: bool = True) -> None:
        self._demand = demand
        self._is_forecast = is_forecast
        self.clock = ManualClock()
        self.clock.advance(10.0)
        self.tables = _Tables()
        self.tables.faulty_table = FORECASTS_TABLE
        self.hosts = _Hosts(self.clock)
        self.counts = _Counts()
        self.time_s = 0.0
        self.waited_s = 0.0
        self.waits_s: dict[int, float] = {}
        self.early_moves: list[tuple[float, str]] = []
        self.acted_on_s: list[float] = []
        self.replace_controller()

    def replace_controller(self, forecast: ForecastUse | None = None) -> None:
        """Starts a new fleet controller, which knows only what is stored."""
        store = FleetStore(self.tables, "h0")
        if forecast is None and self._is_forecast:
            forecast = _RecordedForecast(
                ForecastStore(self.tables), self.clock, self.counts
            )
        self.forecast = forecast
        self.controller = CapacityController(
            store,
            OrderSender(store, self.clock),
            self.hosts,
            self.clock,
            CapacitySettings(3000),
            lambda: frozenset({"standby"}),
            forecast,
        )

    def run_until(self, end_s: float) -> None:
        while self.time_s < end_s:
            self.time_s += STEP_S
            self.clock.advance(STEP_S)
            self.tables.store_time_ms += int(STEP_S * 1000)
            snapshots = {pool: self._snapshot(pool) for pool in ("p", "q")}
            before = dict(self.hosts.pools)
            self.controller.step(snapshots, frozenset())
            if self._is_forecast:
                self.forecast.store_rises()
                self._record_early_moves(before)

    def _record_early_moves(self, before: dict[str, str]) -> None:
        expected = self.forecast.expected
        for name, pool in self.hosts.pools.items():
            if before[name] != pool and expected.get(pool):
                self.early_moves.append((self.time_s, pool))
        self.acted_on_s += [self.time_s] * len(expected)

    def _snapshot(self, pool: str) -> PoolSnapshot:
        names = self.hosts.present(pool)
        reserved = self.controller.reserved_workers(pool)
        demand_count = self._demand(pool, self.time_s)
        usable = [name for name in names if f"w{name}" not in reserved]
        busy = set(usable[:demand_count])
        waiting_count = demand_count - len(busy)
        self.waited_s += waiting_count * STEP_S
        cycle = int(self.time_s // PERIOD_S)
        self.waits_s[cycle] = self.waits_s.get(cycle, 0.0) + waiting_count * STEP_S
        size = Resources(MILLICORES)
        workers = tuple(
            WorkerSnapshot(
                f"w{name}",
                name,
                size,
                size if name in busy else Resources(),
                int(name in busy),
                0,
                f"w{name}" in reserved,
                True,
                True,
            )
            for name in names
        )
        waiting = Resources(waiting_count * MILLICORES)
        return PoolSnapshot(self.clock.monotonic_s(), workers, waiting)


def _in_peak(time_s: float, starts_s: list[float]) -> bool:
    return any(start_s <= time_s < start_s + PEAK_S for start_s in starts_s)


def _peaks(p_starts_s: list[float], q_starts_s: list[float]) -> Demand:
    starts_s = {"p": p_starts_s, "q": q_starts_s}
    return lambda pool, time_s: PEAK_COUNT if _in_peak(time_s, starts_s[pool]) else 1


def _turns(count: int, period_s: float = PERIOD_S, first_s: float = 5.0) -> list[float]:
    return [first_s + number * period_s for number in range(count)]


def _pair(demand: Demand, end_s: float) -> tuple[_Fleet, _Fleet]:
    """
    :returns: the fleet with the forecast and the one without, after the run.
    """
    fleets = _Fleet(demand), _Fleet(demand, is_forecast=False)
    for fleet in fleets:
        fleet.run_until(end_s)
    return fleets


P_TURNS_S = _turns(10)
Q_TURNS_S = _turns(10, first_s=15.0)


def test_peaks_by_turns():
    """Guards against hosts that arrive only after a peak that was to be expected."""
    forecast, today = _pair(_peaks(P_TURNS_S, Q_TURNS_S), 200.0)
    assert forecast.waits_s[0] == today.waits_s[0]
    assert forecast.waits_s[8] < today.waits_s[8] / 2
    assert "right" in forecast.counts.outcomes


def test_peak_that_does_not_come():
    """Guards against hosts that are kept for a peak that is missing."""
    p_starts_s = P_TURNS_S[:5] + P_TURNS_S[6:]
    forecast, today = _pair(_peaks(p_starts_s, Q_TURNS_S), 200.0)
    assert "not_come" in forecast.counts.outcomes
    assert forecast.waited_s <= today.waited_s
    assert forecast.waits_s[5] <= today.waits_s[5]
    assert any(103.0 < time_s <= 105.0 for time_s in forecast.acted_on_s)
    # The next peak of the other pool is expected at 115 s.
    assert not any(106.0 < time_s < 111.0 for time_s in forecast.acted_on_s)


@pytest.mark.parametrize("early_s", [1.0, 4.0, 6.0, 8.0, 11.0, 13.25])
def test_peak_that_comes_early(early_s):
    """Guards against a pool that waits for the expected time of a peak."""
    p_starts_s = [*P_TURNS_S[:5], P_TURNS_S[5] - early_s, *P_TURNS_S[6:]]
    forecast, today = _pair(_peaks(p_starts_s, Q_TURNS_S), 200.0)
    assert ("early" in forecast.counts.outcomes) == (early_s > 2 * MOVE_S)
    assert forecast.waited_s <= today.waited_s


def test_order_of_the_pools_changes():
    """Guards against hosts that are moved by an order of the pools that has ended."""
    p_starts_s = P_TURNS_S[:5] + [start_s + 10.0 for start_s in P_TURNS_S[5:]]
    q_starts_s = Q_TURNS_S[:5] + [start_s - 10.0 for start_s in Q_TURNS_S[5:]]
    forecast, today = _pair(_peaks(p_starts_s, q_starts_s), 200.0)
    assert forecast.waited_s <= today.waited_s


def test_period_changes():
    """Guards against predictions that keep to a period that has ended."""
    later_s = _turns(10, period_s=14.0, first_s=P_TURNS_S[5] + 14.0)
    forecast, today = _pair(_peaks(P_TURNS_S[:6] + later_s, []), 240.0)
    assert forecast.waited_s <= today.waited_s
    assert any(time_s > later_s[6] - 5.0 for time_s, _ in forecast.early_moves)


@pytest.mark.parametrize("pool", ["p", "q"])
@pytest.mark.parametrize("start_s", range(100, 120, 3))
def test_burst_on_top(pool, start_s):
    """Guards against waiting tasks of a burst that get no hosts due to a forecast."""
    regular = _peaks(P_TURNS_S, Q_TURNS_S)

    def demand(name: str, time_s: float) -> int:
        is_burst = name == pool and start_s <= time_s < start_s + 3.0
        return 14 if is_burst else regular(name, time_s)

    forecast, today = _pair(demand, 140.0)
    assert forecast.waited_s <= today.waited_s


def test_shift_between_data_centres():
    """Guards against hosts that stay in a pool whose demand has moved to another."""
    p_starts_s, q_starts_s = P_TURNS_S[:5], P_TURNS_S[5:]
    forecast, today = _pair(_peaks(p_starts_s, q_starts_s), 200.0)
    assert forecast.waits_s[5] <= today.waits_s[5]
    assert forecast.waited_s <= today.waited_s


@pytest.mark.parametrize("seed", range(5))
def test_noise_without_peaks(seed):
    """Guards against moves for variations of a steady load."""
    noise = random.Random(seed)
    levels = {pool: [noise.randint(3, 6) for _ in range(400)] for pool in ("p", "q")}
    fleet = _Fleet(lambda pool, time_s: levels[pool][int(time_s / 0.5)])
    fleet.run_until(199.0)
    assert not fleet.acted_on_s
    assert not fleet.counts.outcomes


def test_predictions_that_are_right_half_of_the_time():
    """Guards against the moves for a full peak by a record that justifies half."""
    fleet = _Fleet(lambda pool, time_s: 1)
    source = SourceRecord((20_000,), (0,), (True, False))
    record = PoolRecord(1, (12.0, 12.0), (0.0,), {"p": source})
    ForecastStore(fleet.tables).write("p", record)
    fleet.run_until(18.0)
    # 14 hosts are needed for 12 at a load of 0.9, which is 8 more than the minimum.
    assert len(fleet.early_moves) == 4


def test_forecasts_of_two_pools():
    """Guards against hosts that a pool loses to another one just before its own rise.

    Waiting tasks get them nevertheless, since a forecast may be wrong.
    """
    fleet = _Fleet(lambda pool, time_s: 14 if pool == "p" and time_s > 3.0 else 1)
    fleet.replace_controller(_FixedForecast({"p": 8, "q": 0}))
    fleet.run_until(3.0)
    assert fleet.hosts.counts() == {"p": 12, "q": 8}
    fleet.run_until(6.0)
    assert fleet.hosts.counts() == {"p": 14, "q": 6}


@pytest.mark.parametrize("at_s", range(102, 122, 2))
def test_takeover_of_the_fleet_controller(at_s):
    """Guards against a new fleet controller that has to learn the peaks again."""
    fleet = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S))
    fleet.run_until(at_s)
    # The clocks of two entry hosts differ.
    fleet.clock.advance(1000.0)
    fleet.replace_controller()
    fleet.run_until(160.0)
    assert fleet.waits_s[6] == fleet.waits_s[7] == fleet.waits_s[4]
    assert any(120.0 < time_s <= 125.0 for time_s, _ in fleet.early_moves)


@pytest.mark.parametrize("fault", ["delayed_count", "lost_responses_count"])
def test_store_is_unavailable_at_the_write(fault):
    """Guards against a controller that forgets, or stops, when it can't write."""
    fleet = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S))
    fleet.run_until(100.0)
    setattr(fleet.tables, fault, 2)
    fleet.run_until(140.0)
    assert not getattr(fleet.tables, fault)
    assert any(time_s > 130.0 for time_s, _ in fleet.early_moves)
    row = fleet.tables.row(FORECASTS_TABLE, "p", FLEET_CONTROLLER_CLAIM)
    fleet.run_until(150.0)
    later_row = fleet.tables.row(FORECASTS_TABLE, "p", FLEET_CONTROLLER_CLAIM)
    assert later_row.version > row.version


class _CountedWrites(ForecastStore):
    count = 0

    def write(self, pool, record):
        type(self).count += 1
        return super().write(pool, record)


class _FailedWrites(ForecastStore):
    count = 0

    def write(self, pool, record):
        type(self).count += 1
        return False


def test_store_that_is_down_is_called_once_in_a_step(monkeypatch):
    """Guards against a step that waits for a time-out of each pool that has risen."""
    monkeypatch.setattr(f"{__name__}.ForecastStore", _FailedWrites)
    fleet = _Fleet(_peaks(P_TURNS_S, P_TURNS_S))
    fleet.run_until(104.0)
    assert _FailedWrites.count == 5


def test_row_is_written_once_for_each_rise(monkeypatch):
    """Guards against writes that grow with the number of steps."""
    monkeypatch.setattr(f"{__name__}.ForecastStore", _CountedWrites)
    fleet = _Fleet(_peaks(P_TURNS_S, []))
    fleet.run_until(104.0)
    assert _CountedWrites.count == 5


def test_unexpected_error_keeps_no_move_back(monkeypatch):
    """Guards against a fleet controller that moves nothing because a forecast fails."""

    def fail(*args):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(DemandForecaster, "forecast", fail)
    forecast, today = _pair(_peaks(P_TURNS_S, Q_TURNS_S), 140.0)
    assert forecast.waits_s == today.waits_s
    assert not forecast.early_moves


def test_former_fleet_controller_writes_nothing():
    """Guards against a row that a controller overwrites after it has lost its claim."""
    tables = MemoryPartitions()
    lost_claim = Check("owners", "owner", 7, FLEET_CONTROLLER_CLAIM)
    ForecastStore(tables, lost_claim).write("p", PoolRecord(1000))
    assert tables.row(FORECASTS_TABLE, "p", FLEET_CONTROLLER_CLAIM) is None


def test_malformed_row_counts_as_nothing_learned():
    """Guards against a fleet controller that stops at a row it can't decode."""
    fleet = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S))
    fleet.run_until(100.0)
    put = Put(FORECASTS_TABLE, "p", b"{}", FLEET_CONTROLLER_CLAIM)
    fleet.tables.transact((), (put,), purpose=StorePurpose.POOLS)
    fleet.replace_controller()
    fleet.run_until(120.0)
    assert "p" in ForecastStore(fleet.tables).load()
    fleet.run_until(200.0)
    assert any(pool == "p" and at > 160.0 for at, pool in fleet.early_moves)


@pytest.mark.parametrize(
    ("delay_ms", "peak_count"), [(10**400, 12.0), (2000, 1e308)], ids=["delay", "peak"]
)
def test_row_with_a_number_out_of_range_counts_as_nothing_learned(delay_ms, peak_count):
    """Guards against a fleet controller that plans no moves any more due to a row."""
    fleet = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S))
    source = SourceRecord((delay_ms,), (0,), (True,))
    record = PoolRecord(1, (peak_count, peak_count), (0.0,), {"p": source})
    ForecastStore(fleet.tables).write("p", record)
    fleet.run_until(20.0)
    today = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S), is_forecast=False)
    today.run_until(20.0)
    assert fleet.hosts.pools == today.hosts.pools


def test_rows_cannot_be_read_at_the_start():
    """Guards against moves that wait until the rows can be read."""
    fleet = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S))
    fleet.tables.unreadable_table = FORECASTS_TABLE
    fleet.run_until(20.0)
    today = _Fleet(_peaks(P_TURNS_S, Q_TURNS_S), is_forecast=False)
    today.run_until(20.0)
    assert fleet.hosts.pools == today.hosts.pools
    assert fleet.waited_s == today.waited_s
