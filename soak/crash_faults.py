"""Crashes of a worker, and disruptions of the nodes or the store around one."""

import random
import signal
import time
from abc import ABC, abstractmethod

from soak.crash_site import HEARTBEAT_S, CrashingWorker, CrashSite
from soak.proxy import LinkMode

WAIT_FOR_END_S = 3.0
POLL_S = 0.002
# Time after the end of a run within which that is reported, stored and acknowledged.
REPORT_S = (0.0, 0.04)
NODE_AWAY_S = (0.3, 4.0)
NODE_PAUSED_S = (0.5, 5.0)
STORE_AWAY_S = (0.5, 3.0)


class Crash(ABC):
    """Way in which a worker crashes and starts again under its id and address."""

    @abstractmethod
    def play(self, site: CrashSite, rng: random.Random) -> None:
        """Crashes a worker of the site."""


class CrashAtStart(Crash):
    """The worker that has started a task last crashes."""

    def play(self, site: CrashSite, rng: random.Random) -> None:
        registers_at_once = rng.random() < 0.5
        site.latest_starter().crash(registers_at_once=registers_at_once)


class CrashAtEnd(Crash):
    """A worker crashes while the end of a run is reported, stored or acknowledged."""

    def play(self, site: CrashSite, rng: random.Random) -> None:
        worker = _wait_for_end(site)
        time.sleep(rng.uniform(*REPORT_S))
        worker.crash(registers_at_once=rng.random() < 0.5)


class CrashTwice(Crash):
    """A worker crashes twice within one heartbeat."""

    def play(self, site: CrashSite, rng: random.Random) -> None:
        worker = site.latest_starter()
        worker.crash(registers_at_once=rng.random() < 0.5)
        time.sleep(rng.uniform(0.0, HEARTBEAT_S))
        worker.crash(registers_at_once=rng.random() < 0.5)


def _wait_for_end(site: CrashSite) -> CrashingWorker:
    """Returns the worker on which the next run ends, or after a while any worker."""
    began_s = time.monotonic()
    while True:
        worker = max(site.workers, key=lambda worker: worker.latest_s("done"))
        now_s = time.monotonic()
        if worker.latest_s("done") > began_s or now_s - began_s > WAIT_FOR_END_S:
            return worker
        time.sleep(POLL_S)


class Disruption(ABC):
    """Disruption that lasts for a time around a crash.

    :cvar duration_s: range of its duration in s.
    """

    duration_s: tuple[float, float]

    @abstractmethod
    def begin(self, site: CrashSite) -> None:
        """Begins the disruption."""

    @abstractmethod
    def end(self, site: CrashSite) -> None:
        """Ends the disruption."""


class NoDisruption(Disruption):
    """Nothing but the crash."""

    duration_s = (0.0, 0.0)

    def begin(self, site: CrashSite) -> None:
        pass

    def end(self, site: CrashSite) -> None:
        pass


class OwnerKilled(Disruption):
    """The owner of the service is killed, and starts again."""

    duration_s = NODE_AWAY_S

    def begin(self, site: CrashSite) -> None:
        self._owner = site.owner()
        if self._owner is not None:
            self._owner.kill()

    def end(self, site: CrashSite) -> None:
        if self._owner is not None:
            self._owner.start()


class OwnerPaused(Disruption):
    """The owner of the service is paused."""

    duration_s = NODE_PAUSED_S

    def begin(self, site: CrashSite) -> None:
        self._owner = site.owner()
        if self._owner is not None:
            self._owner.send_signal(signal.SIGSTOP)

    def end(self, site: CrashSite) -> None:
        if self._owner is not None:
            self._owner.send_signal(signal.SIGCONT)


class StoreAway(Disruption):
    """The nodes' links to the store delay, or deliver nothing.

    :param mode: what the links do meanwhile.
    """

    duration_s = STORE_AWAY_S

    def __init__(self, mode: LinkMode) -> None:
        self._mode = mode

    def begin(self, site: CrashSite) -> None:
        for node in site.nodes:
            node.link.mode = self._mode

    def end(self, site: CrashSite) -> None:
        for node in site.nodes:
            node.link.mode = LinkMode.PASS


CRASHES = (CrashAtStart, CrashAtEnd, CrashTwice)


def draw_disruption(rng: random.Random) -> Disruption:
    """
    :returns: a disruption, or in some cases none.
    """
    return rng.choice(
        (
            NoDisruption(),
            OwnerKilled(),
            OwnerPaused(),
            StoreAway(LinkMode.DELAY),
            StoreAway(LinkMode.STALLED),
        )
    )
