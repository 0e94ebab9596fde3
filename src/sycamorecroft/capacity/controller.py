"""Orders moves of machines into and out of the pools that this host owns."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.capacity.planning import DemandHistory, floor_count, plan_pool
from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot
from sycamorecroft.upkeep.ledger import WaveLedger
from sycamorecroft.upkeep.machines import (
    Machine,
    MachineCalls,
    MachineOrderStatus,
    MachineState,
)

_log = structlog.get_logger(__name__)

# A machine that hasn't registered after this time no longer counts as incoming.
INCOMING_LIMIT_S = 5.0
RETRY_S = 0.5


class CapacitySettings(NamedTuple):
    """``lease_ms`` must pass between orders of two hosts for one machine."""

    lease_ms: int


class _PoolState:
    """What is known of one pool since this host owns it."""

    def __init__(self, home_count: int) -> None:
        self.home_count = home_count
        self.history = DemandHistory()
        self.incoming_s: dict[str, float] = {}
        self.leaving: dict[str, str] = {}
        self.retry_s = 0.0


class CapacityController:
    """Decides and orders moves. Used by one thread."""

    def __init__(
        self,
        ledger: WaveLedger,
        calls: MachineCalls,
        clock: Clock,
        settings: CapacitySettings,
        standby_pools: Callable[[], frozenset[str]],
    ) -> None:
        self._ledger = ledger
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._standby_pools = standby_pools
        self._pools: dict[str, _PoolState] = {}

    @property
    def is_expecting(self) -> bool:
        """Whether machines are on their way to a pool."""
        return any(state.incoming_s for state in self._pools.values())

    def reserved_workers(self, pool: str) -> frozenset[str]:
        """
        :returns: workers that are emptied in order to be given back.
        """
        state = self._pools.get(pool)
        return frozenset(state.leaving) if state else frozenset()

    def forget_pool(self, pool: str) -> None:
        """Forgets a pool that has another owner now."""
        self._pools.pop(pool, None)

    def step(
        self, pools: Iterable[tuple[str, PoolSnapshot]], busy_machines: frozenset[str]
    ) -> None:
        """Moves machines where demand asks for it.

        :param pools: pools that this host owns, with their load.
        :param busy_machines: machines that upkeep is about to take.
        :raises PlatformError: when the store or the list of machines can't be read.
        """
        standby = self._standby_pools()
        if not standby:
            return
        for pool, snapshot in pools:
            self._step_pool(pool, snapshot, standby, busy_machines)

    def _step_pool(
        self,
        pool: str,
        snapshot: PoolSnapshot,
        standby: frozenset[str],
        busy_machines: frozenset[str],
    ) -> None:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = self._begin(pool)
        now_s = self._clock.monotonic_s()
        state.history.add(snapshot)
        self._update_incoming(state, snapshot, now_s)
        demand = plan_pool(
            snapshot,
            state.history,
            incoming_count=len(state.incoming_s),
            floor_count=floor_count(state.home_count),
        )
        if now_s < state.retry_s:
            return
        if demand.grow_count:
            state.leaving.clear()
            self._grow(pool, state, demand.grow_count, standby, busy_machines)
        elif demand.shrink_count or state.leaving:
            self._shrink(pool, state, snapshot, demand.shrink_count, standby)

    def _begin(self, pool: str) -> _PoolState:
        machines = self._calls.list_machines()
        present_count = sum(machine.pool == pool for machine in machines)
        return _PoolState(self._ledger.home_count(pool, present_count))

    def _update_incoming(
        self, state: _PoolState, snapshot: PoolSnapshot, now_s: float
    ) -> None:
        present = {worker.machine for worker in snapshot.workers}
        for machine, ordered_s in list(state.incoming_s.items()):
            if machine in present or now_s - ordered_s > INCOMING_LIMIT_S:
                del state.incoming_s[machine]

    def _grow(
        self,
        pool: str,
        state: _PoolState,
        count: int,
        standby: frozenset[str],
        busy_machines: frozenset[str],
    ) -> None:
        now_s = self._clock.monotonic_s()
        machines = self._read()
        kinds = {m.labels[0] for m in machines if m.pool == pool and m.labels}
        free = [
            machine
            for machine in machines
            if machine.pool in standby
            and machine.state is MachineState.UP
            and machine.name not in busy_machines
            and (not kinds or machine.labels[0] in kinds)
            and self._ledger.may_order(machine.name, self._settings.lease_ms)
        ]
        if not free:
            state.retry_s = now_s + RETRY_S
        for machine in free[:count]:
            if self._move(machine, pool, "work waits"):
                state.incoming_s[machine.name] = self._clock.monotonic_s()

    def _shrink(
        self,
        pool: str,
        state: _PoolState,
        snapshot: PoolSnapshot,
        count: int,
        standby: frozenset[str],
    ) -> None:
        workers = {worker.worker_id: worker for worker in snapshot.workers}
        for worker_id in list(state.leaving):
            if worker_id not in workers:
                del state.leaving[worker_id]
        candidates = [
            worker
            for worker in snapshot.workers
            if worker.is_in_contact
            and not worker.is_reserved
            and not worker.long_running_count
            and worker.machine
        ]
        candidates.sort(key=lambda worker: worker.used.cpu_millicores)
        for worker in candidates[:count]:
            state.leaving[worker.worker_id] = worker.machine
        empty = {
            machine
            for worker_id, machine in state.leaving.items()
            if workers[worker_id].is_reserved and not workers[worker_id].runs_count
        }
        if not empty:
            return
        target = min(standby)
        for machine in self._read():
            if machine.name not in empty or machine.pool != pool:
                continue
            if machine.state is not MachineState.UP:
                continue
            if not self._ledger.may_order(machine.name, self._settings.lease_ms):
                continue
            self._move(machine, target, "demand is low")

    def _read(self) -> tuple[Machine, ...]:
        self._ledger.read_orders()
        return self._calls.list_machines()

    def _move(self, machine: Machine, pool: str, reason: str) -> bool:
        try:
            token = self._ledger.claim_order(machine.name)
        except StoreConflictError:
            return False
        status = self._calls.move(machine.name, pool, token)
        _log.info(
            "machine_moved",
            machine=machine.name,
            from_pool=machine.pool,
            to_pool=pool,
            token=token.number,
            status=status,
            reason=reason,
        )
        return status in (MachineOrderStatus.DONE, MachineOrderStatus.UNKNOWN)
