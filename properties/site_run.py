"""Randomised run of a whole site with failures and operator changes under load.

Run as ``python -m properties.site_run --seed 1 --duration-s 120``. It is not part of
the regular tests. Prints the seed and each action, and exits with 0 if every guarantee
held. The choice of actions depends on the seed, their timing also on the computer.
"""

import argparse
import heapq
import itertools
import signal
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from features.support.callers import CUT_OFF, RUN, CallerRequest, Callers, SentRequest
from features.support.ledger_checks import (
    contradictions,
    outcome_counts,
    read_ledger,
    slots_in_use,
)
from features.support.watchers import HostRowWatcher, StoreCallWatcher, VersionWatcher
from standins.site import ROOT, Site, wait_until
from sycamorecroft.configuration.codec import encode_configuration

SETTLE_TIMEOUT_S = 60.0
PAUSE_RANGE_S = (1.0, 4.0)
# Leaves a majority of the 9 entry hosts running.
FAILED_MAX_COUNT = 3
# A quarter of the 8 hosts of each pool.
ALLOWED_OUT_COUNT = 2
# Limits of the whole system, section 5.5 of the design page.
WRITES_LIMIT_PER_S = 300
READS_LIMIT_PER_S = 1000
CALLERS_COUNT = 12
REPEATED_RATIO = 0.2
RACKS = ("ondangwa-rack-1", "oshakati-rack-1", "ongwediva-rack-1")


class _Kill(NamedTuple):
    entry_host: str
    at_s: float


