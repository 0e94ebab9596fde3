"""Cost of the path through an entry host, against direct calls of a backend server.

Run ``python -m benchmarks.path --seed 1``. The baseline, direct calls, runs in turns
with the calls through an entry host: first a closed loop of two callers, then arrivals
at a fixed rate, with a small body and one of 3 MB. Processor time is that of all 9
daemons, less what they use at rest. Target (section 1.7): p50 at most 3 ms more.
"""

import argparse
import statistics
import tempfile
import threading
import time
from collections import Counter
from datetime import datetime
from pathlib import Path
from random import Random
from typing import NamedTuple

import urllib3

from benchmarks.site_sizes import ACCOUNT, PORT_SHIFT, TEAM
from benchmarks.usage import load_line, read_usage
from standins.load import LoadRun
from standins.load_plan import FlowBody, PhaseBody, PlanBody
from standins.load_summary import Sample, Verdict, quantile
from standins.site import ROOT, Site

SERVICE = "rating"
BACKENDS_COUNT = 8
SERVICE_TIME_MS = 1.0
CALLERS_COUNT = 2
REST_WINDOW_S = 5.0
TARGET_ADDED_S = 0.003
TIMEOUT_MS = 5000


class Size(NamedTuple):
    """A body size and the rate of arrivals with it."""

    name: str
    body_bytes: int
    rate_per_s: float


SIZES = (Size("small body", 200, 40.0), Size("3 MB body", 3_000_000, 5.0))


class Target(NamedTuple):
    """Where requests are sent."""

    name: str
    addresses: tuple[str, ...]
    path: str


class Result(NamedTuple):
    """Latencies in ascending order, failures, and processor time of the daemons."""

    latencies_s: tuple[float, ...]
    failures: Counter[str]
    processor_s: float

    @property
    def failed_count(self) -> int:
        return self.failures.total()

    @property
    def requests_count(self) -> int:
        return len(self.latencies_s) + self.failed_count


