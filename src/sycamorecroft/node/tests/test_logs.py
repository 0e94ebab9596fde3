"""Tests of log lines, settings and metrics of a node."""

import io
import json
import threading

from sycamorecroft.logs import LineWriter
from sycamorecroft.node.settings_watcher import SettingsWatcher
from sycamorecroft.settings import load_node_settings

SETTINGS = {
    "host": "h1",
    "data_centre": "dc1",
    "front_address": "127.0.0.1:8001",
    "ready_address": "127.0.0.1:8002",
    "metrics_address": "127.0.0.1:8003",
    "store": {"address": "127.0.0.1:8004", "row_limit_bytes": 65536},
    "machines": {"address": "127.0.0.1:8005", "lease_ms": 3000},
    "bounds": {
        "grace_s": 6,
        "lease_max_ms": 10000,
        "status_s": 120,
        "upkeep_s": 2,
    },
}


class _BlockedStream(io.StringIO):
    """Takes nothing until it is released, as a reader that has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(5)
        return super().write(text)


def test_reader_that_stops_costs_lines_and_not_service():
    """Guards against a node that stands still since nobody reads its log."""
    stream = _BlockedStream()
    writer = LineWriter(stream, limit_count=10)
    writer.start()
    for number in range(100):
        writer.info(f'{{"n": {number}}}')
    assert writer.dropped_count >= 80
    stream.released.set()
    writer.flush(5)
    writer.info("{}")
    writer.flush(5)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    told = [line for line in lines if line.get("event") == "log_lines_dropped"]
    assert sum(line["count"] for line in told) == writer.dropped_count


def _write(path, **changes):
    path.write_text("// settings\n" + json.dumps(SETTINGS | changes), encoding="utf-8")


def test_changed_settings_are_checked_and_bad_ones_refused(tmp_path):
    """Guards against a node that falls over a settings file changed while it runs."""
    path = tmp_path / "node.jsonc"
    _write(path)
    watcher = SettingsWatcher(path, load_node_settings(path))
    assert not watcher.has_changed()
    path.write_text("{", encoding="utf-8")
    assert watcher.has_changed()
    assert not watcher.reload()
    assert watcher.settings.host == "h1"
    _write(path, unknown_key=1)
    assert not watcher.reload()
    _write(path, log_level="debug")
    assert watcher.reload()
    assert watcher.settings.log_level == "debug"
    assert not watcher.has_changed()
    path.unlink()
    assert not watcher.reload()
