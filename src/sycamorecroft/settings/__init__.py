"""Settings of the daemon, of a node and of the command-line tool."""

from sycamorecroft.settings.daemon import DaemonSettings, EntryHostAddress
from sycamorecroft.settings.loading import (
    SocketAddress,
    load_node_settings,
    load_settings,
    load_tool_settings,
    parse_address,
)
from sycamorecroft.settings.node import NodeSettings
from sycamorecroft.settings.tool import ToolSettings

__all__ = [
    "DaemonSettings",
    "EntryHostAddress",
    "NodeSettings",
    "SocketAddress",
    "ToolSettings",
    "load_node_settings",
    "load_settings",
    "load_tool_settings",
    "parse_address",
]
