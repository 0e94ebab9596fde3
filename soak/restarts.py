"""Mixes of faults near a task's start: restarts of workers and owners, broken feeds."""

import signal
from functools import partial

from soak.faults import FaultSchedule
from soak.site import NodeProcess
from soak.workers import REGISTRATION_LIMIT_S, ConnectionLoss, SoakWorker

# Faults of a mix begin at the same instant or within this time.
SPREAD_S = 0.5
RESTART_RATIO = 0.8
SAME_INSTANT_RATIO = 0.5
# A mix that is aimed at the next start of a task waits this long for it.
START_LIMIT_S = 0.5
SECOND_WORKER_RATIO = 0.2
LATEST_WORKER_RATIO = 0.7
OWNER_RATIO = 0.8
SILENT_RATIO = 0.6
MOVED_RATIO = 0.2
REGISTRATION_AT_ONCE_RATIO = 0.3
LAPSED_RATIO = 0.2
ALL_NODES_RATIO = 0.7
STORE_AT_ONCE_RATIO = 0.6
STORE_REFUSED_S = (0.1, 4.0)
KILLED_RATIO = 0.5
KILLED_S = (0.0, 1.5)
PAUSED_S = (0.5, 8.0)


class RestartFaults(FaultSchedule):
    """Each step is a mix of faults around one worker and the owner of its service."""

    PAUSE_S = (0.5, 2.5)

    def step(self) -> None:
        if self._is_chosen(LATEST_WORKER_RATIO):
            self._site.run_log.wait_for_start(START_LIMIT_S)
            worker = self._find_worker(self._site.run_log.latest_worker_id)
        else:
            worker = self._random.choice(self._site.workers)
        owner = self._choose_owner(worker)
        others = [self._break_store_off, partial(self._signal_owner, owner)]
        if self._is_chosen(RESTART_RATIO):
            restarts = [partial(self._restart_worker, worker)]
            if self._is_chosen(SECOND_WORKER_RATIO):
                second = self._random.choice(self._site.workers)
                restarts.append(partial(self._restart_worker, second))
            actions = restarts + self._sample(others, 0)
        else:
            actions = self._sample(others, 1)
        for action in actions:
            is_at_once = self._is_chosen(SAME_INSTANT_RATIO)
            delay_s = 0.0 if is_at_once else self._random.uniform(0.0, SPREAD_S)
            self._schedule(delay_s, action)

    def _sample(self, actions: list, least_count: int) -> list:
        count = self._random.randint(least_count, len(actions))
        return self._random.sample(actions, count)

    def _is_chosen(self, ratio: float) -> bool:
        return self._random.random() < ratio

    def _find_worker(self, worker_id: str | None) -> SoakWorker:
        """
        :returns: the worker with this id; any worker if there is none.
        """
        found = [w for w in self._site.workers if w.worker_id == worker_id]
        return self._random.choice(found or self._site.workers)

    def _choose_owner(self, worker: SoakWorker) -> NodeProcess:
        owner = self._site.owner(worker.service)
        if owner is not None and self._is_chosen(OWNER_RATIO):
            return owner
        return self._random.choice(self._site.nodes)

    def _restart_worker(self, worker: SoakWorker) -> None:
        is_silent = self._is_chosen(SILENT_RATIO)
        loss = (
            ConnectionLoss.SILENT
            if is_silent
            else self._random.choice((ConnectionLoss.CLOSED, ConnectionLoss.RESET))
        )
        is_at_once = self._is_chosen(REGISTRATION_AT_ONCE_RATIO)
        delay_s = 0.0 if is_at_once else self._random.uniform(0, REGISTRATION_LIMIT_S)
        self._site.run_log.log(
            f"{worker.worker_id} restarts, connections {loss}, "
            f"registers in {delay_s:.3f} s"
        )
        worker.restart(
            loss,
            is_moved=self._is_chosen(MOVED_RATIO),
            registration_delay_s=delay_s,
        )
        if self._is_chosen(LAPSED_RATIO):
            self._site.run_log.log(f"the registration of {worker.worker_id} lapses")
            worker.lapse_registration()

    def _break_store_off(self) -> None:
        site = self._site
        is_all = self._is_chosen(ALL_NODES_RATIO)
        nodes = site.nodes if is_all else [self._random.choice(site.nodes)]
        is_at_once = self._is_chosen(STORE_AT_ONCE_RATIO)
        refused_s = 0.0 if is_at_once else self._random.uniform(*STORE_REFUSED_S)
        self._site.run_log.log(
            f"store breaks off on {len(nodes)} nodes for {refused_s:.3f} s"
        )
        site.break_store_off(nodes, refused_s)
        if is_all and self._is_chosen(LAPSED_RATIO):
            site.run_log.log("the registrations of all workers lapse")
            for worker in site.workers:
                delay_s = self._random.uniform(0, REGISTRATION_LIMIT_S)
                worker.lapse_registration(refused_s + delay_s)

    def _signal_owner(self, owner: NodeProcess) -> None:
        is_killed = self._is_chosen(KILLED_RATIO)
        duration_s = self._random.uniform(*(KILLED_S if is_killed else PAUSED_S))
        fault = "killed" if is_killed else "paused"
        self._site.run_log.log(f"{owner.name} is {fault} for {duration_s:.3f} s")
        if is_killed:
            owner.kill()
        else:
            owner.send_signal(signal.SIGSTOP)
        self._schedule(duration_s, lambda: self._restore_node(owner))
