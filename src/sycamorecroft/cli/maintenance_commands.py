"""Commands that declare, control and explain maintenance waves."""

from collections import Counter
from collections.abc import Sequence
from datetime import datetime
from hashlib import sha256
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    quote_path_segment,
    register_commands,
)
from sycamorecroft.cli.exit_codes import UnsuccessfulError
from sycamorecroft.cli.operator_client import Method, OperatorClient
from sycamorecroft.cli.operator_messages import (
    MAINTENANCE_PATH,
    WaveExplanationReply,
    WaveProgressReply,
    WaveReply,
    WaveRequest,
    WavesReply,
)
from sycamorecroft.cli.output import json_line, print_json, print_line, print_table
from sycamorecroft.cli.watching import WaitLimit, watch_until
from sycamorecroft.errors import RequestError
from sycamorecroft.maintenance import SelectionKind, WaveState
from sycamorecroft.maintenance.records import WaveRecord

NamesOption = Annotated[
    tuple[str, ...], Parameter(help="Names to declare maintenance for.", negative="")
]
_KEY_LENGTH_DIGITS = 32


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    maintenance = App(name="maintenance", help="Declare and follow maintenance waves.")
    deadline = "--deadline 2026-12-31T18:00+02:00"
    register_commands(
        maintenance,
        Command(
            "declare",
            declare,
            (
                f"maintenance declare --rack ondangwa-rack-1 {deadline}",
                f"maintenance declare --host rating-1 --host rating-2 {deadline}",
            ),
        ),
        Command("list", list_waves, ("maintenance list",)),
        Command("show", show_wave, ("maintenance show 0c5e0bd1f6b4a3c2",)),
        Command("watch", watch, ("maintenance watch 0c5e0bd1f6b4a3c2",)),
        Command("pause", pause, ("maintenance pause 0c5e0bd1f6b4a3c2",)),
        Command("resume", resume, ("maintenance resume 0c5e0bd1f6b4a3c2",)),
        Command("cancel", cancel, ("maintenance cancel 0c5e0bd1f6b4a3c2",)),
        Command("explain", explain, ("maintenance explain 0c5e0bd1f6b4a3c2",)),
    )
    app.command(maintenance)


