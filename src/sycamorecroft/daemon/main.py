"""Command-line entry point of the daemon ``sycamorecroftd``."""

import signal
import sys
import threading
from pathlib import Path

import cyclopts
import structlog

from sycamorecroft.clock import SystemClock
from sycamorecroft.daemon.runtime import Daemon
from sycamorecroft.errors import SettingsError
from sycamorecroft.logs import configure_logs
from sycamorecroft.settings import load_settings

EXIT_OK = 0
EXIT_REQUESTS_ABORTED = 1
EXIT_SETTINGS = 2
_CHECK_INTERVAL_S = 0.5

app = cyclopts.App(name="sycamorecroftd", help="Daemon of an entry host.")


@app.default
def serve(settings: Path) -> int:
    """Serves until SIGTERM or SIGINT, then stops without cutting off requests.

    Exit codes: 0 after a planned stop, 1 if requests were cut off, 2 if the settings
    are not valid.

    :param settings: settings file, JSON with comments.
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(loaded.log_level, loaded.entry)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    try:
        daemon = Daemon(loaded, SystemClock())
    except (OSError, RuntimeError) as error:
        structlog.get_logger().error("listener_failed", error=str(error))
        return EXIT_SETTINGS
    daemon.start()
    while not stop_requested.wait(_CHECK_INTERVAL_S) and not daemon.superseded.is_set():
        pass
    return EXIT_OK if daemon.stop() else EXIT_REQUESTS_ABORTED


def main() -> None:
    """Runs the daemon with the command-line arguments and exits with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
