"""Workflow of one host's maintenance: drain, reboot, return to service."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError
from sycamorecroft.maintenance.records import HostOutcome
from sycamorecroft.pools.clearance import Acknowledgements
from sycamorecroft.pools.host_rows import ExtraWrite
from sycamorecroft.pools.records import HostRow
from sycamorecroft.pools.registry import PoolRegistry
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import HostControl, HostPhase

# Time within which the platform reports a reboot that it has accepted.
REBOOT_REPORT_DELAY_S = 5.0
# A host that is not up again after this time is taken out of service.
REBOOT_TIMEOUT_S = 1800.0

OutcomeWriteFactory: TypeAlias = Callable[[str, str, HostOutcome], ExtraWrite]


class _Reboot(NamedTuple):
    operation_id: str
    first_seen_s: float
    accepted_s: float | None


class HostWorkflow:
    """Advances hosts through maintenance; their state is kept in their rows.

    Calls to the platform are repeated with the same operation id until they succeed,
    so that no call is lost by a crash after the row was written.
    """

    def __init__(
        self, registry: PoolRegistry, host_control: HostControl, clock: Clock
    ) -> None:
        self._registry = registry
        self._host_control = host_control
        self._clock = clock
        self._reboots: dict[str, _Reboot] = {}
        self._accepted_drains: set[str] = set()

    def advance(
        self,
        row: HostRow,
        acknowledgements: Acknowledgements,
        outcome_write: OutcomeWriteFactory,
    ) -> bool:
        """Advances the host through as many states as it can pass now.

        :param acknowledgements: read after ``row``.
        :param outcome_write: returns the writes to commit with the end of the host's
            maintenance, from host, maintenance id and outcome.
        :returns: whether the host's state changed.
        :raises HostBlockedError: when entry hosts may still send requests to it.
        """
        if row.record["state"] == HostState.DRAINING:
            self._drain(row)
            if not self._registry.clearance(row, acknowledgements).is_clear:
                return False
            row = self._registry.mark_drained(row.record["host"], acknowledgements)
            self._start_reboot(row)
            return True
        if row.record["state"] == HostState.DRAINED:
            self._start_reboot(row)
            return True
        if row.record["state"] == HostState.REBOOTING:
            return self._finish_reboot(row, outcome_write)
        return False

    def _drain(self, row: HostRow) -> None:
        operation_id = _operation_id(row)
        if operation_id in self._accepted_drains:
            return
        try:
            self._host_control.drain(row.record["host"], operation_id=operation_id)
        except PlatformError:
            # The next step repeats the call. Requests are drained by the host row
            # alone, without the platform.
            return
        self._accepted_drains.add(operation_id)

    def _start_reboot(self, row: HostRow) -> None:
        self._accepted_drains.discard(_operation_id(row))
        row = self._registry.reboot(row.record["host"])
        self._request_reboot(row)

    def _request_reboot(self, row: HostRow) -> _Reboot:
        host = row.record["host"]
        operation_id = _operation_id(row)
        now_s = self._clock.monotonic_s()
        reboot = self._reboots.get(host)
        if reboot is None or reboot.operation_id != operation_id:
            reboot = _Reboot(operation_id, now_s, None)
            self._reboots[host] = reboot
        if reboot.accepted_s is not None:
            return reboot
        try:
            self._host_control.reboot(host, operation_id=operation_id)
        except PlatformError:
            return reboot
        reboot = reboot._replace(accepted_s=now_s)
        self._reboots[host] = reboot
        return reboot

    def _finish_reboot(self, row: HostRow, outcome_write: OutcomeWriteFactory) -> bool:
        host = row.record["host"]
        maintenance_id = row.record["maintenance_id"] or ""
        reboot = self._request_reboot(row)
        now_s = self._clock.monotonic_s()
        if self._is_up(host, reboot, now_s):
            side_write = outcome_write(host, maintenance_id, HostOutcome.DONE)
            self._registry.return_to_service(host, side_write)
        elif now_s - reboot.first_seen_s >= REBOOT_TIMEOUT_S:
            side_write = outcome_write(host, maintenance_id, HostOutcome.TAKEN_OUT)
            self._registry.take_out_of_service(host, side_write)
        else:
            return False
        del self._reboots[host]
        return True

    def _is_up(self, host: str, reboot: _Reboot, now_s: float) -> bool:
        if (
            reboot.accepted_s is None
            or now_s - reboot.accepted_s < REBOOT_REPORT_DELAY_S
        ):
            return False
        try:
            return self._host_control.phase(host) is HostPhase.UP
        except PlatformError:
            return False


def _operation_id(row: HostRow) -> str:
    return f"{row.record['maintenance_id']}/{row.record['host']}"
