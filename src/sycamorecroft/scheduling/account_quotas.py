"""Limits of the client accounts in a service, with their log lines and metrics."""

from collections.abc import Callable, Iterable, Mapping

import structlog

from sycamorecroft.metrics import QUOTA_REFUSALS
from sycamorecroft.quotas.ledger import QuotaLedger
from sycamorecroft.quotas.messages import AccountQuota, QuotaWrite, QuotaWriteResult
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.account_needs import account_needs, pool_capacity
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import FleetSnapshot, Resources
from sycamorecroft.scheduling.quota_gate import NoQuotas, QuotaGate
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

QUOTA_LOG_INTERVAL_S = 1.0
# Equal to the ledger's WRITE_INTERVAL_S: needs that are determined more often can't be
# written. Their cost grows with the waiting tasks and the workers.
NEEDS_INTERVAL_S = 0.05
LOGGED_ACCOUNTS_COUNT = 5


class AccountQuotas(QuotaGate):
    """Asks the ledger of quotas while the configuration has client accounts.

    Without client accounts there are no limits. Not thread-safe.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        usage: AccountUsage,
        recorder: Recorder,
        waiting: WaitingJobs,
        workers: Mapping[str, Worker],
        on_changed: Callable[[], None],
    ) -> None:
        """
        :param on_changed: called when further tasks may have become allowed.
        """
        self._service = service
        self._epoch = epoch
        self._usage = usage
        self._recorder = recorder
        self._waiting = waiting
        self._workers = workers
        self._on_changed = on_changed
        self._ledger: QuotaLedger | None = None
        self._gate: QuotaGate = NoQuotas()
        self._refused: set[str] = set()
        self._needs: dict[str, Resources] = {}
        self._pool_capacity = Resources()
        self._next_needs_s = float("-inf")
        self._configuration_version = 0
        self._rows_version = 0
        self._is_writing = False
        self._logged_s = float("-inf")

    @property
    def is_active(self) -> bool:
        """Whether the configuration in force has client accounts."""
        return self._gate is self._ledger

    def apply_fleet(self, fleet: FleetSnapshot, now_s: float) -> None:
        """Applies a version of the configuration that has come into force."""
        if fleet.accounts is None and self._ledger is None:
            return
        self._configuration_version = fleet.version
        accounts = None
        if fleet.accounts is not None:
            accounts = {account.name: account for account in fleet.accounts}
        if self._ledger is None:
            self._ledger = QuotaLedger(self._service, self._epoch, self._usage)
        services = frozenset(service.name for service in fleet.services)
        self._ledger.apply_accounts(accounts, fleet.version, services, now_s)
        self._gate = NoQuotas() if accounts is None else self._ledger

    def allows(self, account: str, demand: Resources, count: int = 1) -> bool:
        is_allowed = self._gate.allows(account, demand, count)
        if not is_allowed:
            self._refused.add(account)
        return is_allowed

    def is_limited(self, account: str) -> bool:
        return self._gate.is_limited(account)

    def copy(self, usage: AccountUsage) -> QuotaGate:
        return self._gate.copy(usage)

    def apply_rows(self, rows: Iterable[Row], now_s: float) -> None:
        """Applies rows of accounts that were read or have changed."""
        if self._ledger is None:
            return
        rows = tuple(rows)
        self._record_versions(rows)
        self._ledger.apply_rows(rows, now_s)
        self._on_changed()

    def apply_result(self, result: QuotaWriteResult, now_s: float) -> None:
        """Applies the outcome of a write that :meth:`next_write` returned."""
        self._is_writing = False
        if self._ledger is None:
            return
        self._record_versions(result.rows)
        self._rows_version = max(self._rows_version, result.version or 0)
        self._ledger.apply_result(result, now_s)
        self._on_changed()

    def _record_versions(self, rows: Iterable[Row]) -> None:
        versions = (row.version for row in rows)
        self._rows_version = max(self._rows_version, *versions, 0)

    def next_write(self, now_s: float) -> QuotaWrite | None:
        """Must be called before and after each placement, and regularly.

        :returns: changes of grants to be stored now, ``None`` if there are none.
        """
        if self._ledger is None or not self.is_active:
            return None
        has_refused = bool(self._refused)
        if has_refused:
            self._report_refusals(self._ledger, now_s)
        is_due = now_s >= self._next_needs_s
        if self._is_writing or not (is_due or has_refused):
            return None
        if is_due:
            self._next_needs_s = now_s + NEEDS_INTERVAL_S
            self._needs = account_needs(self._usage, self._waiting.steps())
            self._pool_capacity = pool_capacity(self._workers.values())
        write = self._ledger.next_write(self._needs, self._pool_capacity, now_s)
        self._is_writing = write is not None
        return write

    def _report_refusals(self, ledger: QuotaLedger, now_s: float) -> None:
        """Counts, and logs once a second at most, that limits were reached."""
        refused, self._refused = self._refused, set()
        self._recorder.count(QUOTA_REFUSALS, service=self._service)
        if now_s - self._logged_s < QUOTA_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        quotas = [quota for quota in ledger.status() if quota.account in refused]
        _log.info(
            "account_quota",
            service=self._service,
            epoch=self._epoch,
            configuration_version=self._configuration_version,
            rows_version=self._rows_version,
            is_superseded=ledger.is_superseded,
            is_writing=self._is_writing,
            accounts_count=len(refused),
            accounts={
                quota.account: _describe(quota)
                for quota in quotas[:LOGGED_ACCOUNTS_COUNT]
            },
        )


def _describe(quota: AccountQuota) -> dict[str, Resources | None]:
    return {
        "used": quota.used,
        "grant": quota.grant,
        "wanted": quota.wanted,
        "limit": quota.limit,
        "granted_total": quota.granted_total,
    }
