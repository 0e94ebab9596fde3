"""Control cost of a daemon at rest and under configuration changes.

Run ``python -m benchmarks.control --entries-count 9 --workers-count 40``. A site runs
without callers and without backend servers; its workers exist in the host list only.
Target (section 1.7): 1.9% of a core, 128 MB and 5 KB/s at rest and at 1,800 changes a
day. Changes are made at a higher rate, and what they add is scaled to that rate. Bytes
are those that the TCP connections between daemons sent, by ``ss``; on average a daemon
receives as much, and the target is compared with the sum. The baseline of the cost of
changes is the same site at rest.
"""

import argparse
import statistics
import tempfile
import time
from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from benchmarks.site_sizes import (
    PORT_SHIFT,
    changed,
    grpc_ports,
    publish,
    write_deployment,
    write_host_rows,
)
from benchmarks.usage import (
    ProcessUsage,
    load_line,
    read_usage,
    sent_bytes,
)
from standins.site import Site

CHANGES_PER_DAY_COUNT = 1800
S_PER_DAY = 86_400
CHANGE_INTERVAL_S = 4.0
SETTLE_S = 5.0
TARGET_CORE_RATIO = 0.019
TARGET_RESIDENT_MB = 128
TARGET_BYTES_PER_S = 5_000
_BYTES_PER_MB = 1_000_000

Calls = Counter[tuple[str, str]]


class _Reading(NamedTuple):
    time_s: float
    usages: tuple[ProcessUsage, ...]
    sent_bytes: int | None
    calls: Calls


class Cost(NamedTuple):
    """Cost over a window: of each daemon, and of the site's store calls."""

    core_ratios: tuple[float, ...]
    resident_bytes: tuple[int, ...]
    sent_bytes_per_s: float | None
    calls_per_s: dict[tuple[str, str], float]

    @property
    def core_ratio(self) -> float:
        return statistics.median(self.core_ratios)


def _read(site: Site) -> _Reading:
    counts = site.call(site.platform_address, "GET", "/counts").json()["calls"]
    return _Reading(
        time.monotonic(),
        tuple(read_usage(site.process_id(entry)) for entry in site.entry_hosts),
        sent_bytes(grpc_ports(site)),
        Counter({(c["purpose"], c["operation"]): c["count"] for c in counts}),
    )


def _cost(before: _Reading, after: _Reading) -> Cost:
    elapsed_s = after.time_s - before.time_s
    pairs = tuple(zip(before.usages, after.usages, strict=True))
    sent = None
    if before.sent_bytes is not None and after.sent_bytes is not None:
        sent = (after.sent_bytes - before.sent_bytes) / elapsed_s / len(pairs)
    return Cost(
        tuple((b.processor_s - a.processor_s) / elapsed_s for a, b in pairs),
        tuple(usage.resident_bytes for usage in after.usages),
        sent,
        {k: (n - before.calls[k]) / elapsed_s for k, n in after.calls.items()},
    )


def at_rest(site: Site, window_s: float) -> Cost:
    """
    :returns: cost while nothing happens.
    """
    before = _read(site)
    time.sleep(window_s)
    return _cost(before, _read(site))


def under_changes(site: Site, window_s: float) -> tuple[Cost, float]:
    """
    :returns: cost while configurations are published, and their rate per second.
    """
    configuration = site.compile()
    before = _read(site)
    count = round(window_s / CHANGE_INTERVAL_S)
    for number in range(1, count + 1):
        publish(site, changed(configuration, number), number)
        due_s = before.time_s + number * CHANGE_INTERVAL_S
        time.sleep(max(0.0, due_s - time.monotonic()))
    after = _read(site)
    return _cost(before, after), count / (after.time_s - before.time_s)


def _scaled(rest: float, busy: float, rate_per_s: float) -> float:
    """
    :returns: ``rest`` and what the changes add, at 1,800 changes a day.
    """
    target_per_s = CHANGES_PER_DAY_COUNT / S_PER_DAY
    return rest + (busy - rest) * target_per_s / rate_per_s


def _rate(sent: float | None) -> str:
    return "not measured" if sent is None else f"{sent:.0f} B/s, received as much"


def _print_cost(name: str, cost: Cost) -> None:
    sent = cost.sent_bytes_per_s
    resident_mb = statistics.median(cost.resident_bytes) / _BYTES_PER_MB
    print(
        f"{name}: processor {cost.core_ratio:.2%} of a core (median of daemons; "
        f"{min(cost.core_ratios):.2%} to {max(cost.core_ratios):.2%}), resident "
        f"{resident_mb:.0f} MB (largest {max(cost.resident_bytes) / _BYTES_PER_MB:.0f})"
        f", sent to peers {_rate(sent)}"
    )
    calls = ", ".join(
        f"{purpose} {operation} {rate:.1f}"
        for (purpose, operation), rate in sorted(cost.calls_per_s.items())
    )
    print(f"  store calls/s of the site: {calls}")


def _verdict(value: float, target: float) -> str:
    return "met" if value <= target else "missed"


def _print_target(rest: Cost, busy: Cost, rate_per_s: float) -> None:
    core = _scaled(rest.core_ratio, busy.core_ratio, rate_per_s)
    resident_mb = max(busy.resident_bytes) / _BYTES_PER_MB
    parts = [
        f"{core:.2%} of a core, {_verdict(core, TARGET_CORE_RATIO)}",
        f"{resident_mb:.0f} MB, {_verdict(resident_mb, TARGET_RESIDENT_MB)}",
    ]
    if rest.sent_bytes_per_s is not None and busy.sent_bytes_per_s is not None:
        sent = _scaled(rest.sent_bytes_per_s, busy.sent_bytes_per_s, rate_per_s)
        verdict = _verdict(2 * sent, TARGET_BYTES_PER_S)
        parts.append(f"{2 * sent:.0f} B/s sent and received, {verdict}")
    print(f"at {CHANGES_PER_DAY_COUNT} changes a day (worked out): {'; '.join(parts)}")


def _measure(site: Site, window_s: float, windows_count: int) -> None:
    site.start_platform()
    write_host_rows(site)
    for entry in site.entry_hosts:
        site.start_entry_host(entry)
    site.wait_for_listeners()
    site.publish_configuration()
    site.wait_until_ready()
    time.sleep(SETTLE_S)
    costs = [at_rest(site, window_s) for _ in range(windows_count)]
    for number, cost in enumerate(costs, 1):
        _print_cost(f"at rest, window {number}", cost)
    rest = sorted(costs, key=lambda cost: cost.core_ratio)[windows_count // 2]
    busy, rate_per_s = under_changes(site, window_s)
    _print_cost(f"{rate_per_s * S_PER_DAY:.0f} changes a day", busy)
    _print_target(rest, busy, rate_per_s)


def main() -> None:
    """Prints the cost for one membership size and one number of workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries-count", type=int, default=9)
    parser.add_argument("--workers-count", type=int, default=40)
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--windows-count", type=int, default=3)
    options = parser.parse_args()
    print(
        f"{datetime.now():%Y-%m-%d %H:%M}, {options.entries_count} daemons, "
        f"{options.workers_count} workers, {load_line()}"
    )
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        deployment = write_deployment(
            folder, options.entries_count, options.workers_count
        )
        site = Site(deployment, folder, port_shift=PORT_SHIFT)
        try:
            _measure(site, options.window_s, options.windows_count)
        finally:
            site.stop()
    print(load_line())


if __name__ == "__main__":
    main()
