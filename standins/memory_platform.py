"""All services of the platform in memory, connected as on the real platform."""

from standins.faults import FaultSwitch
from standins.memory_hosts import MemoryHostControl, MemoryHostList
from standins.memory_objects import MemoryObjects
from standins.memory_tables import MemoryTables
from standins.memory_tasks import MemoryTasks
from sycamorecroft.clock import Clock, SystemClock
from sycamorecroft.store.interfaces import HostPhase, HostRole

__all__ = [
    "MemoryHostControl",
    "MemoryHostList",
    "MemoryObjects",
    "MemoryPlatform",
    "MemoryTables",
    "MemoryTasks",
]


class MemoryPlatform:
    """The platform's services over one host list.

    A reboot ends the host's tasks, and a host that is not up takes none. Each service
    has its own ``faults``.

    :param timeout_s: the callers' timeout, ``None`` if the caller enforces it itself.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        *,
        host_list_lag_s: float = 0.0,
        usage_lag_s: float = 0.0,
        reboot_s: float = 30.0,
        timeout_s: float | None = 1.0,
    ) -> None:
        clock = clock or SystemClock()

        def faults() -> FaultSwitch:
            return FaultSwitch(clock, timeout_s=timeout_s)

        self.tables = MemoryTables(faults())
        self.objects = MemoryObjects(faults())
        self.hosts = MemoryHostList(clock, lag_s=host_list_lag_s, faults=faults())
        self.tasks = MemoryTasks(
            clock,
            objects=self.objects.connect(),
            usage_lag_s=usage_lag_s,
            faults=faults(),
            is_worker=self._takes_tasks,
        )
        self.control = MemoryHostControl(
            clock,
            self.hosts,
            reboot_s=reboot_s,
            faults=faults(),
            on_reboot=self.tasks.lose_worker,
        )

    def _takes_tasks(self, name: str) -> bool:
        host = self.hosts.current(name)
        if host is None or host.role is not HostRole.WORKER:
            return False
        return self.control.current_phase(name) is HostPhase.UP
