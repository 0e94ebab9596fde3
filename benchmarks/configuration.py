"""Measures how long a committed configuration takes to be in force on all 9 daemons.

Run ``python -m benchmarks.configuration --seed 1``. Changes are published on a site of
9 daemons at random times, and the times of taking effect are read from the daemons'
logs. In a second series the store becomes unavailable right after each commit; in a
third one, a daemon is also frozen (SIGSTOP).

The baseline is polling without gossip, simulated in virtual time with the version gates
of the daemons: each daemon polls the head once a second and reads the claims of the
others by the same polls. Targets (section 1.7 of docs/design.md): p99 of 2 s, and 10 s
under faults.
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

from benchmarks.site_sizes import PORT_SHIFT, publish, with_changed_weight
from benchmarks.usage import describe_load
from standins.load_summary import quantile
from standins.site import ROOT, Site
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import VersionGate

ENTRY_HOSTS_COUNT = 9
POLL_INTERVAL_S = 1.0
POLL_JITTER_RATIO = 0.1
STORE_OUTAGE_S = 3.0
FROZEN_S = 4.0
FAULT_ROUNDS_COUNT = 3
TARGET_S = 2.0
TARGET_UNDER_FAULTS_S = 10.0
CHANGE_TIMEOUT_S = 20.0
FROZEN_ENTRY_HOST = "entry-5"


class Commit(NamedTuple):
    """A published version and the time of its commit, in Unix seconds."""

    version: int
    committed_s: float


class _PollingDaemon:
    """Simulated daemon that gets all state by polling."""

    def __init__(self, name: str, names: list[str], random: Random) -> None:
        self.name = name
        self.gate = VersionGate(name, names)
        self._random = random
        self.next_s = random.uniform(0.0, POLL_INTERVAL_S)

    def poll(self, head: FleetConfiguration, peers: list["_PollingDaemon"]) -> bool:
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


def simulate_polling(
    configuration: FleetConfiguration, random: Random, changes_count: int
) -> list[float]:
    """
    :returns: seconds of virtual time from each commit until it is in force everywhere.
    """
    names = [f"entry-{number}" for number in range(ENTRY_HOSTS_COUNT)]
    daemons = [_PollingDaemon(name, names, random) for name in names]
    times_s = []
    now_s = POLL_INTERVAL_S
    for version in range(1, changes_count + 1):
        head = configuration._replace(version=version)
        now_s += random.uniform(0.0, POLL_INTERVAL_S)
        for daemon in daemons:
            while daemon.next_s < now_s:
                daemon.next_s += POLL_INTERVAL_S
        committed_s = now_s
        pending = set(names)
        while pending:
            daemon = min(daemons, key=lambda daemon: daemon.next_s)
            now_s = daemon.next_s
            if daemon.poll(head, daemons):
                pending.discard(daemon.name)
        times_s.append(now_s - committed_s)
    return times_s


class ConfigurationBenchmark:
    """Publishes changes on a site, one at a time."""

    def __init__(self, site: Site, random: Random) -> None:
        self._site = site
        self._random = random
        self._configuration = site.compile()
        self._version = 1

    def measure_changes(self, count: int) -> list[float]:
        """
        :returns: seconds from each commit until it is in force everywhere.
        """
        commits = []
        for _ in range(count):
            time.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
            commits.append(self._publish())
            self._wait_until_in_force(commits[-1], lambda: None)
        return self._durations_s(commits)

    def measure_store_outages(
        self, frozen_entry_host: str | None = None
    ) -> list[float]:
        """Makes the store unavailable right after each commit.

        :param frozen_entry_host: entry host whose daemon is frozen (SIGSTOP), if any.
        :returns: seconds from each commit until it is in force everywhere.
        """
        commits = []
        for _ in range(FAULT_ROUNDS_COUNT):
            time.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
            if frozen_entry_host is not None:
                self._site.signal(frozen_entry_host, signal.SIGSTOP)
            try:
                commits.append(self._publish())
                fault = {
                    "service": "tables",
                    "kind": "down",
                    "duration_s": STORE_OUTAGE_S,
                }
                self._site.set_fault(fault)
                time.sleep(FROZEN_S if frozen_entry_host else 0.0)
            finally:
                if frozen_entry_host is not None:
                    self._site.signal(frozen_entry_host, signal.SIGCONT)
            self._wait_until_in_force(commits[-1], self._site.clear_faults)
        return self._durations_s(commits)

    def _publish(self) -> Commit:
        base = self._version
        publish(self._site, with_changed_weight(self._configuration, base), base)
        committed_s = time.time()
        self._version += 1
        return Commit(self._version, committed_s)

    def _wait_until_in_force(
        self, commit: Commit, on_wait_ended: Callable[[], object]
    ) -> None:
        """Waits until the version is in force on all daemons or the timeout expires.

        Reads the logs, which puts no load on the daemons.
        """
        while math.isinf(self._duration_s(commit)):
            if time.time() - commit.committed_s > CHANGE_TIMEOUT_S:
                break
            time.sleep(0.05)
        on_wait_ended()

    def _durations_s(self, commits: list[Commit]) -> list[float]:
        return [self._duration_s(commit) for commit in commits]

    def _duration_s(self, commit: Commit) -> float:
        """
        :returns: seconds until this version or a later one was in force on all daemons;
            infinite if it isn't yet.
        """
        times = (
            self._in_force_s(entry_host, commit.version)
            for entry_host in self._site.entry_hosts
        )
        return max(times) - commit.committed_s

    def _in_force_s(self, entry_host: str, version: int) -> float:
        for line in self._site.read_log(entry_host).splitlines():
            if '"configuration_in_force"' not in line:
                continue
            event = json.loads(line)
            if event["version"] >= version:
                return datetime.fromisoformat(event["timestamp"]).timestamp()
        return math.inf


def _print_times(name: str, times_s: list[float], target_s: float | None) -> None:
    sorted_s = sorted(times_s)
    p99_s = quantile(sorted_s, 0.99)
    verdict = ""
    if target_s is not None:
        outcome = "met" if p99_s <= target_s else "missed"
        verdict = f"; target p99 {target_s:.0f} s: {outcome}"
    print(
        f"{name}, {len(sorted_s)} changes: p50 {quantile(sorted_s, 0.5):.2f} s, p99 "
        f"{p99_s:.2f} s, worst {sorted_s[-1]:.2f} s{verdict}"
    )


def main() -> None:
    """Prints the times of the baseline and of the site, without and under faults."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes-count", type=int, default=30)
    options = parser.parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {describe_load()}")
    random = Random(options.seed)
    with tempfile.TemporaryDirectory() as name:
        deployment = ROOT / "deployments" / "ondangwa"
        site = Site(deployment, Path(name), port_shift=PORT_SHIFT)
        polled_s = simulate_polling(site.compile(), random, options.changes_count)
        _print_times("polling alone (virtual time)", polled_s, None)
        try:
            site.start()
            benchmark = ConfigurationBenchmark(site, random)
            times_s = benchmark.measure_changes(options.changes_count)
            _print_times("site", times_s, TARGET_S)
            _print_times(
                f"store unavailable for {STORE_OUTAGE_S:.0f} s right after the commit",
                benchmark.measure_store_outages(),
                TARGET_UNDER_FAULTS_S,
            )
            _print_times(
                f"same with {FROZEN_ENTRY_HOST} frozen for {FROZEN_S:.0f} s",
                benchmark.measure_store_outages(FROZEN_ENTRY_HOST),
                TARGET_UNDER_FAULTS_S,
            )
        finally:
            site.stop()
    print(describe_load())


if __name__ == "__main__":
    main()
