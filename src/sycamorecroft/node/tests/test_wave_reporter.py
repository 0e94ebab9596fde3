"""Tests of the reports on waves to the operator."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.errors import StoreOutcomeUnknownError
from sycamorecroft.node.wave_reporter import WaveReporter
from sycamorecroft.platform import encode_wave_status
from sycamorecroft.platform.names import STATUS_TABLE, WAVE_PREFIX


def _status(tables):
    return tables.row(STATUS_TABLE, f"{WAVE_PREFIX}7").value


def test_late_report_of_a_running_wave_does_not_undo_its_completion():
    """Guards against a complete wave that the operator sees as running for good."""
    tables = MemoryPartitions()
    reporter = WaveReporter(tables)
    tables.faulty_table = STATUS_TABLE
    tables.delayed_count = 1
    with pytest.raises(StoreOutcomeUnknownError):
        reporter.report(7, False)
    reporter.report(7, True)
    tables.apply_delayed()
    assert _status(tables) == encode_wave_status(True)


def test_former_controller_does_not_report_a_complete_wave_as_running():
    """Guards against a controller that was suspended and reports what was before."""
    tables = MemoryPartitions()
    former, successor = WaveReporter(tables), WaveReporter(tables)
    successor.report(7, True)
    former.report(7, False)
    assert _status(tables) == encode_wave_status(True)
