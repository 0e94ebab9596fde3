"""Commands that list and show hosts and request their moves between pools."""

from typing import Annotated

from cyclopts import App, Parameter

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    quote_path_segment,
    register_commands,
)
from sycamorecroft.cli.exit_codes import NotFoundError
from sycamorecroft.cli.operator_client import Method
from sycamorecroft.cli.operator_messages import (
    HOSTS_PATH,
    MOVES_PATH,
    MoveRequestBody,
    MovesReply,
)
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.pools.move_requests import MoveRequestRecord
from sycamorecroft.pools.state import HostRecord, HostState

PoolFilter = Annotated[str | None, Parameter(help="Only hosts of this pool.")]
StateFilter = Annotated[HostState | None, Parameter(help="Only hosts in this state.")]


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    hosts = App(name="hosts", help="List, show and move hosts.")
    register_commands(
        hosts,
        Command(
            "list",
            list_hosts,
            ("hosts list", "hosts list --pool rating --state draining"),
        ),
        Command("show", show_host, ("hosts show rating-1",)),
        Command("move", move_host, ("hosts move backoffice-1 --to rating",)),
    )
    app.command(hosts)


def list_hosts(
    *,
    pool: PoolFilter = None,
    state: StateFilter = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """List hosts with their pools and states."""
    reply = create_operator_client(settings).hosts()
    hosts = [
        host
        for host in reply.hosts
        if pool in (None, host["pool"]) and state in (None, host["state"])
    ]
    if json:
        print_json({"view_version": reply.view_version, "hosts": hosts})
        return
    print_table(
        f"Hosts as of view {reply.view_version}",
        ("host", "pool", "state", "moves to", "maintenance wave", "rack", "slots"),
        (_host_row(host) for host in hosts),
    )
    print_line("why a host is in its state: sycamorecroft explain host HOST")


def _host_row(host: HostRecord) -> tuple[object, ...]:
    return (
        host["host"],
        host["pool"],
        host["state"].value,
        host["target_pool"] or "",
        host["maintenance_id"] or "",
        host["rack"],
        host["slots_count"],
    )


def show_host(
    host: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show all fields of a host.

    :param host: Name of the host.
    """
    reply = create_operator_client(settings).hosts()
    record = next((item for item in reply.hosts if item["host"] == host), None)
    if record is None:
        message = (
            f"host {host!r} is not registered; see sycamorecroft hosts list and "
            f"sycamorecroft explain host {host}"
        )
        raise NotFoundError(message)
    if json:
        print_json(record)
        return
    rows = ((name, "" if value is None else value) for name, value in record.items())
    print_table(f"Host {host}", ("field", "value"), rows)


def move_host(
    host: str,
    *,
    to: Annotated[str, Parameter(help="Pool to move the host to.")],
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Request the move of a host to another pool.

    The controller drains the host and moves it when the budget of its pool allows.
    Repeating the request changes nothing; a request for another pool replaces it.

    :param host: Name of the host.
    """
    client = create_operator_client(settings)
    record = client.call(
        Method.POST,
        f"{HOSTS_PATH}/{quote_path_segment(host)}/move",
        MoveRequestRecord,
        body=MoveRequestBody(to),
    )
    pending = client.call(Method.GET, MOVES_PATH, MovesReply).moves
    if json:
        print_json({**record, "is_pending": host in pending})
        return
    print_line(f"move of {host} to pool {to} is asked for")
    print_line(f"progress and what it waits for: sycamorecroft explain host {host}")
