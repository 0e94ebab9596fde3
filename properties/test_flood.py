"""Overload of one queue by one team, compared with a FIFO (targets of section 1.7)."""

import pytest

from benchmarks.flood import FLOODS, compare_models, is_target_met, measure_runs
from benchmarks.flood_load import Scenario
from benchmarks.flood_sites import FifoModel, QueueOwnerModel
from properties.seeds import run_seed


@pytest.mark.parametrize("flooded", FLOODS)
def test_flood_stops_no_other_team_class_or_queue(flooded):
    """Guards against head-of-line blocking by the flooding team.

    The FIFO must miss targets on the same arrivals, which shows that the load is an
    overload.
    """
    scenario = Scenario(run_seed(), 2.0, 4.0, flooded, 0)
    measured_runs = measure_runs(QueueOwnerModel, scenario)
    measured = list(
        compare_models(scenario, measured_runs, measure_runs(FifoModel, scenario))
    )
    missed = [figure for figure in measured if not is_target_met(figure, figure.value)]
    assert missed == []
    assert not all(is_target_met(figure, figure.baseline) for figure in measured)
    for figure in measured:
        if "other teams" in figure.name and "goodput" in figure.name:
            assert figure.value > 0.1, "an urgency class or team was starved"
