"""Slots of the workers of one pool, as a queue owner tracks them."""

import heapq
from collections.abc import Iterable
from random import Random

from sycamorecroft.invariants import (
    check_no_grant_to_draining,
    check_slots_within_limit,
)
from sycamorecroft.pools.state import HostRecord, HostState, PoolView
from sycamorecroft.routing.ejection import MASS_EJECTION_S, WorkerHealth
from sycamorecroft.routing.worker_index import LEVELS_COUNT, WorkerIndex

LATENCY_GAIN = 1 / 8
"""Gain of the exponential moving average of a worker's service times."""

MIN_LATENCY_S = 0.0001
"""Lower limit in comparisons, so that the rack load counts for workers without a
latency."""


class _Worker:
    """Worker, its health and the tickets that occupy its slots."""

    __slots__ = (
        "address",
        "health",
        "host",
        "inactive_since_s",
        "is_active",
        "is_in_pool",
        "latency_s",
        "rack",
        "slots_count",
        "tickets",
    )

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self.rack = ""
        self.slots_count = 0
        self.is_in_pool = False
        self.is_active = False
        self.inactive_since_s: float | None = None
        self.tickets: set[str] = set()
        self.health = WorkerHealth()
        self.latency_s = 0.0

    def level(self) -> int | None:
        """
        :returns: load level from 0, ``None`` if the worker may get no grant.
        """
        occupied_count = len(self.tickets)
        if not self.is_active or occupied_count >= self.slots_count:
            return None
        if not self.health.allows_grant:
            return None
        return occupied_count * LEVELS_COUNT // self.slots_count


class _Rack:
    """Total and occupied slots of the active workers of one rack."""

    __slots__ = ("occupied_count", "slots_count")

    def __init__(self) -> None:
        self.occupied_count = 0
        self.slots_count = 0

    @property
    def load_ratio(self) -> float:
        return self.occupied_count / self.slots_count if self.slots_count else 1.0