class PathBenchmark:
    """Runs loads on one site.

    :param window_s: seconds of each load.
    """

    def __init__(self, site: Site, seed: int, window_s: float) -> None:
        self._site = site
        self._seed = seed
        self._window_s = window_s
        self._body = Random(seed).randbytes(max(size.body_bytes for size in SIZES))
        first_port = site.inventory.base_port + PORT_SHIFT
        ports = range(first_port, first_port + BACKENDS_COUNT)
        self.targets = (
            Target(
                "direct", tuple(f"127.0.0.1:{port}" for port in ports), "/{service}"
            ),
            Target(
                "entry host",
                (site.http_address(site.entry_hosts[0]),),
                "/v1/services/{service}/requests",
            ),
        )
        self._rest_ratio = 0.0

    def measure_rest(self) -> None:
        """Measures what the daemons use at rest, which is not the requests' cost."""
        before_s = self._processor_s()
        time.sleep(REST_WINDOW_S)
        self._rest_ratio = (self._processor_s() - before_s) / REST_WINDOW_S

    def closed_loop(self, target: Target, size: Size) -> Result:
        """
        :returns: result of two callers that each wait for a response.
        """
        latencies: list[float] = []
        failures: list[str] = []
        end_s = time.monotonic() + self._window_s

        def call() -> None:
            with urllib3.PoolManager(num_pools=BACKENDS_COUNT) as pool:
                while time.monotonic() < end_s:
                    self._call(pool, target, size, latencies, failures)

        started_s, used_s = time.monotonic(), self._processor_s()
        threads = [threading.Thread(target=call) for _ in range(CALLERS_COUNT)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used_s = self._used_since(started_s, used_s)
        return Result(tuple(sorted(latencies)), Counter(failures), used_s)

    def _call(
        self,
        pool: urllib3.PoolManager,
        target: Target,
        size: Size,
        latencies: list[float],
        failures: list[str],
    ) -> None:
        address = target.addresses[len(latencies) % len(target.addresses)]
        url = f"http://{address}{target.path.format(service=SERVICE)}"
        headers = {"Sycamorecroft-Account": ACCOUNT, "Sycamorecroft-Team": TEAM}
        body = self._body[: size.body_bytes]
        started_s = time.monotonic()
        response = pool.request("POST", url, body=body, headers=headers, retries=False)
        if response.status == 200:
            latencies.append(time.monotonic() - started_s)
        else:
            failures.append(response.headers.get("Sycamorecroft-Reason", ""))

    def open_rate(
        self, target: Target, size: Size, *, is_repeatable: bool = True
    ) -> Result:
        """
        :returns: result of Poisson arrivals at the rate of the size.
        """
        flow = FlowBody(
            service=SERVICE,
            team=TEAM,
            urgency="normal",
            rate_per_s=size.rate_per_s,
            timeout_ms=TIMEOUT_MS,
            body_bytes=size.body_bytes,
            is_repeatable=is_repeatable,
        )
        plan = PlanBody(
            addresses=list(target.addresses),
            path=target.path,
            account=ACCOUNT,
            seed=self._seed,
            concurrency_count=32,
            deadline_s=self._window_s * 2,
            phases=[PhaseBody(name="load", duration_s=self._window_s, flows=[flow])],
        )
        self._seed += 1
        started_s, used_s = time.monotonic(), self._processor_s()
        samples = LoadRun(plan).run()
        return _result(samples, self._used_since(started_s, used_s))

    def claim_writes_count(self) -> int:
        """
        :returns: writes of claims that the platform has counted so far.
        """
        counts = self._site.call(self._site.platform_address, "GET", "/counts").json()
        return sum(
            call["count"]
            for call in counts["calls"]
            if call["purpose"] == "claims" and call["operation"] == "write"
        )

    def _processor_s(self) -> float:
        site = self._site
        ids = (site.process_id(entry) for entry in site.entry_hosts)
        return sum(read_usage(process_id).processor_s for process_id in ids)

    def _used_since(self, started_s: float, used_s: float) -> float:
        elapsed_s = time.monotonic() - started_s
        return self._processor_s() - used_s - self._rest_ratio * elapsed_s


def _result(samples: list[Sample], processor_s: float) -> Result:
    good = [sample for sample in samples if sample.verdict is Verdict.GOOD]
    latencies_s = tuple(sorted(sample.latency_s for sample in good))
    failures = Counter(
        f"{sample.verdict} {sample.status} {sample.reason}".rstrip()
        for sample in samples
        if sample.verdict is not Verdict.GOOD
    )
    return Result(latencies_s, failures, processor_s)


def _print_rounds(name: str, direct: list[Result], entry: list[Result]) -> None:
    """Prints medians over the rounds; added latency is taken within each round."""
    added: dict[float, float] = {}
    for ratio in (0.5, 0.99):
        pairs = [
            (quantile(d.latencies_s, ratio), quantile(e.latencies_s, ratio))
            for d, e in zip(direct, entry, strict=True)
        ]
        added[ratio] = statistics.median(e - d for d, e in pairs)
        base_ms = statistics.median(d for d, _ in pairs) * 1000
        entry_ms = statistics.median(e for _, e in pairs) * 1000
        print(
            f"{name}, p{ratio * 100:.0f}: direct {base_ms:.2f} ms, entry host "
            f"{entry_ms:.2f} ms, added {added[ratio] * 1000:.2f} ms"
        )
    verdict = "met" if added[0.5] <= TARGET_ADDED_S else "missed"
    processor_ms = statistics.median(
        1000 * result.processor_s / result.requests_count for result in entry
    )
    failures = sum((result.failures for result in entry + direct), Counter())
    requests_count = sum(result.requests_count for result in entry + direct)
    print(
        f"  target p50 at most 3 ms more: {verdict}; processor time of the daemons "
        f"{processor_ms:.2f} ms a request; {failures.total()} of {requests_count} "
        f"failed {dict(failures) or ''}"
    )


def _measure(benchmark: PathBenchmark, rounds_count: int) -> None:
    benchmark.measure_rest()
    direct, entry = benchmark.targets
    for size in SIZES:
        for name, load in (
            (f"closed loop of {CALLERS_COUNT}", benchmark.closed_loop),
            (f"{size.rate_per_s:.0f} arrivals/s", benchmark.open_rate),
        ):
            rounds = [
                (load(direct, size), load(entry, size)) for _ in range(rounds_count)
            ]
            _print_rounds(
                f"{size.name}, {name}", [d for d, _ in rounds], [e for _, e in rounds]
            )
    _measure_writes(benchmark, entry)


def _measure_writes(benchmark: PathBenchmark, entry: Target) -> None:
    for name, is_repeatable in (("repeatable", True), ("non-idempotent", False)):
        before_count = benchmark.claim_writes_count()
        result = benchmark.open_rate(entry, SIZES[0], is_repeatable=is_repeatable)
        writes_count = benchmark.claim_writes_count() - before_count
        print(
            f"{name}: {writes_count / result.requests_count:.2f} store writes a "
            f"request ({writes_count} for {result.requests_count}, "
            f"{result.failed_count} failed {dict(result.failures) or ''}); baseline: "
            "one write a request"
        )


def main() -> None:
    """Prints latency and processor time of both paths."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--window-s", type=float, default=2.0)
    parser.add_argument("--rounds-count", type=int, default=3)
    options = parser.parse_args()
    print(f"{datetime.now():%Y-%m-%d %H:%M}, {load_line()}")
    with tempfile.TemporaryDirectory() as name:
        site = Site(
            ROOT / "deployments" / "ondangwa",
            Path(name),
            port_shift=PORT_SHIFT,
            service_time_ms=SERVICE_TIME_MS,
        )
        try:
            site.start()
            benchmark = PathBenchmark(site, options.seed, options.window_s)
            _measure(benchmark, options.rounds_count)
        finally:
            site.stop()
    print(load_line())


if __name__ == "__main__":
    main()
