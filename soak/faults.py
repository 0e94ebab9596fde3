"""Faults of links, nodes and the store, injected from outside the node processes."""

import random
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from soak.proxy import LinkMode
from soak.site import NodeProcess, SoakSite

FAULT_DURATION_S = (0.3, 6.0)


class FaultSchedule(ABC):
    """Injects overlapping faults from outside the node processes.

    :cvar PAUSE_S: shortest and longest time between two steps.
    """

    PAUSE_S: tuple[float, float]

    def __init__(self, site: SoakSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._recoveries: list[tuple[float, Callable[[], None]]] = []

    @abstractmethod
    def step(self) -> None:
        """Injects the next faults."""

    def next_pause_s(self) -> float:
        """
        :returns: time until the next step.
        """
        return self._random.uniform(*self.PAUSE_S)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._recoveries.append((time.monotonic() + delay_s, action))

    def _restore_node(self, node: NodeProcess) -> None:
        if node.is_paused:
            node.send_signal(signal.SIGCONT)
        if not node.is_running:
            self._site.run_log.log(f"{node.name} is started")
            node.start()

    def run_due_recoveries(self, *, includes_pending: bool = False) -> None:
        """Ends faults whose duration has elapsed.

        :param includes_pending: whether to end all faults.
        """
        now_s = time.monotonic()
        due = [
            item for item in self._recoveries if includes_pending or item[0] <= now_s
        ]
        self._recoveries = [item for item in self._recoveries if item not in due]
        for _, action in due:
            action()
        if includes_pending:
            self._site.store.tables.lost_responses_count = 0
            self._site.store.tables.delayed_count = 0
            for node in self._site.nodes:
                self._restore_node(node)


class LinkFaults(FaultSchedule):
    """Faults of links, nodes and the store that begin one at a time."""

    PAUSE_S = (0.2, 1.5)

    def step(self) -> None:
        fault_actions = (
            self._degrade_link,
            self._reset_link,
            self._signal_node,
            self._interrupt_store,
            self._fault_transactions,
        )
        self._random.choice(fault_actions)()

    def _schedule_recovery(self, action: Callable[[], None]) -> None:
        self._schedule(self._random.uniform(*FAULT_DURATION_S), action)

    def _degrade_link(self) -> None:
        link = self._random.choice(self._site.links)
        link.mode = self._random.choice(list(LinkMode))
        self._site.run_log.log(f"link {self._site.link_name(link)} is {link.mode}")
        self._schedule_recovery(lambda: setattr(link, "mode", LinkMode.PASS))

    def _reset_link(self) -> None:
        link = self._random.choice(self._site.links)
        self._site.run_log.log(f"link {self._site.link_name(link)} is reset")
        link.reset_all()

    def _signal_node(self) -> None:
        node = self._random.choice(self._site.nodes)
        signal_number = self._random.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        )
        self._site.run_log.log(f"{signal_number.name} to {node.name}")
        node.send_signal(signal_number)
        self._schedule_recovery(lambda: self._restore_node(node))

    def _interrupt_store(self) -> None:
        tables = self._site.store.tables
        tables.is_unavailable = True
        self._site.run_log.log("the store is unavailable")
        self._schedule_recovery(lambda: setattr(tables, "is_unavailable", False))

    def _fault_transactions(self) -> None:
        tables = self._site.store.tables
        tables.faulty_table = self._random.choice(("commits", "jobs.rating", "owners"))
        if self._random.random() < 0.5:
            tables.lost_responses_count += 1
            return
        tables.delayed_count += 1
        self._schedule_recovery(tables.apply_delayed)
