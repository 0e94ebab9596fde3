"""Tests of when and by whom the admission report of a service is stored."""

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import SERVICE
from sycamorecroft.errors import StoreConflictError, StoreUnavailableError
from sycamorecroft.node.admission_publisher import AdmissionPublisher, should_store
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.admission_report import (
    ADMISSION_KEY,
    AdmissionReport,
    AdmissionRow,
)
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Put, StorePurpose

REPORT = AdmissionReport(10.0, 2500, {"south": 0.5})


def _claim(tables, epoch):
    put = Put(OWNERS_TABLE, ROW_KEY, b"{}", SERVICE)
    version = tables.transact((), (put,), purpose=StorePurpose.LEASES)
    return ServiceClaim(SERVICE, epoch, version, None, 0)


def _stored(tables):
    row = tables.row(OWNERS_TABLE, ADMISSION_KEY, SERVICE)
    return decode_row(row.value, AdmissionRow) if row else None


@pytest.mark.parametrize(
    ("shares", "after_s", "is_due"),
    [
        ({"south": 0.5}, 0.9, False),
        ({"south": 0.5}, 1.0, True),
        ({"south": 0.6}, 0.2, False),
        ({"south": 0.6}, 0.25, True),
        ({}, 0.25, True),
    ],
)
def test_changes_and_renewals_are_stored(shares, after_s, is_due):
    """Guards against needless store calls, and against refusals that end, or go on,
    since a report was not stored.
    """
    report = REPORT._replace(taken_s=REPORT.taken_s + after_s, shares=shares)
    assert should_store(report, REPORT) == is_due


def test_nothing_is_stored_while_nothing_is_refused():
    """Guards against store calls of services that aren't overloaded."""
    nothing = AdmissionReport(10.0)
    assert not should_store(nothing, None)
    assert not should_store(AdmissionReport(99.0), nothing)


def test_former_owner_stores_no_report():
    """Guards against a former owner that replaces the report of its successor."""
    tables = MemoryPartitions()
    former = AdmissionPublisher(tables, _claim(tables, 1))
    former.store(REPORT)
    assert _stored(tables) == AdmissionRow(1, 1, 2500, {"south": 0.5})
    AdmissionPublisher(tables, _claim(tables, 2)).store(REPORT)
    with pytest.raises(StoreConflictError):
        former.store(REPORT._replace(wait_ms=1))
    assert _stored(tables).epoch == 2


def test_report_that_was_not_stored_is_not_in_force():
    """Guards against an owner that counts on refusals which no entry host makes."""
    tables = MemoryPartitions()
    publisher = AdmissionPublisher(tables, _claim(tables, 1))
    tables.is_unavailable = True
    with pytest.raises(StoreUnavailableError):
        publisher.store(REPORT)
    assert publisher.publish(REPORT) is None
    tables.is_unavailable = False
    publisher.store(REPORT)
    assert publisher.publish(REPORT) == REPORT
