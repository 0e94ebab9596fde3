"""Slots of the workers of one pool, as its owner knows them."""

import heapq
from collections.abc import Iterable
from random import Random

from sycamorecroft.invariants import (
    check_no_grant_to_draining,
    check_slots_within_limit,
)
from sycamorecroft.pools.state import HostRecord, HostState, PoolView
from sycamorecroft.routing.ejection import CROWDED_PAUSE_S, WorkerHealth
from sycamorecroft.routing.worker_index import LEVELS_COUNT, WorkerIndex

LATENCY_GAIN = 1 / 8
"""Gain of the moving average of a worker's service times."""

SHORTEST_LATENCY_S = 0.0001


class _Worker:
    """Worker with the tickets that occupy its slots."""

    __slots__ = (
        "address",
        "draining_since_s",
        "health",
        "host",
        "is_active",
        "is_member",
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
        self.is_member = False
        self.is_active = False
        self.draining_since_s: float | None = None
        self.tickets: set[str] = set()
        self.health = WorkerHealth()
        self.latency_s = 0.0

    def level(self) -> int | None:
        """
        :returns: load level, ``None`` when the worker takes no grant.
        """
        occupied_count = len(self.tickets)
        if not self.is_active or occupied_count >= self.slots_count:
            return None
        if not self.health.allows_grant:
            return None
        return occupied_count * LEVELS_COUNT // self.slots_count


class _Rack:
    """Occupation of the active workers of one rack."""

    __slots__ = ("occupied_count", "slots_count")

    def __init__(self) -> None:
        self.occupied_count = 0
        self.slots_count = 0

    @property
    def load_ratio(self) -> float:
        return self.occupied_count / self.slots_count if self.slots_count else 1.0


class SlotTable:
    """Slots of a pool: least-loaded choice, ejection, and the limit of the owner."""

    def __init__(self, pool: str, random: Random) -> None:
        self.pool = pool
        self._workers: dict[str, _Worker] = {}
        self._racks: dict[str, _Rack] = {}
        self._index = WorkerIndex(random)
        self._ejected: list[tuple[float, str]] = []
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
        :returns: slots of active workers that this owner may occupy: all, or the
            share of its side of a partition, at least one.
        """
        share = self.slots_count * self._reached_count // self._registered_count
        return min(self.slots_count, max(1, share))

    @property
    def free_count(self) -> int:
        return max(0, self.limit_count - self._occupied_count)

    @property
    def occupied_count(self) -> int:
        """
        :returns: occupied slots of active workers.
        """
        return self._occupied_count

    @property
    def ejected_count(self) -> int:
        return self._ejected_count

    def ejected_hosts(self) -> tuple[str, ...]:
        """
        :returns: workers that get no requests since they failed, in order of name.
        """
        if not self._ejected_count:
            return ()
        hosts = {host for _, host in self._ejected if host in self._workers}
        return tuple(
            sorted(host for host in hosts if self._workers[host].health.is_ejected)
        )

    def has_capacity(self) -> bool:
        return self.free_count > 0 and len(self._index) > 0

    def set_share(self, reached_count: int, registered_count: int) -> None:
        """
        :param reached_count: registered entry hosts that this owner sees (m).
        :param registered_count: registered entry hosts (n), at least 1.
        """
        self._registered_count = max(1, registered_count)
        self._reached_count = min(max(1, reached_count), self._registered_count)

    def apply_view(self, view: PoolView, now_s: float) -> None:
        """Takes over host records; an older view than the current one is ignored."""
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
            self._withdraw_worker(self._workers[host], now_s)
        self._recount()

    def choose(self, excluded: tuple[str, ...]) -> str | None:
        """
        :returns: a worker with a free slot: the least loaded, among these the one
            with low latency in a little-used rack.
        """
        hosts = self._index.sample(excluded)
        if not hosts:
            return None
        if len(hosts) == 1:
            return hosts[0]
        return min(hosts, key=self._preference)

    def is_only_choice(self, excluded: tuple[str, ...]) -> bool:
        """
        :returns: whether every active worker of the pool is excluded.
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

        :raises InvariantError: if the worker drains or has no free slot.
        """
        worker = self._workers[host]
        since_s = worker.draining_since_s
        draining_for_s = None if since_s is None else now_s - since_s
        check_no_grant_to_draining(host, draining_for_s)
        occupied_count = len(worker.tickets) + 1
        check_slots_within_limit({host: occupied_count}, {host: worker.slots_count})
        worker.health.granted(ticket)
        self._occupy(worker, ticket)

    def hold(self, host: str, ticket: str) -> None:
        """Occupies a slot for a grant of an earlier owner, whatever the limits are."""
        worker = self._workers.get(host)
        if worker is None:
            worker = self._workers[host] = _Worker(host)
        self._occupy(worker, ticket)

    def vacate(
        self,
        host: str,
        ticket: str,
        service_time_s: float | None,
        host_failed: bool,
        now_s: float,
    ) -> None:
        """Frees the slot of a grant and learns from its result."""
        worker = self._workers[host]
        worker.tickets.discard(ticket)
        if worker.is_active:
            self._occupied_count -= 1
            self._racks[worker.rack].occupied_count -= 1
        self._learn(worker, ticket, service_time_s, host_failed, now_s)
        if not worker.tickets and not worker.is_member:
            del self._workers[host]
        self._index.place(host, worker.level())

    def advance(self, now_s: float) -> None:
        """Lets ejected workers whose pause has ended take a probe."""
        while self._ejected and self._ejected[0][0] <= now_s:
            _, host = heapq.heappop(self._ejected)
            worker = self._workers.get(host)
            if worker is not None and worker.health.start_probing(now_s):
                self._ejected_count -= 1
                self._index.place(host, worker.level())

    def occupied_hosts(self) -> frozenset[str]:
        """
        :returns: workers with at least one grant, draining ones included.
        """
        return frozenset(
            host for host, worker in self._workers.items() if worker.tickets
        )

    def occupied_counts(self, hosts: Iterable[str]) -> dict[str, int]:
        """
        :returns: number of grants on each of the hosts.
        """
        return {
            host: len(self._workers[host].tickets) if host in self._workers else 0
            for host in hosts
        }

    def _preference(self, host: str) -> float:
        worker = self._workers[host]
        latency_s = max(worker.latency_s, SHORTEST_LATENCY_S)
        return latency_s * (1.0 + self._racks[worker.rack].load_ratio)

    def _occupy(self, worker: _Worker, ticket: str) -> None:
        if ticket in worker.tickets:
            return
        worker.tickets.add(ticket)
        if worker.is_active:
            self._occupied_count += 1
            self._racks[worker.rack].occupied_count += 1
        self._index.place(worker.host, worker.level())

    def _learn(
        self,
        worker: _Worker,
        ticket: str,
        service_time_s: float | None,
        host_failed: bool,
        now_s: float,
    ) -> None:
        if host_failed:
            if worker.health.failed(ticket, now_s):
                self._schedule_probe(worker, now_s)
        elif service_time_s is None:
            worker.health.unused(ticket)
        else:
            worker.health.succeeded(ticket)
            if worker.latency_s == 0.0:
                worker.latency_s = service_time_s
            worker.latency_s += LATENCY_GAIN * (service_time_s - worker.latency_s)

    def _schedule_probe(self, worker: _Worker, now_s: float) -> None:
        self._ejected_count += 1
        heapq.heappush(self._ejected, (worker.health.until_s, worker.host))
        if 2 * self._ejected_count <= self.active_count:
            return
        for other in self._workers.values():
            if other.health.shorten(now_s + CROWDED_PAUSE_S):
                heapq.heappush(self._ejected, (other.health.until_s, other.host))

    def _apply_record(self, record: HostRecord, now_s: float) -> None:
        worker = self._workers.get(record["host"])
        if worker is None:
            worker = self._workers[record["host"]] = _Worker(record["host"])
        worker.address = record["address"]
        worker.rack = record["rack"]
        worker.slots_count = record["slots_count"]
        worker.is_member = True
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
            worker.draining_since_s = None
        elif worker.draining_since_s is None:
            worker.draining_since_s = now_s

    def _withdraw_worker(self, worker: _Worker, now_s: float) -> None:
        """The host left the pool; its record stays while grants are outstanding."""
        worker.slots_count = 0
        worker.is_member = False
        self._set_active(worker, False, now_s)
        self._index.place(worker.host, None)
        if not worker.tickets:
            del self._workers[worker.host]

    def _recount(self) -> None:
        self._racks = {}
        self._occupied_count = 0
        self.slots_count = 0
        self.active_count = 0
        self._ejected_count = 0
        for worker in self._workers.values():
            self._index.place(worker.host, worker.level())
            if not worker.is_active:
                continue
            rack = self._racks.setdefault(worker.rack, _Rack())
            rack.slots_count += worker.slots_count
            rack.occupied_count += len(worker.tickets)
            self._occupied_count += len(worker.tickets)
            self.slots_count += worker.slots_count
            self.active_count += 1
            self._ejected_count += worker.health.is_ejected
