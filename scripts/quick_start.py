"""Quick start: a whole site on loopback, real requests, a change, maintenance.

Starts stand-ins for the platform and backend servers and nine daemons, and stops all
of them at the end. Exits with 0 if every step went as expected.
"""

import argparse
import sys
import tempfile
import threading
import time
from collections import Counter
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from standins.site import ROOT, Response, Site, wait_until
from sycamorecroft.configuration.codec import encode_configuration

MAINTENANCE_TIMEOUT_S = 40.0
PHOTOGRAPH_BYTES = 3_000_000
_LOAD_THREADS_COUNT = 12


class Sample(NamedTuple):
    """A request of the quick start."""

    service: str
    content_type: str
    body: bytes
    headers: dict[str, str]


class Scenario(NamedTuple):
    """What the quick start does on one deployment."""

    deployment: str
    samples: tuple[Sample, ...]
    load_service: str
    maintained_rack: str


def _photograph(seed: int) -> bytes:
    """
    :returns: a body with the markers of a JPEG file and random content.
    """
    content = Random(seed).randbytes(PHOTOGRAPH_BYTES)
    return b"\xff\xd8\xff\xe0" + content + b"\xff\xd9"


def _ondangwa() -> Scenario:
    reading = {"cover": "OND-0417", "load_kn": 212.5, "deflection_mm": 1.8}
    order = {"cover": "OND-0417", "crew": "north-2", "task": "replace the lid"}
    return Scenario(
        "ondangwa",
        (
            Sample("rating", "image/jpeg", _photograph(7), {}),
            Sample("rating", "application/json", msgspec.json.encode(reading), {}),
            Sample(
                "dispatch",
                "application/json",
                msgspec.json.encode(order),
                {"Idempotency-Key": "crew-order-0417"},
            ),
        ),
        "rating",
        "ondangwa-rack-1",
    )


def _phalak() -> Scenario:
    wording = {"bench": "KOL-88", "bn": "স্মৃতির উদ্দেশ্যে", "en": "In loving memory"}
    casting = {"bench": "KOL-88", "metal": "brass", "size_mm": [200, 80]}
    return Scenario(
        "phalak",
        (
            Sample("proofdesk", "application/json", msgspec.json.encode(wording), {}),
            Sample(
                "foundry",
                "application/json",
                msgspec.json.encode(casting),
                {"Idempotency-Key": "casting-88"},
            ),
        ),
        "proofdesk",
        "kol-north-rack-1",
    )


SCENARIOS = {"ondangwa": _ondangwa, "phalak": _phalak}


class _Load(threading.Thread):
    """Sends requests one after another until told to stop, and counts outcomes."""

    def __init__(self, site: Site, service: str, index: int) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._service = service
        self._entry = site.entry_hosts[index % len(site.entry_hosts)]
        self.stopped = threading.Event()
        self.outcomes: Counter[str] = Counter()

    def run(self) -> None:
        while not self.stopped.is_set():
            response = self._site.request(self._entry, self._service, b"reading")
            outcome = response.headers.get("Sycamorecroft-Outcome", "none")
            self.outcomes[f"{response.status} {outcome}"] += 1


def _say(text: str, started_s: float = time.monotonic()) -> None:
    print(f"[{time.monotonic() - started_s:5.1f} s] {text}", flush=True)


def _require(holds: bool, what: str) -> None:
    if not holds:
        message = f"quick start failed: {what}"
        raise SystemExit(message)


def _show(entry: str, sample: Sample, response: Response) -> None:
    outcome = response.headers.get("Sycamorecroft-Outcome")
    body = response.body.decode(errors="replace")
    _say(f"{sample.service} through {entry}: {response.status} {outcome} {body}")


def _send_samples(site: Site, scenario: Scenario) -> None:
    for entry, sample in zip(site.entry_hosts, scenario.samples, strict=False):
        headers = {"Content-Type": sample.content_type, **sample.headers}
        response = site.request(entry, sample.service, sample.body, headers)
        _show(entry, sample, response)
        _require(response.status == 200, f"{sample.service} was not served")
    _say("the same order again through another entry host:")
    again = site.request(site.entry_hosts[-1], sample.service, sample.body, headers)
    _show(site.entry_hosts[-1], sample, again)
    _require(again.body == response.body, "the order was not answered as before")


