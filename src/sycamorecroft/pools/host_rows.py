"""Conditional transactions on host rows and the budget rows of their pools."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from sycamorecroft.errors import (
    NotLeaseHolderError,
    PoolOperationError,
    StoreConflictError,
)
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.leases.transactions import transact_resolved
from sycamorecroft.pools.records import (
    HOSTS_TABLE,
    POOLS_TABLE,
    BudgetRecord,
    BudgetRow,
    HostRow,
    budget_row,
    encode_record,
    host_row,
)
from sycamorecroft.pools.state import HostRecord
from sycamorecroft.pools.transitions import BudgetDelta, apply_delta, budget_deltas
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

CONFLICT_ATTEMPTS_COUNT = 3
_PURPOSE = StorePurpose.POOLS

HostChange: TypeAlias = Callable[[HostRecord], HostRecord]


class ExtraWrite(NamedTuple):
    """Checks and puts that a caller adds to an operation's transaction."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()


NO_EXTRA_WRITE = ExtraWrite()


class HostRowStore:
    """Stores host and budget rows under a controller's lease.

    Each change checks the host row, the lease row and the budget rows of the pools
    concerned in one transaction. When a check fails, the change is evaluated again on
    the rows as they are then.
    """

    def __init__(self, table: TableService, lease: ControllerLease) -> None:
        self._table = table
        self._lease = lease

    def read(self, host: str) -> HostRow | None:
        """
        :returns: the host's row, or ``None`` when it isn't registered.
        """
        row = self._table.read(HOSTS_TABLE, host, purpose=_PURPOSE)
        return None if row is None else host_row(row)

    def read_known(self, host: str) -> HostRow:
        """
        :raises PoolOperationError: when the host isn't registered.
        """
        row = self.read(host)
        if row is None:
            raise _not_registered(host)
        return row

    def read_budget(self, pool: str) -> BudgetRow | None:
        """
        :returns: the pool's budget row, or ``None`` when the pool is unknown.
        """
        row = self._table.read(POOLS_TABLE, pool, purpose=_PURPOSE)
        return None if row is None else budget_row(row)

    def set_budget(self, pool: str, max_unavailable_ratio: float) -> BudgetRow:
        """Creates the pool's budget row, or sets its ratio.

        :returns: the row as stored.
        :raises StoreConflictError: when each attempt lost to another writer.
        """
        for _ in range(CONFLICT_ATTEMPTS_COUNT):
            row = self.read_budget(pool)
            if row and row.record["max_unavailable_ratio"] == max_unavailable_ratio:
                return row
            try:
                return self._commit_budget(pool, row, max_unavailable_ratio)
            except StoreConflictError:
                self._require_holder()
        raise _conflict("set the budget of pool", pool)

    def insert(self, record: HostRecord) -> HostRow:
        """Registers a host, unless it is registered already.

        :returns: the new row, or the row that exists.
        :raises StoreConflictError: when each attempt lost to another writer.
        """
        host = record["host"]
        for _ in range(CONFLICT_ATTEMPTS_COUNT):
            row = self.read(host)
            if row is not None:
                return row
            try:
                return HostRow(record, self._commit(host, None, record))
            except StoreConflictError:
                self._require_holder()
        raise _conflict("register host", host)

    def delete(self, row: HostRow) -> None:
        """Deletes a host's row, if it is unchanged since it was read.

        :raises StoreConflictError: when another writer changed it.
        """
        try:
            self._commit(row.record["host"], row, None)
        except StoreConflictError:
            self._require_holder()
            raise

    def change(
        self,
        host: str,
        change: HostChange,
        extra: ExtraWrite = NO_EXTRA_WRITE,
        *,
        expected_version: int | None = None,
    ) -> HostRow:
        """Changes a host's record.

        :param change: returns the new record, or its argument for no change; called
            again with the current record after a conflict.
        :param extra: checks and puts added to the transaction.
        :param expected_version: version that the row must have, ``None`` for any.
        :returns: the row as stored.
        :raises PoolOperationError: when the host isn't registered.
        :raises StoreConflictError: when each attempt lost to another writer.
        """
        for _ in range(CONFLICT_ATTEMPTS_COUNT):
            row = self.read_known(host)
            if expected_version not in (None, row.version):
                break
            after = change(row.record)
            if after is row.record:
                return row
            try:
                return HostRow(after, self._commit(host, row, after, extra))
            except StoreConflictError:
                self._require_holder()
        raise _conflict("change host", host)

    def _require_holder(self) -> None:
        # Without the lease, a retry would act on rows that another holder has changed.
        if not self._lease.confirm():
            raise NotLeaseHolderError(
                "another controller holds the lease; acquire it before the operation"
            )

    def _commit(
        self,
        host: str,
        row: HostRow | None,
        after: HostRecord | None,
        extra: ExtraWrite = NO_EXTRA_WRITE,
    ) -> int:
        deltas = budget_deltas(None if row is None else row.record, after)
        budgets = {pool: self._require_budget(pool) for pool in deltas}
        checks = [
            Check(HOSTS_TABLE, host, None if row is None else row.version),
            self._lease.check(),
            *(Check(POOLS_TABLE, pool, item.version) for pool, item in budgets.items()),
            *extra.checks,
        ]
        puts = _puts(host, after, _budget_puts(budgets, deltas))
        return transact_resolved(
            self._table, checks, [*puts, *extra.puts], purpose=_PURPOSE
        )

    def _commit_budget(
        self, pool: str, row: BudgetRow | None, max_unavailable_ratio: float
    ) -> BudgetRow:
        record = row.record.copy() if row else _empty_budget(pool)
        record["max_unavailable_ratio"] = max_unavailable_ratio
        checks = [
            Check(POOLS_TABLE, pool, row.version if row else None),
            self._lease.check(),
        ]
        put = Put(POOLS_TABLE, pool, encode_record(record))
        version = transact_resolved(self._table, checks, [put], purpose=_PURPOSE)
        return BudgetRow(record, version)

    def _require_budget(self, pool: str) -> BudgetRow:
        row = self.read_budget(pool)
        if row is None:
            message = f"pool {pool!r} has no budget row; call ensure_pool first"
            raise PoolOperationError(message)
        return row


def _puts(
    host: str, after: HostRecord | None, budget_puts: Sequence[Put]
) -> Sequence[Put]:
    # The first put carries the token by which a lost response is resolved; a deletion
    # can't carry one.
    if after is None:
        return [*budget_puts, Put(HOSTS_TABLE, host, None)]
    return [Put(HOSTS_TABLE, host, encode_record(after)), *budget_puts]


def _budget_puts(
    budgets: Mapping[str, BudgetRow], deltas: Mapping[str, BudgetDelta]
) -> Sequence[Put]:
    return [
        Put(POOLS_TABLE, pool, encode_record(apply_delta(row.record, deltas[pool])))
        for pool, row in budgets.items()
    ]


def _empty_budget(pool: str) -> BudgetRecord:
    return BudgetRecord(
        pool=pool,
        hosts_count=0,
        planned_out_count=0,
        failed_out_count=0,
        max_unavailable_ratio=0.0,
    )


def _conflict(operation: str, name: str) -> StoreConflictError:
    message = f"can't {operation} {name!r}: another writer changed it; read it again"
    return StoreConflictError(message)


def _not_registered(host: str) -> PoolOperationError:
    return PoolOperationError(f"host {host!r} is not registered; register it first")
