"""Measures the control cost of a daemon at rest and under configuration changes.

Run ``python -m benchmarks.control --entries-count 9 --workers-count 40``. A site runs
without callers and backend servers; its workers exist in the host list only. Targets
(section 1.7 of docs/design.md): 1.9% of a core, 128 MB and 5 KB/s at rest and at 1,800
changes a day. The benchmark publishes changes at a higher rate and scales the cost that
they add to 1,800 a day; the baseline of this added cost is the same site at rest. Bytes
are those that ``ss`` reports as sent on the TCP connections between daemons. A daemon
receives as many on average, so the target applies to twice the bytes sent.
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
    grpc_ports,
    publish,
    with_changed_weight,
    write_deployment,
    write_host_rows,
)
from benchmarks.usage import (
    ProcessUsage,
    describe_load,
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
    """Resource use of each daemon and store calls of the site over a window."""

    core_ratios: tuple[float, ...]
    resident_bytes: tuple[int, ...]
    sent_bytes_per_s: float | None
    calls_per_s: dict[tuple[str, str], float]

    @property
    def core_ratio(self) -> float:
        return statistics.median(self.core_ratios)


def _take_reading(site: Site) -> _Reading:
    counts = site.call(site.platform_address, "GET", "/counts").json()["calls"]
    return _Reading(
        time.monotonic(),
        tuple(
            read_usage(site.process_id(entry_host)) for entry_host in site.entry_hosts
        ),
        sent_bytes(grpc_ports(site)),
        Counter({(c["purpose"], c["operation"]): c["count"] for c in counts}),
    )


def _cost(before: _Reading, after: _Reading) -> Cost:
    elapsed_s = after.time_s - before.time_s
    pairs = tuple(zip(before.usages, after.usages, strict=True))
    sent_per_s = None
    if before.sent_bytes is not None and after.sent_bytes is not None:
        sent_per_s = (after.sent_bytes - before.sent_bytes) / elapsed_s / len(pairs)
    return Cost(
        tuple((b.processor_s - a.processor_s) / elapsed_s for a, b in pairs),
        tuple(usage.resident_bytes for usage in after.usages),
        sent_per_s,
        {k: (n - before.calls[k]) / elapsed_s for k, n in after.calls.items()},
    )


def measure_at_rest(site: Site, window_s: float) -> Cost:
    """
    :returns: cost while the site is at rest.
    """
    before = _take_reading(site)
    time.sleep(window_s)
    return _cost(before, _take_reading(site))


def measure_under_changes(site: Site, window_s: float) -> tuple[Cost, float]:
    """
    :returns: cost while configurations are published, and their rate per second.
    """
    configuration = site.compile()
    before = _take_reading(site)
    count = round(window_s / CHANGE_INTERVAL_S)
    for number in range(1, count + 1):
        publish(site, with_changed_weight(configuration, number), number)
        due_s = before.time_s + number * CHANGE_INTERVAL_S
        time.sleep(max(0.0, due_s - time.monotonic()))
    after = _take_reading(site)
    return _cost(before, after), count / (after.time_s - before.time_s)


def _extrapolate(at_rest: float, under_changes: float, rate_per_s: float) -> float:
    """
    :returns: value at 1,800 changes a day: the one at rest, plus the increase under
        ``rate_per_s`` changes scaled linearly.
    """
    target_per_s = CHANGES_PER_DAY_COUNT / S_PER_DAY
    return at_rest + (under_changes - at_rest) * target_per_s / rate_per_s


def _format_sent_rate(sent_per_s: float | None) -> str:
    return (
        "not measured"
        if sent_per_s is None
        else f"{sent_per_s:.0f} B/s, received as much"
    )


def _print_cost(name: str, cost: Cost) -> None:
    sent_per_s = cost.sent_bytes_per_s
    resident_mb = statistics.median(cost.resident_bytes) / _BYTES_PER_MB
    print(
        f"{name}: processor {cost.core_ratio:.2%} of a core (median of daemons; "
        f"{min(cost.core_ratios):.2%} to {max(cost.core_ratios):.2%}), resident "
        f"{resident_mb:.0f} MB (largest {max(cost.resident_bytes) / _BYTES_PER_MB:.0f})"
        f", sent to peers {_format_sent_rate(sent_per_s)}"
    )
    calls = ", ".join(
        f"{purpose} {operation} {rate:.1f}"
        for (purpose, operation), rate in sorted(cost.calls_per_s.items())
    )
    print(f"  store calls/s of the site: {calls}")


def _verdict(value: float, target: float) -> str:
    return "met" if value <= target else "missed"


def _print_target(at_rest: Cost, under_changes: Cost, rate_per_s: float) -> None:
    extrapolated_ratio = _extrapolate(
        at_rest.core_ratio, under_changes.core_ratio, rate_per_s
    )
    resident_mb = max(under_changes.resident_bytes) / _BYTES_PER_MB
    parts = [
        f"{extrapolated_ratio:.2%} of a core, "
        f"{_verdict(extrapolated_ratio, TARGET_CORE_RATIO)}",
        f"{resident_mb:.0f} MB, {_verdict(resident_mb, TARGET_RESIDENT_MB)}",
    ]
    if (
        at_rest.sent_bytes_per_s is not None
        and under_changes.sent_bytes_per_s is not None
    ):
        sent_per_s = _extrapolate(
            at_rest.sent_bytes_per_s, under_changes.sent_bytes_per_s, rate_per_s
        )
        verdict = _verdict(2 * sent_per_s, TARGET_BYTES_PER_S)
        parts.append(f"{2 * sent_per_s:.0f} B/s sent and received, {verdict}")
    print(
        f"at {CHANGES_PER_DAY_COUNT} changes a day (extrapolated): {'; '.join(parts)}"
    )


def _measure(site: Site, window_s: float, windows_count: int) -> None:
    site.start_platform()
    write_host_rows(site)
    for entry_host in site.entry_hosts:
        site.start_entry_host(entry_host)
    site.wait_for_listeners()
    site.publish_configuration()
    site.wait_until_ready()
    time.sleep(SETTLE_S)
    costs = [measure_at_rest(site, window_s) for _ in range(windows_count)]
    for number, cost in enumerate(costs, 1):
        _print_cost(f"at rest, window {number}", cost)
    at_rest = sorted(costs, key=lambda cost: cost.core_ratio)[windows_count // 2]
    under_changes, rate_per_s = measure_under_changes(site, window_s)
    _print_cost(f"{rate_per_s * S_PER_DAY:.0f} changes a day", under_changes)
    _print_target(at_rest, under_changes, rate_per_s)


def main() -> None:
    """Prints the cost for one number of daemons and one number of workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries-count", type=int, default=9)
    parser.add_argument("--workers-count", type=int, default=40)
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--windows-count", type=int, default=3)
    options = parser.parse_args()
    print(
        f"{datetime.now():%Y-%m-%d %H:%M}, {options.entries_count} daemons, "
        f"{options.workers_count} workers, {describe_load()}"
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
    print(describe_load())


if __name__ == "__main__":
    main()
