"""Leases of controllers in table ``leases``."""

from datetime import timedelta
from typing import NamedTuple, TypedDict

import msgspec

from sycamorecroft.clock import Clock
from sycamorecroft.errors import NotLeaseHolderError, StoreConflictError
from sycamorecroft.leases.transactions import transact_resolved
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)

LEASES_TABLE = "leases"
TERM_S = 10.0
RENEW_AFTER_S = 3.0


class LeaseRecord(TypedDict):
    """Value of a row of table ``leases``. An empty ``holder`` means released.

    ``expires_at`` informs people; no decision depends on it.
    """

    name: str
    holder: str
    epoch: int
    expires_at: str


class _Hold(NamedTuple):
    epoch: int
    version: int
    renewed_s: float


class _Sighting(NamedTuple):
    version: int
    first_seen_s: float


class ControllerLease:
    """Lease on a controller's work, with an epoch that rises with each new holder.

    A lease has lapsed when its row hasn't changed for the term by the observer's
    monotonic clock, so clocks of different hosts are never compared. A holder that
    was paused past its term loses by comparison: each of its transactions contains
    :meth:`check`, which fails once another holder has written the row.

    :param name: row key, such as ``pools`` or ``jobs/rating``.
    :param holder: unique for each start of a process (name and incarnation).
    :param term_s: seconds without renewal after which another holder may acquire.
    :param renew_after_s: seconds after which :meth:`maintain` renews.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        *,
        name: str,
        holder: str,
        term_s: float = TERM_S,
        renew_after_s: float = RENEW_AFTER_S,
    ) -> None:
        self._table = table
        self._clock = clock
        self._name = name
        self._holder = holder
        self._term_s = term_s
        self._renew_after_s = renew_after_s
        self._hold: _Hold | None = None
        self._sighting: _Sighting | None = None

    @property
    def name(self) -> str:
        """Name of the lease."""
        return self._name

    @property
    def is_held(self) -> bool:
        """Whether the lease is held and the term has not passed on this host."""
        if self._hold is None:
            return False
        age_s = self._clock.monotonic_s() - self._hold.renewed_s
        return age_s < self._term_s

    @property
    def epoch(self) -> int:
        """
        :raises NotLeaseHolderError: when the lease is not held.
        """
        return self._require_hold().epoch

    def check(self) -> Check:
        """
        :returns: the condition that each transaction of the holder must contain.
        :raises NotLeaseHolderError: when the lease is not held.
        """
        return Check(LEASES_TABLE, self._name, self._require_hold().version)

    def maintain(self) -> bool:
        """Acquires the lease, or renews it when it is due.

        :returns: whether the lease is held afterwards.
        :raises PlatformError: when the store gave no answer.
        """
        if self._hold is None:
            return self.acquire()
        age_s = self._clock.monotonic_s() - self._hold.renewed_s
        return True if age_s < self._renew_after_s else self.renew()

    def acquire(self) -> bool:
        """
        :returns: whether the lease is held afterwards.
        :raises PlatformError: when the store gave no answer.
        """
        row = self._read()
        if row is None:
            return self._write(None, epoch=1)
        record = decode_lease(row.value or b"{}")
        if record["holder"] and not self._may_take(row, record):
            return False
        return self._write(row.version, epoch=record["epoch"] + 1)

    def renew(self) -> bool:
        """
        :returns: whether the lease is still held.
        :raises PlatformError: when the store gave no answer.
        """
        if self._hold is None:
            return False
        if self._write(self._hold.version, epoch=self._hold.epoch):
            return True
        return self.confirm()

    def confirm(self) -> bool:
        """Reads the row after a conflict, which may be due to a late renewal.

        :returns: whether the lease is still held.
        :raises PlatformError: when the store gave no answer.
        """
        if self._hold is None:
            return False
        row = self._read()
        if row is None or row.value is None:
            self._hold = None
            return False
        record = decode_lease(row.value)
        if (record["holder"], record["epoch"]) != (self._holder, self._hold.epoch):
            self._hold = None
            return False
        self._hold = self._hold._replace(version=row.version)
        return True

    def release(self) -> None:
        """Gives the lease up, so that another holder needs not wait for the term.

        :raises PlatformError: when the store gave no answer.
        """
        hold = self._hold
        self._hold = None
        if hold is None:
            return
        put = Put(LEASES_TABLE, self._name, self._encode("", hold.epoch))
        check = Check(LEASES_TABLE, self._name, hold.version)
        try:
            transact_resolved(self._table, [check], [put], purpose=StorePurpose.LEASES)
        except StoreConflictError:
            return

    def _require_hold(self) -> _Hold:
        if self._hold is None or not self.is_held:
            message = (
                f"lease {self._name!r} is not held by {self._holder!r}; "
                "acquire it before the operation"
            )
            raise NotLeaseHolderError(message)
        return self._hold

    def _read(self) -> Row | None:
        return self._table.read(LEASES_TABLE, self._name, purpose=StorePurpose.LEASES)

    def _may_take(self, row: Row, record: LeaseRecord) -> bool:
        if record["holder"] == self._holder:
            return True
        now_s = self._clock.monotonic_s()
        if self._sighting is None or self._sighting.version != row.version:
            self._sighting = _Sighting(row.version, now_s)
        return now_s - self._sighting.first_seen_s >= self._term_s

    def _write(self, version: int | None, *, epoch: int) -> bool:
        sent_s = self._clock.monotonic_s()
        put = Put(LEASES_TABLE, self._name, self._encode(self._holder, epoch))
        check = Check(LEASES_TABLE, self._name, version)
        try:
            written_version = transact_resolved(
                self._table, [check], [put], purpose=StorePurpose.LEASES
            )
        except StoreConflictError:
            return False
        self._hold = _Hold(epoch, written_version, sent_s)
        return True

    def _encode(self, holder: str, epoch: int) -> bytes:
        expires_at = self._clock.now() + timedelta(seconds=self._term_s)
        record = LeaseRecord(
            name=self._name,
            holder=holder,
            epoch=epoch,
            expires_at=expires_at.isoformat(),
        )
        return msgspec.json.encode(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """
    :returns: the record; unknown fields are ignored.
    :raises msgspec.ValidationError: when a known field is missing or malformed.
    """
    return msgspec.json.decode(value, type=LeaseRecord)
