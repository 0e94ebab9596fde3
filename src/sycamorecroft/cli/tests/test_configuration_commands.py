"""The tool against the daemon's operator interface over a table service."""

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


def _view():
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
    """Serves operators; ``loses_response`` cuts responses off after the change."""

    def __init__(self):
        self.store = ConfigurationStore(MemoryTables(), ManualClock())
        self.loses_response = False
        self.changes_count = 0
        state = OperatorState(lambda: NO_CONFIGURATION, _view, *[None] * 6)
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
    def write(*urls, token=TOKEN):
        path = tmp_path / "tool.jsonc"
        path.write_text(
            json.dumps({"daemon_urls": urls, "operator_token": token}), "utf-8"
        )
        monkeypatch.setenv("SYCAMORECROFT_SETTINGS", str(path))

    return write


def _apply(base_version, *options):
    return main(["apply", *FILES, "--base-version", str(base_version), *options])


# Guards against a tool whose commands don't fit together.
def test_diff_apply_history_and_rollback(server, use_daemons, capsys, tmp_path):
    use_daemons("http://127.0.0.1:1", server.url)
    assert main(["diff", *FILES]) == ExitCode.SUCCESS
    shown = capsys.readouterr().out
    assert "hosts that must move: 0" in shown
    assert "name --base-version 0" in shown
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


# Guards against an operator who overwrites a change without notice.
def test_conflict_names_the_winner(server, use_daemons, capsys, tmp_path):
    use_daemons(server.url)
    other = tmp_path / "other.jsonc"
    text = Path(FILES[1]).read_text(encoding="utf-8")
    other.write_text(text.replace('"spare_hosts": 8', '"spare_hosts": 4'), "utf-8")
    arguments = ["apply", FILES[0], str(other), "--base-version", "0"]
    assert main([*arguments, "--author", "beatrice"]) == ExitCode.SUCCESS
    assert _apply(0, "--author", "asha") == ExitCode.CONFLICT
    assert "'beatrice' published it at" in capsys.readouterr().err


# Guards against a change sent twice, or reported as failed, after a lost response.
def test_lost_response_says_that_the_command_can_be_repeated(
    server, use_daemons, capsys
):
    use_daemons(server.url, server.url)
    server.loses_response = True
    assert _apply(0, "--author", "asha") == ExitCode.OUTCOME_UNKNOWN
    error = capsys.readouterr().err
    assert "may have been made; repeat the same command" in error
    assert server.changes_count == 1
    server.loses_response = False
    assert _apply(0, "--author", "asha") == ExitCode.SUCCESS
    assert server.store.head_version() == 1


def test_failures_have_their_exit_codes(server, use_daemons, capsys, tmp_path):
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


def test_settings_must_be_named(monkeypatch):
    monkeypatch.delenv("SYCAMORECROFT_SETTINGS", raising=False)
    assert main(["history"]) == ExitCode.INVALID
