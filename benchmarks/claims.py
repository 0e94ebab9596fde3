"""Compares batched claims with one store write for each claim, at several rates.

Run ``python benchmarks/claims.py [--seed N] [--duration S]``. Both variants get the
same arrivals and use an in-memory table service that delays each call.
"""

import argparse
import random
import statistics
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from standins.faults import FaultInjector, Operation  # noqa: E402
from standins.memory_objects import MemoryObjects  # noqa: E402
from standins.memory_tables import MemoryTables  # noqa: E402
from sycamorecroft.claims import ClaimKey, ClaimService, ClaimSettings  # noqa: E402
from sycamorecroft.clock import SystemClock  # noqa: E402
from sycamorecroft.errors import NotRunError  # noqa: E402
from sycamorecroft.store import GuardedTableService, StoreBudget  # noqa: E402
from sycamorecroft.store.budget import SYSTEM_RATES, StoreRate  # noqa: E402
from sycamorecroft.store.insert_batcher import BatchSettings  # noqa: E402
from sycamorecroft.store.interfaces import StorePurpose  # noqa: E402

STORE_DELAY_S = 0.002
RATES_PER_S = (10, 50, 100, 200, 400)
THREADS_COUNT = 200
UNLIMITED = {purpose: StoreRate(1e6, 1e6) for purpose in StorePurpose}
UNBATCHED = BatchSettings(window_s=0.0, inserts_max_count=1)


class Outcome(NamedTuple):
    """Result of one variant at one request rate."""

    claimed_count: int
    refused_count: int
    writes_per_s: float
    latencies_ms: list[float]


def poisson_arrivals_s(rate_per_s: int, duration_s: float, seed: int) -> list[float]:
    """
    :returns: times of a Poisson process in seconds from the start.
    """
    rng = random.Random(seed)
    arrivals_s, time_s = [], rng.expovariate(rate_per_s)
    while time_s < duration_s:
        arrivals_s.append(time_s)
        time_s += rng.expovariate(rate_per_s)
    return arrivals_s


def run_claims(
    arrivals_s: list[float], batch: BatchSettings, budget: StoreBudget
) -> Outcome:
    """
    :returns: outcome of claims that arrive at ``times``, each with a unique key.
    """
    tables = MemoryTables(FaultInjector(timeout_s=None))
    tables.faults.set_delay(STORE_DELAY_S)
    guarded = GuardedTableService(
        tables, budget=budget, clock=SystemClock(), random_source=random.Random(1)
    )
    service = ClaimService(
        guarded, MemoryObjects(), SystemClock(), settings=ClaimSettings(batch)
    )
    service.start()
    latencies_ms: list[float] = []
    lock = threading.Lock()
    started_s = time.monotonic()

    def claim(arrival: tuple[int, float]) -> bool:
        time.sleep(max(0.0, started_s + arrival[1] - time.monotonic()))
        sent_s = time.monotonic()
        key = ClaimKey("account", "service", str(arrival[0]))
        try:
            service.claim(key, body_digest="d", deadline_s=sent_s + 2.0)
        except NotRunError:
            return False
        with lock:
            latencies_ms.append((time.monotonic() - sent_s) * 1000)
        return True

    with ThreadPoolExecutor(THREADS_COUNT) as pool:
        claimed = list(pool.map(claim, enumerate(arrivals_s)))
    elapsed_s = time.monotonic() - started_s
    service.stop()
    writes_count = tables.call_counts()[StorePurpose.CLAIMS, Operation.WRITE]
    claimed_count = sum(claimed)
    return Outcome(
        claimed_count,
        len(claimed) - claimed_count,
        writes_count / elapsed_s,
        latencies_ms,
    )


def print_outcome(name: str, rate_per_s: int, outcome: Outcome) -> None:
    latencies_ms = sorted(outcome.latencies_ms) or [0.0]
    p99_ms = latencies_ms[int(len(latencies_ms) * 0.99)]
    print(
        f"{name:28} {rate_per_s:6} {outcome.claimed_count:6} {outcome.refused_count:8} "
        f"{outcome.writes_per_s:9.1f} {statistics.median(latencies_ms):8.1f} "
        f"{p99_ms:8.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=5.0, help="seconds per run")
    options = parser.parse_args()
    print(f"seed {options.seed}, store delay {STORE_DELAY_S * 1000:g} ms per call")
    print("'share' limits the store calls to a ninth of the budget, one daemon's share")
    print(
        f"{'variant':28} {'req/s':>6} {'claims':>6} {'refused':>8} {'writes/s':>9} "
        f"{'p50 ms':>8} {'p99 ms':>8}"
    )
    for rate_per_s in RATES_PER_S:
        arrivals_s = poisson_arrivals_s(rate_per_s, options.duration, options.seed)
        for name, batch in (("one write per claim", UNBATCHED), ("batched", None)):
            for limit, rates, share in (
                ("", UNLIMITED, 1.0),
                (", share", SYSTEM_RATES, 1 / 9),
            ):
                budget = StoreBudget(share, time.monotonic(), rates=rates)
                outcome = run_claims(arrivals_s, batch or BatchSettings(), budget)
                print_outcome(name + limit, rate_per_s, outcome)


if __name__ == "__main__":
    main()
