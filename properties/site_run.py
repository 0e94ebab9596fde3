"""Randomised run of a whole site: failures and operator changes under load.

Run as ``python -m properties.site_run --seed 1 --duration-s 120``. It is not part of
the ordinary tests. Exits with 0 if every guarantee held, and prints the seed and what
it did. The choice of failures depends on the seed, their timing also on the machine.
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

from features.support.callers import CUT_OFF, RUN, Callers, Order, Sent
from features.support.judgement import contradictions, counts, ledger, slots_in_use
from features.support.watchers import HostRowWatcher, StoreCallWatcher, VersionWatcher
from standins.site import ROOT, Site, wait_until
from sycamorecroft.configuration.codec import encode_configuration

SETTLE_TIMEOUT_S = 60.0
PAUSE_RANGE_S = (1.0, 4.0)
# A majority of the 9 entry hosts goes on.
FAILING_MAX_COUNT = 3
# A quarter of the 8 hosts of a pool.
ALLOWED_OUT_COUNT = 2
# Limits of the whole system, section 5.5 of the design page.
WRITES_LIMIT_PER_S = 300
READS_LIMIT_PER_S = 1000
CALLERS_COUNT = 12
REPEATED_RATIO = 0.2
RACKS = ("ondangwa-rack-1", "oshakati-rack-1", "ongwediva-rack-1")


class _Kill(NamedTuple):
    entry: str
    at_s: float


class _Orders:
    """Makes orders, some of them a second time through another entry host."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._recent: deque[str] = deque(maxlen=200)

    def make(self, name: str, entry: str) -> Order:
        if self._recent and self._random.random() < REPEATED_RATIO:
            name = self._random.choice(tuple(self._recent))
        else:
            self._recent.append(name)
        return Order("dispatch", f"order {name}".encode(), entry, key=name)


def _rating(name: str, entry: str) -> Order:
    return Order("rating", f"reading {name}".encode(), entry)