class _OrderGenerator:
    """Builds orders, some of which repeat a recent one through another entry host."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._recent_names: deque[str] = deque(maxlen=200)

    def next_request(self, name: str, entry_host: str) -> CallerRequest:
        if self._recent_names and self._random.random() < REPEATED_RATIO:
            name = self._random.choice(tuple(self._recent_names))
        else:
            self._recent_names.append(name)
        return CallerRequest("dispatch", f"order {name}".encode(), entry_host, key=name)


def _rating(name: str, entry_host: str) -> CallerRequest:
    return CallerRequest("rating", f"reading {name}".encode(), entry_host)


class SiteRun:
    """Runs random actions on one site and collects violations of its guarantees.

    :param seed: determines the actions and their order.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._random = Random(seed)
        self._seed = seed
        self._unavailable: set[str] = set()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._kills: list[_Kill] = []
        self._exit_codes: list[int] = []
        self._actions = (
            self._kill,
            self._freeze,
            self._stop_planned,
            self._fail_store,
            self._fail_backend,
            self._declare_maintenance,
            self._publish,
        )
        self.problems: list[str] = []

    def run(self, duration_s: float) -> None:
        """Runs random actions under load, then ends all faults and checks the site.

        :param duration_s: duration of the part with failures.
        """
        orders = _OrderGenerator(Random(self._seed + 1))
        loads = [
            Callers(self._site, "rating", CALLERS_COUNT, _rating),
            Callers(
                self._site, "order", CALLERS_COUNT, orders.next_request, pause_s=0.3
            ),
        ]
        versions = [VersionWatcher(self._site, name) for name in self._site.entry_hosts]
        rows = HostRowWatcher(self._site)
        calls = StoreCallWatcher(self._site)
        watchers = [*versions, rows, calls]
        for watcher in watchers:
            watcher.start()
        self._run_actions_until(time.monotonic() + duration_s)
        self._end_faults()
        sent_requests = [sent for load in loads for sent in load.stop()]
        for watcher in watchers:
            watcher.stop()
        self._check_requests(sent_requests)
        self._check_observations(versions, rows, calls)

    # Actions.

    def _run_actions_until(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._random.choice(self._actions)()
            self._wait(self._random.uniform(*PAUSE_RANGE_S))

    def _wait(self, duration_s: float) -> None:
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._run_scheduled()
            time.sleep(0.05)

    def _run_scheduled(self, is_forced: bool = False) -> None:
        while self._scheduled and (
            is_forced or self._scheduled[0][0] <= time.monotonic()
        ):
            heapq.heappop(self._scheduled)[2]()

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        at_s = time.monotonic() + delay_s
        heapq.heappush(self._scheduled, (at_s, next(self._sequence), action))

    def _print(self, text: str) -> None:
        print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)

    def _choose_running_entry_host(self) -> str | None:
        entry_host = self._random.choice(self._site.entry_hosts)
        if (
            entry_host in self._unavailable
            or len(self._unavailable) >= FAILED_MAX_COUNT
        ):
            return None
        self._unavailable.add(entry_host)
        return entry_host

    def _kill(self) -> None:
        entry_host = self._choose_running_entry_host()
        if entry_host is None:
            return
        self._print(f"kill {entry_host}")
        self._kills.append(_Kill(entry_host, time.monotonic()))
        self._site.kill(entry_host)
        self._schedule(self._random.uniform(0.5, 5.0), lambda: self._start(entry_host))

    def _start(self, entry_host: str) -> None:
        self._print(f"start {entry_host}")
        self._site.start_entry_host(entry_host)
        self._schedule(5.0, lambda: self._unavailable.discard(entry_host))

    def _freeze(self) -> None:
        entry_host = self._choose_running_entry_host()
        if entry_host is None:
            return
        self._print(f"freeze {entry_host}")
        self._site.signal(entry_host, signal.SIGSTOP)
        self._schedule(self._random.uniform(0.5, 7.0), lambda: self._resume(entry_host))

    def _resume(self, entry_host: str) -> None:
        self._site.signal(entry_host, signal.SIGCONT)
        self._unavailable.discard(entry_host)

    def _stop_planned(self) -> None:
        entry_host = self._choose_running_entry_host()
        if entry_host is None:
            return
        self._print(f"stop {entry_host}")
        self._site.signal(entry_host, signal.SIGTERM)
        self._schedule(
            self._random.uniform(3.0, 6.0), lambda: self._stop_and_start(entry_host)
        )

    def _stop_and_start(self, entry_host: str) -> None:
        # The daemon waits for its requests, which take at most the timeout of their
        # service: 10 s for rating, 15 s for dispatch.
        self._exit_codes.append(self._site.stop_entry_host(entry_host, timeout_s=40.0))
        self._start(entry_host)

    def _fail_store(self) -> None:
        kind = self._random.choice(["down", "delay", "lost_response", "lost_request"])
        duration_s = self._random.uniform(0.5, 6.0)
        fault = {"kind": kind, "duration_s": duration_s}
        if kind == "delay":
            fault |= {"delay_s": self._random.uniform(0.1, 0.9), "service": "tables"}
        elif kind != "down":
            fault |= {"operation": "write", "service": "tables"}
        self._print(f"store: {kind} for {duration_s:.1f} s")
        self._site.set_fault(fault)

    def _fail_backend(self) -> None:
        kinds = ["refuse", "reset_before_read", "reset_after_read", "truncated", "slow"]
        fault = {
            "kind": self._random.choice(kinds),
            "server": f"w{self._random.choice([*range(8), *range(24, 32)])}",
            "count": self._random.randint(1, 5),
            "duration_s": self._random.uniform(1.0, 5.0),
            "delay_s": 1.0,
        }
        self._print(f"backend: {fault['kind']} on {fault['server']}")
        content = msgspec.json.encode(fault)
        self._site.call(self._site.backend_control_address, "POST", "/faults", content)

    def _declare_maintenance(self) -> None:
        entry_host = self._random_running_entry_host()
        rack = self._random.choice(RACKS)
        body = {
            "idempotency_key": f"run-{self._seed}-{next(self._sequence)}",
            "kind": "rack",
            "names": [rack],
            "deadline": (datetime.now(UTC) + timedelta(hours=1)).isoformat(),
        }
        self._operate(entry_host, "POST", "maintenance", body, f"maintenance of {rack}")

    def _publish(self) -> None:
        base_version = self._head_version()
        if base_version is None:
            return
        configuration = self._site.compile()
        service = configuration.services["backoffice"]
        timeout_s = 60.0 + next(self._sequence)
        services = {
            **configuration.services,
            "backoffice": service._replace(timeout_s=timeout_s),
        }
        changed = configuration._replace(services=services)
        body = {
            "base_version": base_version,
            "author": "run",
            "configuration": msgspec.Raw(encode_configuration(changed)),
        }
        entry_host = self._random_running_entry_host()
        text = f"configuration on base {base_version}"
        self._operate(entry_host, "PUT", "configuration", body, text)

    def _operate(
        self, entry_host: str, method: str, path: str, body: object, text: str
    ) -> None:
        answer = self._site.call_operator(entry_host, method, path, body)
        self._print(f"{text} through {entry_host}: {answer.status}")
        if answer.status == 500:
            self.problems.append(f"{text}: {answer.body!r}")

    def _random_running_entry_host(self) -> str:
        running = [
            entry_host
            for entry_host in self._site.entry_hosts
            if entry_host not in self._unavailable
        ]
        return self._random.choice(running)

    def _head_version(self) -> int | None:
        address = self._site.platform_address
        answer = self._site.call(address, "GET", "/tables/configuration/head")
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.json()["value"])["version"]

    # Checks.

    def _end_faults(self) -> None:
        self._print("end all faults")
        site = self._site
        site.clear_faults()
        site.call(site.backend_control_address, "DELETE", "/faults")
        while self._scheduled:
            self._run_scheduled(is_forced=True)
        site.wait_for_listeners()
        head_version = self._head_version()
        duration_s = wait_until(
            lambda: all(
                site.status(entry_host)["in_force_version"] == head_version
                for entry_host in site.entry_hosts
            ),
            f"version {head_version} in force on all entry hosts",
            SETTLE_TIMEOUT_S,
        )
        self._print(
            f"version {head_version} in force everywhere after {duration_s:.1f} s"
        )

    def _check_requests(self, sent_requests: list[SentRequest]) -> None:
        self._print(f"outcomes: {dict(outcome_counts(sent_requests))}")
        self.problems += contradictions(sent_requests, read_ledger(self._site))
        self.problems += [
            f"cut off through {sent.request.entry_host}: {sent.reason}"
            for sent in sent_requests
            if sent.outcome == CUT_OFF and not self._was_killed(sent)
        ]
        if not any(sent.outcome == RUN for sent in sent_requests):
            self.problems.append("no request was run")
        try:
            wait_until(lambda: not slots_in_use(self._site), "slots are free", 20)
        except TimeoutError:
            self.problems.append(f"slots in use: {slots_in_use(self._site)}")

    def _was_killed(self, sent: SentRequest) -> bool:
        return any(
            kill.entry_host == sent.request.entry_host
            and sent.started_s <= kill.at_s + 0.5
            and kill.at_s <= sent.ended_s
            for kill in self._kills
        )

    def _check_observations(
        self,
        versions: list[VersionWatcher],
        rows: HostRowWatcher,
        calls: StoreCallWatcher,
    ) -> None:
        self.problems += [text for watcher in versions for text in watcher.regressions]
        self.problems += [
            f"pool {pool}: {count} hosts out of service at once"
            for pool, count in rows.max_out_counts.items()
            if count > ALLOWED_OUT_COUNT
        ]
        if any(self._exit_codes):
            self.problems.append(f"exit codes of planned stops: {self._exit_codes}")
        peak_rates = calls.peak_rate("write"), calls.peak_rate("read")
        self._print(f"peak writes and reads per second: {peak_rates}")
        if peak_rates[0] > WRITES_LIMIT_PER_S or peak_rates[1] > READS_LIMIT_PER_S:
            self.problems.append(f"store calls per second: {peak_rates}")


def main() -> int:
    """
    :returns: 0 if every guarantee held.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--duration-s", type=float, default=120.0)
    parser.add_argument("--port-shift", type=int, default=2600)
    parser.add_argument("--keep-logs", type=Path, default=None)
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    print(f"seed {arguments.seed}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            ROOT / "deployments" / "ondangwa",
            arguments.keep_logs or Path(folder),
            port_shift=arguments.port_shift,
            reboot_s=1.0,
            settings={"drain_grace_s": 1.0},
        )
        run = SiteRun(site, arguments.seed)
        try:
            site.start()
            run.run(arguments.duration_s)
        finally:
            site.stop()
    for problem in run.problems[:50]:
        print(f"PROBLEM {problem}")
    print(f"seed {arguments.seed}: {len(run.problems)} problems")
    return 1 if run.problems else 0


if __name__ == "__main__":
    sys.exit(main())
