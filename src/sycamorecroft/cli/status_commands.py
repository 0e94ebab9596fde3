"""Command that shows the state of the fleet and its problems."""

from datetime import UTC, datetime

from cyclopts import App

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    register_commands,
)
from sycamorecroft.cli.fleet_status import FleetStatus, OwnedQueue, combine_statuses
from sycamorecroft.cli.operator_client import Method, OperatorClient
from sycamorecroft.cli.operator_messages import (
    MAINTENANCE_PATH,
    STATUS_PATH,
    StatusReply,
    WavesReply,
)
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.maintenance.records import WaveRecord

_NO_CONTACT_AGE_MS = 2**32 - 1
_MS_PER_S = 1000.0


def register(app: App) -> None:
    """Adds the command to ``app``."""
    register_commands(app, Command("status", status, ("status", "status --json")))


def status(*, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Show the state of the fleet, its problems and the next step for each."""
    client = create_operator_client(settings)
    replies = client.call_each(STATUS_PATH, StatusReply)
    if all(reply.reply is None for reply in replies):
        # No daemon answered: an ordinary call raises the error that fits the failure.
        client.call(Method.GET, STATUS_PATH, StatusReply)
    fleet = combine_statuses(replies, _read_waves(client), datetime.now(UTC))
    if json:
        print_json(fleet)
        return
    _print_fleet(fleet)


def _read_waves(client: OperatorClient) -> tuple[WaveRecord, ...] | None:
    try:
        return client.call(Method.GET, MAINTENANCE_PATH, WavesReply).waves
    except StoreUnavailableError:
        return None


def _print_fleet(fleet: FleetStatus) -> None:
    print_line(
        f"configuration version in force: {fleet.in_force_version}, staged: "
        f"{fleet.staged_version}; view of the hosts: {fleet.view_version}; daemons "
        f"that answer: {fleet.answering_count} of {fleet.daemons_count}"
    )
    _print_pools(fleet)
    _print_queues(fleet.queues)
    _print_entry_hosts(fleet)
    if fleet.waves:
        print_table(
            "Maintenance",
            ("wave", "state", "of", "hosts", "deadline"),
            (
                (
                    wave["id"],
                    wave["state"].value,
                    f"{wave['selection_kind']} {', '.join(wave['selection_names'])}",
                    len(wave["hosts"]),
                    wave["deadline"],
                )
                for wave in fleet.waves
            ),
        )
        print_line("what a wave waits for: sycamorecroft maintenance explain WAVE")
    print_table("What is wrong", ("problem", "what to do next"), fleet.problems)


def _print_pools(fleet: FleetStatus) -> None:
    print_table(
        "Pools",
        (
            "pool",
            "configured",
            "active",
            "in maintenance or moving",
            "failed",
            "may be out",
            "budget left",
        ),
        (
            (
                f"{pool.pool} (spare)" if pool.is_spare else pool.pool,
                pool.configured_count,
                pool.active_count,
                pool.planned_out_count,
                pool.failed_out_count,
                pool.allowed_out_count,
                pool.budget_left_count,
            )
            for pool in fleet.pools
        ),
    )


def _print_queues(queues: tuple[OwnedQueue, ...]) -> None:
    print_table(
        "Queues",
        ("service", "owner", "slots in use", "limit", *_WAITING_COLUMNS, "ejected"),
        (_queue_row(queue) for queue in queues),
    )


_WAITING_COLUMNS = tuple(f"{urgency} waiting" for urgency in Urgency)


def _queue_row(queue: OwnedQueue) -> tuple[object, ...]:
    figures = queue.figures
    if figures is None:
        return (queue.service, "unknown", *[""] * (len(_WAITING_COLUMNS) + 3))
    waiting = (figures.waiting_counts.get(urgency, 0) for urgency in Urgency)
    return (
        queue.service,
        queue.owner,
        figures.granted_count,
        figures.limit_count,
        *waiting,
        figures.ejected_count,
    )


def _print_entry_hosts(fleet: FleetStatus) -> None:
    leases: dict[str, list[str]] = {}
    for lease, entry_host in sorted(fleet.leases.items()):
        leases.setdefault(entry_host, []).append(lease)
    print_table(
        "Entry hosts",
        (
            "entry host",
            "reached",
            "staged",
            "in force",
            "view",
            "store contact",
            "controllers",
        ),
        (
            (
                item.entry,
                "yes" if item.is_reached else "no",
                item.staged_version,
                item.in_force_version,
                item.view_version,
                _age_text(item.store_contact_age_ms) if item.is_reached else "unknown",
                ", ".join(leases.get(item.entry, ())),
            )
            for item in fleet.entries
        ),
    )


def _age_text(age_ms: int) -> str:
    return (
        "never" if age_ms == _NO_CONTACT_AGE_MS else f"{age_ms / _MS_PER_S:.1f} s ago"
    )
