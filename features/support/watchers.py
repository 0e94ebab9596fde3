"""Threads that watch a site while a scenario runs."""

import threading
import time
from collections import Counter
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from standins.site import Site


class Watcher(threading.Thread):
    """Calls :meth:`look` again and again until stopped."""

    def __init__(self, site: Site, interval_s: float) -> None:
        super().__init__(daemon=True)
        self.site = site
        self._interval_s = interval_s
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            self.look()

    def look(self) -> None:
        """One observation."""
        raise NotImplementedError

    def stop(self) -> None:
        """Waits for the last observation."""
        self._stopped.set()
        self.join(10)


class VersionWatcher(Watcher):
    """Notes each fall of the version in force at one entry host.

    Version 0 is that of a daemon that is not ready and refuses requests.
    """

    def __init__(self, site: Site, entry: str) -> None:
        super().__init__(site, 0.1)
        self._entry = entry
        self.highest = 0
        self.falls: list[str] = []

    def look(self) -> None:
        try:
            version = self.site.status(self._entry)["in_force_version"]
        except (HTTPError, KeyError):
            return
        if 0 < version < self.highest:
            self.falls.append(f"{self._entry}: from {self.highest} to {version}")
        self.highest = max(self.highest, version)


class StoreCallWatcher(Watcher):
    """Calls of the table service in each second."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, 1.0)
        self._former: tuple[float, Counter[str]] | None = None
        self.rates: list[dict[str, float]] = []

    def look(self) -> None:
        answer = self.site.call(self.site.platform_address, "GET", "/counts")
        now_s = time.monotonic()
        total: Counter[str] = Counter()
        for call in answer.json()["calls"]:
            total[call["operation"]] += call["count"]
        if self._former is not None:
            then_s, former = self._former
            rates = {k: (total[k] - former[k]) / (now_s - then_s) for k in total}
            self.rates.append(rates)
        self._former = (now_s, total)

    def highest(self, operation: str) -> float:
        """
        :returns: most calls per second of ``read`` or ``write``.
        """
        return max(rates.get(operation, 0.0) for rates in self.rates)


class HostRowWatcher(Watcher):
    """States of all hosts, from one scan of the table at a time."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, 0.05)
        self.most_out: Counter[str] = Counter()
        self.changes: list[tuple[float, str, str]] = []
        self._states: dict[str, str] = {}

    def look(self) -> None:
        answer = self.site.call(self.site.platform_address, "GET", "/tables/hosts")
        if answer.status != 200:
            return
        now_s = time.monotonic()
        records = [_record(row) for row in answer.json()["rows"]]
        out = Counter(r["pool"] for r in records if r["state"] != "active")
        for pool, count in out.items():
            self.most_out[pool] = max(self.most_out[pool], count)
        for record in records:
            host, state = record["host"], record["state"]
            if self._states.get(host) != state:
                self._states[host] = state
                self.changes.append((now_s, host, state))

    def times_of(self, host: str, state: str) -> list[float]:
        """
        :returns: when ``host`` was first seen in ``state``, each time.
        """
        return [at_s for at_s, name, to in self.changes if (name, to) == (host, state)]


def _record(row: dict[str, Any]) -> dict[str, Any]:
    return msgspec.json.decode(row["value"])