class SiteRun:
    """Failures and changes on one running site.

    :param seed: determines which actions are taken, in which order.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._random = Random(seed)
        self._seed = seed
        self._down: set[str] = set()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
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
        """Acts at random under load, then heals the site and checks it."""
        orders = _Orders(Random(self._seed + 1))
        loads = [
            Callers(self._site, "rating", CALLERS_COUNT, _rating),
            Callers(self._site, "order", CALLERS_COUNT, orders.make, pause_s=0.3),
        ]
        versions = [VersionWatcher(self._site, e) for e in self._site.entry_hosts]
        rows = HostRowWatcher(self._site)
        calls = StoreCallWatcher(self._site)
        watchers = [*versions, rows, calls]
        for watcher in watchers:
            watcher.start()
        self._act_until(time.monotonic() + duration_s)
        self._heal()
        sents = [sent for load in loads for sent in load.stop()]
        for watcher in watchers:
            watcher.stop()
        self._check_requests(sents)
        self._check_watchers(versions, rows, calls)

    # Actions.

    def _act_until(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._random.choice(self._actions)()
            self._wait(self._random.uniform(*PAUSE_RANGE_S))

    def _wait(self, duration_s: float) -> None:
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._run_due()
            time.sleep(0.05)

    def _run_due(self, everything: bool = False) -> None:
        while self._due and (everything or self._due[0][0] <= time.monotonic()):
            heapq.heappop(self._due)[2]()

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        at_s = time.monotonic() + delay_s
        heapq.heappush(self._due, (at_s, next(self._numbers), action))

    def _say(self, text: str) -> None:
        print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)

    def _choose_entry(self) -> str | None:
        entry = self._random.choice(self._site.entry_hosts)
        if entry in self._down or len(self._down) >= FAILING_MAX_COUNT:
            return None
        self._down.add(entry)
        return entry

    def _kill(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        self._say(f"kill {entry}")
        self._kills.append(_Kill(entry, time.monotonic()))
        self._site.kill(entry)
        self._later(self._random.uniform(0.5, 5.0), lambda: self._start(entry))

    def _start(self, entry: str) -> None:
        self._say(f"start {entry}")
        self._site.start_entry_host(entry)
        self._later(5.0, lambda: self._down.discard(entry))

    def _freeze(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        self._say(f"freeze {entry}")
        self._site.signal(entry, signal.SIGSTOP)
        self._later(self._random.uniform(0.5, 7.0), lambda: self._resume(entry))

    def _resume(self, entry: str) -> None:
        self._site.signal(entry, signal.SIGCONT)
        self._down.discard(entry)

    def _stop_planned(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        self._say(f"stop {entry}")
        self._site.signal(entry, signal.SIGTERM)
        self._later(self._random.uniform(3.0, 6.0), lambda: self._replace(entry))

    def _replace(self, entry: str) -> None:
        # A request waits for its service's timeout at most, rating 10 s, dispatch 15 s.
        self._exit_codes.append(self._site.stop_entry_host(entry, timeout_s=40.0))
        self._start(entry)

    def _fail_store(self) -> None:
        kind = self._random.choice(["down", "delay", "lost_response", "lost_request"])
        duration_s = self._random.uniform(0.5, 6.0)
        fault = {"kind": kind, "duration_s": duration_s}
        if kind == "delay":
            fault |= {"delay_s": self._random.uniform(0.1, 0.9), "service": "tables"}
        elif kind != "down":
            fault |= {"operation": "write", "service": "tables"}
        self._say(f"store: {kind} for {duration_s:.1f} s")
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
        self._say(f"backend: {fault['kind']} on {fault['server']}")
        content = msgspec.json.encode(fault)
        self._site.call(self._site.backend_control_address, "POST", "/faults", content)

    def _declare_maintenance(self) -> None:
        entry = self._any_running()
        rack = self._random.choice(RACKS)
        body = {
            "idempotency_key": f"run-{self._seed}-{next(self._numbers)}",
            "kind": "rack",
            "names": [rack],
            "deadline": (datetime.now(UTC) + timedelta(hours=1)).isoformat(),
        }
        self._operate(entry, "POST", "maintenance", body, f"maintenance of {rack}")

    def _publish(self) -> None:
        base_version = self._head_version()
        if base_version is None:
            return
        configuration = self._site.compile()
        service = configuration.services["backoffice"]
        timeout_s = 60.0 + next(self._numbers)
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
        entry = self._any_running()
        text = f"configuration on base {base_version}"
        self._operate(entry, "PUT", "configuration", body, text)

    def _operate(
        self, entry: str, method: str, path: str, body: object, text: str
    ) -> None:
        answer = self._site.call_operator(entry, method, path, body)
        self._say(f"{text} through {entry}: {answer.status}")
        if answer.status == 500:
            self.problems.append(f"{text}: {answer.body!r}")

    def _any_running(self) -> str:
        running = [entry for entry in self._site.entry_hosts if entry not in self._down]
        return self._random.choice(running)

    def _head_version(self) -> int | None:
        address = self._site.platform_address
        answer = self._site.call(address, "GET", "/tables/configuration/head")
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.json()["value"])["version"]

    # Checks.

    def _heal(self) -> None:
        self._say("heal")
        site = self._site
        site.clear_faults()
        site.call(site.backend_control_address, "DELETE", "/faults")
        while self._due:
            self._run_due(everything=True)
        site.wait_for_listeners()
        head_version = self._head_version()
        duration_s = wait_until(
            lambda: all(
                site.status(entry)["in_force_version"] == head_version
                for entry in site.entry_hosts
            ),
            f"version {head_version} in force on all entry hosts",
            SETTLE_TIMEOUT_S,
        )
        self._say(
            f"version {head_version} in force everywhere after {duration_s:.1f} s"
        )

    def _check_requests(self, sents: list[Sent]) -> None:
        self._say(f"outcomes: {dict(counts(sents))}")
        self.problems += contradictions(sents, ledger(self._site))
        self.problems += [
            f"cut off through {sent.order.entry}: {sent.reason}"
            for sent in sents
            if sent.outcome == CUT_OFF and not self._was_killed(sent)
        ]
        if not any(sent.outcome == RUN for sent in sents):
            self.problems.append("no request was run")
        try:
            wait_until(lambda: not slots_in_use(self._site), "slots are free", 20)
        except TimeoutError:
            self.problems.append(f"slots in use: {slots_in_use(self._site)}")

    def _was_killed(self, sent: Sent) -> bool:
        return any(
            kill.entry == sent.order.entry
            and sent.started_s <= kill.at_s + 0.5
            and kill.at_s <= sent.ended_s
            for kill in self._kills
        )

    def _check_watchers(
        self,
        versions: list[VersionWatcher],
        rows: HostRowWatcher,
        calls: StoreCallWatcher,
    ) -> None:
        self.problems += [fall for watcher in versions for fall in watcher.falls]
        self.problems += [
            f"pool {pool}: {count} hosts out of service at once"
            for pool, count in rows.most_out.items()
            if count > ALLOWED_OUT_COUNT
        ]
        if any(self._exit_codes):
            self.problems.append(f"exit codes of planned stops: {self._exit_codes}")
        highest = calls.highest("write"), calls.highest("read")
        self._say(f"most writes and reads a second: {highest}")
        if highest[0] > WRITES_LIMIT_PER_S or highest[1] > READS_LIMIT_PER_S:
            self.problems.append(f"store calls a second: {highest}")


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
