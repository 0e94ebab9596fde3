"""Options, command registration and client creation shared by all command groups."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NamedTuple
from urllib.parse import quote

from cyclopts import App, Parameter

from sycamorecroft.cli.exit_codes import EXIT_CODES_HELP
from sycamorecroft.cli.operator_client import OperatorClient
from sycamorecroft.errors import SettingsError
from sycamorecroft.settings import ToolSettings, load_tool_settings

SETTINGS_VARIABLE = "SYCAMORECROFT_SETTINGS"

SettingsPath = Annotated[
    Path | None,
    Parameter(help=f"Settings file of the tool; {SETTINGS_VARIABLE} by default."),
]
JsonFlag = Annotated[
    bool, Parameter(negative="", help="Print JSON for programs instead of tables.")
]


class Command(NamedTuple):
    """A command: its name, its function and the examples in its help."""

    name: str
    function: Callable[..., object]
    examples: tuple[str, ...]


def register_commands(app: App, *commands: Command) -> None:
    """Adds ``commands`` to ``app``; their help ends with examples and exit codes."""
    for command in commands:
        examples = "\n\n".join(
            f"Example: sycamorecroft {example}" for example in command.examples
        )
        app.command(
            command.function,
            name=command.name,
            help_epilogue=f"{examples}\n\n{EXIT_CODES_HELP}",
        )


def quote_path_segment(value: str) -> str:
    """
    :returns: ``value`` percent-encoded as one segment of a URL path.
    """
    return quote(value, safe="")


def create_operator_client(settings: Path | None) -> OperatorClient:
    """
    :param settings: settings file, ``None`` for the one that the environment variable
        ``SYCAMORECROFT_SETTINGS`` names.
    :returns: a client of the daemons that the settings list.
    :raises SettingsError: if no file is given or its content is invalid.
    """
    loaded = load_given_settings(settings)
    if not loaded.daemon_urls:
        raise SettingsError("daemon_urls of the tool's settings has no entry; add some")
    return OperatorClient(loaded)


def load_given_settings(settings: Path | None) -> ToolSettings:
    """
    :param settings: as for :func:`create_operator_client`.
    :raises SettingsError: if no file is given or its content is invalid.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        message = (
            "no settings file given; use --settings or set the environment variable "
            f"{SETTINGS_VARIABLE}"
        )
        raise SettingsError(message)
    return load_tool_settings(path)
