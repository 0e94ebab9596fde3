"""Tests of the configuration commands against a daemon's operator interface."""

import json
import threading
from pathlib import Path

import pytest
from werkzeug.serving import make_server

from standins.memory_tables import MemoryTables
from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.main import main
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration import ConfigurationStore, load_inventory
from sycamorecroft.configuration.actor import NO_CONFIGURATION
from sycamorecroft.entry.application import Application
from sycamorecroft.entry.operator_interface import OperatorState, OperatorStores
from sycamorecroft.entry.operator_routes import operator_routes
from sycamorecroft.pools.state import HostRecord, HostState, PoolView

SITE = Path(__file__).parents[4] / "deployments" / "ondangwa"
FILES = [str(SITE / "template.jsonc"), str(SITE / "street-safety-trust.jsonc")]
TOKEN = "0123456789abcdef"


def _pool_view():
    inventory = load_inventory(SITE / "hosts.json")
    return PoolView(
        1,
        {
            worker.name: HostRecord(
                host=worker.name,
                address=inventory.address_of(worker),
                data_centre=worker.data_centre,
                rack=worker.rack,
                pool=worker.pool,
                state=HostState.ACTIVE,
                epoch=1,
                slots_count=8,
                connections_count=64,
                target_pool=None,
                maintenance_id=None,
            )
            for worker in inventory.workers
        },
    )


class OperatorServer:
    """Serves the operator interface.

    ``loses_response`` truncates responses after the request was processed.
    """

    def __init__(self):
        self.store = ConfigurationStore(MemoryTables(), ManualClock())
        self.loses_response = False
        self.changes_count = 0
        state = OperatorState(lambda: NO_CONFIGURATION, _pool_view, *[None] * 6)
        stores = OperatorStores(self.store, *[None] * 5)
        routes = operator_routes(state, stores)
        self._application = Application(routes, None, None, TOKEN)
        self.http = make_server("127.0.0.1", 0, self._serve, threaded=True)
        self.url = f"http://127.0.0.1:{self.http.server_port}"

    def _serve(self, environ, start_response):
        self.changes_count += environ["REQUEST_METHOD"] != "GET"
        if not self.loses_response:
            return self._application(environ, start_response)
        b"".join(self._application(environ, lambda *_: None))
        start_response("200 OK", [("Content-Length", "100")])
        return [b"{"]


@pytest.fixture
def server():
    server = OperatorServer()
    thread = threading.Thread(target=server.http.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.http.shutdown()
    thread.join()
    server.http.server_close()


@pytest.fixture
def use_daemons(tmp_path, monkeypatch):
    def write_settings(*urls, token=TOKEN):
        path = tmp_path / "tool.jsonc"
        path.write_text(
            json.dumps({"daemon_urls": urls, "operator_token": token}), "utf-8"
        )
        monkeypatch.setenv("SYCAMORECROFT_SETTINGS", str(path))

    return write_settings


def _apply(base_version, *options):
    return main(["apply", *FILES, "--base-version", str(base_version), *options])


def test_diff_apply_history_and_rollback(server, use_daemons, capsys, tmp_path):
    """Guards against commands that disagree about published versions."""
    use_daemons("http://127.0.0.1:1", server.url)
    assert main(["diff", *FILES]) == ExitCode.SUCCESS
    output = capsys.readouterr().out
    assert "hosts that must move: 0" in output
    assert "name --base-version 0" in output
    assert _apply(0, "--author", "asha", "--json") == ExitCode.SUCCESS
    assert json.loads(capsys.readouterr().out)["version"] == 1
    changed = tmp_path / "changed.jsonc"
    text = Path(FILES[1]).read_text(encoding="utf-8")
    changed.write_text(text.replace('"spare_hosts": 8', '"spare_hosts": 4'), "utf-8")
    arguments = ["apply", FILES[0], str(changed), "--base-version", "1"]
    assert main([*arguments, "--author", "beatrice"]) == ExitCode.SUCCESS
    arguments = ["rollback", "1", "--base-version", "2", "--author", "asha"]
    assert main(arguments) == ExitCode.SUCCESS
    capsys.readouterr()
    assert main(["history", "--json"]) == ExitCode.SUCCESS
    versions = json.loads(capsys.readouterr().out)
    assert [item["version"] for item in versions] == [3, 2, 1]
    assert versions[0]["rolled_back_to"] == 1


def test_conflict_names_author_of_published_version(
    server, use_daemons, capsys, tmp_path
):
    """Guards against silently overwriting another operator's change."""
    use_daemons(server.url)
    other = tmp_path / "other.jsonc"
    text = Path(FILES[1]).read_text(encoding="utf-8")
    other.write_text(text.replace('"spare_hosts": 8', '"spare_hosts": 4'), "utf-8")
    arguments = ["apply", FILES[0], str(other), "--base-version", "0"]
    assert main([*arguments, "--author", "beatrice"]) == ExitCode.SUCCESS
    assert _apply(0, "--author", "asha") == ExitCode.CONFLICT
    assert "'beatrice' published it at" in capsys.readouterr().err


def test_lost_response_advises_to_repeat_the_command(server, use_daemons, capsys):
    """Guards against sending a change twice or reporting it as failed.

    Both could follow when the response to a change is lost.
    """
    use_daemons(server.url, server.url)
    server.loses_response = True
    assert _apply(0, "--author", "asha") == ExitCode.OUTCOME_UNKNOWN
    error = capsys.readouterr().err
    assert "may have been made; repeat the same command" in error
    assert server.changes_count == 1
    server.loses_response = False
    assert _apply(0, "--author", "asha") == ExitCode.SUCCESS
    assert server.store.head_version() == 1


def test_failures_map_to_exit_codes(server, use_daemons, capsys, tmp_path):
    """Guards against failures that scripts can't tell apart by the exit code."""
    use_daemons("http://127.0.0.1:1")
    assert main(["history"]) == ExitCode.UNAVAILABLE
    assert _apply(0) == ExitCode.UNAVAILABLE
    assert "nothing was changed" in capsys.readouterr().err
    use_daemons(server.url, token="f" * 16)
    assert main(["history", "--json"]) == ExitCode.REFUSED
    assert json.loads(capsys.readouterr().err)["exit_code"] == ExitCode.REFUSED
    use_daemons(server.url)
    assert main(["rollback", "7", "--base-version", "0"]) == ExitCode.INVALID
    assert main(["validate", str(tmp_path / "none")]) == ExitCode.INVALID
    assert main(["validate"]) == ExitCode.USAGE
    assert main(["validate", *FILES, "--hosts", str(SITE / "hosts.json")]) == 0


def test_missing_settings_are_an_error(monkeypatch):
    """Guards against a command that runs without a settings file."""
    monkeypatch.delenv("SYCAMORECROFT_SETTINGS", raising=False)
    assert main(["history"]) == ExitCode.INVALID
