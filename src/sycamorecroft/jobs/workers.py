"""Workers of a pool: the source of the job controller's placement targets."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from sycamorecroft.pools.state import HostState, PoolView
from sycamorecroft.store.interfaces import HostListing, HostStatus, TaskSize


class Worker(NamedTuple):
    """A worker with its total size; it accepts new tasks only while it is active."""

    name: str
    size: TaskSize
    is_active: bool


class WorkerSource(ABC):
    """Provides the workers of one pool."""

    @abstractmethod
    def workers(self) -> tuple[Worker, ...]:
        """
        :returns: all workers of the pool, including draining ones.
        """


class PoolWorkers(WorkerSource):
    """Combines the pool view with the worker sizes in the platform's host list.

    Hosts that the host list doesn't name, since it lags, are omitted.
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
        hosts_by_name = {host.name: host for host in self._host_listing().hosts}
        pool_workers = []
        for record in self._pool_view().hosts.values():
            host = hosts_by_name.get(record["host"])
            if record["pool"] != self._pool or host is None:
                continue
            size = TaskSize(
                host.processors_count, host.memory_bytes, host.accelerators_count
            )
            is_active = (
                record["state"] == HostState.ACTIVE and host.status is HostStatus.LIVE
            )
            pool_workers.append(Worker(host.name, size, is_active))
        return tuple(pool_workers)
