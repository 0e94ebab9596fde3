"""Grants of the accounts' limits as the owner of a service knows and changes them."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import islice

import structlog

from sycamorecroft.quotas.allocation import (
    NOTHING,
    UNLIMITED,
    UNLIMITED_AMOUNT,
    AllocationInput,
    allocate,
    effective_limit,
    entry_grant,
    fits,
    granted_total,
    is_alone,
    is_contested,
    least,
    most,
    unmet_wanted,
)
from sycamorecroft.quotas.known_rows import ABSENT, KnownRow, read_row
from sycamorecroft.quotas.messages import (
    AccountQuota,
    QuotaWrite,
    QuotaWriteResult,
    RowChange,
)
from sycamorecroft.quotas.refused_demands import RefusedDemands
from sycamorecroft.quotas.removed_services import RemovedServices
from sycamorecroft.quotas.rows import QuotaEntry, QuotaRow
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import ClientAccount, Resources
from sycamorecroft.scheduling.quota_gate import QuotaGate
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.store.interfaces import Row

# A transaction of the store holds 100 entries, a check and a put for each row.
ROWS_PER_WRITE_COUNT = 50
WRITE_INTERVAL_S = 0.05
# Grants that others wait for are compared with the usage this often.
REVIEW_INTERVAL_S = 0.25

_log = structlog.get_logger(__name__)


class QuotaLedger(QuotaGate):
    """Grants of a service. Not thread-safe.

    :param service: name of the service.
    :param epoch: epoch of its owner.
    :param usage: usage of the accounts by the runs of the service, which others change.
    """

    def __init__(self, service: str, epoch: int, usage: AccountUsage) -> None:
        self._service = service
        self._epoch = epoch
        self._usage = usage
        self._accounts: Mapping[str, ClientAccount] | None = None
        self._configuration_version = 0
        self._services: frozenset[str] = frozenset()
        # Versions of the configuration by which the limits in force were first seen.
        self._limit_versions: dict[str, int] = {}
        self._first_version = 0
        self._rows: dict[str, KnownRow] = {}
        self._has_read = False
        self._has_taken_over = False
        self._in_flight: QuotaWrite | None = None
        self._pending: dict[str, QuotaEntry] = {}
        # What may run, for accounts of which tasks may start.
        self._grants: dict[str, Resources] = {}
        # Grants for a single task beyond the limit.
        self._single_grants: dict[str, Resources] = {}
        # Usage up to which tasks start while other services wait.
        self._ceilings: dict[str, Resources] = {}
        self._refused = RefusedDemands()
        self._needs: dict[str, Resources] = {}
        self._pool_capacity = NOTHING
        self._changed: set[str] = set()
        self._reviewed: set[str] = set()
        self._removed = RemovedServices(service)
        # Accounts whose grant for a single task beyond the limit has been used.
        self._single_done: set[str] = set()
        self._next_write_s = 0.0
        self._next_review_s = 0.0
        self._batch_count = ROWS_PER_WRITE_COUNT
        self.is_superseded = False

    def allows(self, account: str, demand: Resources, count: int = 1) -> bool:
        if self._accounts is None or not account:
            return True
        total = demand if count == 1 else demand.times(count)
        grant = self._grants.get(account)
        if grant is not None and grant.covers(self._usage.used(account).plus(total)):
            return True
        if count > 1:
            # Only a single task may exceed the limit.
            if fits(total, self._limit(account)):
                self._refused.note(account, total)
            return False
        return self._allows_single(account, demand)

    def is_limited(self, account: str) -> bool:
        if self._accounts is None or not account or self.is_superseded:
            return False
        known = self._rows.get(account, ABSENT)
        if known.row is None:
            return known.is_malformed
        limit = self._limit(account)
        room = limit.minus(granted_total(self._others(known.row)))
        demand = self._refused.smallest(account)
        used = self._usage.used(account)
        needed = used.plus(demand or NOTHING)
        return any(
            bound < UNLIMITED_AMOUNT
            and (amount < want or (demand is None and amount <= taken))
            for bound, amount, want, taken in zip(
                limit, room, needed, used, strict=True
            )
        )

    def copy(self, usage: AccountUsage) -> "QuotaLedger":
        twin = shallow_copy(self)
        twin._usage = usage
        twin._accounts = None if self._accounts is None else dict(self._accounts)
        twin._rows = {name: known.copy() for name, known in self._rows.items()}
        twin._grants = self._grants.copy()
        twin._single_grants = self._single_grants.copy()
        twin._ceilings = self._ceilings.copy()
        twin._refused = self._refused.copy()
        twin._limit_versions = self._limit_versions.copy()
        twin._pending = self._pending.copy()
        twin._needs = self._needs.copy()
        twin._changed = self._changed.copy()
        twin._reviewed = self._reviewed.copy()
        twin._removed = self._removed.copy()
        twin._single_done = self._single_done.copy()
        return twin

    def apply_accounts(
        self,
        accounts: Mapping[str, ClientAccount] | None,
        configuration_version: int,
        services: frozenset[str],
        now_s: float,
    ) -> None:
        """Applies the configuration in force.

        :param accounts: client accounts by name, ``None`` if it has none.
        :param services: names of all services.
        """
        # The limits of a version that was skipped may have been used for higher grants.
        is_skipped = configuration_version > self._configuration_version + 1
        if self._accounts is None or is_skipped:
            self._first_version = configuration_version
            self._limit_versions.clear()
        elif accounts is not None:
            self._note_changed_limits(accounts, configuration_version)
        self._accounts = accounts
        self._configuration_version = configuration_version
        self._services = services
        self._removed.apply_services(services, configuration_version)
        for account, known in self._rows.items():
            self._removed.note(known, now_s)
            self._refresh(account)
        self._changed.update(self._rows, self._needs, self._usage.accounts())

    def apply_rows(self, rows: Iterable[Row], now_s: float) -> None:
        """Applies rows that were read.

        Nothing is written before the first call, which passes all rows of the table.
        """
        self._has_read = True
        for row in rows:
            if row.version > self._rows.get(row.key, ABSENT).version:
                self._adopt(row.key, read_row(row), now_s)
        self._note_take_over()

    def next_write(
        self,
        needs: Mapping[str, Resources],
        pool_capacity: Resources,
        now_s: float,
    ) -> QuotaWrite | None:
        """
        :param needs: usage and waiting demand of each account that has any.
        :param pool_capacity: what the workers of the service can run.
        :returns: changes to be stored, ``None`` if there are none, or if the outcome of
            the last write isn't known.
        """
        self._note_needs(needs, pool_capacity)
        if self._in_flight is not None or not self._may_write(now_s):
            return None
        self._refused.forget(now_s)
        self._review(now_s)
        changes = self._changes() if self._has_taken_over else self._rewrites()
        if not changes:
            return None
        self._next_write_s = now_s + WRITE_INTERVAL_S
        self._in_flight = QuotaWrite(tuple(changes))
        for change in changes:
            self._pending[change.account] = change.row.entries[self._service]
            self._refresh(change.account)
        return self._in_flight

    def apply_result(self, result: QuotaWriteResult, now_s: float) -> None:
        """Applies the outcome of the write in flight."""
        if result.write != self._in_flight:
            return
        self._in_flight = None
        self._pending.clear()
        if result.is_stored:
            self._batch_count = ROWS_PER_WRITE_COUNT
            self._apply_stored(result, now_s)
        else:
            # Fewer rows, so that one that others keep changing doesn't delay the rest.
            self._batch_count = max(1, self._batch_count // 2)
            self._apply_present(result.rows, now_s)
        for change in result.write.changes:
            self._changed.add(change.account)
            self._refresh(change.account)
        self._note_take_over()

    def status(self) -> tuple[AccountQuota, ...]:
        """
        :returns: what is known of each account that has a row, runs or need.
        """
        if self._accounts is None:
            return ()
        names = {*self._rows, *self._needs, *self._usage.accounts()} - {""}
        return tuple(self._account_quota(name) for name in sorted(names))

    def _account_quota(self, account: str) -> AccountQuota:
        row = self._rows.get(account, ABSENT).row
        entries = {} if row is None else row.entries
        own = entries.get(self._service, QuotaEntry(0, None))
        configured = self._accounts.get(account)
        is_bounded = all(entry.grant is not None for entry in entries.values())
        return AccountQuota(
            account,
            None if configured is None else configured.limit,
            self._usage.used(account),
            own.grant,
            own.wanted,
            granted_total(entries.values()) if is_bounded else None,
        )

    def _limit(self, account: str) -> Resources:
        configured = self._accounts.get(account)
        return effective_limit(None if configured is None else configured.limit)

    def _others(self, row: QuotaRow) -> tuple[QuotaEntry, ...]:
        return tuple(
            entry for name, entry in row.entries.items() if name != self._service
        )

    def _allows_single(self, account: str, demand: Resources) -> bool:
        """Admits a task that exceeds the limit if nothing else runs or may run."""
        grant = self._single_grants.get(account)
        if (
            grant is not None
            and not any(self._usage.used(account))
            and grant.covers(demand)
            and not fits(demand, self._limit(account))
        ):
            return True
        self._refused.note(account, demand)
        return False

    def _note_changed_limits(
        self, accounts: Mapping[str, ClientAccount], version: int
    ) -> None:
        for name in {*accounts, *self._accounts}:
            former, latter = self._accounts.get(name), accounts.get(name)
            if (former and former.limit) != (latter and latter.limit):
                self._limit_versions[name] = version

    def _adopt(self, account: str, known: KnownRow, now_s: float) -> None:
        former = self._rows.get(account, ABSENT)
        self._rows[account] = known
        self._changed.add(account)
        self._removed.note(known, now_s)
        self._removed.note_changes(former, known, now_s)
        own = None if known.row is None else known.row.entries.get(self._service)
        if own is not None and own.epoch > self._epoch and not self.is_superseded:
            self._supersede(account, own.epoch)
        self._refresh(account)

    def _supersede(self, account: str, epoch: int) -> None:
        _log.warning(
            "quota_owner_superseded",
            service=self._service,
            account=account,
            own_epoch=self._epoch,
            epoch=epoch,
        )
        self.is_superseded = True
        self._grants.clear()
        self._single_grants.clear()

    def _refresh(self, account: str) -> None:
        """Derives from row, configuration and pending write what may start."""
        self._grants.pop(account, None)
        self._single_grants.pop(account, None)
        row = self._rows.get(account, ABSENT).row
        if row is None or not self._may_start(account, row):
            return
        entry = row.entries[self._service]
        stored = entry_grant(entry)
        pending = entry_grant(self._pending.get(account, entry))
        limit = self._limit(account)
        others_total = granted_total(self._others(row))
        if fits(others_total.plus(most(stored, pending)), limit):
            ceiling = self._ceilings.get(account, UNLIMITED)
            self._grants[account] = least(least(stored, pending), ceiling)
            self._single_done.discard(account)
        elif is_alone(others_total, limit) and account not in self._single_done:
            self._single_grants[account] = least(stored, pending)

    def _may_start(self, account: str, row: QuotaRow) -> bool:
        own = row.entries.get(self._service)
        return (
            self._accounts is not None
            and self._has_taken_over
            and not self.is_superseded
            and own is not None
            and own.epoch == self._epoch
            and row.configuration_version <= self._configuration_version
            and not self._is_limit_newer(account, row)
        )

    def _is_limit_newer(self, account: str, row: QuotaRow) -> bool:
        """Tells whether an owner with a former limit may still raise its grant."""
        version = self._limit_versions.get(account, self._first_version)
        return row.configuration_version < version

    def _may_write(self, now_s: float) -> bool:
        return (
            self._accounts is not None
            and self._has_read
            and not self.is_superseded
            and now_s >= self._next_write_s
        )

    def _note_needs(
        self, needs: Mapping[str, Resources], pool_capacity: Resources
    ) -> None:
        if needs == self._needs and pool_capacity == self._pool_capacity:
            return
        if pool_capacity != self._pool_capacity:
            self._changed.update(needs)
        former = self._needs
        for account in {*needs, *former}:
            if needs.get(account) != former.get(account):
                self._changed.add(account)
        self._needs = dict(needs)
        self._pool_capacity = pool_capacity

    def _review(self, now_s: float) -> None:
        """Adds accounts whose rows may have to change with usage or time."""
        if now_s < self._next_review_s:
            return
        self._next_review_s = now_s + REVIEW_INTERVAL_S
        self._changed |= self._reviewed
        self._removed.review(now_s)
        self._changed.update(
            account
            for account, known in self._rows.items()
            if self._removed.is_in(known)
        )

    def _former_entries(self) -> Iterator[tuple[str, QuotaEntry]]:
        for account, known in self._rows.items():
            own = None if known.row is None else known.row.entries.get(self._service)
            if own is not None and own.epoch < self._epoch:
                yield account, own

    def _note_take_over(self) -> None:
        """Notes that no write of a former owner can be stored any more."""
        if self._has_taken_over or any(self._former_entries()):
            return
        self._has_taken_over = self._has_read
        for account in self._rows:
            self._refresh(account)

    def _rewrites(self) -> list[RowChange]:
        """Returns rewrites of entries of former owners."""
        return [
            self._rewrite(account, own._replace(epoch=self._epoch))
            for account, own in islice(self._former_entries(), self._batch_count)
        ]

    def _changes(self) -> list[RowChange]:
        changes: list[RowChange] = []
        for account in sorted(self._changed):
            if len(changes) == self._batch_count:
                break
            self._changed.discard(account)
            change = self._change(account)
            if change is not None:
                changes.append(change)
        return changes

    def _change(self, account: str) -> RowChange | None:
        known = self._rows.get(account, ABSENT)
        if known.is_malformed or not account:
            return None
        row = known.row or QuotaRow(0, {})
        own = row.entries.get(self._service)
        used = self._usage.used(account)
        need = most(used, least(self._needs.get(account, NOTHING), self._pool_capacity))
        entry = self._entry(account, row, own, need)
        if entry is None:
            return self._without_removed(account, row)
        self._note_review(account, row, entry)
        if own is not None and not self._is_worth_writing(account, row, entry, need):
            return self._without_removed(account, row)
        return self._rewrite(account, entry)

    def _entry(
        self, account: str, row: QuotaRow, own: QuotaEntry | None, need: Resources
    ) -> QuotaEntry | None:
        """Returns the entry that the service should have, if it should have one."""
        if own is None and not any(need):
            return None
        limit = self._limit(account)
        used = self._usage.used(account)
        stored = NOTHING if own is None else entry_grant(own)
        is_newer = row.configuration_version > self._configuration_version
        if limit == UNLIMITED:
            self._change_ceiling(account, UNLIMITED)
            grant = stored if is_newer or not any(need) else UNLIMITED
            return _make_entry(self._epoch, most(grant, used), NOTHING)
        others = self._others(row)
        refused = self._waiting_demand(account, used, need)
        services_count = len(self._services | row.entries.keys() | {self._service})
        grant, wanted, ceiling = allocate(
            AllocationInput(limit, stored, used, need, refused, others, services_count)
        )
        self._change_ceiling(account, ceiling)
        if is_newer:
            grant = least(grant, most(stored, used))
        return _make_entry(self._epoch, grant, wanted)

    def _change_ceiling(self, account: str, ceiling: Resources) -> None:
        if ceiling == self._ceilings.get(account, UNLIMITED):
            return
        if ceiling == UNLIMITED:
            del self._ceilings[account]
        else:
            self._ceilings[account] = ceiling
        self._refresh(account)

    def _waiting_demand(
        self, account: str, used: Resources, need: Resources
    ) -> Resources | None:
        """Returns the demand of a refused task if the need still includes it."""
        if not fits(used, self._limit(account)):
            self._single_done.add(account)
            self._single_grants.pop(account, None)
        demand = self._refused.smallest(account)
        is_single_done = account in self._single_done and not any(used)
        if demand is None or is_single_done or not need.covers(used.plus(demand)):
            return None
        return demand

    def _note_review(self, account: str, row: QuotaRow, entry: QuotaEntry) -> None:
        others = self._others(row)
        total = granted_total(others).plus(entry_grant(entry))
        if (
            is_contested(others)
            or any(unmet_wanted(entry))
            or not fits(total, self._limit(account))
        ):
            self._reviewed.add(account)
        else:
            self._reviewed.discard(account)

    def _is_worth_writing(
        self, account: str, row: QuotaRow, entry: QuotaEntry, need: Resources
    ) -> bool:
        own = row.entries[self._service]
        return (
            own.epoch != entry.epoch
            or entry_grant(own) != entry_grant(entry)
            or unmet_wanted(own) != unmet_wanted(entry)
            or (any(need) and self._is_limit_newer(account, row))
        )

    def _without_removed(self, account: str, row: QuotaRow) -> RowChange | None:
        own = row.entries.get(self._service)
        if own is None or not self._removed.droppable(row):
            return None
        return self._rewrite(account, own._replace(epoch=self._epoch))

    def _rewrite(self, account: str, entry: QuotaEntry) -> RowChange:
        known = self._rows.get(account, ABSENT)
        row = known.row or QuotaRow(0, {})
        dropped = self._removed.droppable(row)
        entries = {
            name: other for name, other in row.entries.items() if name not in dropped
        }
        entries[self._service] = entry
        version = max(row.configuration_version, self._configuration_version)
        expected = None if known.row is None else known.version
        return RowChange(account, expected, QuotaRow(version, entries))

    def _apply_stored(self, result: QuotaWriteResult, now_s: float) -> None:
        for change in result.write.changes:
            known = self._rows.get(change.account, ABSENT)
            if result.version > known.version:
                stored = KnownRow(result.version, change.row)
                self._adopt(change.account, stored, now_s)

    def _apply_present(self, rows: Iterable[Row], now_s: float) -> None:
        for row in rows:
            known = self._rows.get(row.key, ABSENT)
            # A row that is absent has no version that could be compared.
            is_absent = row.value is None and not row.version
            if is_absent or row.version > known.version:
                self._adopt(row.key, read_row(row), now_s)


def _make_entry(epoch: int, grant: Resources, wanted: Resources) -> QuotaEntry:
    return QuotaEntry(epoch, None if grant == UNLIMITED else grant, wanted)
