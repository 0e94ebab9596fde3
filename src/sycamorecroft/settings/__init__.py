"""Settings of the daemon and of the command-line tool."""

from sycamorecroft.settings.daemon import DaemonSettings, EntryAddress
from sycamorecroft.settings.loading import (
    SocketAddress,
    load_settings,
    load_tool_settings,
    parse_address,
)
from sycamorecroft.settings.tool import ToolSettings

__all__ = [
    "DaemonSettings",
    "EntryAddress",
    "SocketAddress",
    "ToolSettings",
    "load_settings",
    "load_tool_settings",
    "parse_address",
]
