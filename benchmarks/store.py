"""Store calls a second of a whole site, by purpose, under load that needs claims.

Run ``python -m benchmarks.store --seed 1``. A site of 9 daemons gets non-idempotent
requests of one service at several rates; the platform stand-in counts the calls. Each
row is compared with the budget of section 5.5, and the claims with the baseline of one
write a request.
"""

import argparse
import tempfile
import time
from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from benchmarks.site_sizes import ACCOUNT, PORT_SHIFT, TEAM
from benchmarks.usage import load_line
from standins.load import LoadRun
from standins.load_plan import FlowBody, PhaseBody, PlanBody
from standins.load_summary import Verdict
from standins.site import ROOT, Site
from sycamorecroft.store.budget import SYSTEM_RATES
from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.interfaces import StorePurpose

SERVICE = "dispatch"
RATES_PER_S = (0.0, 25.0, 50.0, 100.0, 150.0)
TIMEOUT_MS = 5000
TARGET_WRITES_PER_S = 300
TARGET_READS_PER_S = 1000

Calls = Counter[tuple[str, str]]


class Step(NamedTuple):
    """Calls per second at one rate of requests."""

    rate_per_s: float
    sent_count: int
    good_count: int
    reasons: dict[str, int]
    calls_per_s: dict[tuple[str, str], float]

    def total_per_s(self, operation: StoreOperation) -> float:
        rates = self.calls_per_s.items()
        return sum(rate for (_, kind), rate in rates if kind == operation)


def _calls(site: Site) -> Calls:
    counts = site.call(site.platform_address, "GET", "/counts").json()["calls"]
    return Counter({(c["purpose"], c["operation"]): c["count"] for c in counts})


def _plan(site: Site, seed: int, rate_per_s: float, window_s: float) -> PlanBody:
    flow = FlowBody(
        service=SERVICE,
        team=TEAM,
        urgency="normal",
        rate_per_s=rate_per_s,
        timeout_ms=TIMEOUT_MS,
        body_bytes=200,
        is_repeatable=False,
    )
    return PlanBody(
        addresses=[site.http_address(entry) for entry in site.entry_hosts],
        path="/v1/services/{service}/requests",
        account=ACCOUNT,
        seed=seed,
        concurrency_count=128,
        deadline_s=window_s * 2,
        phases=[PhaseBody(name="load", duration_s=window_s, flows=[flow])],
    )


def run_step(site: Site, seed: int, rate_per_s: float, window_s: float) -> Step:
    """
    :returns: calls of the site while requests arrive at the rate.
    """
    before, started_s = _calls(site), time.monotonic()
    samples = LoadRun(_plan(site, seed, rate_per_s, window_s)).run()
    time.sleep(max(0.0, started_s + window_s - time.monotonic()))
    after, elapsed_s = _calls(site), time.monotonic() - started_s
    return Step(
        rate_per_s,
        len(samples),
        sum(sample.verdict is Verdict.GOOD for sample in samples),
        dict(Counter(sample.reason for sample in samples if sample.reason)),
        {key: (count - before[key]) / elapsed_s for key, count in after.items()},
    )


def _print_step(step: Step) -> None:
    reasons = f", refused {step.reasons}" if step.reasons else ""
    print(
        f"{step.rate_per_s:.0f} requests/s: {step.good_count} of {step.sent_count} "
        f"answered in time{reasons}"
    )
    for purpose in StorePurpose:
        writes = step.calls_per_s.get((purpose, StoreOperation.WRITE), 0.0)
        reads = step.calls_per_s.get((purpose, StoreOperation.READ), 0.0)
        budget = SYSTEM_RATES[purpose]
        is_within = writes <= budget.writes_per_s and reads <= budget.reads_per_s
        print(
            f"  {purpose:14} {writes:6.1f} writes/s of {budget.writes_per_s:4.0f}, "
            f"{reads:6.1f} reads/s of {budget.reads_per_s:4.0f}"
            f"{'' if is_within else '  over budget'}"
        )
    writes = step.total_per_s(StoreOperation.WRITE)
    reads = step.total_per_s(StoreOperation.READ)
    is_met = writes < TARGET_WRITES_PER_S and reads < TARGET_READS_PER_S
    print(
        f"  sum            {writes:6.1f} writes/s, {reads:6.1f} reads/s; target under "
        f"{TARGET_WRITES_PER_S} and {TARGET_READS_PER_S}: "
        f"{'met' if is_met else 'missed'}; baseline of one write a request "
        f"{step.rate_per_s:.0f} writes/s for claims"
    )


def main() -> None:
    """Prints the calls at each rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--window-s", type=float, default=8.0)
    options = parser.parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {load_line()}")
    with tempfile.TemporaryDirectory() as name:
        deployment = ROOT / "deployments" / "ondangwa"
        site = Site(deployment, Path(name), port_shift=PORT_SHIFT)
        try:
            site.start()
            for number, rate_per_s in enumerate(RATES_PER_S):
                seed = options.seed + number
                _print_step(run_step(site, seed, rate_per_s, options.window_s))
        finally:
            site.stop()
    print(load_line())


if __name__ == "__main__":
    main()
