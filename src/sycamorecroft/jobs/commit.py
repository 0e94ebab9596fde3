"""Commits a controller's changes to job rows, several rows per transaction."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from sycamorecroft.errors import NotLeaseHolderError, StoreConflictError
from sycamorecroft.jobs.records import (
    ENDED_STATES,
    JOBS_TABLE,
    JobRecord,
    JobRow,
    job_puts,
)
from sycamorecroft.jobs.view import JobView
from sycamorecroft.leases import ControllerLease
from sycamorecroft.store.interfaces import Check, StorePurpose, TableService


class Change(NamedTuple):
    """New value of a row, based on the version of the row in ``base``."""

    base: JobRow
    record: JobRecord

    @property
    def job_id(self) -> str:
        """
        :returns: id of the job, which is the key of its row.
        """
        return self.base.record["job_id"]


class JobCommitter:
    """Writes changes, on condition that the lease and each row are unchanged."""

    def __init__(
        self,
        tables: TableService,
        view: JobView,
        lease: ControllerLease,
        refresh: Callable[[], object],
        *,
        rows_per_transaction_count: int,
        transactions_max_count: int,
    ) -> None:
        """
        :param refresh: reads new row versions into the view; called after a conflict.
        """
        self._tables = tables
        self._view = view
        self._lease = lease
        self._refresh = refresh
        self._rows_count = rows_per_transaction_count
        self._transactions_count = transactions_max_count

    def commit(self, changes: Sequence[Change], epoch: int) -> tuple[Change, ...]:
        """Commits changes in order, up to the limit of transactions per step.

        A change is dropped if another process has written its row since, such as a
        cancellation; the next step decides on the new version.

        :returns: the changes that were committed.
        :raises NotLeaseHolderError: when the lease is no longer held with ``epoch``.
        :raises StoreUnavailableError: when the remaining changes are known not to be
            written.
        :raises StoreOutcomeUnknownError: when the response was lost; the next
            refresh of the view shows what was written.
        """
        pending = list(changes)
        committed: list[Change] = []
        for _ in range(self._transactions_count):
            if not pending:
                break
            batch = pending[: self._rows_count]
            try:
                version = self._transact(batch, epoch)
            except StoreConflictError:
                self._refresh()
                pending = self._drop_stale(pending, epoch)
                continue
            for change in batch:
                self._apply_to_view(change, version)
            committed += batch
            pending = pending[len(batch) :]
        return tuple(committed)

    def _transact(self, batch: Sequence[Change], epoch: int) -> int:
        if self._lease.epoch != epoch:
            raise NotLeaseHolderError(f"the lease of epoch {epoch} is no longer held")
        checks = [self._lease.check()]
        puts = []
        for change in batch:
            checks.append(Check(JOBS_TABLE, change.job_id, change.base.version))
            puts.extend(job_puts(change.record))
        return self._tables.transact(checks, puts, purpose=StorePurpose.JOBS)

    def _drop_stale(self, changes: list[Change], epoch: int) -> list[Change]:
        """
        :returns: the changes whose rows are still at the version they are based on.
        :raises NotLeaseHolderError: when no row changed, since then the lease did.
        """
        current = [change for change in changes if self._is_current(change)]
        if len(current) == len(changes) and not self._lease.confirm():
            raise NotLeaseHolderError(f"the lease of epoch {epoch} is no longer held")
        return current

    def _is_current(self, change: Change) -> bool:
        row = self._view.get(change.job_id)
        return row is not None and row.version == change.base.version

    def _apply_to_view(self, change: Change, version: int) -> None:
        if change.record["state"] in ENDED_STATES:
            self._view.remove(change.job_id)
        else:
            self._view.put(change.record, version)
