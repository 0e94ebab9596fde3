"""Time from the commit of a configuration until it is in force on all 9 daemons.

Run ``python -m benchmarks.configuration --seed 1``. Changes are published on a site of
9 daemons at random moments; the daemons' logs give the times. Then the store is made
unavailable right after each commit, and then one daemon is frozen (SIGSTOP) as well.

The baseline is polling alone, in virtual time with the daemons' own version gates: each
daemon polls the head once a second, and learns the claims of the others by the same
polls, since there is no gossip. Targets (section 1.7): p99 2 s, and 10 s under faults.
"""

import argparse
import json
import math
import signal
import tempfile
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from random import Random
from typing import NamedTuple

from benchmarks.site_sizes import PORT_SHIFT, changed, publish
from benchmarks.usage import load_line
from standins.load_summary import quantile
from standins.site import ROOT, Site
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import VersionGate

ENTRIES_COUNT = 9
POLL_INTERVAL_S = 1.0
POLL_JITTER_RATIO = 0.1
STORE_DOWN_S = 3.0
FROZEN_S = 4.0
FAULT_ROUNDS_COUNT = 3
TARGET_S = 2.0
TARGET_FAULTS_S = 10.0
LIMIT_S = 20.0
FROZEN_ENTRY = "entry-5"


class Commit(NamedTuple):
    """A published version and the wall time of its commit, in seconds."""

    version: int
    committed_s: float


class _PolledDaemon:
    """A daemon that learns everything by polls."""

    def __init__(self, name: str, names: list[str], random: Random) -> None:
        self.name = name
        self.gate = VersionGate(name, names)
        self._random = random
        self.next_s = random.uniform(0.0, POLL_INTERVAL_S)

    def poll(self, head: FleetConfiguration, peers: list["_PolledDaemon"]) -> bool:
        """
        :returns: whether the head is in force afterwards.
        """
        self.gate.record_head(head)
        for peer in peers:
            if peer is not self:
                self.gate.record_claim(peer.name, peer.gate.claimed_version)
        jitter = self._random.uniform(-POLL_JITTER_RATIO, POLL_JITTER_RATIO)
        self.next_s += POLL_INTERVAL_S * (1 + jitter)
        return self.gate.in_force_version == head.version


def polling_alone(
    configuration: FleetConfiguration, random: Random, changes_count: int
) -> list[float]:
    """
    :returns: time of each change until it is in force everywhere, in virtual time.
    """
    names = [f"entry-{number}" for number in range(ENTRIES_COUNT)]
    daemons = [_PolledDaemon(name, names, random) for name in names]
    times_s = []
    now_s = POLL_INTERVAL_S
    for version in range(1, changes_count + 1):
        head = configuration._replace(version=version)
        now_s += random.uniform(0.0, POLL_INTERVAL_S)
        for daemon in daemons:
            while daemon.next_s < now_s:
                daemon.next_s += POLL_INTERVAL_S
        committed_s = now_s
        waiting = set(names)
        while waiting:
            daemon = min(daemons, key=lambda daemon: daemon.next_s)
            now_s = daemon.next_s
            if daemon.poll(head, daemons):
                waiting.discard(daemon.name)
        times_s.append(now_s - committed_s)
    return times_s


class ConfigurationBenchmark:
    """Publishes changes on a site, one after another."""

    def __init__(self, site: Site, random: Random) -> None:
        self._site = site
        self._random = random
        self._configuration = site.compile()
        self._version = 1

    def changes(self, count: int) -> list[float]:
        """
        :returns: time of each change until it is in force everywhere.
        """
        commits = []
        for _ in range(count):
            time.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
            commits.append(self._publish())
            self._wait(commits[-1], lambda: None)
        return self._times(commits)

    def store_down(self, frozen: str | None = None) -> list[float]:
        """Takes the store down right after each commit; freezes a daemon, if named.

        :returns: time of each change until it is in force everywhere.
        """
        commits = []
        for _ in range(FAULT_ROUNDS_COUNT):
            time.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
            if frozen is not None:
                self._site.signal(frozen, signal.SIGSTOP)
            try:
                commits.append(self._publish())
                down = {"service": "tables", "kind": "down", "duration_s": STORE_DOWN_S}
                self._site.set_fault(down)
                time.sleep(FROZEN_S if frozen else 0.0)
            finally:
                if frozen is not None:
                    self._site.signal(frozen, signal.SIGCONT)
            self._wait(commits[-1], self._site.clear_faults)
        return self._times(commits)

    def _publish(self) -> Commit:
        base = self._version
        publish(self._site, changed(self._configuration, base), base)
        committed_s = time.time()
        self._version += 1
        return Commit(self._version, committed_s)

    def _wait(self, commit: Commit, done: Callable[[], object]) -> None:
        """Waits by the logs, which costs the daemons nothing."""
        while math.isinf(self._time(commit)):
            if time.time() - commit.committed_s > LIMIT_S:
                break
            time.sleep(0.05)
        done()

    def _times(self, commits: list[Commit]) -> list[float]:
        return [self._time(commit) for commit in commits]

    def _time(self, commit: Commit) -> float:
        """
        :returns: seconds until the last daemon had the version or a later one in force.
        """
        times = (
            self._in_force_s(entry, commit.version) for entry in self._site.entry_hosts
        )
        return max(times) - commit.committed_s

    def _in_force_s(self, entry: str, version: int) -> float:
        for line in self._site.read_log(entry).splitlines():
            if '"configuration_in_force"' not in line:
                continue
            event = json.loads(line)
            if event["version"] >= version:
                return datetime.fromisoformat(event["timestamp"]).timestamp()
        return math.inf


def _print_times(name: str, times_s: list[float], target_s: float | None) -> None:
    ordered = sorted(times_s)
    p99_s = quantile(ordered, 0.99)
    verdict = ""
    if target_s is not None:
        outcome = "met" if p99_s <= target_s else "missed"
        verdict = f"; target p99 {target_s:.0f} s: {outcome}"
    print(
        f"{name}, {len(ordered)} changes: p50 {quantile(ordered, 0.5):.2f} s, p99 "
        f"{p99_s:.2f} s, worst {ordered[-1]:.2f} s{verdict}"
    )


def main() -> None:
    """Prints the times of the baseline, without faults and under faults."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes-count", type=int, default=30)
    options = parser.parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {load_line()}")
    random = Random(options.seed)
    with tempfile.TemporaryDirectory() as name:
        deployment = ROOT / "deployments" / "ondangwa"
        site = Site(deployment, Path(name), port_shift=PORT_SHIFT)
        polled_s = polling_alone(site.compile(), random, options.changes_count)
        _print_times("polling alone (virtual time)", polled_s, None)
        try:
            site.start()
            benchmark = ConfigurationBenchmark(site, random)
            times_s = benchmark.changes(options.changes_count)
            _print_times("site", times_s, TARGET_S)
            _print_times(
                f"store down for {STORE_DOWN_S:.0f} s right after the commit",
                benchmark.store_down(),
                TARGET_FAULTS_S,
            )
            _print_times(
                f"same with {FROZEN_ENTRY} frozen for {FROZEN_S:.0f} s",
                benchmark.store_down(FROZEN_ENTRY),
                TARGET_FAULTS_S,
            )
        finally:
            site.stop()
    print(load_line())


if __name__ == "__main__":
    main()
