"""Overload of one queue: what other work keeps, compared with one FIFO.

Run ``python -m benchmarks.flood --seed 1``. Virtual time; no network.
"""

import argparse
from collections.abc import Callable, Iterable
from typing import NamedTuple

from benchmarks.flood_load import ENTRIES_COUNT, FLOODING_TEAM, SLOTS_COUNT, Scenario
from benchmarks.flood_sites import FifoSite, OwnedSite, Result, Site
from sycamorecroft.configuration.fleet import Urgency

FLOODS = (("backoffice", Urgency.BULK), ("rating", Urgency.URGENT))


class Figure(NamedTuple):
    """Measured value with the baseline's and the target of section 1.7, if any."""

    name: str
    value: float
    baseline: float
    target: float | None
    at_most: bool


class Runs(NamedTuple):
    """Results of one model without and with the flood, arrivals of the window only."""

    calm: list[Result]
    flooded: list[Result]


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
    for flooded in FLOODS:
        print(
            f"flood of {flooded[0]} ({flooded[1]}), seed {options.seed}, "
            f"{options.killed_hosts} entry hosts killed"
        )
        scenario = Scenario(
            options.seed, 3.0, options.window_s, flooded, options.killed_hosts
        )
        own = measure_runs(OwnedSite, scenario)
        fifo = measure_runs(FifoSite, scenario)
        for figure in figures(scenario, own, fifo):
            missed_count += not _print(figure)
    return 1 if missed_count else 0


def measure_runs(site: type[Site], scenario: Scenario) -> Runs:
    """
    :returns: results of the model without and with the scenario's overload.
    """
    calm = scenario._replace(flooded=None, entries_killed_count=0)
    return Runs(*(_in_window(site(case), case) for case in (calm, scenario)))


def _in_window(site: Site, scenario: Scenario) -> list[Result]:
    return [r for r in site.run() if r.arrival.arrived_s >= scenario.warm_up_s]


def figures(scenario: Scenario, own: Runs, fifo: Runs) -> Iterable[Figure]:
    """
    :returns: figures of both models, with targets where section 1.7 sets one.
    """

    def compare(
        name: str,
        measure: Callable[[Runs], float],
        target: float | None = None,
        at_most: bool = False,
    ) -> Figure:
        return Figure(name, measure(own), measure(fifo), target, at_most)

    service, flood_class = scenario.flooded
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
            0.99 if urgency is flood_class else None,
        )
    yield compare(
        "same queue: slot time in the owner's share used by work in time",
        lambda runs: _useful_ratio(runs.flooded, scenario, _share_count(scenario)),
        0.95,
    )
    if scenario.entries_killed_count:
        yield compare(
            "same queue: slot time of the whole pool used by work in time",
            lambda runs: _useful_ratio(runs.flooded, scenario, SLOTS_COUNT),
        )
    yield compare(
        "urgent work, all queues: longest start delay, s",
        lambda runs: max(_urgent_delays(runs.flooded)),
        1.3,
        True,
    )
    yield compare(
        "same queue, urgent work of other teams: share refused or late",
        lambda runs: (
            1
            - _good_share(
                _select(
                    runs, lambda r: _is_other_team(r, service, Urgency.URGENT)
                ).flooded
            )
        ),
    )


def _print(figure: Figure) -> bool:
    is_met = is_target_met(figure, figure.value)
    line = f"  {figure.name}: {figure.value:.3f}, baseline {figure.baseline:.3f}"
    if figure.target is None:
        print(f"{line}, no target")
        return True
    sign = "<=" if figure.at_most else ">="
    print(f"{line}, target {sign} {figure.target}: {'met' if is_met else 'MISSED'}")
    return is_met


def is_target_met(figure: Figure, value: float) -> bool:
    """
    :param value: the figure's own value, or that of the baseline.
    """
    if figure.target is None:
        return True
    return value <= figure.target if figure.at_most else value >= figure.target


def _select(runs: Runs, wanted: Callable[[Result], bool]) -> Runs:
    return Runs(*([r for r in results if wanted(r)] for results in runs))


def _is_other_team(result: Result, service: str, urgency: Urgency) -> bool:
    arrival = result.arrival
    is_other = arrival.team != FLOODING_TEAM
    return is_other and arrival.service == service and arrival.urgency is urgency


def _worst_queue(
    runs: Runs,
    flooded: str,
    measure: Callable[[Runs], float],
    worst: Callable[[Iterable[float]], float],
) -> float:
    services = {r.arrival.service for r in runs.calm} - {flooded}
    return worst(
        measure(_select(runs, lambda r, name=name: r.arrival.service == name))
        for name in sorted(services)
    )


def _goodput_ratio(runs: Runs) -> float:
    good_counts = [sum(r.is_good for r in results) for results in runs]
    return good_counts[1] / good_counts[0]


def _p99_ratio(runs: Runs) -> float:
    calm, flooded = (_p99_s(results) for results in runs)
    return flooded / calm


def _p99_s(results: list[Result]) -> float:
    times_s = sorted(r.end_s - r.arrival.arrived_s for r in results if r.is_good)
    return times_s[int(0.99 * (len(times_s) - 1))] if times_s else float("inf")


def _good_share(results: list[Result]) -> float:
    return sum(r.is_good for r in results) / len(results)


def _share_count(scenario: Scenario) -> int:
    """
    :returns: slots of a pool that its owner may grant (section 5.1, two owners).
    """
    seen_count = ENTRIES_COUNT - scenario.entries_killed_count
    return SLOTS_COUNT * seen_count // ENTRIES_COUNT


def _useful_ratio(results: list[Result], scenario: Scenario, slots_count: int) -> float:
    """Held slot time of work that met its deadline, by slot time of the window."""
    useful_s = 0.0
    for r in results:
        if r.is_good and r.arrival.service == scenario.flooded[0]:
            overlap_s = min(r.end_s, scenario.end_s) - (r.end_s - r.slot_s)
            useful_s += max(0.0, min(r.slot_s, overlap_s))
    return useful_s / (slots_count * scenario.window_s)


def _urgent_delays(results: list[Result]) -> Iterable[float]:
    return [
        r.start_delay_s
        for r in results
        if r.start_delay_s is not None and r.arrival.urgency is Urgency.URGENT
    ]


if __name__ == "__main__":
    raise SystemExit(main())