def declare(
    *,
    rack: NamesOption = (),
    pool: NamesOption = (),
    host: NamesOption = (),
    deadline: Annotated[
        datetime, Parameter(help="End of the wave, with an offset from UTC.")
    ],
    key: Annotated[
        str | None,
        Parameter(help="Idempotency key; derived from the declaration by default."),
    ] = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Declare the maintenance of racks, pools or hosts.

    The controller drains, reboots and returns each host within the budgets of the
    pools. Repeating a declaration returns the same wave; give another --key to maintain
    the same hosts again with the same deadline.
    """
    kind, names = _parse_selection(rack, pool, host)
    if deadline.tzinfo is None:
        message = f"deadline {deadline.isoformat()} has no offset from UTC; add one"
        raise RequestError(message)
    request = WaveRequest(
        key or _derive_key(kind, names, deadline), kind, names, deadline
    )
    reply = create_operator_client(settings).call(
        Method.POST, MAINTENANCE_PATH, WaveReply, body=request
    )
    _print_wave(reply.wave, json)
    if not json:
        print_line(f"to follow it: sycamorecroft maintenance watch {reply.wave['id']}")


def _parse_selection(
    racks: Sequence[str], pools: Sequence[str], hosts: Sequence[str]
) -> tuple[SelectionKind, tuple[str, ...]]:
    selections = [
        (kind, tuple(sorted(set(names))))
        for kind, names in (
            (SelectionKind.RACK, racks),
            (SelectionKind.POOL, pools),
            (SelectionKind.HOSTS, hosts),
        )
        if names
    ]
    if len(selections) != 1:
        raise RequestError(
            f"{len(selections)} kinds of names given; give exactly one of --rack, "
            "--pool or --host"
        )
    return selections[0]


def _derive_key(kind: SelectionKind, names: Sequence[str], deadline: datetime) -> str:
    content = msgspec.json.encode((kind, names, deadline.timestamp()))
    return sha256(content).hexdigest()[:_KEY_LENGTH_DIGITS]


def list_waves(*, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """List all maintenance waves, earliest deadline first."""
    waves = create_operator_client(settings).call(
        Method.GET, MAINTENANCE_PATH, WavesReply
    )
    if json:
        print_json(waves)
        return
    print_table(
        "Maintenance waves",
        ("wave", "state", "of", "hosts", "declared at", "deadline"),
        (
            (
                wave["id"],
                wave["state"].value,
                _describe_selection(wave),
                len(wave["hosts"]),
                wave["declared_at"],
                wave["deadline"],
            )
            for wave in waves.waves
        ),
    )


def show_wave(
    wave: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show a wave and its progress for each host.

    :param wave: Id of the wave.
    """
    progress = _read_progress(create_operator_client(settings), wave)
    if json:
        print_json(progress)
        return
    _print_wave(progress.wave, False)
    print_table(
        "Hosts",
        ("host", "state now", "outcome of the wave"),
        (
            (host, progress.host_states.get(host, "not registered"), outcome)
            for host in progress.wave["hosts"]
            for outcome in [progress.outcomes.get(host, "not yet")]
        ),
    )


def watch(
    wave: str,
    *,
    limit_s: WaitLimit = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Print the progress of a wave until it ends.

    Interrupting the command does not cancel the wave.

    :param wave: Id of the wave.
    """
    client = create_operator_client(settings)
    progress = watch_until(
        lambda: _read_progress(client, wave),
        json_line if json else _describe_progress,
        lambda value: value.wave["state"] in (WaveState.FINISHED, WaveState.CANCELLED),
        limit_s,
    )
    if progress.wave["state"] is WaveState.CANCELLED:
        raise UnsuccessfulError(f"wave {wave} was cancelled")


def pause(wave: str, *, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Pause a wave: start no new drains; drains already started finish.

    :param wave: Id of the wave.
    """
    _change_state(wave, "pause", settings, json)


def resume(wave: str, *, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Resume a paused wave.

    :param wave: Id of the wave.
    """
    _change_state(wave, "resume", settings, json)


def cancel(wave: str, *, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Cancel a wave; drains already started finish.

    :param wave: Id of the wave.
    """
    _change_state(wave, "cancel", settings, json)


def explain(
    wave: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show what each host of a wave waits for.

    :param wave: Id of the wave.
    """
    client = create_operator_client(settings)
    path = f"{MAINTENANCE_PATH}/{quote_path_segment(wave)}/explain"
    replies = [
        item.reply
        for item in client.call_each(path, WaveExplanationReply)
        if item.reply is not None
    ]
    if not replies:
        # No daemon answered: an ordinary call raises the error that fits the failure.
        replies = [client.call(Method.GET, path, WaveExplanationReply)]
    explanation = max(replies, key=lambda reply: reply.is_by_controller)
    if json:
        print_json(explanation)
        return
    print_table(
        f"Hosts of wave {wave}",
        ("host", "waits for", "detail"),
        ((item.host, item.reason, item.detail) for item in explanation.hosts),
    )
    if not explanation.is_by_controller:
        print_line(
            "the maintenance controller doesn't answer: demand and the time since a "
            "host failed are unknown"
        )


def _change_state(wave: str, action: str, settings: SettingsPath, json: bool) -> None:
    path = f"{MAINTENANCE_PATH}/{quote_path_segment(wave)}/{action}"
    reply = create_operator_client(settings).call(Method.POST, path, WaveReply)
    _print_wave(reply.wave, json)


def _read_progress(client: OperatorClient, wave: str) -> WaveProgressReply:
    path = f"{MAINTENANCE_PATH}/{quote_path_segment(wave)}"
    return client.call(Method.GET, path, WaveProgressReply)


def _print_wave(wave: WaveRecord, as_json: bool) -> None:
    if as_json:
        print_json(wave)
        return
    print_line(
        f"wave {wave['id']} of {_describe_selection(wave)} "
        f"({len(wave['hosts'])} hosts) is {wave['state'].value}, "
        f"deadline {wave['deadline']}"
    )


def _describe_progress(progress: WaveProgressReply) -> str:
    states = Counter(
        progress.host_states.get(host, "not registered")
        for host in progress.remaining_hosts
    )
    counts = [f"{len(progress.outcomes)} done"]
    counts += [f"{count} {state}" for state, count in sorted(states.items())]
    return (
        f"wave {progress.wave['id']} {progress.wave['state'].value}: "
        f"{', '.join(counts)} of {len(progress.wave['hosts'])}"
    )


def _describe_selection(wave: WaveRecord) -> str:
    return f"{wave['selection_kind'].value} {', '.join(wave['selection_names'])}"
