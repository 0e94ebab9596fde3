"""A short seeded run of the fault soak, and the seeds that once failed."""

import pytest

from soak.run import run

DURATION_S = 8.0
SEEDS = (
    1,
    # A new owner gave up runs before it had asked their worker, and started tasks again
    # whose ends the worker still listed.
    2,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_from_outside(seed):
    """Guards against promises that break between real processes."""
    result = run(seed, DURATION_S)
    assert not result.broken, f"logs of the nodes: {result.folder}"
    assert result.accepted_count
