"""What several command groups share."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NamedTuple
from urllib.parse import quote

from cyclopts import App, Parameter

from sycamorecroft.cli.exit_codes import EXIT_CODES_HELP
from sycamorecroft.cli.operator_client import OperatorClient
from sycamorecroft.errors import SettingsError
from sycamorecroft.settings import load_tool_settings

SETTINGS_VARIABLE = "SYCAMORECROFT_SETTINGS"

SettingsPath = Annotated[
    Path | None,
    Parameter(help=f"File of the tool's settings; {SETTINGS_VARIABLE} by default."),
]
JsonFlag = Annotated[
    bool, Parameter(negative="", help="Print JSON for programs instead of tables.")
]


class Command(NamedTuple):
    """A command with its name and examples for its help."""

    name: str
    function: Callable[..., object]
    examples: tuple[str, ...]


def register_commands(app: App, *commands: Command) -> None:
    """Adds commands to ``app``, with examples and exit codes in their help."""
    for command in commands:
        examples = "\n\n".join(
            f"Example: sycamorecroft {example}" for example in command.examples
        )
        app.command(
            command.function,
            name=command.name,
            help_epilogue=f"{examples}\n\n{EXIT_CODES_HELP}",
        )


def path_part(value: str) -> str:
    """
    :returns: ``value`` as one part of a URL's path.
    """
    return quote(value, safe="")


def operator_client(settings: Path | None) -> OperatorClient:
    """
    :param settings: file of the tool's settings, ``None`` to take it from the
        environment.
    :raises SettingsError: if no file is named, or the file is not valid.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        message = (
            "no file of the tool's settings is named; use --settings or the "
            f"environment variable {SETTINGS_VARIABLE}"
        )
        raise SettingsError(message)
    return OperatorClient(load_tool_settings(path))
