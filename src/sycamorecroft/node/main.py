"""Entry point of a node."""

import os
import signal
import sys
import threading
from pathlib import Path

import structlog

from sycamorecroft.clock import BoottimeClock
from sycamorecroft.errors import SettingsError
from sycamorecroft.logs import configure_logs
from sycamorecroft.node.node import Node
from sycamorecroft.settings import load_node_settings

SETTINGS_VARIABLE = "SYCAMORECROFT_SETTINGS"
EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_SETTINGS = 2
STACK_SIZE_BYTES = 256 * 1024


def serve(path: Path) -> int:
    """Serves until SIGTERM, then hands over and stops.

    :param path: file of the settings.
    :returns: exit code: 0 after a planned stop, 1 if requests were cut off, 2 if the
        settings are not valid.
    """
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(settings.log_level, settings.host)
    threading.stack_size(STACK_SIZE_BYTES)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: None)
    try:
        node = Node(settings, BoottimeClock())
    except OSError as error:
        structlog.get_logger().error("listener_failed", error=str(error))
        return EXIT_SETTINGS
    node.start()
    stop.wait()
    return EXIT_OK if node.stop() else EXIT_CUT_OFF


def main() -> None:
    """Runs a node with the settings that the environment names."""
    sys.exit(serve(Path(os.environ[SETTINGS_VARIABLE])))
