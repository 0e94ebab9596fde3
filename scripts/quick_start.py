"""Runs the quick start: a whole site on loopback, with requests and operations.

Starts stand-ins for the platform and backend servers and nine daemons, sends requests,
changes a configuration parameter, maintains a rack under load, and stops all processes.
Exits with 0 if every step succeeds.
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


class SampleRequest(NamedTuple):
    """A request that the quick start sends."""

    service: str
    content_type: str
    body: bytes
    headers: dict[str, str]


class Scenario(NamedTuple):
    """Requests and operations of the quick start on one deployment."""

    deployment: str
    samples: tuple[SampleRequest, ...]
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
            SampleRequest("rating", "image/jpeg", _photograph(7), {}),
            SampleRequest(
                "rating", "application/json", msgspec.json.encode(reading), {}
            ),
            SampleRequest(
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
            SampleRequest(
                "proofdesk", "application/json", msgspec.json.encode(wording), {}
            ),
            SampleRequest(
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


class _LoadThread(threading.Thread):
    """Sends requests sequentially until ``stopped`` is set, and counts outcomes."""

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


def _print_progress(text: str, started_s: float = time.monotonic()) -> None:
    print(f"[{time.monotonic() - started_s:5.1f} s] {text}", flush=True)


def _check(is_met: bool, failure: str) -> None:
    if not is_met:
        message = f"quick start failed: {failure}"
        raise SystemExit(message)


def _print_response(entry_host: str, sample: SampleRequest, response: Response) -> None:
    outcome = response.headers.get("Sycamorecroft-Outcome")
    body = response.body.decode(errors="replace")
    _print_progress(
        f"{sample.service} through {entry_host}: {response.status} {outcome} {body}"
    )


def _send_samples(site: Site, scenario: Scenario) -> None:
    for entry_host, sample in zip(site.entry_hosts, scenario.samples, strict=False):
        headers = {"Content-Type": sample.content_type, **sample.headers}
        response = site.request(entry_host, sample.service, sample.body, headers)
        _print_response(entry_host, sample, response)
        _check(
            response.status == 200,
            f"{sample.service} did not respond with status 200",
        )
    _print_progress("repeating the last request through another entry host:")
    repeated = site.request(site.entry_hosts[-1], sample.service, sample.body, headers)
    _print_response(site.entry_hosts[-1], sample, repeated)
    _check(repeated.body == response.body, "the repeated request got another response")


def _print_status(site: Site) -> None:
    status = site.status(site.entry_hosts[0])
    _print_progress(f"entry hosts: {', '.join(status['live_entries'])}")
    for pool, states in status["pools"].items():
        _print_progress(f"pool {pool}: {states}")


def _change_parameter(site: Site, scenario: Scenario) -> None:
    """Halves the timeout of a service and waits until all entry hosts apply it."""
    configuration = site.compile()
    service = configuration.services[scenario.load_service]
    changed_service = service._replace(timeout_s=service.timeout_s / 2)
    services = {**configuration.services, service.name: changed_service}
    body = {
        "base_version": 1,
        "author": "quick start",
        "configuration": msgspec.Raw(
            encode_configuration(configuration._replace(services=services))
        ),
    }
    started_s = time.monotonic()
    response = site.call_operator(site.entry_hosts[0], "PUT", "configuration", body)
    _check(response.status == 200, f"version 2 was refused: {response.body!r}")
    pending = set(site.entry_hosts)
    while pending:
        _check(
            time.monotonic() - started_s < 10,
            f"not in force after 10 s on {pending}",
        )
        for entry_host in sorted(pending):
            if site.status(entry_host)["in_force_version"] >= 2:
                pending.discard(entry_host)
                _print_progress(
                    f"{entry_host}: in force after {time.monotonic() - started_s:.2f} s"
                )
        time.sleep(0.02)


def _maintain(site: Site, scenario: Scenario) -> None:
    """Maintains a rack under load and checks that no request fails."""
    threads = [
        _LoadThread(site, scenario.load_service, index)
        for index in range(_LOAD_THREADS_COUNT)
    ]
    for thread in threads:
        thread.start()
    wave_id = _declare_rack(site, scenario.maintained_rack)
    _wait_until_finished(site, wave_id)
    for thread in threads:
        thread.stopped.set()
    outcomes: Counter[str] = Counter()
    for thread in threads:
        thread.join()
        outcomes += thread.outcomes
    _print_progress(f"requests during maintenance: {dict(outcomes)}")
    _check(
        set(outcomes) == {"200 run"},
        "requests failed during maintenance",
    )


def _declare_rack(site: Site, rack: str) -> str:
    body = {
        "idempotency_key": f"quick-start-{rack}",
        "kind": "rack",
        "names": [rack],
        "deadline": (datetime.now(UTC) + timedelta(hours=1)).isoformat(),
    }
    response = site.call_operator(site.entry_hosts[1], "POST", "maintenance", body)
    _check(response.status == 200, f"maintenance was refused: {response.body!r}")
    wave = response.json()["wave"]
    _print_progress(f"maintenance of {rack} declared: {', '.join(wave['hosts'])}")
    return wave["id"]


def _wait_until_finished(site: Site, wave_id: str) -> None:
    printed_states: dict[str, Any] = {}

    def is_finished() -> bool:
        answer = site.call_operator(
            site.entry_hosts[2], "GET", f"maintenance/{wave_id}"
        )
        if answer.status != 200:
            return False
        progress = answer.json()
        if progress["host_states"] != printed_states:
            printed_states.clear()
            printed_states.update(progress["host_states"])
            _print_progress(f"hosts: {printed_states}")
        return progress["wave"]["state"] == "finished"

    duration_s = wait_until(is_finished, "maintenance finishes", MAINTENANCE_TIMEOUT_S)
    _print_progress(f"maintenance finished after {duration_s:.1f} s")


def run(scenario: Scenario, folder: Path, port_shift: int) -> None:
    """Runs all steps of the quick start on a new site.

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
        _print_progress(f"starting {scenario.deployment}: stand-ins and 9 daemons")
        site.start()
        _print_progress("all entry hosts are ready")
        _send_samples(site, scenario)
        _print_status(site)
        _change_parameter(site, scenario)
        _maintain(site, scenario)
        exit_code = site.stop_entry_host(site.entry_hosts[0])
        _print_progress(f"planned stop of {site.entry_hosts[0]}: exit code {exit_code}")
        _check(exit_code == 0, "the planned stop interrupted requests")
    finally:
        site.stop()
    _print_progress("all processes stopped")


def main() -> None:
    """Runs the scenario that the command line selects."""
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
