"""Tests of the readiness of a node."""

from sycamorecroft.clock import ManualClock
from sycamorecroft.node.readiness import CONTACT_TIMEOUT_S, Readiness


def _is_ready(readiness):
    found = []
    readiness({}, lambda status, headers: found.append(status))
    return found[0].startswith("200")


def test_host_is_ready_while_it_can_accept_jobs():
    """Guards against new connections to a host that can't store what they bring."""
    clock = ManualClock()
    configured = []
    readiness = Readiness(clock, lambda: bool(configured))
    assert not _is_ready(readiness)
    readiness.record_contact()
    assert not _is_ready(readiness)
    configured.append(1)
    assert _is_ready(readiness)
    clock.advance(CONTACT_TIMEOUT_S)
    assert not _is_ready(readiness)
    readiness.record_contact()
    assert _is_ready(readiness)
    readiness.begin_stop()
    assert not _is_ready(readiness)
