"""Entry point of the node daemon: settings, signals and exit codes."""

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
EXIT_REQUESTS_ABORTED = 1
EXIT_SETTINGS = 2
CHECK_INTERVAL_S = 1.0
FLUSH_TIMEOUT_S = 0.5
# A decoder of JSON texts takes up to 0.5 KB a level, and gives up at 1,000 levels.
STACK_SIZE_BYTES = 1024 * 1024


_log = structlog.get_logger(__name__)


def serve(path: Path) -> int:
    """Serves until SIGTERM or SIGINT, then releases all services and stops.

    :param path: settings file.
    :returns: exit code: 0 after a planned stop, 1 if requests were aborted, 2 if the
        settings are invalid or a listener can't be opened.
    """
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs = configure_node_logs(settings.log_level, settings.host)
    threading.stack_size(STACK_SIZE_BYTES)
    stop, reload = threading.Event(), threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
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
    return EXIT_OK if is_drained else EXIT_REQUESTS_ABORTED


def main() -> None:
    """Runs a node with the settings file named by ``SYCAMORECROFT_SETTINGS``."""
    sys.exit(serve(Path(os.environ[SETTINGS_VARIABLE])))
