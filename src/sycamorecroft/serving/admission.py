"""Refuses submissions of client accounts by the reports of the services' owners."""

import hashlib
import math
import threading
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import KeyRefusedError, RecordError
from sycamorecroft.ownership.rows import ROW_KEY, OwnerRow
from sycamorecroft.scheduling.admission_report import (
    ADMISSION_KEY,
    REPORT_VALID_S,
    AdmissionRow,
)
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.serving.responses import RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

# A write without an answer may be applied seconds later.
UNCERTAIN_S = 60.0
UNCERTAIN_LIMIT_COUNT = 5000


class _Report(NamedTuple):
    """Report of a service. ``arrived_s`` is monotonic time."""

    row: AdmissionRow
    arrived_s: float


class Refusal(NamedTuple):
    """A submission is to be refused by the report of an owner."""

    retry_after_s: int
    share: float
    epoch: int
    age_s: float


class Admission:
    """Reports of the owners of all services. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._epochs: dict[str, int] = {}
        self._reports: dict[str, _Report] = {}

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Applies changed rows of owners and their reports."""
        for row in rows:
            if row.value is None or row.key not in (ROW_KEY, ADMISSION_KEY):
                continue
            try:
                if row.key == ROW_KEY:
                    self._raise_epoch(row.part, decode_row(row.value, OwnerRow).epoch)
                else:
                    self._apply_report(row.part, decode_report(row.value))
            except RecordError as error:
                _log.error(
                    "admission_row_malformed",
                    service=row.part,
                    key=row.key,
                    version=row.version,
                    error=str(error),
                )

    def _raise_epoch(self, service: str, epoch: int) -> None:
        with self._lock:
            self._epochs[service] = max(epoch, self._epochs.get(service, 0))

    def _apply_report(self, service: str, report: AdmissionRow) -> None:
        self._raise_epoch(service, report.epoch)
        with self._lock:
            if report.epoch < self._epochs[service]:
                return
            known = self._reports.get(service)
            # A store that has lost its history passes all rows again.
            if known is not None and report[:2] <= known.row[:2]:
                return
            self._reports[service] = _Report(report, self._clock.monotonic_s())

    def find_refusal(self, service: str, account: str, job_id: str) -> Refusal | None:
        """
        :returns: the refusal of a submission, ``None`` if no report in force asks for
            it. The same for each attempt with this id while the report stays the same.
        """
        with self._lock:
            report = self._reports.get(service)
            epoch = self._epochs.get(service, 0)
        if report is None or report.row.epoch < epoch:
            return None
        age_s = self._clock.monotonic_s() - report.arrived_s
        share = report.row.shares.get(account, 0.0)
        if age_s >= REPORT_VALID_S or job_position(job_id) >= share:
            return None
        wait_s = math.ceil(report.row.wait_ms / 1000)
        retry_after_s = max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, wait_s))
        return Refusal(retry_after_s, share, report.row.epoch, round(age_s, 3))


def decode_report(value: bytes) -> AdmissionRow:
    """
    :raises RecordError: when the value is no report.
    """
    row = decode_row(value, AdmissionRow)
    if min(row.epoch, row.number, row.wait_ms) < 0:
        raise RecordError(f"epoch, number and wait_ms must not be negative, got {row}")
    for account, share in row.shares.items():
        if not 0 <= share <= 1:
            raise RecordError(f"share of {account!r} must be from 0 to 1, got {share}")
    return row


def job_position(job_id: str) -> float:
    """
    :returns: position of an id in the interval from 0 to 1, evenly spread over ids.
    """
    digest = hashlib.sha256(job_id.encode()).digest()
    return int.from_bytes(digest[:6]) / 2**48


class SubmissionAttempt:
    """A submission in progress.

    :ivar is_certain: whether no other attempt with its id may be stored.
    """

    def __init__(self, job_id: str, *, is_certain: bool) -> None:
        self.job_id = job_id
        self.is_certain = is_certain


class UncertainSubmissions:
    """Ids of submissions through this entry host that may still be stored.

    A refusal says that a job never runs, which an earlier attempt with the same id may
    make untrue, also after its caller has given up. Thread-safe.
    """

    def __init__(self, clock: Clock, limit_count: int = UNCERTAIN_LIMIT_COUNT) -> None:
        self._clock = clock
        self._limit_count = limit_count
        self._lock = threading.Lock()
        self._in_progress: dict[str, set[SubmissionAttempt]] = {}
        self._until_s: OrderedDict[str, float] = OrderedDict()
        # Until then an id may be uncertain that there was no room for.
        self._unknown_until_s = -math.inf

    @contextmanager
    def attempt(self, job_id: str) -> Iterator[SubmissionAttempt]:
        """Marks a submission as in progress, and yields it."""
        with self._lock:
            attempt = SubmissionAttempt(job_id, is_certain=self._is_certain(job_id))
            attempts = self._in_progress.setdefault(job_id, set())
            for other in attempts:
                other.is_certain = False
            attempts.add(attempt)
        try:
            yield attempt
        except KeyRefusedError:
            # Raised only if nothing was sent.
            raise
        except Exception:
            self.record_unknown(job_id)
            raise
        finally:
            with self._lock:
                self._discard(attempt)

    def end_refused(self, attempt: SubmissionAttempt) -> bool:
        """Ends an attempt that is to be refused, unless another one began meanwhile.

        :returns: whether the attempt has ended and may be refused.
        """
        with self._lock:
            if attempt.is_certain:
                self._discard(attempt)
            return attempt.is_certain

    def _discard(self, attempt: SubmissionAttempt) -> None:
        attempts = self._in_progress.get(attempt.job_id, set())
        attempts.discard(attempt)
        if not attempts:
            self._in_progress.pop(attempt.job_id, None)

    def record_unknown(self, job_id: str) -> None:
        """Records that an attempt in progress may be stored later."""
        with self._lock:
            until_s = self._clock.monotonic_s() + UNCERTAIN_S
            self._until_s[job_id] = until_s
            self._until_s.move_to_end(job_id)
            if len(self._until_s) > self._limit_count:
                _, dropped_until_s = self._until_s.popitem(last=False)
                self._unknown_until_s = max(self._unknown_until_s, dropped_until_s)

    def _is_certain(self, job_id: str) -> bool:
        now_s = self._clock.monotonic_s()
        while self._until_s and next(iter(self._until_s.values())) <= now_s:
            self._until_s.popitem(last=False)
        is_known = job_id in self._until_s or job_id in self._in_progress
        return not is_known and now_s >= self._unknown_until_s
