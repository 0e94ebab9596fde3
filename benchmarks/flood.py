"""Measures how far a flood of one queue affects other work, compared with one FIFO.

A flood is an overload of one service's queue by the requests of one team. Run
``python -m benchmarks.flood --seed 1``. It simulates a site in virtual time, without
network.
"""

import argparse
from collections.abc import Callable, Iterable
from typing import NamedTuple

from benchmarks.flood_load import (
    ENTRY_HOSTS_COUNT,
    FLOODING_TEAM,
    SLOTS_COUNT,
    Scenario,
)
from benchmarks.flood_sites import FifoModel, QueueOwnerModel, RequestResult, SiteModel
from sycamorecroft.configuration.fleet import Urgency

FLOODS = (("backoffice", Urgency.BULK), ("rating", Urgency.URGENT))


class Comparison(NamedTuple):
    """Values of queue owners and of the FIFO, with the target if there is one."""

    name: str
    value: float
    baseline: float
    target: float | None
    is_upper_bound: bool


class Runs(NamedTuple):
    """Results of one model without and with a flood, for arrivals after the warm-up."""

    without_flood: list[RequestResult]
    with_flood: list[RequestResult]


def main() -> int:
    """
    :returns: 0 if every target is met.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--killed-hosts", type=int, default=0)
    options = parser.parse_args()
    missed_count = 0
    for flood in FLOODS:
        print(
            f"flood of {flood[0]} ({flood[1]}), seed {options.seed}, "
            f"{options.killed_hosts} entry hosts killed"
        )
        scenario = Scenario(
            options.seed, 3.0, options.window_s, flood, options.killed_hosts
        )
        owner_runs = measure_runs(QueueOwnerModel, scenario)
        fifo_runs = measure_runs(FifoModel, scenario)
        for comparison in compare_models(scenario, owner_runs, fifo_runs):
            missed_count += not _print_comparison(comparison)
    return 1 if missed_count else 0


def measure_runs(model: type[SiteModel], scenario: Scenario) -> Runs:
    """
    :returns: results of the model without and with the scenario's flood.
    """
    without_flood = scenario._replace(flood=None, killed_entry_hosts_count=0)
    return Runs(
        *(_in_window(model(variant), variant) for variant in (without_flood, scenario))
    )


def _in_window(model: SiteModel, scenario: Scenario) -> list[RequestResult]:
    return [r for r in model.run() if r.arrival.arrived_s >= scenario.warm_up_s]


def compare_models(
    scenario: Scenario, owner_runs: Runs, fifo_runs: Runs
) -> Iterable[Comparison]:
    """
    :returns: comparisons of both models, with targets where docs/design.md sets them.
    """

    def compare(
        name: str,
        measure: Callable[[Runs], float],
        target: float | None = None,
        is_upper_bound: bool = False,
    ) -> Comparison:
        return Comparison(
            name, measure(owner_runs), measure(fifo_runs), target, is_upper_bound
        )

    service, flood_urgency = scenario.flood
    yield compare(
        "other queues: goodput ratio to no overload, worst queue",
        lambda runs: _worst_queue(runs, service, _goodput_ratio, min),
        0.99,
    )
    yield compare(
        "other queues: p99 ratio to no overload, worst queue",
        lambda runs: _worst_queue(runs, service, _p99_ratio, max),
        1.5,
        True,
    )
    for urgency in Urgency:
        yield compare(
            f"same queue, other teams, {urgency}: goodput ratio to no overload",
            lambda runs, urgency=urgency: _goodput_ratio(
                _select(runs, lambda r: _is_other_team(r, service, urgency))
            ),
            0.99 if urgency is flood_urgency else None,
        )
    yield compare(
        "same queue: slot time in the owner's share used by requests in time",
        lambda runs: _useful_ratio(
            runs.with_flood, scenario, _grantable_slots_count(scenario)
        ),
        0.95,
    )
    if scenario.killed_entry_hosts_count:
        yield compare(
            "same queue: slot time of the whole pool used by requests in time",
            lambda runs: _useful_ratio(runs.with_flood, scenario, SLOTS_COUNT),
        )
    yield compare(
        "urgent work, all queues: longest start delay, s",
        lambda runs: max(_urgent_delays(runs.with_flood)),
        1.3,
        True,
    )
    yield compare(
        "same queue, urgent work of other teams: ratio refused or late",
        lambda runs: (
            1
            - _good_ratio(
                _select(
                    runs, lambda r: _is_other_team(r, service, Urgency.URGENT)
                ).with_flood
            )
        ),
    )


def _print_comparison(comparison: Comparison) -> bool:
    is_met = is_target_met(comparison, comparison.value)
    line = (
        f"  {comparison.name}: {comparison.value:.3f}, "
        f"baseline {comparison.baseline:.3f}"
    )
    if comparison.target is None:
        print(f"{line}, no target")
        return True
    sign = "<=" if comparison.is_upper_bound else ">="
    print(f"{line}, target {sign} {comparison.target}: {'met' if is_met else 'MISSED'}")
    return is_met


def is_target_met(comparison: Comparison, value: float) -> bool:
    """
    :param value: value to judge: that of the comparison or that of its baseline.
    """
    if comparison.target is None:
        return True
    return (
        value <= comparison.target
        if comparison.is_upper_bound
        else value >= comparison.target
    )


def _select(runs: Runs, predicate: Callable[[RequestResult], bool]) -> Runs:
    return Runs(*([r for r in results if predicate(r)] for results in runs))


def _is_other_team(result: RequestResult, service: str, urgency: Urgency) -> bool:
    arrival = result.arrival
    is_other = arrival.team != FLOODING_TEAM
    return is_other and arrival.service == service and arrival.urgency is urgency


def _worst_queue(
    runs: Runs,
    flooded_service: str,
    measure: Callable[[Runs], float],
    worst: Callable[[Iterable[float]], float],
) -> float:
    services = {r.arrival.service for r in runs.without_flood} - {flooded_service}
    return worst(
        measure(_select(runs, lambda r, name=name: r.arrival.service == name))
        for name in sorted(services)
    )


def _goodput_ratio(runs: Runs) -> float:
    good_counts = [sum(r.is_good for r in results) for results in runs]
    return good_counts[1] / good_counts[0]


def _p99_ratio(runs: Runs) -> float:
    without_flood_s, with_flood_s = (_p99_s(results) for results in runs)
    return with_flood_s / without_flood_s


def _p99_s(results: list[RequestResult]) -> float:
    times_s = sorted(r.end_s - r.arrival.arrived_s for r in results if r.is_good)
    return times_s[int(0.99 * (len(times_s) - 1))] if times_s else float("inf")


def _good_ratio(results: list[RequestResult]) -> float:
    return sum(r.is_good for r in results) / len(results)


def _grantable_slots_count(scenario: Scenario) -> int:
    """
    :returns: slots of a pool that its owner may grant. While some entry hosts are not
        live, a second owner may exist among them, so the owner grants only the share
        of the live ones (section 5.1 of docs/design.md).
    """
    live_count = ENTRY_HOSTS_COUNT - scenario.killed_entry_hosts_count
    return SLOTS_COUNT * live_count // ENTRY_HOSTS_COUNT


def _useful_ratio(
    results: list[RequestResult], scenario: Scenario, slots_count: int
) -> float:
    """Returns the ratio of slot time that requests within their deadline used."""
    useful_s = 0.0
    for r in results:
        if r.is_good and r.arrival.service == scenario.flood[0]:
            overlap_s = min(r.end_s, scenario.end_s) - (r.end_s - r.slot_s)
            useful_s += max(0.0, min(r.slot_s, overlap_s))
    return useful_s / (slots_count * scenario.window_s)


def _urgent_delays(results: list[RequestResult]) -> Iterable[float]:
    return [
        r.start_delay_s
        for r in results
        if r.start_delay_s is not None and r.arrival.urgency is Urgency.URGENT
    ]


if __name__ == "__main__":
    raise SystemExit(main())
