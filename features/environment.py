"""Starts one whole site before each feature and stops it afterwards.

Tags of a feature, such as ``@service_time_ms=50`` and ``@reboot_s=4``, configure its
stand-ins. The environment variable ``SYCAMORECROFT_PORT_SHIFT`` is added to all ports.
"""

import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from standins.site import Site  # noqa: E402

DEFAULT_PORT_SHIFT = 2600
# Shorter than in production, so that a planned stop ends within a scenario.
DRAIN_GRACE_S = 1.0


def _stop_on_signal(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def before_all(context):
    signal.signal(signal.SIGTERM, _stop_on_signal)


def before_feature(context, feature):
    options = dict(tag.partition("=")[::2] for tag in feature.tags)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.site = Site(
        ROOT / "deployments" / "ondangwa",
        Path(folder.name),
        port_shift=int(os.environ.get("SYCAMORECROFT_PORT_SHIFT", DEFAULT_PORT_SHIFT)),
        service_time_ms=float(options.get("service_time_ms", 20)),
        reboot_s=float(options.get("reboot_s", 1)),
        settings={"drain_grace_s": DRAIN_GRACE_S},
    )
    _require_free_ports(context.site)
    # Registered before the start, as a failed start must leave no process behind.
    context.add_cleanup(context.site.stop)
    context.site.start()


def _require_free_ports(site: Site) -> None:
    """Fails if a port is in use: daemons of another site would answer for this one.

    :raises RuntimeError: names the first address that is in use.
    """
    addresses = [site.platform_address, site.backend_control_address]
    addresses += [site.http_address(entry_host) for entry_host in site.entry_hosts]
    for address in addresses:
        host, _, port = address.rpartition(":")
        with socket.socket() as client:
            if client.connect_ex((host, int(port))) == 0:
                message = f"{address} is in use; set another SYCAMORECROFT_PORT_SHIFT"
                raise RuntimeError(message)


def before_scenario(context, scenario):
    site = context.site
    site.call(site.backend_control_address, "DELETE", "/ledger")
    context.sent = []
    context.killed = set()


def after_scenario(context, scenario):
    site = context.site
    for entry_host in site.entry_hosts:
        if entry_host not in context.killed:
            site.signal(entry_host, signal.SIGCONT)
    site.clear_faults()
    for entry_host in context.killed:
        site.kill(entry_host)
        site.start_entry_host(entry_host)
    if context.killed:
        site.wait_for_listeners()
        site.wait_until_ready()
    site.call(site.backend_control_address, "DELETE", "/faults")
    lag = b'{"host_list_lag_s": 2}'
    site.call(site.platform_address, "POST", "/settings", lag)
    if scenario.status == "failed":
        _print_errors(site)
    # After an outage a daemon refuses calls to the store for up to 2 s (section 5.5 of
    # docs/design.md), which must not reach into the next scenario.
    site.wait_until_store_reached()


def _print_errors(site: Site) -> None:
    """Prints the last 5 error lines of each daemon's log."""
    for entry_host in site.entry_hosts:
        lines = site.read_log(entry_host).splitlines()
        for line in [line for line in lines if '"level": "error"' in line][-5:]:
            print(f"{entry_host}: {line[:2000]}")
