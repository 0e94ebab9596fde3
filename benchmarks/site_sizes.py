"""Sites of chosen size, made from the Ondangwa deployment."""

import json
import shutil
from pathlib import Path
from typing import Any

import msgspec

from standins.site import ROOT, Site
from sycamorecroft.configuration.codec import encode_configuration
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.pools.records import HOSTS_TABLE, encode_record
from sycamorecroft.pools.state import HostRecord, HostState
from sycamorecroft.store import HttpTableService, PlatformConnection
from sycamorecroft.store.interfaces import Put, StorePurpose

PORT_SHIFT = 8000
SERVICES_COUNT = 5
ACCOUNT = "ondangwa-street-safety-trust"
TEAM = "inspectors"
RACK_SIZE = 4
_DEPLOYMENT = ROOT / "deployments" / "ondangwa"
_PARAMETERS = "street-safety-trust.jsonc"
_FIRST_HTTP_PORT = 21001
_FIRST_GRPC_PORT = 21101


def write_deployment(folder: Path, entries_count: int, workers_count: int) -> Path:
    """Writes a deployment with five pools of equal size.

    :param workers_count: a multiple of the number of services.
    :returns: folder of the deployment.
    """
    target = folder / "deployment"
    target.mkdir()
    shutil.copy(_DEPLOYMENT / "template.jsonc", target)
    per_service_count = workers_count // SERVICES_COUNT
    _write(target / "daemon.jsonc", _daemon(entries_count))
    _write(target / "hosts.json", _hosts(per_service_count))
    text = (_DEPLOYMENT / _PARAMETERS).read_text(encoding="utf-8")
    for key in ("hosts_per_service", "spare_hosts"):
        text = text.replace(f'"{key}": 8', f'"{key}": {per_service_count}')
    (target / _PARAMETERS).write_text(text, encoding="utf-8")
    return target


def _write(path: Path, document: object) -> None:
    path.write_text(json.dumps(document), encoding="utf-8")


def _daemon(entries_count: int) -> dict[str, Any]:
    entries = [
        {"name": f"entry-{n + 1}", "grpc_address": f"127.0.0.1:{_FIRST_GRPC_PORT + n}"}
        for n in range(entries_count)
    ]
    return {
        "entry": "entry-1",
        "data_centre": "ondangwa",
        "http_address": f"127.0.0.1:{_FIRST_HTTP_PORT}",
        "grpc_address": entries[0]["grpc_address"],
        "entries": entries,
        "platform_url": "http://127.0.0.1:21000",
    }


def _hosts(per_service_count: int) -> dict[str, Any]:
    document = json.loads((_DEPLOYMENT / "hosts.json").read_text(encoding="utf-8"))
    pools = list(dict.fromkeys(worker["pool"] for worker in document["workers"]))
    document["workers"] = [
        {
            "name": f"{pool}-{number + 1}",
            "data_centre": "ondangwa",
            "rack": f"{pool}-rack-{number // RACK_SIZE}",
            "port_offset": index * per_service_count + number,
            "pool": pool,
        }
        for index, pool in enumerate(pools)
        for number in range(per_service_count)
    ]
    return document


def write_host_rows(site: Site) -> None:
    """Writes the rows of all workers, as if they had been registered before.

    The pool controller registers about 10 hosts a second.
    """
    connection = PlatformConnection(site.platform_address)
    tables = HttpTableService(connection)
    size = site.inventory.worker_size
    puts = []
    for worker in site.inventory.workers:
        assert worker.pool is not None
        record = HostRecord(
            host=worker.name,
            address=site.inventory.address_of(worker),
            data_centre=worker.data_centre,
            rack=worker.rack,
            pool=worker.pool,
            state=HostState.ACTIVE,
            epoch=1,
            slots_count=size.slots_count,
            connections_count=size.connections_count,
            target_pool=None,
            maintenance_id=None,
        )
        puts.append(Put(HOSTS_TABLE, worker.name, encode_record(record)))
    tables.transact([], puts, purpose=StorePurpose.OPERATORS)
    connection.close()


def grpc_ports(site: Site) -> tuple[int, ...]:
    """
    :returns: ports on which the daemons listen for their peers.
    """
    first = _FIRST_GRPC_PORT + PORT_SHIFT
    return tuple(range(first, first + len(site.entry_hosts)))


def changed(configuration: FleetConfiguration, number: int) -> FleetConfiguration:
    """
    :returns: the configuration with a team's weight that differs for each number.
    """
    account = configuration.accounts[ACCOUNT]
    team = account.teams[TEAM]._replace(weight=4.0 + number / 1000)
    account = account._replace(teams={**account.teams, TEAM: team})
    return configuration._replace(accounts={**configuration.accounts, ACCOUNT: account})


def publish(site: Site, configuration: FleetConfiguration, base_version: int) -> None:
    """Publishes a configuration through the first entry host."""
    body = {
        "base_version": base_version,
        "author": "benchmark",
        "configuration": msgspec.Raw(encode_configuration(configuration)),
    }
    response = site.call_operator(site.entry_hosts[0], "PUT", "configuration", body)
    if response.status != 200:
        message = f"publishing failed with status {response.status}: {response.body!r}"
        raise RuntimeError(message)
