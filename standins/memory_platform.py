"""In-memory stand-ins of all platform services, connected as on the real platform."""

from standins.faults import FaultInjector
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
    """Services of the platform that share one host list.

    A reboot ends the host's tasks, and a host that is not up accepts none. Each service
    has a fault injector of its own as ``faults``.

    :param host_list_lag_s: lag of the host list.
    :param usage_lag_s: age of the usage in task statuses.
    :param reboot_s: duration of a host's reboot.
    :param timeout_s: the callers' timeout, ``None`` if callers enforce it themselves.
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

        def new_injector() -> FaultInjector:
            return FaultInjector(clock, timeout_s=timeout_s)

        self.tables = MemoryTables(new_injector())
        self.objects = MemoryObjects(new_injector())
        self.hosts = MemoryHostList(clock, lag_s=host_list_lag_s, faults=new_injector())
        self.tasks = MemoryTasks(
            clock,
            objects=self.objects.connect(),
            usage_lag_s=usage_lag_s,
            faults=new_injector(),
            is_worker=self._accepts_tasks,
        )
        self.control = MemoryHostControl(
            clock,
            self.hosts,
            reboot_s=reboot_s,
            faults=new_injector(),
            on_reboot=self.tasks.lose_worker,
        )

    def _accepts_tasks(self, name: str) -> bool:
        host = self.hosts.current(name)
        if host is None or host.role is not HostRole.WORKER:
            return False
        return self.control.current_phase(name) is HostPhase.UP
