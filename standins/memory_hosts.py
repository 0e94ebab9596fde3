"""Stand-ins of the platform's host list and host control in memory."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from standins.faults import FaultInjector, Operation
from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, StoreOutcomeUnknownError
from sycamorecroft.store.interfaces import (
    HostControl,
    HostList,
    HostListing,
    HostPhase,
    HostStatus,
    PlatformHost,
)


class _HostEvent(NamedTuple):
    """State of a host in the list from ``time_s`` on; ``None`` if it isn't listed."""

    time_s: float
    host: PlatformHost | None


class MemoryHostList(HostList):
    """Host list with a lag. Thread-safe.

    Hosts declared before the first call of :meth:`list_hosts` are listed without lag.

    :param lag_s: age of the listed state.
    """

    def __init__(
        self, clock: Clock, *, lag_s: float = 0.0, faults: FaultInjector | None = None
    ) -> None:
        self.faults = faults or FaultInjector(clock)
        self.lag_s = lag_s
        self._clock = clock
        self._lock = threading.Lock()
        self._events: dict[str, list[_HostEvent]] = {}
        self._has_been_listed = False

    def declare(self, hosts: Iterable[PlatformHost]) -> None:
        """Replaces the list; hosts that are not in ``hosts`` are removed."""
        declared = {host.name: host for host in hosts}
        with self._lock:
            time_s = self._clock.monotonic_s()
            if not self._has_been_listed:
                self._events.clear()
                time_s = float("-inf")
            for name in self._events.keys() | declared.keys():
                self._add_event(name, _HostEvent(time_s, declared.get(name)))

    def set_status(
        self, name: str, status: HostStatus, *, after_s: float = 0.0
    ) -> None:
        """Changes the status of a host after ``after_s`` seconds.

        :raises PlatformError: when the host is not in the list.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            host = self._host_at(name, now_s)
            if host is None:
                raise PlatformError(
                    f"host {name!r} is not in the platform's host list; declare it"
                )
            event = _HostEvent(now_s + after_s, host._replace(status=status))
            self._add_event(name, event)

    def current(self, name: str) -> PlatformHost | None:
        """
        :returns: the current state of the host, without lag; ``None`` if unlisted.
        """
        with self._lock:
            return self._host_at(name, self._clock.monotonic_s())

    def list_hosts(self) -> HostListing:
        return self.faults.call(Operation.READ, self._read_list)

    def _read_list(self) -> HostListing:
        with self._lock:
            self._has_been_listed = True
            time_s = self._clock.monotonic_s() - self.lag_s
            hosts = [self._host_at(name, time_s) for name in sorted(self._events)]
        as_of = self._clock.now() - timedelta(seconds=self.lag_s)
        return HostListing(tuple(host for host in hosts if host is not None), as_of)

    def _add_event(self, name: str, event: _HostEvent) -> None:
        events = [
            item for item in self._events.get(name, []) if item.time_s <= event.time_s
        ]
        self._events[name] = [*events, event]

    def _host_at(self, name: str, time_s: float) -> PlatformHost | None:
        events = self._events.get(name, [])
        past_events = [event for event in events if event.time_s <= time_s]
        return past_events[-1].host if past_events else None


class _HostProgress(NamedTuple):
    phase: HostPhase
    up_at_s: float


class MemoryHostControl(HostControl):
    """Drains and reboots the hosts of a :class:`MemoryHostList`. Thread-safe.

    A host is listed as leaving while it drains or reboots, and as live after a reboot.

    :param reboot_s: duration of a reboot.
    :param on_reboot: called with the host's name when its reboot starts.
    """

    def __init__(
        self,
        clock: Clock,
        host_list: MemoryHostList,
        *,
        reboot_s: float = 30.0,
        faults: FaultInjector | None = None,
        on_reboot: Callable[[str], None] = lambda host: None,
    ) -> None:
        self.faults = faults or FaultInjector(clock)
        self.reboot_s = reboot_s
        self._clock = clock
        self._host_list = host_list
        self._on_reboot = on_reboot
        self._lock = threading.Lock()
        self._progress: dict[str, _HostProgress] = {}
        self._operations: set[tuple[str, str, HostPhase]] = set()

    def drain(self, host: str, *, operation_id: str) -> None:
        def action() -> None:
            self._start_operation(host, operation_id, HostPhase.DRAINING)

        self._write(action)

    def reboot(self, host: str, *, operation_id: str) -> None:
        def action() -> None:
            self._start_operation(host, operation_id, HostPhase.REBOOTING)

        self._write(action)

    def phase(self, host: str) -> HostPhase:
        return self.faults.call(Operation.READ, lambda: self.current_phase(host))

    def current_phase(self, host: str) -> HostPhase:
        """
        :returns: the phase of the host, regardless of faults.
        :raises PlatformError: when the host is not in the list.
        """
        self._require_known(host)
        with self._lock:
            return self._current_phase(host)

    def _write(self, action: Callable[[], None]) -> None:
        # Callers may repeat any failed call of this interface, so a lost response is
        # reported like any other failure.
        try:
            self.faults.call(Operation.WRITE, action)
        except StoreOutcomeUnknownError as error:
            raise PlatformError(str(error)) from error

    def _start_operation(self, host: str, operation_id: str, phase: HostPhase) -> None:
        self._require_known(host)
        operation = (host, operation_id, phase)
        with self._lock:
            if operation in self._operations:
                return
            self._operations.add(operation)
            if self._current_phase(host) is HostPhase.REBOOTING:
                return
            up_at_s = self._clock.monotonic_s() + self.reboot_s
            self._progress[host] = _HostProgress(phase, up_at_s)
            self._host_list.set_status(host, HostStatus.LEAVING)
            if phase is HostPhase.REBOOTING:
                self._host_list.set_status(host, HostStatus.LIVE, after_s=self.reboot_s)
        if phase is HostPhase.REBOOTING:
            self._on_reboot(host)

    def _current_phase(self, host: str) -> HostPhase:
        progress = self._progress.get(host)
        if progress is None:
            return HostPhase.UP
        is_reboot_complete = self._clock.monotonic_s() >= progress.up_at_s
        if progress.phase is HostPhase.REBOOTING and is_reboot_complete:
            return HostPhase.UP
        return progress.phase

    def _require_known(self, host: str) -> None:
        if self._host_list.current(host) is None:
            raise PlatformError(
                f"host {host!r} is not in the platform's host list; declare it"
            )
