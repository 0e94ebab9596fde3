"""Entry point of a node."""

import os
import signal
import sys
import threading
from pathlib import Path

import structlog

from sycamorecroft.clock import BoottimeClock
from sycamorecroft.errors import SettingsError
from sycamorecroft.logs import configure_node_logs
from sycamorecroft.node.node import Node
from sycamorecroft.node.settings_watcher import SettingsWatcher
from sycamorecroft.settings import load_node_settings

SETTINGS_VARIABLE = "SYCAMORECROFT_SETTINGS"
EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_SETTINGS = 2
CHECK_INTERVAL_S = 1.0
FLUSH_TIMEOUT_S = 0.5
STACK_SIZE_BYTES = 256 * 1024


_log = structlog.get_logger(__name__)


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
    logs = configure_node_logs(settings.log_level, settings.host)
    threading.stack_size(STACK_SIZE_BYTES)
    stop, reload = threading.Event(), threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: reload.set())
    try:
        node = Node(settings, BoottimeClock(), logs)
    except OSError as error:
        _log.error("listener_failed", error=str(error))
        logs.flush(FLUSH_TIMEOUT_S)
        return EXIT_SETTINGS
    node.start()
    watcher = SettingsWatcher(path, settings)
    while not stop.wait(CHECK_INTERVAL_S):
        if reload.is_set() or watcher.has_changed():
            reload.clear()
            watcher.reload()
    is_drained = node.stop()
    logs.flush(FLUSH_TIMEOUT_S)
    return EXIT_OK if is_drained else EXIT_CUT_OFF


def main() -> None:
    """Runs a node with the settings that the environment names."""
    sys.exit(serve(Path(os.environ[SETTINGS_VARIABLE])))
