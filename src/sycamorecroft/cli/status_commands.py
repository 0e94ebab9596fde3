"""Command that shows the state of the fleet."""

from datetime import UTC, datetime

from cyclopts import App

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    operator_client,
    register_commands,
)
from sycamorecroft.cli.fleet_status import FleetStatus, OwnedQueue, combine
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

_NEVER_MS = 2**32 - 1
_MS_PER_S = 1000.0


def register(app: App) -> None:
    """Adds the command to ``app``."""
    register_commands(app, Command("status", status, ("status", "status --json")))


def status(*, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Show the fleet, and in a closing list what is wrong and what to do next."""
    client = operator_client(settings)
    replies = client.call_each(STATUS_PATH, StatusReply)
    if all(reply.reply is None for reply in replies):
        # Reports the failure as for any other command.
        client.call(Method.GET, STATUS_PATH, StatusReply)
    fleet = combine(replies, _waves(client), datetime.now(UTC))
    if json:
        print_json(fleet)
        return
    _print_fleet(fleet)


def _waves(client: OperatorClient) -> tuple[WaveRecord, ...] | None:
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
    _print_entries(fleet)
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
        ("service", "owner", "slots in use", "limit", *_WAITING_TITLES, "ejected"),
        (_queue_row(queue) for queue in queues),
    )


_WAITING_TITLES = tuple(f"{urgency} waiting" for urgency in Urgency)


def _queue_row(queue: OwnedQueue) -> tuple[object, ...]:
    figures = queue.figures
    if figures is None:
        return (queue.service, "unknown", *[""] * (len(_WAITING_TITLES) + 3))
    waiting = (figures.waiting_counts.get(urgency, 0) for urgency in Urgency)
    return (
        queue.service,
        queue.owner,
        figures.granted_count,
        figures.limit_count,
        *waiting,
        figures.ejected_count,
    )


def _print_entries(fleet: FleetStatus) -> None:
    leases: dict[str, list[str]] = {}
    for lease, entry in sorted(fleet.leases.items()):
        leases.setdefault(entry, []).append(lease)
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
                entry.entry,
                "yes" if entry.is_reached else "no",
                entry.staged_version,
                entry.in_force_version,
                entry.view_version,
                _age(entry.store_contact_age_ms) if entry.is_reached else "unknown",
                ", ".join(leases.get(entry.entry, ())),
            )
            for entry in fleet.entries
        ),
    )


def _age(age_ms: int) -> str:
    return "never" if age_ms == _NEVER_MS else f"{age_ms / _MS_PER_S:.1f} s ago"
