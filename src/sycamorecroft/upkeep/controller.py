"""Drains hosts and starts their upkeep, wave by wave, over all pools."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.upkeep.fleet_store import FleetStore, StoredWave, WaveProgress
from sycamorecroft.upkeep.hosts import Host, HostCalls, HostOrderStatus, HostState
from sycamorecroft.upkeep.order_sender import ORDERS_PER_CLAIM_COUNT, OrderSender
from sycamorecroft.upkeep.planning import DueHost, PoolUpkeep, select_hosts_to_drain
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)

# Upkeep starts after this time even if the worker still runs tasks, unless they are
# long-running.
DRAIN_TIMEOUT_S = 8.0
# A host that has been missing from the host list for this long counts as removed.
UNLISTED_TIMEOUT_S = 5.0


class UpkeepSettings(NamedTuple):
    """Settings of the upkeep controller.

    ``upkeep_s``: duration of the upkeep of one host. ``lease_ms``: time that must pass
    between orders of two entry hosts for one host.
    """

    upkeep_s: float
    lease_ms: int


class _Upkeep(NamedTuple):
    """Upkeep of a host for one wave; another wave with this host asks for another."""

    wave_key: str
    host: str


class Pool(NamedTuple):
    """A pool and its load; ``snapshot`` is ``None`` for a standby pool."""

    name: str
    snapshot: PoolSnapshot | None


class UpkeepController:
    """Plans and orders the upkeep of hosts. Not thread-safe."""

    def __init__(
        self,
        fleet_store: FleetStore,
        sender: OrderSender,
        calls: HostCalls,
        clock: Clock,
        settings: UpkeepSettings,
        report: Callable[[int, bool], None],
    ) -> None:
        """
        :param report: reports to the operator whether a wave is complete, given the
            number of the wave.
        """
        self._fleet_store = fleet_store
        self._sender = sender
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._report = report
        self._draining_s: dict[str, float] = {}
        self._ordered_s: dict[_Upkeep, float] = {}
        self._last_listed_s: dict[str, float] = {}
        self._due_hosts: frozenset[str] = frozenset()
        self._reported_waves: set[str] = set()
        self._completed_waves: set[str] = set()
        self._open_waves: list[Wave] = []
        # Hosts of each open wave that its stored progress names as in upkeep.
        self._in_upkeep: dict[str, frozenset[str]] = {}

    def step(
        self, waves: Iterable[Wave], pools: Iterable[Pool]
    ) -> dict[str, WorkerMarks]:
        """Drains the next hosts of each open wave and starts upkeep of drained ones.

        :param waves: waves that the operator has requested.
        :param pools: pools whose load is known, and standby pools.
        :returns: marks of the workers whose hosts belong to open waves, by pool.
        :raises PlatformError: when the store or the host list can't be read.
        """
        open_waves = [w for w in waves if str(w.number) not in self._completed_waves]
        pools = list(pools)
        marks: dict[str, WorkerMarks] = {}
        if not open_waves or not pools:
            return marks
        stored = self._fleet_store.read_waves()
        self._open_waves = open_waves
        self._in_upkeep = {}
        for wave in open_waves:
            state = stored.get(str(wave.number))
            if state is not None:
                self._record_in_upkeep(wave, state.progress)
        self._fleet_store.read_orders()
        hosts = {host.name: host for host in self._calls.list_hosts()}
        now_s = self._clock.monotonic_s()
        for name in hosts:
            self._last_listed_s[name] = now_s
        due: set[str] = set()
        for wave in open_waves:
            progress = self._step_wave(wave, stored, pools, hosts)
            self._add_marks(wave, progress, pools, hosts, marks)
            due.update(self._pending_hosts(wave, progress))
        ordered = {upkeep.host for upkeep in self._ordered_s}
        self._due_hosts = frozenset(due - ordered)
        return marks

    @property
    def upkeep_hosts(self) -> frozenset[str]:
        """Names of hosts that are being drained for upkeep or in upkeep."""
        return frozenset(self._draining_s)

    @property
    def due_hosts(self) -> frozenset[str]:
        """Names of hosts whose upkeep is due and has not started."""
        return self._due_hosts

    def _add_marks(
        self,
        wave: Wave,
        progress: WaveProgress,
        pools: list[Pool],
        hosts: dict[str, Host],
        marks: dict[str, WorkerMarks],
    ) -> None:
        pending_hosts = [
            hosts[name] for name in self._pending_hosts(wave, progress) if name in hosts
        ]
        for pool in pools:
            pool_hosts = [host for host in pending_hosts if host.pool == pool.name]
            previous = marks.get(pool.name, WorkerMarks())
            draining = {
                host.worker_id for host in pool_hosts if host.name in self._draining_s
            }
            marks[pool.name] = WorkerMarks(
                previous.reserved | draining,
                previous.due | {host.worker_id for host in pool_hosts},
            )

    def _step_wave(
        self,
        wave: Wave,
        stored: dict[str, StoredWave],
        pools: list[Pool],
        hosts: dict[str, Host],
    ) -> WaveProgress:
        wave_key = str(wave.number)
        state = stored.get(wave_key) or StoredWave(
            WaveProgress(self._fleet_store.store_time_ms), None
        )
        try:
            if state.version is None:
                state = self._fleet_store.write_wave(wave_key, state, state.progress)
            state = self._record_completed(wave_key, wave, state, hosts)
            if not self._pending_hosts(wave, state.progress):
                self._complete_wave(wave)
                return state.progress
            if wave_key not in self._reported_waves:
                self._report(wave.number, False)
                self._reported_waves.add(wave_key)
            ready: list[str] = []
            for pool in pools:
                ready += self._step_pool(wave, state, pool, hosts)
            state = self._start_upkeep(wave_key, wave, state, ready)
            self._record_in_upkeep(wave, state.progress)
        except StoreConflictError:
            _log.debug("wave_update_conflict", wave=wave_key)
        return state.progress

    def _pending_hosts(self, wave: Wave, progress: WaveProgress) -> list[str]:
        return [name for name in wave.hosts if name not in progress.completed]

    def _record_completed(
        self,
        wave_key: str,
        wave: Wave,
        state: StoredWave,
        hosts: dict[str, Host],
    ) -> StoredWave:
        """Records hosts whose upkeep has completed, so that others may start."""
        completed = [
            name
            for name in self._pending_hosts(wave, state.progress)
            if self._has_completed(_Upkeep(wave_key, name), hosts.get(name))
        ]
        if not completed:
            return state
        progress = state.progress._replace(
            in_upkeep=tuple(
                name for name in state.progress.in_upkeep if name not in completed
            ),
            completed=(*state.progress.completed, *completed),
        )
        state = self._fleet_store.write_wave(wave_key, state, progress)
        self._record_in_upkeep(wave, progress)
        for name in completed:
            self._draining_s.pop(name, None)
            self._ordered_s.pop(_Upkeep(wave_key, name), None)
        _log.info(
            "upkeep_done",
            wave=wave_key,
            machines=completed,
            done_count=len(progress.completed),
        )
        return state

    def _complete_wave(self, wave: Wave) -> None:
        """Reports the wave as complete.

        The next fleet controller repeats the report, as it can't know that it was made.
        """
        self._report(wave.number, True)
        self._completed_waves.add(str(wave.number))
        _log.info("wave_complete", wave=wave.number, machines_count=len(wave.hosts))

    def _has_completed(self, upkeep: _Upkeep, host: Host | None) -> bool:
        now_s = self._clock.monotonic_s()
        if host is None:
            last_listed_s = self._last_listed_s.setdefault(upkeep.host, now_s)
            return now_s - last_listed_s > UNLISTED_TIMEOUT_S
        ordered_s = self._ordered_s.get(upkeep)
        return (
            ordered_s is not None
            and host.state is HostState.UP
            and now_s - ordered_s > self._settings.upkeep_s
        )

    def _step_pool(
        self,
        wave: Wave,
        state: StoredWave,
        pool: Pool,
        hosts: dict[str, Host],
    ) -> list[str]:
        """Selects hosts of the pool to drain.

        :returns: names of the hosts whose upkeep may start.
        """
        pending_hosts = [
            hosts[name]
            for name in self._pending_hosts(wave, state.progress)
            if name in hosts and hosts[name].pool == pool.name
        ]
        self._select_hosts(wave, state, pool, pending_hosts)
        in_upkeep = self._hosts_in_upkeep()
        return [
            host.name
            for host in pending_hosts
            if host.state is HostState.UP
            and host.name not in in_upkeep
            and self._is_drained(host, pool)
            and self._fleet_store.may_order(host.name, self._settings.lease_ms)
        ]

    def _hosts_in_upkeep(self) -> set[str]:
        """Returns hosts whose upkeep for any wave was ordered and can't be over yet.

        The host list may still show them as up.
        """
        limit_s = self._clock.monotonic_s() - self._settings.upkeep_s
        return {
            upkeep.host
            for upkeep, ordered_s in self._ordered_s.items()
            if ordered_s >= limit_s
        }

    def _select_hosts(
        self, wave: Wave, state: StoredWave, pool: Pool, hosts: list[Host]
    ) -> None:
        now_s = self._clock.monotonic_s()
        workers = {}
        if pool.snapshot is not None:
            workers = {worker.worker_id: worker for worker in pool.snapshot.workers}
        for host in hosts:
            # A previous fleet controller claimed the order and may have sent it.
            if host.name in state.progress.in_upkeep:
                self._draining_s.setdefault(host.name, now_s)
        unavailable = [host for host in hosts if host.name in self._draining_s]
        candidates = tuple(
            DueHost(host, workers.get(host.worker_id))
            for host in hosts
            if host.name not in self._draining_s and host.state is HostState.UP
        )
        elapsed_s = (self._fleet_store.store_time_ms - state.progress.started_ms) / 1000
        upkeep = PoolUpkeep(
            candidates,
            len(unavailable),
            wave.duration_s - elapsed_s,
            self._settings.upkeep_s,
        )
        available_count = wave.concurrent_limit_count - self._claimed_count(wave, state)
        for name in select_hosts_to_drain(upkeep, pool.snapshot)[
            : max(0, available_count)
        ]:
            self._draining_s[name] = now_s
            _log.info("machine_emptied", machine=name, wave=wave.number, pool=pool.name)

    def _claimed_count(self, wave: Wave, state: StoredWave) -> int:
        """Counts hosts that are being drained or in upkeep.

        They count towards the concurrency limit; the others continue to accept tasks.
        """
        pending_hosts = self._pending_hosts(wave, state.progress)
        claimed = self._draining_s.keys() | self._hosts_of_all_waves_in_upkeep()
        return sum(name in claimed for name in pending_hosts)

    def _is_drained(self, host: Host, pool: Pool) -> bool:
        started_s = self._draining_s.get(host.name)
        if started_s is None:
            return False
        if pool.snapshot is None:
            return True
        now_s = self._clock.monotonic_s()
        for worker in pool.snapshot.workers:
            if worker.worker_id != host.worker_id:
                continue
            if worker.is_drained:
                return True
            is_overdue = now_s - started_s > DRAIN_TIMEOUT_S
            return is_overdue and not worker.long_running_count
        # The worker is not registered yet or no longer registered.
        return now_s - started_s > DRAIN_TIMEOUT_S

    def _start_upkeep(
        self, wave_key: str, wave: Wave, state: StoredWave, ready: list[str]
    ) -> StoredWave:
        """Starts upkeep of ready hosts within the concurrency limits of all waves."""
        in_upkeep = state.progress.in_upkeep
        retried = [name for name in ready if name in in_upkeep]
        new = [name for name in ready if name not in in_upkeep]
        selected = (retried + self._within_limits(new))[:ORDERS_PER_CLAIM_COUNT]
        if not selected:
            return state
        token, statuses = self._sender.send_orders(
            selected,
            lambda name, token: self._calls.start_upkeep(name, wave.number, token),
            wave_key,
            state,
        )
        now_s = self._clock.monotonic_s()
        for name, status in statuses.items():
            _log.info(
                "upkeep_begun",
                machine=name,
                wave=wave.number,
                token=token.number,
                status=status,
            )
            if status is HostOrderStatus.DONE:
                self._ordered_s[_Upkeep(wave_key, name)] = now_s
        progress = state.progress._replace(
            in_upkeep=tuple(sorted({*in_upkeep, *selected}))
        )
        return StoredWave(progress, token.number)

    def _record_in_upkeep(self, wave: Wave, progress: WaveProgress) -> None:
        in_upkeep = frozenset(progress.in_upkeep).intersection(wave.hosts)
        self._in_upkeep[str(wave.number)] = in_upkeep

    def _hosts_of_all_waves_in_upkeep(self) -> frozenset[str]:
        return frozenset().union(*self._in_upkeep.values())

    def _within_limits(self, names: list[str]) -> list[str]:
        """Selects hosts whose upkeep no wave's concurrency limit forbids.

        A host counts towards the limit of each open wave that names it, for whichever
        wave it is in upkeep.
        """
        if not names:
            return []
        in_upkeep = set(self._hosts_of_all_waves_in_upkeep())
        waves = [(frozenset(wave.hosts), wave) for wave in self._open_waves]
        selected = []
        for name in names:
            if all(
                len(in_upkeep & hosts) < wave.concurrent_limit_count
                for hosts, wave in waves
                if name in hosts
            ):
                in_upkeep.add(name)
                selected.append(name)
        return selected
