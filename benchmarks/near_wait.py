"""Compares decisions on tasks whose rack is full, on loads whose tasks prefer racks.

The pool has 40 workers on 5 racks and runs 320 tasks, 40 jobs a second, if all run near
their data. Each row is the mean over the seeds.

Usage: ``python -m benchmarks.near_wait [--seeds-count N] [LOAD ...]``
"""

import argparse
from logging import WARNING

import structlog
from structlog import make_filtering_bound_logger

from standins.near_wait_load import (
    NearLoad,
    NearResult,
    decide_no_wait,
    fixed_delay,
    play,
)
from sycamorecroft.scheduling.near_wait import decide_wait

PEAKS = (4.0, 75.0, 4.0, 4.0, 75.0, 4.0)
LOADS = {
    "calm": NearLoad((15, 15)),
    "hot rack": NearLoad((20, 20), hot_ratio=0.5),
    "all one rack": NearLoad((20, 20), hot_ratio=1.0),
    "nine tenths": NearLoad((36, 36)),
    "peaks": NearLoad(PEAKS),
    "hot peak": NearLoad((4, 60, 4, 4), hot_ratio=0.4),
    "hot rack, ratio 2": NearLoad((20, 20), hot_ratio=0.5, slowdown_ratio=2),
    "peaks, ratio 2": NearLoad(PEAKS, slowdown_ratio=2),
    "peaks, ratio 1.5": NearLoad(PEAKS, slowdown_ratio=1.5),
    "peaks, noise 4": NearLoad(PEAKS, noise_ratio=4),
    "peaks, ten times as long": NearLoad(
        tuple(rate / 10 for rate in PEAKS), phase_s=40, bias_ratio=10
    ),
}
POLICIES = {
    "no wait": decide_no_wait,
    "fixed 0.3 s": fixed_delay(0.3),
    "fixed 1 s": fixed_delay(1.0),
    "fixed 3 s": fixed_delay(3.0),
    "expected end": decide_wait,
}


def main() -> None:
    """Prints a row for each load and decision."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds-count", type=int, default=3)
    parser.add_argument("loads", nargs="*", default=list(LOADS))
    options = parser.parse_args()
    logging = make_filtering_bound_logger(WARNING)
    structlog.configure(wrapper_class=logging)
    print("| Load | Decision | In time | Useful | Mean s | Far | Longest wait s |")
    print("|---|---|---|---|---|---|---|")
    for name in options.loads:
        for policy, decide in POLICIES.items():
            seeds = range(1, options.seeds_count + 1)
            results = [play(LOADS[name], decide, seed) for seed in seeds]
            result = NearResult(*(sum(v) / len(v) for v in zip(*results, strict=True)))
            print(
                f"| {name} | {policy} | {result.in_time_ratio:.2f} | "
                f"{result.useful_ratio:.2f} | {result.mean_s:.2f} | "
                f"{result.far_ratio:.2f} | {result.longest_wait_s:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
