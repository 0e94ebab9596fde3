"""Overload of one queue on a whole site: what other queues keep.

Run ``python -m benchmarks.site_flood --seed 1 [--killed-hosts 2]``. Nine daemons, 40
backend servers with slots of 0.5 s, two load processes: background work on all queues
at a third of their pools, and 5 times that on one queue in the second phase, first of
bulk work on backoffice, then of urgent work on rating. The baseline is the background
work of the first phase, without overload, in the same run. ``benchmarks/flood.py``
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

_BACKGROUND = (
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
    path = folder / f"{name}.json"
    path.write_text(json.dumps(plan), encoding="utf-8")
    command = [sys.executable, "-m", "standins.load", str(path)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)


def _run_flood(
    site: Site, folder: Path, flood: Flood, seed: int, killed: tuple[str, ...]
) -> dict[str, Any]:
    """
    :returns: summary of the background work.
    """
    # Callers of a killed entry host are the balancer's matter.
    entries = [entry for entry in site.entry_hosts if entry not in killed]
    addresses = [site.http_address(entry) for entry in entries]
    flows = [_flow(*item, MEAN_RATE_PER_S) for item in _BACKGROUND]
    phases = [
        {"name": name, "duration_s": PHASE_S, "flows": flows}
        for name in ("calm", "flood")
    ]
    background = _start_load(folder, "background", _plan(addresses, seed, phases))
    time.sleep(PHASE_S)
    flow = _flow(*flood, MEAN_RATE_PER_S * FLOOD_FACTOR)
    overload = [{"name": "flood", "duration_s": PHASE_S, "flows": [flow]}]
    flooding = _start_load(folder, "flood", _plan(addresses, seed + 1, overload))
    for entry in killed:
        site.kill(entry)
    output, _ = background.communicate(timeout=LOAD_TIMEOUT_S)
    flooding.communicate(timeout=LOAD_TIMEOUT_S)
    return json.loads(output)


def _report(flood: Flood, summary: dict[str, Any]) -> int:
    """
    :returns: number of missed targets.
    """
    missed_count = 0
    print(f"overload of {flood.service} with {flood.urgency} work of {flood.team}")
    for service, _, _ in _BACKGROUND:
        calm = summary["by_service"][f"calm/{service}"]
        flooded = summary["by_service"][f"flood/{service}"]
        sent_ratio = flooded["sent_count"] / calm["sent_count"]
        goodput = flooded["goodput_per_s"] / calm["goodput_per_s"] / sent_ratio
        latency = flooded["latencies"]["p99_ms"] / calm["latencies"]["p99_ms"]
        is_other = service != flood.service
        is_met = goodput >= GOODPUT_TARGET_RATIO and latency <= LATENCY_TARGET_RATIO
        verdict = ("met" if is_met else "MISSED") if is_other else "same queue"
        missed_count += is_other and not is_met
        print(
            f"  {service}: goodput ratio {goodput:.3f} (target {GOODPUT_TARGET_RATIO}),"
            f" p99 {calm['latencies']['p99_ms']:.0f} -> "
            f"{flooded['latencies']['p99_ms']:.0f} ms, ratio {latency:.2f} (target "
            f"{LATENCY_TARGET_RATIO}): {verdict}; {flooded['verdicts']} "
            f"{flooded['reasons'] or ''}"
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
            killed = site.entry_hosts[: options.killed_hosts]
            try:
                site.start()
                summary = _run_flood(site, Path(folder), flood, options.seed, killed)
            finally:
                site.stop()
        missed_count += _report(flood, summary)
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