def _show_state(site: Site) -> None:
    status = site.status(site.entry_hosts[0])
    _say(f"entry hosts: {', '.join(status['live_entries'])}")
    for pool, states in status["pools"].items():
        _say(f"pool {pool}: {states}")


def _change_parameter(site: Site, scenario: Scenario) -> None:
    """Halves the timeout of a service and waits until it is in force everywhere."""
    configuration = site.compile()
    service = configuration.services[scenario.load_service]
    changed = service._replace(timeout_s=service.timeout_s / 2)
    services = {**configuration.services, service.name: changed}
    body = {
        "base_version": 1,
        "author": "quick start",
        "configuration": msgspec.Raw(
            encode_configuration(configuration._replace(services=services))
        ),
    }
    started_s = time.monotonic()
    response = site.call_operator(site.entry_hosts[0], "PUT", "configuration", body)
    _require(response.status == 200, f"version 2 was refused: {response.body!r}")
    waiting = set(site.entry_hosts)
    while waiting:
        _require(time.monotonic() - started_s < 10, f"not in force on {waiting}")
        for entry in sorted(waiting):
            if site.status(entry)["in_force_version"] >= 2:
                waiting.discard(entry)
                _say(f"{entry}: in force after {time.monotonic() - started_s:.2f} s")
        time.sleep(0.02)


def _maintain(site: Site, scenario: Scenario) -> None:
    """Maintains a rack under load."""
    loads = [
        _Load(site, scenario.load_service, index)
        for index in range(_LOAD_THREADS_COUNT)
    ]
    for load in loads:
        load.start()
    wave_id = _declare_rack(site, scenario.maintained_rack)
    _watch(site, wave_id)
    for load in loads:
        load.stopped.set()
    outcomes: Counter[str] = Counter()
    for load in loads:
        load.join()
        outcomes += load.outcomes
    _say(f"requests during maintenance: {dict(outcomes)}")
    _require(set(outcomes) == {"200 run"}, "maintenance cut off requests")


def _declare_rack(site: Site, rack: str) -> str:
    body = {
        "idempotency_key": f"quick-start-{rack}",
        "kind": "rack",
        "names": [rack],
        "deadline": (datetime.now(UTC) + timedelta(hours=1)).isoformat(),
    }
    response = site.call_operator(site.entry_hosts[1], "POST", "maintenance", body)
    _require(response.status == 200, f"maintenance was refused: {response.body!r}")
    wave = response.json()["wave"]
    _say(f"maintenance of {rack} declared: {', '.join(wave['hosts'])}")
    return wave["id"]


def _watch(site: Site, wave_id: str) -> None:
    shown: dict[str, Any] = {}

    def is_finished() -> bool:
        answer = site.call_operator(
            site.entry_hosts[2], "GET", f"maintenance/{wave_id}"
        )
        if answer.status != 200:
            return False
        progress = answer.json()
        if progress["host_states"] != shown:
            shown.clear()
            shown.update(progress["host_states"])
            _say(f"hosts: {shown}")
        return progress["wave"]["state"] == "finished"

    duration_s = wait_until(is_finished, "maintenance ends", MAINTENANCE_TIMEOUT_S)
    _say(f"maintenance finished after {duration_s:.1f} s")


def run(scenario: Scenario, folder: Path, port_shift: int) -> None:
    """Runs all steps on a new site.

    :raises SystemExit: if a step fails.
    """
    site = Site(
        ROOT / "deployments" / scenario.deployment,
        folder,
        port_shift=port_shift,
        reboot_s=1.0,
        settings={"drain_grace_s": 1.0},
    )
    try:
        _say(f"starting {scenario.deployment}: stand-ins and 9 daemons")
        site.start()
        _say("all entry hosts are ready")
        _send_samples(site, scenario)
        _show_state(site)
        _change_parameter(site, scenario)
        _maintain(site, scenario)
        exit_code = site.stop_entry_host(site.entry_hosts[0])
        _say(f"planned stop of {site.entry_hosts[0]}: exit code {exit_code}")
        _require(exit_code == 0, "the planned stop cut off requests")
    finally:
        site.stop()
    _say("all processes stopped")


def main() -> None:
    """Parses the arguments and runs the scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "deployment", nargs="?", default="ondangwa", choices=sorted(SCENARIOS)
    )
    parser.add_argument("--port-shift", type=int, default=0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run(SCENARIOS[arguments.deployment](), Path(folder), arguments.port_shift)


if __name__ == "__main__":
    sys.exit(main())
