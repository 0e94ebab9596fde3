"""Measures how far a flood of one queue affects the others on a whole site.

Run ``python -m benchmarks.site_flood --seed 1 [--killed-hosts 2]``. Nine daemons and 40
backend servers with a service time of 0.5 s get load from two processes: background
requests to several queues at a third of the capacity of their pools, and in the second
phase a flood of 5 times that rate on one queue. The first run floods backoffice with
bulk requests, the second one rating with urgent ones. The baseline is the background
load of the first phase of the same run, without a flood. ``benchmarks/flood.py``
compares the same case with one FIFO, in virtual time.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from standins.site import ROOT, Site

SERVICE_TIME_MS = 500.0
MEAN_RATE_PER_S = 40.0
FLOOD_FACTOR = 5.0
PHASE_S = 10.0
TIMEOUT_MS = 3000
LOAD_TIMEOUT_S = 90.0
GOODPUT_TARGET_RATIO = 0.99
LATENCY_TARGET_RATIO = 1.5
PORT_SHIFT = 10_500

_BACKGROUND_FLOWS = (
    ("rating", "inspectors", "urgent"),
    ("assessment", "council-clerks", "normal"),
    ("hotline", "public-hotline", "normal"),
    ("backoffice", "council-clerks", "bulk"),
)


class Flood(NamedTuple):
    """Overload of one queue by one team."""

    service: str
    team: str
    urgency: str


FLOODS = (
    Flood("backoffice", "public-hotline", "bulk"),
    Flood("rating", "public-hotline", "urgent"),
)


def _flow(service: str, team: str, urgency: str, rate_per_s: float) -> dict[str, Any]:
    return {
        "service": service,
        "team": team,
        "urgency": urgency,
        "rate_per_s": rate_per_s,
        "timeout_ms": TIMEOUT_MS,
        "body_bytes": 2000,
        "is_repeatable": True,
    }


def _plan(
    addresses: list[str], seed: int, phases: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "addresses": addresses,
        "path": "/v1/services/{service}/requests",
        "account": "ondangwa-street-safety-trust",
        "seed": seed,
        "concurrency_count": 400,
        "deadline_s": LOAD_TIMEOUT_S,
        "phases": phases,
    }


def _start_load(folder: Path, name: str, plan: dict[str, Any]) -> subprocess.Popen:
    plan_path = folder / f"{name}.json"
    plan_path.write_text(json.dumps(plan), encoding="utf-8")
    command = [sys.executable, "-m", "standins.load", str(plan_path)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)


def _run_flood(
    site: Site,
    folder: Path,
    flood: Flood,
    seed: int,
    killed_entry_hosts: tuple[str, ...],
) -> dict[str, Any]:
    """
    :returns: summary of the background load, by phase and service.
    """
    # In production a load balancer diverts callers from a failed entry host, so no load
    # is sent to killed ones.
    live_entry_hosts = [
        entry_host
        for entry_host in site.entry_hosts
        if entry_host not in killed_entry_hosts
    ]
    addresses = [site.http_address(entry_host) for entry_host in live_entry_hosts]
    flows = [
        _flow(*background_flow, MEAN_RATE_PER_S)
        for background_flow in _BACKGROUND_FLOWS
    ]
    phases = [
        {"name": name, "duration_s": PHASE_S, "flows": flows}
        for name in ("calm", "flood")
    ]
    background_load = _start_load(folder, "background", _plan(addresses, seed, phases))
    time.sleep(PHASE_S)
    flow = _flow(*flood, MEAN_RATE_PER_S * FLOOD_FACTOR)
    flood_phases = [{"name": "flood", "duration_s": PHASE_S, "flows": [flow]}]
    flood_load = _start_load(folder, "flood", _plan(addresses, seed + 1, flood_phases))
    for entry_host in killed_entry_hosts:
        site.kill(entry_host)
    output, _ = background_load.communicate(timeout=LOAD_TIMEOUT_S)
    flood_load.communicate(timeout=LOAD_TIMEOUT_S)
    return json.loads(output)


def _print_result(flood: Flood, summary: dict[str, Any]) -> int:
    """
    :returns: number of missed targets.
    """
    missed_count = 0
    print(f"overload of {flood.service} with {flood.urgency} work of {flood.team}")
    for service, _, _ in _BACKGROUND_FLOWS:
        baseline = summary["by_service"][f"calm/{service}"]
        with_flood = summary["by_service"][f"flood/{service}"]
        sent_ratio = with_flood["sent_count"] / baseline["sent_count"]
        goodput_ratio = (
            with_flood["goodput_per_s"] / baseline["goodput_per_s"] / sent_ratio
        )
        p99_ratio = with_flood["latencies"]["p99_ms"] / baseline["latencies"]["p99_ms"]
        is_other = service != flood.service
        is_met = (
            goodput_ratio >= GOODPUT_TARGET_RATIO and p99_ratio <= LATENCY_TARGET_RATIO
        )
        verdict = ("met" if is_met else "MISSED") if is_other else "same queue"
        missed_count += is_other and not is_met
        print(
            f"  {service}: goodput ratio {goodput_ratio:.3f} "
            f"(target {GOODPUT_TARGET_RATIO}), "
            f"p99 {baseline['latencies']['p99_ms']:.0f} -> "
            f"{with_flood['latencies']['p99_ms']:.0f} ms, ratio {p99_ratio:.2f} "
            f"(target {LATENCY_TARGET_RATIO}): {verdict}; {with_flood['verdicts']} "
            f"{with_flood['reasons'] or ''}"
        )
    return missed_count


def main() -> int:
    """
    :returns: 0 if every target is met.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--killed-hosts", type=int, default=0)
    options = parser.parse_args()
    missed_count = 0
    for flood in FLOODS:
        with tempfile.TemporaryDirectory() as folder:
            site = Site(
                ROOT / "deployments" / "ondangwa",
                Path(folder),
                port_shift=PORT_SHIFT,
                service_time_ms=SERVICE_TIME_MS,
            )
            killed_entry_hosts = site.entry_hosts[: options.killed_hosts]
            try:
                site.start()
                summary = _run_flood(
                    site, Path(folder), flood, options.seed, killed_entry_hosts
                )
            finally:
                site.stop()
        missed_count += _print_result(flood, summary)
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
