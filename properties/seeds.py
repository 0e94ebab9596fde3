"""Seed of the randomised runs, set by ``SYCAMORECROFT_SEED`` and printed."""

import os

DEFAULT_SEED = 20261204


def run_seed() -> int:
    """Prints the seed, so that a failed run can be repeated.

    :returns: the seed of this run.
    """
    seed = int(os.environ.get("SYCAMORECROFT_SEED", DEFAULT_SEED))
    print(f"SYCAMORECROFT_SEED={seed}")
    return seed


SEED = run_seed()
