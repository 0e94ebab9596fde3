"""Metrics of a daemon that are read from its published state."""

from collections import Counter
from collections.abc import Iterable

from sycamorecroft import metrics
from sycamorecroft.entry.operator_interface import OperatorState
from sycamorecroft.entry.operator_status import PoolStatus, pool_statuses
from sycamorecroft.store import GuardedTableService
from sycamorecroft.telemetry import MetricValue, Telemetry


class Gauges:
    """Functions that read the values of gauges without blocking."""

    def __init__(self, state: OperatorState, tables: GuardedTableService) -> None:
        self._state = state
        self._tables = tables

    def register(self, telemetry: Telemetry) -> None:
        """Registers all gauges and the counter of store calls."""
        for metric, reader in (
            (metrics.SLOTS_IN_USE, lambda: self._queue_values("granted_count")),
            (metrics.SLOTS_LIMIT, lambda: self._queue_values("limit_count")),
            (metrics.WORKERS_EJECTED, lambda: self._queue_values("ejected_count")),
            (metrics.REQUESTS_WAITING, self._requests_waiting),
            (metrics.HOSTS, self._host_counts),
            (metrics.BUDGET_LEFT, lambda: self._pool_values("budget_left_count")),
            (metrics.HOSTS_MISSING, lambda: self._pool_values("missing_count")),
            (metrics.HOSTS_RESERVE, lambda: self._pool_values("reserve_count")),
            (metrics.STAGED_VERSION, self._staged_version),
            (metrics.IN_FORCE_VERSION, self._in_force_version),
            (metrics.VIEW_VERSION, lambda: _single_value(self._state.view().version)),
            (metrics.STORE_CONTACT_AGE, self._store_contact_age),
            (metrics.STORE_CALLS, self._store_calls),
            (metrics.ENTRY_HOSTS_REACHED, self._entry_hosts_reached),
            (metrics.ENTRY_HOSTS_EXPECTED, self._entry_hosts_expected),
            (
                metrics.REQUESTS_ADMITTED,
                lambda: _single_value(self._state.admitted_count()),
            ),
            (metrics.LEASES_HELD, self._leases_held),
        ):
            telemetry.observe(metric, reader)

    def _queue_values(self, field: str) -> Iterable[MetricValue]:
        for service, status in self._state.queues().items():
            yield MetricValue(getattr(status, field), {"service": service})

    def _requests_waiting(self) -> Iterable[MetricValue]:
        for service, status in self._state.queues().items():
            for urgency, count in status.waiting_counts.items():
                attributes = {"service": service, "urgency": urgency.value}
                yield MetricValue(count, attributes)

    def _host_counts(self) -> Iterable[MetricValue]:
        hosts = self._state.view().hosts.values()
        counts = Counter((host["pool"], host["state"].value) for host in hosts)
        for (pool, state), count in sorted(counts.items()):
            yield MetricValue(count, {"pool": pool, "state": state})

    def _pool_values(self, field: str) -> Iterable[MetricValue]:
        for pool in self._pool_statuses():
            yield MetricValue(getattr(pool, field), {"pool": pool.pool})

    def _pool_statuses(self) -> tuple[PoolStatus, ...]:
        in_force = self._state.configuration().in_force
        return pool_statuses(in_force, self._state.view())

    def _staged_version(self) -> Iterable[MetricValue]:
        return _single_value(self._state.configuration().staged_version)

    def _in_force_version(self) -> Iterable[MetricValue]:
        return _single_value(self._state.configuration().in_force_version)

    def _store_contact_age(self) -> Iterable[MetricValue]:
        age_s = self._tables.health().contact_age_s
        return () if age_s is None else _single_value(age_s)

    def _store_calls(self) -> Iterable[MetricValue]:
        for kind, count in self._tables.call_counts():
            attributes = {
                "purpose": kind.purpose.value,
                "operation": kind.operation.value,
                "result": kind.outcome.value,
            }
            yield MetricValue(count, attributes)

    def _entry_hosts_reached(self) -> Iterable[MetricValue]:
        membership = self._state.membership()
        return _single_value(len(membership.reached) if membership else 0)

    def _entry_hosts_expected(self) -> Iterable[MetricValue]:
        membership = self._state.membership()
        return _single_value(membership.expected_count if membership else 0)

    def _leases_held(self) -> Iterable[MetricValue]:
        for name in self._state.held_leases():
            yield MetricValue(1, {"controller": name})


def _single_value(value: float) -> tuple[MetricValue, ...]:
    return (MetricValue(value, {}),)
