"""Seed of the property tests, printed and settable."""

import os

SEED = int(os.environ.get("SYCAMORECROFT_SEED", "1"))
print(f"SYCAMORECROFT_SEED={SEED}")
