"""Thread that stores the admission report of a service for the entry hosts."""

import threading

import structlog

from sycamorecroft.errors import PlatformError, StoreConflictError
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.admission_report import (
    ADMISSION_KEY,
    REPORT_INTERVAL_S,
    AdmissionReport,
    AdmissionRow,
)
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    StorePurpose,
)

_log = structlog.get_logger(__name__)

# Half of the time for which entry hosts apply a report, so that one may be lost.
RENEWAL_INTERVAL_S = 1.0
RETRY_S = 0.2


class AdmissionPublisher:
    """Stores the latest report and skips those superseded in the meantime.

    A report is stored only while the claim holds, so that a former owner replaces none
    of its successor.
    """

    def __init__(self, tables: PartitionedTableService, claim: ServiceClaim) -> None:
        self._tables = tables
        self._claim = claim
        self._number = 0
        self._latest: AdmissionReport | None = None
        self._stored: AdmissionReport | None = None
        self._changed = threading.Event()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        name = f"admission-{self._claim.service}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Ends the thread without waiting for a call in progress."""
        self._closed.set()
        self._changed.set()

    def publish(self, report: AdmissionReport) -> AdmissionReport | None:
        """Passes a report to the thread, which stores it if it is due.

        :returns: the report that was stored last, ``None`` if none was.
        """
        self._latest = report
        if should_store(report, self._stored):
            self._changed.set()
        return self._stored

    def _run(self) -> None:
        while not self._closed.is_set():
            self._changed.wait()
            self._changed.clear()
            report = self._latest
            if report is None or not should_store(report, self._stored):
                continue
            try:
                self.store(report)
            except StoreConflictError:
                _log.info("admission_claim_ended", service=self._claim.service)
                return
            except PlatformError as error:
                service = self._claim.service
                _log.debug("admission_store_failed", service=service, error=str(error))
                self._closed.wait(RETRY_S)
            except Exception:
                _log.exception("admission_store_aborted", service=self._claim.service)
                self._closed.wait(RETRY_S)

    def store(self, report: AdmissionReport) -> None:
        """Stores a report.

        :raises StoreConflictError: when the claim has ended.
        :raises PlatformError: when the report may not have been stored.
        """
        claim = self._claim
        self._number += 1
        shares = dict(report.shares)
        row = AdmissionRow(claim.epoch, self._number, report.wait_ms, shares)
        check = Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, claim.service)
        put = Put(OWNERS_TABLE, ADMISSION_KEY, encode_row(row), claim.service)
        self._tables.transact((check,), (put,), purpose=StorePurpose.LEASES)
        self._stored = report


def should_store(report: AdmissionReport, stored: AdmissionReport | None) -> bool:
    """
    :param stored: report that was stored last.
    :returns: whether the report should be stored now.
    """
    if stored is None:
        return bool(report.shares)
    age_s = report.taken_s - stored.taken_s
    if report.shares and age_s >= RENEWAL_INTERVAL_S:
        return True
    is_same = report[1:] == stored[1:]
    return age_s >= REPORT_INTERVAL_S and not is_same
