"""Tests of the log writer and the settings watcher of a node."""

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
    """Blocks writes until released, like a pipe whose reader has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(5)
        return super().write(text)


def test_blocked_log_reader_drops_lines_without_blocking_writer():
    """Guards against a node that blocks because its log isn't read."""
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
    reports = [line for line in lines if line.get("event") == "log_lines_dropped"]
    assert sum(line["count"] for line in reports) == writer.dropped_count


def _write(path, **changes):
    path.write_text("// settings\n" + json.dumps(SETTINGS | changes), encoding="utf-8")


def test_changed_settings_are_validated_and_invalid_ones_refused(tmp_path):
    """Guards against a running node that fails on a changed settings file."""
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
