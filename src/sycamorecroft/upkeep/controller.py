"""Carries out waves of upkeep on the machines of all pools."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.upkeep.ledger import StoredWave, WaveLedger, WaveProgress
from sycamorecroft.upkeep.machines import (
    Machine,
    MachineCalls,
    MachineOrderStatus,
    MachineState,
)
from sycamorecroft.upkeep.order_sender import ORDERS_PER_CLAIM_COUNT, OrderSender
from sycamorecroft.upkeep.planning import DueMachine, PoolUpkeep, machines_to_empty
from sycamorecroft.upkeep.waves import Wave

_log = structlog.get_logger(__name__)

# A machine whose tasks don't end is taken after this time all the same.
EMPTYING_LIMIT_S = 8.0
# A machine that isn't listed for this long has left.
GONE_S = 5.0


class UpkeepSettings(NamedTuple):
    """Times of upkeep; ``lease_ms`` must pass between orders of two hosts."""

    upkeep_s: float
    lease_ms: int


class Pool(NamedTuple):
    """A pool with its load; ``snapshot`` is ``None`` for a standby pool."""

    name: str
    snapshot: PoolSnapshot | None


class UpkeepController:
    """Decides and orders upkeep. Used by one thread."""

    def __init__(
        self,
        ledger: WaveLedger,
        sender: OrderSender,
        calls: MachineCalls,
        clock: Clock,
        settings: UpkeepSettings,
        report: Callable[[int, bool], None],
    ) -> None:
        """
        :param report: tells the operator whether a wave is complete.
        """
        self._ledger = ledger
        self._sender = sender
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._report = report
        self._emptying_s: dict[str, float] = {}
        self._ordered_s: dict[str, float] = {}
        self._listed_s: dict[str, float] = {}
        self._due: frozenset[str] = frozenset()
        self._reported: set[str] = set()
        self._complete: set[str] = set()

    def step(
        self, waves: Iterable[Wave], pools: Iterable[Pool]
    ) -> dict[str, WorkerMarks]:
        """Does what is due now.

        :param pools: pools whose load is known, and standby pools.
        :returns: workers that open waves concern, by pool.
        :raises PlatformError: when the store or the list of machines can't be read.
        """
        open_waves = [w for w in waves if str(w.number) not in self._complete]
        pools = list(pools)
        marks: dict[str, WorkerMarks] = {}
        if not open_waves or not pools:
            return marks
        stored = self._ledger.read_waves()
        self._ledger.read_orders()
        machines = {machine.name: machine for machine in self._calls.list_machines()}
        now_s = self._clock.monotonic_s()
        for name in machines:
            self._listed_s[name] = now_s
        due: set[str] = set()
        for wave in open_waves:
            progress = self._step_wave(wave, stored, pools, machines)
            self._mark(wave, progress, pools, machines, marks)
            due.update(self._open_machines(wave, progress))
        self._due = frozenset(due - self._ordered_s.keys())
        return marks

    @property
    def busy_machines(self) -> frozenset[str]:
        """Machines that upkeep is about to take."""
        return frozenset(self._emptying_s)

    @property
    def due_machines(self) -> frozenset[str]:
        """Machines whose upkeep has not begun."""
        return self._due

    def _mark(
        self,
        wave: Wave,
        progress: WaveProgress,
        pools: list[Pool],
        machines: dict[str, Machine],
        marks: dict[str, WorkerMarks],
    ) -> None:
        open_machines = [
            machines[name]
            for name in self._open_machines(wave, progress)
            if name in machines
        ]
        for pool in pools:
            mine = [machine for machine in open_machines if machine.pool == pool.name]
            known = marks.get(pool.name, WorkerMarks())
            emptied = {m.worker_id for m in mine if m.name in self._emptying_s}
            marks[pool.name] = WorkerMarks(
                known.reserved | emptied,
                known.due | {machine.worker_id for machine in mine},
            )

    def _step_wave(
        self,
        wave: Wave,
        stored: dict[str, StoredWave],
        pools: list[Pool],
        machines: dict[str, Machine],
    ) -> WaveProgress:
        key = str(wave.number)
        state = stored.get(key) or StoredWave(
            WaveProgress(self._ledger.store_time_ms), None
        )
        try:
            if state.version is None:
                state = self._ledger.write_wave(key, state, state.progress)
            state = self._record_done(key, wave, state, machines)
            if not self._open_machines(wave, state.progress):
                self._complete_wave(wave)
                return state.progress
            if key not in self._reported:
                self._report(wave.number, False)
                self._reported.add(key)
            ready: list[str] = []
            for pool in pools:
                ready += self._step_pool(wave, state, pool, machines)
            state = self._begin(key, wave, state, ready)
        except StoreConflictError:
            _log.debug("wave_changed_by_other", wave=key)
        return state.progress

    def _open_machines(self, wave: Wave, progress: WaveProgress) -> list[str]:
        return [name for name in wave.machines if name not in progress.done]

    def _record_done(
        self,
        key: str,
        wave: Wave,
        state: StoredWave,
        machines: dict[str, Machine],
    ) -> StoredWave:
        """Gives back the places of machines whose upkeep is over."""
        finished = [
            name
            for name in self._open_machines(wave, state.progress)
            if self._is_finished(name, machines.get(name))
        ]
        if not finished:
            return state
        progress = state.progress._replace(
            out=tuple(name for name in state.progress.out if name not in finished),
            done=(*state.progress.done, *finished),
        )
        state = self._ledger.write_wave(key, state, progress)
        for name in finished:
            self._emptying_s.pop(name, None)
            self._ordered_s.pop(name, None)
        _log.info(
            "upkeep_done", wave=key, machines=finished, done_count=len(progress.done)
        )
        return state

    def _complete_wave(self, wave: Wave) -> None:
        """Tells the operator; done again by a successor, which can't know of it."""
        self._report(wave.number, True)
        self._complete.add(str(wave.number))
        _log.info("wave_complete", wave=wave.number, machines_count=len(wave.machines))

    def _is_finished(self, name: str, machine: Machine | None) -> bool:
        now_s = self._clock.monotonic_s()
        if machine is None:
            first_s = self._listed_s.setdefault(name, now_s)
            return now_s - first_s > GONE_S
        ordered_s = self._ordered_s.get(name)
        return (
            ordered_s is not None
            and machine.state is MachineState.UP
            and now_s - ordered_s > self._settings.upkeep_s
        )

    def _step_pool(
        self,
        wave: Wave,
        state: StoredWave,
        pool: Pool,
        machines: dict[str, Machine],
    ) -> list[str]:
        """Chooses machines to empty.

        :returns: machines of the pool whose upkeep may begin.
        """
        open_machines = [
            machines[name]
            for name in self._open_machines(wave, state.progress)
            if name in machines and machines[name].pool == pool.name
        ]
        self._choose(wave, state, pool, open_machines)
        return [
            machine.name
            for machine in open_machines
            if machine.state is MachineState.UP
            and machine.name not in self._ordered_s
            and self._is_empty(machine, pool)
            and self._ledger.may_order(machine.name, self._settings.lease_ms)
        ]

    def _choose(
        self, wave: Wave, state: StoredWave, pool: Pool, machines: list[Machine]
    ) -> None:
        now_s = self._clock.monotonic_s()
        workers = {}
        if pool.snapshot is not None:
            workers = {worker.worker_id: worker for worker in pool.snapshot.workers}
        for machine in machines:
            # A former owner has claimed its place and may have begun its upkeep.
            if machine.name in state.progress.out:
                self._emptying_s.setdefault(machine.name, now_s)
        out = [m for m in machines if m.name in self._emptying_s]
        candidates = tuple(
            DueMachine(machine, workers.get(machine.worker_id))
            for machine in machines
            if machine.name not in self._emptying_s and machine.state is MachineState.UP
        )
        elapsed_s = (self._ledger.store_time_ms - state.progress.begun_ms) / 1000
        upkeep = PoolUpkeep(
            candidates,
            len(out),
            wave.duration_s - elapsed_s,
            self._settings.upkeep_s,
        )
        room_count = wave.concurrent_limit_count - self._emptied_count(wave, state)
        for name in machines_to_empty(upkeep, pool.snapshot)[: max(0, room_count)]:
            self._emptying_s[name] = now_s
            _log.info("machine_emptied", machine=name, wave=wave.number, pool=pool.name)

    def _emptied_count(self, wave: Wave, state: StoredWave) -> int:
        """Counts machines that hold or wait for a place; others go on working."""
        open_machines = self._open_machines(wave, state.progress)
        places = self._emptying_s.keys() | set(state.progress.out)
        return sum(name in places for name in open_machines)

    def _is_empty(self, machine: Machine, pool: Pool) -> bool:
        since_s = self._emptying_s.get(machine.name)
        if since_s is None:
            return False
        if pool.snapshot is None:
            return True
        now_s = self._clock.monotonic_s()
        for worker in pool.snapshot.workers:
            if worker.worker_id != machine.worker_id:
                continue
            if worker.is_drained:
                return True
            is_overdue = now_s - since_s > EMPTYING_LIMIT_S
            return is_overdue and not worker.long_running_count
        # The worker isn't listed yet or any more.
        return now_s - since_s > EMPTYING_LIMIT_S

    def _begin(
        self, key: str, wave: Wave, state: StoredWave, ready: list[str]
    ) -> StoredWave:
        """Begins the upkeep of machines that are ready, as far as there are places."""
        out = state.progress.out
        retried = [name for name in ready if name in out]
        new = [name for name in ready if name not in out]
        room_count = max(0, wave.concurrent_limit_count - len(out))
        chosen = (retried + new[:room_count])[:ORDERS_PER_CLAIM_COUNT]
        if not chosen:
            return state
        token, statuses = self._sender.carry_out(
            chosen,
            lambda name, token: self._calls.begin_upkeep(name, wave.number, token),
            key,
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
            if status is MachineOrderStatus.DONE:
                self._ordered_s[name] = now_s
        progress = state.progress._replace(out=tuple(sorted({*out, *chosen})))
        return StoredWave(progress, token.number)
