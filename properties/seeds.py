"""Seed of the randomised runs: printed, and set by ``SYCAMORECROFT_SEED``."""

import os

DEFAULT_SEED = 20261204


def run_seed() -> int:
    """
    :returns: the seed of this run.
    """
    seed = int(os.environ.get("SYCAMORECROFT_SEED", DEFAULT_SEED))
    print(f"SYCAMORECROFT_SEED={seed}")
    return seed


SEED = run_seed()
