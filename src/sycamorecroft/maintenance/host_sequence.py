"""Sequence of one host's maintenance: drain, reboot, return to service."""

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

# Time for the platform to report the reboot that it accepted.
REBOOT_SETTLE_S = 5.0
# A host that is not up again after this time is taken out of its pool.
REBOOT_LIMIT_S = 1800.0

EndWrite: TypeAlias = Callable[[str, str, HostOutcome], ExtraWrite]


class _Reboot(NamedTuple):
    operation_id: str
    first_seen_s: float
    accepted_s: float | None


class HostSequence:
    """Advances hosts whose state is in their rows. Calls to the platform repeat with
    the same operation id until they succeed, so that a crash between a row and the
    platform's call loses nothing.
    """

    def __init__(
        self, registry: PoolRegistry, host_control: HostControl, clock: Clock
    ) -> None:
        self._registry = registry
        self._host_control = host_control
        self._clock = clock
        self._reboots: dict[str, _Reboot] = {}
        self._drained_operations: set[str] = set()

    def advance(
        self, row: HostRow, acknowledgements: Acknowledgements, end_write: EndWrite
    ) -> bool:
        """Takes the host as many states further as it can go now.

        :param acknowledgements: read after ``row``.
        :param end_write: writes that accompany the end of the host's maintenance.
        :returns: whether the host's state changed.
        :raises HostBlockedError: when entry hosts may still send requests to it.
        """
        if row.record["state"] == HostState.DRAINING:
            self._drain(row)
            if not self._registry.clearance(row, acknowledgements).is_clear:
                return False
            row = self._registry.mark_drained(row.record["host"], acknowledgements)
            self._begin_reboot(row)
            return True
        if row.record["state"] == HostState.DRAINED:
            self._begin_reboot(row)
            return True
        if row.record["state"] == HostState.REBOOTING:
            return self._finish_reboot(row, end_write)
        return False

    def _drain(self, row: HostRow) -> None:
        operation_id = _operation_id(row)
        if operation_id in self._drained_operations:
            return
        try:
            self._host_control.drain(row.record["host"], operation_id=operation_id)
        except PlatformError:
            # The platform is told again by the next step; requests drain by the
            # host row alone.
            return
        self._drained_operations.add(operation_id)

    def _begin_reboot(self, row: HostRow) -> None:
        self._drained_operations.discard(_operation_id(row))
        row = self._registry.reboot(row.record["host"])
        self._request_reboot(row)

    def _request_reboot(self, row: HostRow) -> _Reboot:
        host = row.record["host"]
        operation_id = _operation_id(row)
        now_s = self._clock.monotonic_s()
        known = self._reboots.get(host)
        if known is None or known.operation_id != operation_id:
            known = _Reboot(operation_id, now_s, None)
            self._reboots[host] = known
        if known.accepted_s is not None:
            return known
        try:
            self._host_control.reboot(host, operation_id=operation_id)
        except PlatformError:
            return known
        known = known._replace(accepted_s=now_s)
        self._reboots[host] = known
        return known

    def _finish_reboot(self, row: HostRow, end_write: EndWrite) -> bool:
        host = row.record["host"]
        maintenance_id = row.record["maintenance_id"] or ""
        reboot = self._request_reboot(row)
        now_s = self._clock.monotonic_s()
        if self._is_up(host, reboot, now_s):
            side = end_write(host, maintenance_id, HostOutcome.DONE)
            self._registry.return_to_service(host, side)
        elif now_s - reboot.first_seen_s >= REBOOT_LIMIT_S:
            side = end_write(host, maintenance_id, HostOutcome.TAKEN_OUT)
            self._registry.take_out_of_service(host, side)
        else:
            return False
        del self._reboots[host]
        return True

    def _is_up(self, host: str, reboot: _Reboot, now_s: float) -> bool:
        if reboot.accepted_s is None or now_s - reboot.accepted_s < REBOOT_SETTLE_S:
            return False
        try:
            return self._host_control.phase(host) is HostPhase.UP
        except PlatformError:
            return False


def _operation_id(row: HostRow) -> str:
    return f"{row.record['maintenance_id']}/{row.record['host']}"
