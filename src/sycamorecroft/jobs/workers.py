"""Workers of a pool as the job controller sees them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from sycamorecroft.pools.state import HostState, PoolView
from sycamorecroft.store.interfaces import HostListing, HostStatus, TaskSize


class Worker(NamedTuple):
    """A worker; it takes new tasks only while it is active."""

    name: str
    size: TaskSize
    is_active: bool


class WorkerSource(ABC):
    """Source of the workers of one pool."""

    @abstractmethod
    def workers(self) -> tuple[Worker, ...]:
        """
        :returns: all workers of the pool, draining ones too.
        """


class PoolWorkers(WorkerSource):
    """Workers by the pool view, with their sizes by the platform's host list.

    A host that is absent from the lagging host list is left out.
    """

    def __init__(
        self,
        pool: str,
        *,
        pool_view: Callable[[], PoolView],
        host_listing: Callable[[], HostListing],
    ) -> None:
        self._pool = pool
        self._pool_view = pool_view
        self._host_listing = host_listing

    def workers(self) -> tuple[Worker, ...]:
        listed = {host.name: host for host in self._host_listing().hosts}
        found = []
        for record in self._pool_view().hosts.values():
            host = listed.get(record["host"])
            if record["pool"] != self._pool or host is None:
                continue
            size = TaskSize(
                host.processors_count, host.memory_bytes, host.accelerators_count
            )
            is_active = (
                record["state"] == HostState.ACTIVE and host.status is HostStatus.LIVE
            )
            found.append(Worker(host.name, size, is_active))
        return tuple(found)
