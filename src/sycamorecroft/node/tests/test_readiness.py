"""Tests of the readiness probe of a node."""

from sycamorecroft.clock import ManualClock
from sycamorecroft.node.readiness import CONTACT_TIMEOUT_S, Readiness


def _is_ready(readiness):
    statuses = []
    readiness({}, lambda status, headers: statuses.append(status))
    return statuses[0].startswith("200")


def test_entry_host_is_ready_while_it_can_accept_jobs():
    """Guards against new connections to an entry host that can't store jobs."""
    clock = ManualClock()
    configurations = []
    readiness = Readiness(clock, lambda: bool(configurations))
    assert not _is_ready(readiness)
    readiness.record_contact()
    assert not _is_ready(readiness)
    configurations.append(1)
    assert _is_ready(readiness)
    clock.advance(CONTACT_TIMEOUT_S)
    assert not _is_ready(readiness)
    readiness.record_contact()
    assert _is_ready(readiness)
    readiness.mark_stopping()
    assert not _is_ready(readiness)
