"""Commands that show and replace the inventory of worker hosts."""

from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    register_commands,
)
from sycamorecroft.cli.operator_client import Method
from sycamorecroft.cli.operator_messages import (
    INVENTORY_PATH,
    InventoryHostBody,
    InventoryPublishedReply,
    InventoryReply,
    InventoryRequest,
)
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.configuration.template import HostInventory, load_inventory


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    inventory = App(name="inventory", help="Show and declare the worker hosts.")
    register_commands(
        inventory,
        Command("show", show_inventory, ("inventory show",)),
        Command(
            "apply", apply_inventory, ("inventory apply hosts.json --base-version 31",)
        ),
    )
    app.command(inventory)


def show_inventory(*, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Show the declared hosts and the version to base a change on."""
    reply = create_operator_client(settings).call(
        Method.GET, INVENTORY_PATH, InventoryReply
    )
    if json:
        print_json(reply)
        return
    print_table(
        f"Inventory version {reply.version}",
        ("host", "pool", "data centre", "rack", "address", "slots"),
        (
            (
                host.host,
                host.pool,
                host.data_centre,
                host.rack,
                host.address,
                host.slots_count,
            )
            for host in reply.hosts
        ),
    )
    print_line(f"to replace it, name --base-version {reply.version}")


def apply_inventory(
    hosts: Path,
    *,
    base_version: Annotated[
        int, Parameter(help="Version that the change is based on, as printed by show.")
    ],
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Replace the inventory by the hosts of a file.

    A new host joins the pool that the file names. Hosts that are already registered
    stay in their pool; move them with hosts move. Applying the same file again changes
    nothing.

    :param hosts: Host file, such as deployments/ondangwa/hosts.json.
    """
    declared = tuple(_declared_hosts(load_inventory(hosts)))
    published = create_operator_client(settings).call(
        Method.PUT,
        INVENTORY_PATH,
        InventoryPublishedReply,
        body=InventoryRequest(base_version, declared),
    )
    if json:
        print_json(published)
        return
    print_line(
        f"inventory version {published.version} declares {published.hosts_count} hosts"
    )


def _declared_hosts(inventory: HostInventory) -> list[InventoryHostBody]:
    size = inventory.worker_size
    return [
        InventoryHostBody(
            host=worker.name,
            address=inventory.address_of(worker),
            data_centre=worker.data_centre,
            rack=worker.rack,
            pool=worker.pool,
            slots_count=size.slots_count,
            connections_count=size.connections_count,
        )
        for worker in inventory.workers
    ]
