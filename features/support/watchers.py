"""Threads that sample the state of a site while a scenario runs."""

import threading
import time
from collections import Counter
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from standins.site import Site


class Watcher(threading.Thread):
    """Calls :meth:`observe` periodically until stopped.

    :param interval_s: time between two observations.
    """

    def __init__(self, site: Site, interval_s: float) -> None:
        super().__init__(daemon=True)
        self.site = site
        self._interval_s = interval_s
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            self.observe()

    def observe(self) -> None:
        """Takes one observation."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stops the thread after its last observation."""
        self._stopped.set()
        self.join(10)


class VersionWatcher(Watcher):
    """Records each decrease of the version in force at one entry host.

    Version 0 is ignored: it means that the daemon is not ready and refuses requests.
    """

    def __init__(self, site: Site, entry_host: str) -> None:
        super().__init__(site, 0.1)
        self._entry_host = entry_host
        self.highest_version = 0
        self.regressions: list[str] = []

    def observe(self) -> None:
        try:
            version = self.site.status(self._entry_host)["in_force_version"]
        except (HTTPError, KeyError):
            return
        if 0 < version < self.highest_version:
            self.regressions.append(
                f"{self._entry_host}: from {self.highest_version} to {version}"
            )
        self.highest_version = max(self.highest_version, version)


class StoreCallWatcher(Watcher):
    """Measures the call rates of the table service, one sample per second."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, 1.0)
        self._previous: tuple[float, Counter[str]] | None = None
        self.rates: list[dict[str, float]] = []

    def observe(self) -> None:
        answer = self.site.call(self.site.platform_address, "GET", "/counts")
        now_s = time.monotonic()
        call_counts: Counter[str] = Counter()
        for call in answer.json()["calls"]:
            call_counts[call["operation"]] += call["count"]
        if self._previous is not None:
            previous_s, previous = self._previous
            rates = {
                k: (call_counts[k] - previous[k]) / (now_s - previous_s)
                for k in call_counts
            }
            self.rates.append(rates)
        self._previous = (now_s, call_counts)

    def peak_rate(self, operation: str) -> float:
        """
        :param operation: ``read`` or ``write``.
        :returns: largest number of calls per second.
        """
        return max(rates.get(operation, 0.0) for rates in self.rates)


class HostRowWatcher(Watcher):
    """Records state changes of all hosts; each observation is one scan of the table."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, 0.05)
        self.max_out_counts: Counter[str] = Counter()
        self.changes: list[tuple[float, str, str]] = []
        self._states: dict[str, str] = {}

    def observe(self) -> None:
        answer = self.site.call(self.site.platform_address, "GET", "/tables/hosts")
        if answer.status != 200:
            return
        now_s = time.monotonic()
        records = [_decode_record(row) for row in answer.json()["rows"]]
        out = Counter(r["pool"] for r in records if r["state"] != "active")
        for pool, count in out.items():
            self.max_out_counts[pool] = max(self.max_out_counts[pool], count)
        for record in records:
            host, state = record["host"], record["state"]
            if self._states.get(host) != state:
                self._states[host] = state
                self.changes.append((now_s, host, state))

    def state_times_s(self, host: str, state: str) -> list[float]:
        """
        :returns: monotonic time of the first observation of ``host`` in ``state``, for
            each change into that state.
        """
        return [
            at_s for at_s, name, new in self.changes if (name, new) == (host, state)
        ]


def _decode_record(row: dict[str, Any]) -> dict[str, Any]:
    return msgspec.json.decode(row["value"])