class SlotTable:
    """Slots of a pool: least-loaded selection, ejection and the share of the owner."""

    def __init__(self, pool: str, random: Random) -> None:
        self.pool = pool
        self._workers: dict[str, _Worker] = {}
        self._racks: dict[str, _Rack] = {}
        self._index = WorkerIndex(random)
        self._probe_times: list[tuple[float, str]] = []
        self._ejected_count = 0
        self._view_version = -1
        self._reached_count = 1
        self._registered_count = 1
        self._occupied_count = 0
        self.slots_count = 0
        self.active_count = 0

    @property
    def limit_count(self) -> int:
        """
        :returns: number of slots of active workers that this owner may occupy: all,
            or in a network partition the share of its side, at least one.
        """
        share = self.slots_count * self._reached_count // self._registered_count
        return min(self.slots_count, max(1, share))

    @property
    def free_count(self) -> int:
        return max(0, self.limit_count - self._occupied_count)

    @property
    def occupied_count(self) -> int:
        """
        :returns: number of occupied slots of active workers.
        """
        return self._occupied_count

    @property
    def ejected_count(self) -> int:
        return self._ejected_count

    def ejected_hosts(self) -> tuple[str, ...]:
        """
        :returns: workers that get no grants because they failed, sorted by name.
        """
        if not self._ejected_count:
            return ()
        hosts = {host for _, host in self._probe_times if host in self._workers}
        return tuple(
            sorted(host for host in hosts if self._workers[host].health.is_ejected)
        )

    def has_capacity(self) -> bool:
        return self.free_count > 0 and len(self._index) > 0

    def set_share(self, reached_count: int, registered_count: int) -> None:
        """Sets the share of slots that this owner may occupy to m / n.

        :param reached_count: number of registered entry hosts that this owner reaches
            (m).
        :param registered_count: number of registered entry hosts (n), at least 1.
        """
        self._registered_count = max(1, registered_count)
        self._reached_count = min(max(1, reached_count), self._registered_count)

    def apply_view(self, view: PoolView, now_s: float) -> None:
        """Applies the host records of the view; ignores an older view."""
        if view.version < self._view_version:
            return
        self._view_version = view.version
        records = {
            host: record
            for host, record in view.hosts.items()
            if record["pool"] == self.pool
        }
        for record in records.values():
            self._apply_record(record, now_s)
        for host in list(self._workers.keys() - records.keys()):
            self._remove_worker(self._workers[host], now_s)
        self._recount()

    def choose(self, excluded: tuple[str, ...]) -> str | None:
        """
        :returns: a worker of the least loaded level with a free slot, preferably with
            low latency and in a little-used rack; ``None`` if there is none.
        """
        hosts = self._index.sample(excluded)
        if not hosts:
            return None
        if len(hosts) == 1:
            return hosts[0]
        return min(hosts, key=self._selection_cost)

    def is_every_active_worker_excluded(self, excluded: tuple[str, ...]) -> bool:
        """
        :returns: whether ``excluded`` contains every active worker of the pool.
        """
        active_count = sum(
            1
            for host in set(excluded)
            if host in self._workers and self._workers[host].is_active
        )
        return active_count >= self.active_count

    def address_of(self, host: str) -> str:
        return self._workers[host].address

    def grant(self, host: str, ticket: str, now_s: float) -> None:
        """Occupies a slot for a new grant.

        :raises InvariantError: if the worker is draining or has no free slot.
        """
        worker = self._workers[host]
        since_s = worker.inactive_since_s
        draining_for_s = None if since_s is None else now_s - since_s
        check_no_grant_to_draining(host, draining_for_s)
        occupied_count = len(worker.tickets) + 1
        check_slots_within_limit({host: occupied_count}, {host: worker.slots_count})
        worker.health.record_grant(ticket)
        self._occupy(worker, ticket)

    def restore_grant(self, host: str, ticket: str) -> None:
        """Occupies a slot for an existing grant, even beyond the limits."""
        worker = self._workers.get(host)
        if worker is None:
            worker = self._workers[host] = _Worker(host)
        self._occupy(worker, ticket)

    def release(
        self,
        host: str,
        ticket: str,
        service_time_s: float | None,
        host_failed: bool,
        now_s: float,
    ) -> None:
        """Frees the slot of a grant and records the result for health and latency."""
        worker = self._workers[host]
        worker.tickets.discard(ticket)
        if worker.is_active:
            self._occupied_count -= 1
            self._racks[worker.rack].occupied_count -= 1
        self._record_result(worker, ticket, service_time_s, host_failed, now_s)
        if not worker.tickets and not worker.is_in_pool:
            del self._workers[host]
        self._index.set_level(host, worker.level())

    def start_due_probes(self, now_s: float) -> None:
        """Allows one probe to each worker whose ejection time has passed."""
        while self._probe_times and self._probe_times[0][0] <= now_s:
            _, host = heapq.heappop(self._probe_times)
            worker = self._workers.get(host)
            if worker is not None and worker.health.start_probing(now_s):
                self._ejected_count -= 1
                self._index.set_level(host, worker.level())

    def occupied_hosts(self) -> frozenset[str]:
        """
        :returns: workers with at least one grant, including draining ones.
        """
        return frozenset(
            host for host, worker in self._workers.items() if worker.tickets
        )

    def occupied_counts(self, hosts: Iterable[str]) -> dict[str, int]:
        """
        :returns: number of grants on each of ``hosts``.
        """
        return {
            host: len(self._workers[host].tickets) if host in self._workers else 0
            for host in hosts
        }

    def _selection_cost(self, host: str) -> float:
        worker = self._workers[host]
        latency_s = max(worker.latency_s, MIN_LATENCY_S)
        return latency_s * (1.0 + self._racks[worker.rack].load_ratio)

    def _occupy(self, worker: _Worker, ticket: str) -> None:
        if ticket in worker.tickets:
            return
        worker.tickets.add(ticket)
        if worker.is_active:
            self._occupied_count += 1
            self._racks[worker.rack].occupied_count += 1
        self._index.set_level(worker.host, worker.level())

    def _record_result(
        self,
        worker: _Worker,
        ticket: str,
        service_time_s: float | None,
        host_failed: bool,
        now_s: float,
    ) -> None:
        if host_failed:
            if worker.health.record_failure(ticket, now_s):
                self._schedule_probe(worker, now_s)
        elif service_time_s is None:
            worker.health.record_unused(ticket)
        else:
            worker.health.record_success(ticket)
            if worker.latency_s == 0.0:
                worker.latency_s = service_time_s
            worker.latency_s += LATENCY_GAIN * (service_time_s - worker.latency_s)

    def _schedule_probe(self, worker: _Worker, now_s: float) -> None:
        self._ejected_count += 1
        heapq.heappush(self._probe_times, (worker.health.ejected_until_s, worker.host))
        if 2 * self._ejected_count <= self.active_count:
            return
        for other in self._workers.values():
            if other.health.shorten_ejection(now_s + MASS_EJECTION_S):
                heapq.heappush(
                    self._probe_times, (other.health.ejected_until_s, other.host)
                )

    def _apply_record(self, record: HostRecord, now_s: float) -> None:
        worker = self._workers.get(record["host"])
        if worker is None:
            worker = self._workers[record["host"]] = _Worker(record["host"])
        worker.address = record["address"]
        worker.rack = record["rack"]
        worker.slots_count = record["slots_count"]
        worker.is_in_pool = True
        is_active = record["state"] is HostState.ACTIVE
        if is_active and not worker.is_active:
            self._reset_health(worker)
        self._set_active(worker, is_active, now_s)

    def _reset_health(self, worker: _Worker) -> None:
        worker.health = WorkerHealth()
        worker.latency_s = 0.0

    def _set_active(self, worker: _Worker, is_active: bool, now_s: float) -> None:
        worker.is_active = is_active
        if is_active:
            worker.inactive_since_s = None
        elif worker.inactive_since_s is None:
            worker.inactive_since_s = now_s

    def _remove_worker(self, worker: _Worker, now_s: float) -> None:
        """Removes a worker that left the pool once it has no outstanding grants."""
        worker.slots_count = 0
        worker.is_in_pool = False
        self._set_active(worker, False, now_s)
        self._index.set_level(worker.host, None)
        if not worker.tickets:
            del self._workers[worker.host]

    def _recount(self) -> None:
        self._racks = {}
        self._occupied_count = 0
        self.slots_count = 0
        self.active_count = 0
        self._ejected_count = 0
        for worker in self._workers.values():
            self._index.set_level(worker.host, worker.level())
            if not worker.is_active:
                continue
            rack = self._racks.setdefault(worker.rack, _Rack())
            rack.slots_count += worker.slots_count
            rack.occupied_count += len(worker.tickets)
            self._occupied_count += len(worker.tickets)
            self.slots_count += worker.slots_count
            self.active_count += 1
            self._ejected_count += worker.health.is_ejected
