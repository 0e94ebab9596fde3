"""Leases that give one daemon at a time a controller's work, in table ``leases``."""

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
    """Value of a row of table ``leases``; an empty ``holder`` means released.

    ``expires_at`` is informative only; no decision depends on it.
    """

    name: str
    holder: str
    epoch: int
    expires_at: str


class _HeldLease(NamedTuple):
    epoch: int
    version: int
    renewed_s: float


class _Observation(NamedTuple):
    version: int
    first_seen_s: float


class ControllerLease:
    """Lease on a controller's work, with an epoch that rises with each acquisition.

    A lease has expired when its row hasn't changed for the term by the observer's
    monotonic clock, so clocks of different entry hosts are never compared. A holder
    that was paused past its term can't write: each of its transactions contains
    :meth:`check`, which fails once another holder has written the lease row.

    :param name: row key, such as ``pools`` or ``jobs/rating``.
    :param holder: name and incarnation of the process; unique for each start.
    :param term_s: seconds without renewal after which another holder may acquire.
    :param renew_after_s: seconds since the last renewal after which :meth:`maintain`
        renews.
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
        self._held_lease: _HeldLease | None = None
        self._observation: _Observation | None = None

    @property
    def name(self) -> str:
        """Row key of the lease."""
        return self._name

    @property
    def is_held(self) -> bool:
        """Whether the lease is held and its term hasn't passed by the local clock."""
        if self._held_lease is None:
            return False
        age_s = self._clock.monotonic_s() - self._held_lease.renewed_s
        return age_s < self._term_s

    @property
    def epoch(self) -> int:
        """
        :returns: the epoch in which the lease is held.
        :raises NotLeaseHolderError: when the lease is not held.
        """
        return self._require_held().epoch

    def check(self) -> Check:
        """
        :returns: the condition that each transaction of the holder must contain.
        :raises NotLeaseHolderError: when the lease is not held.
        """
        return Check(LEASES_TABLE, self._name, self._require_held().version)

    def maintain(self) -> bool:
        """Acquires the lease if it isn't held, or renews it if that is due.

        :returns: whether the lease is held afterwards.
        :raises PlatformError: when the store did not answer.
        """
        if self._held_lease is None:
            return self.acquire()
        age_s = self._clock.monotonic_s() - self._held_lease.renewed_s
        return True if age_s < self._renew_after_s else self.renew()

    def acquire(self) -> bool:
        """Acquires the lease if it is released, expired or already this holder's.

        :returns: whether the lease is held afterwards.
        :raises PlatformError: when the store did not answer.
        """
        row = self._read()
        if row is None:
            return self._write(None, epoch=1)
        record = decode_lease(row.value or b"{}")
        if record["holder"] and not self._may_acquire(row, record):
            return False
        return self._write(row.version, epoch=record["epoch"] + 1)

    def renew(self) -> bool:
        """Renews the lease for another term.

        :returns: whether the lease is still held.
        :raises PlatformError: when the store did not answer.
        """
        if self._held_lease is None:
            return False
        if self._write(self._held_lease.version, epoch=self._held_lease.epoch):
            return True
        return self.confirm()

    def confirm(self) -> bool:
        """Reads the row back after a conflict, which may stem from an own late renewal.

        :returns: whether the lease is still held.
        :raises PlatformError: when the store did not answer.
        """
        if self._held_lease is None:
            return False
        row = self._read()
        if row is None or row.value is None:
            self._held_lease = None
            return False
        record = decode_lease(row.value)
        if (record["holder"], record["epoch"]) != (
            self._holder,
            self._held_lease.epoch,
        ):
            self._held_lease = None
            return False
        self._held_lease = self._held_lease._replace(version=row.version)
        return True

    def release(self) -> None:
        """Releases the lease, so that another holder can acquire it at once.

        :raises PlatformError: when the store did not answer.
        """
        held_lease = self._held_lease
        self._held_lease = None
        if held_lease is None:
            return
        put = Put(LEASES_TABLE, self._name, self._encode("", held_lease.epoch))
        check = Check(LEASES_TABLE, self._name, held_lease.version)
        try:
            transact_resolved(self._table, [check], [put], purpose=StorePurpose.LEASES)
        except StoreConflictError:
            return

    def _require_held(self) -> _HeldLease:
        if self._held_lease is None or not self.is_held:
            message = (
                f"lease {self._name!r} is not held by {self._holder!r}; "
                "acquire it before the operation"
            )
            raise NotLeaseHolderError(message)
        return self._held_lease

    def _read(self) -> Row | None:
        return self._table.read(LEASES_TABLE, self._name, purpose=StorePurpose.LEASES)

    def _may_acquire(self, row: Row, record: LeaseRecord) -> bool:
        if record["holder"] == self._holder:
            return True
        now_s = self._clock.monotonic_s()
        if self._observation is None or self._observation.version != row.version:
            self._observation = _Observation(row.version, now_s)
        return now_s - self._observation.first_seen_s >= self._term_s

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
        self._held_lease = _HeldLease(epoch, written_version, sent_s)
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
    :returns: the record, without unknown fields.
    :raises msgspec.ValidationError: when a known field is missing or malformed.
    """
    return msgspec.json.decode(value, type=LeaseRecord)
