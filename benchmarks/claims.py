"""Batched claims against one write for each claim, at several request rates.

Run: ``python benchmarks/claims.py [--seed N] [--duration S]``. Both run against an
in-memory table service with a delay for each call, with the same arrivals.
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
NO_BATCHES = BatchSettings(window_s=0.0, inserts_max_count=1)


class Outcome(NamedTuple):
    """Result of one run at one request rate."""

    held_count: int
    refused_count: int
    writes_per_s: float
    latencies_ms: list[float]


def arrivals(rate_per_s: int, duration_s: float, seed: int) -> list[float]:
    """
    :returns: times of a Poisson process in seconds from the start.
    """
    source = random.Random(seed)
    times, time_s = [], source.expovariate(rate_per_s)
    while time_s < duration_s:
        times.append(time_s)
        time_s += source.expovariate(rate_per_s)
    return times


def run(times: list[float], batch: BatchSettings, budget: StoreBudget) -> Outcome:
    """
    :returns: outcome of claims that arrive at ``times``, each with a key of its own.
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
    begin_s = time.monotonic()

    def claim(item: tuple[int, float]) -> bool:
        time.sleep(max(0.0, begin_s + item[1] - time.monotonic()))
        sent_s = time.monotonic()
        key = ClaimKey("account", "service", str(item[0]))
        try:
            service.claim(key, body_digest="d", deadline_s=sent_s + 2.0)
        except NotRunError:
            return False
        with lock:
            latencies_ms.append((time.monotonic() - sent_s) * 1000)
        return True

    with ThreadPoolExecutor(THREADS_COUNT) as pool:
        held = list(pool.map(claim, enumerate(times)))
    elapsed_s = time.monotonic() - begin_s
    service.stop()
    writes_count = tables.call_counts()[StorePurpose.CLAIMS, Operation.WRITE]
    held_count = sum(held)
    return Outcome(
        held_count, len(held) - held_count, writes_count / elapsed_s, latencies_ms
    )


def report(name: str, rate_per_s: int, outcome: Outcome) -> None:
    latencies_ms = sorted(outcome.latencies_ms) or [0.0]
    p99_ms = latencies_ms[int(len(latencies_ms) * 0.99)]
    print(
        f"{name:28} {rate_per_s:6} {outcome.held_count:6} {outcome.refused_count:8} "
        f"{outcome.writes_per_s:9.1f} {statistics.median(latencies_ms):8.1f} "
        f"{p99_ms:8.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=5.0, help="seconds per run")
    options = parser.parse_args()
    print(f"seed {options.seed}, store delay {STORE_DELAY_S * 1000:g} ms per call")
    print("'share' limits the store calls to one daemon's ninth of the budget")
    print(
        f"{'variant':28} {'req/s':>6} {'held':>6} {'refused':>8} {'writes/s':>9} "
        f"{'p50 ms':>8} {'p99 ms':>8}"
    )
    for rate_per_s in RATES_PER_S:
        times = arrivals(rate_per_s, options.duration, options.seed)
        for name, batch in (("one write each", NO_BATCHES), ("batched", None)):
            for limit, rates, share in (
                ("", UNLIMITED, 1.0),
                (", share", SYSTEM_RATES, 1 / 9),
            ):
                budget = StoreBudget(share, time.monotonic(), rates=rates)
                outcome = run(times, batch or BatchSettings(), budget)
                report(name + limit, rate_per_s, outcome)


if __name__ == "__main__":
    main()
