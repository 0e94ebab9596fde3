"""Parameters that several commands share."""

import os
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

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
