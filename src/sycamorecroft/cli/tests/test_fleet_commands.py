"""Tests of the fleet commands against daemons whose tables are in memory."""

import json
import threading

import pytest
import urllib3
from werkzeug.serving import make_server

from standins.memory_fleet import MemoryFleet, PoolShape
from standins.site import ROOT
from sycamorecroft.admission.in_flight_limit import InFlightLimit
from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.main import main
from sycamorecroft.clock import SystemClock
from sycamorecroft.configuration import (
    ConfigurationStore,
    compile_configuration,
    load_parameters,
    load_template,
)
from sycamorecroft.configuration.actor import ConfigurationStatus
from sycamorecroft.entry.application import Application
from sycamorecroft.entry.callers import CallerHandlers
from sycamorecroft.entry.jobs import JobHandlers
from sycamorecroft.entry.operator_interface import OperatorState, OperatorStores
from sycamorecroft.entry.operator_routes import operator_routes
from sycamorecroft.entry.request_records import RequestRecords
from sycamorecroft.entry.request_report import RequestReporter
from sycamorecroft.jobs import JobStore
from sycamorecroft.maintenance import WaveStore
from sycamorecroft.maintenance.explainer import MaintenanceExplainer
from sycamorecroft.maintenance.snapshot import MaintenanceSnapshotReader
from sycamorecroft.membership.state import MemberDigest, MembershipView
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.move_requests import MoveRequestStore
from sycamorecroft.pools.view import PoolViewReader
from sycamorecroft.routing.execution import Execution, Outcome

POOLS = [PoolShape("rating", 4, 2, 0.5), PoolShape("backoffice", 4, 2, 0.5)]
DEADLINE = "2026-12-31T18:00+02:00"
SITE = ROOT / "deployments" / "ondangwa"


class NullTelemetry:
    """Accepts and discards all measurements."""

    def __getattr__(self, name):
        return lambda *values: None


class RefusingExecutor:
    """Refuses every request because of its expected wait."""

    def execute(self, request, service):
        return Execution(Outcome.NOT_RUN, "expected_wait", None, 0, False)


class Daemon:
    """HTTP interface of one daemon.

    ``loses_response`` truncates responses after the request was processed.
    """

    def __init__(self, fleet, entry, configuration):
        tables, clock = fleet.connect(), fleet.clock
        self.loses_response = False
        self.records = RequestRecords(clock)
        digests = [
            MemberDigest(name, "1", 1, 1, 1, 1, 0, True) for name in fleet.entry_hosts
        ]
        names = tuple(fleet.entry_hosts)
        membership = MembershipView(entry, names, names[:2], len(names), tuple(digests))
        # The job store waits for batches of submissions in real time.
        self.jobs = JobStore(tables, SystemClock())
        self.controller = fleet.maintenance(f"{entry}/1", tables)
        state = OperatorState(
            lambda: ConfigurationStatus(configuration, configuration, 1),
            lambda: PoolViewReader(tables).refresh(),
            lambda: membership,
            dict,
            lambda: {"state": "closed", "contact_age_s": 0.0},
            lambda: 0,
            tuple,
            self.records,
        )
        reader = MaintenanceSnapshotReader(tables, fleet.platform.hosts, clock)
        stores = OperatorStores(
            ConfigurationStore(tables, clock),
            InventoryStore(tables),
            MoveRequestStore(tables),
            WaveStore(tables, clock),
            MaintenanceExplainer(self.controller, reader),
            self.jobs,
        )
        callers = CallerHandlers(
            RefusingExecutor(),
            InFlightLimit(5),
            lambda: configuration,
            clock,
            RequestReporter(NullTelemetry(), self.records, clock),
        )
        jobs = JobHandlers(self.jobs, lambda: configuration, SystemClock())
        routes = (*callers.routes(), *jobs.routes(), *operator_routes(state, stores))
        self.application = Application(routes, None, None, None)
        self.http = make_server("127.0.0.1", 0, self._serve, threaded=True)
        self.url = f"http://127.0.0.1:{self.http.server_port}"
        self.thread = threading.Thread(target=self.http.serve_forever, args=(0.01,))

    def _serve(self, environ, start_response):
        if not self.loses_response:
            return self.application(environ, start_response)
        b"".join(self.application(environ, lambda *_: None))
        start_response("200 OK", [("Content-Length", "100")])
        return [b"{"]


class Tool:
    """Runs commands of the tool against the daemons."""

    def __init__(self, fleet, daemons, capsys):
        self.fleet = fleet
        self.daemons = daemons
        self._capsys = capsys

    def run(self, *arguments, code=ExitCode.SUCCESS):
        """
        :returns: standard output, or standard error if a failure is expected.
        """
        self._capsys.readouterr()
        assert main(arguments) == code, self._capsys.readouterr()
        output = self._capsys.readouterr()
        return output.out if code is ExitCode.SUCCESS else output.err

    def run_json(self, *arguments):
        return json.loads(self.run(*arguments, "--json").splitlines()[-1])


@pytest.fixture
def tool(tmp_path, monkeypatch, capsys):
    fleet = MemoryFleet(POOLS)
    fleet.tick()
    parameters = load_parameters(SITE / "street-safety-trust.jsonc")
    template = load_template(SITE / "template.jsonc")
    configuration = compile_configuration(template, [parameters], 1)
    daemons = [
        Daemon(fleet, entry, configuration) for entry in list(fleet.entry_hosts)[:2]
    ]
    for daemon in daemons:
        daemon.jobs.start()
        daemon.thread.start()
    path = tmp_path / "tool.jsonc"
    urls = [*(daemon.url for daemon in daemons), "http://127.0.0.1:1"]
    path.write_text(json.dumps({"daemon_urls": urls}), "utf-8")
    monkeypatch.setenv("SYCAMORECROFT_SETTINGS", str(path))
    yield Tool(fleet, daemons, capsys)
    for daemon in daemons:
        daemon.http.shutdown()
        daemon.thread.join()
        daemon.http.server_close()
        daemon.jobs.stop()


def test_declaration_can_be_repeated_after_lost_response(tool):
    """Guards against a second wave when a declaration is repeated."""
    arguments = ("maintenance", "declare", "--pool", "rating", "--deadline", DEADLINE)
    tool.daemons[0].loses_response = True
    error = tool.run(*arguments, code=ExitCode.OUTCOME_UNKNOWN)
    assert "may have been made; repeat the same command" in error
    tool.daemons[0].loses_response = False
    first = tool.run_json(*arguments)
    assert tool.run_json(*arguments) == first
    other = tool.run_json(*arguments, "--key", "again")
    waves = tool.run_json("maintenance", "list")["waves"]
    assert sorted(wave["id"] for wave in waves) == sorted([first["id"], other["id"]])


def test_wave_is_watched_paused_and_explained(tool):
    """Guards against a waiting wave that doesn't name the entry host that blocks it."""
    wave = tool.run_json(
        "maintenance", "declare", "--pool", "rating", "--deadline", DEADLINE
    )
    assert "paused" in tool.run("maintenance", "pause", wave["id"])
    explanations = tool.run_json("maintenance", "explain", wave["id"])["hosts"]
    assert {item["reason"] for item in explanations} == {"wave_paused"}
    tool.run("maintenance", "resume", wave["id"])
    frozen_entry = next(iter(tool.fleet.entry_hosts.values()))
    frozen_entry.is_frozen = True
    controller = tool.daemons[0].controller
    for _ in range(12):
        controller.step(tool.fleet.clock.now())
        tool.fleet.tick()
    draining = tool.run_json("hosts", "list", "--state", "draining")["hosts"]
    host = draining[0]["host"]
    findings = tool.run_json("explain", "host", host)["findings"]
    steps = [finding["step"] for finding in findings]
    assert list(dict.fromkeys(steps)) == [
        "inventory", "pool", "state", "move", "budget", "maintenance", "entry hosts",
    ]  # fmt: skip
    assert findings[-1]["holds_up"] and frozen_entry.name in findings[-1]["detail"]
    watch = ("maintenance", "watch", wave["id"], "--limit-s", "0")
    assert "it continues" in tool.run(*watch, code=ExitCode.UNSUCCESSFUL)
    tool.run("maintenance", "cancel", wave["id"])
    tool.run(*watch, code=ExitCode.UNSUCCESSFUL)
    tool.run("maintenance", "resume", wave["id"], code=ExitCode.INVALID)


def test_refused_request_is_explained_by_the_daemon_that_refused_it(tool):
    """Guards against refusals that only the daemon's log explains."""
    url = f"{tool.daemons[1].url}/v1/services/rating/requests"
    response = urllib3.request("POST", url, body=b"reading")
    request_id = response.headers["Sycamorecroft-Request-Id"]
    reply = tool.run_json("explain", "request", request_id)
    assert reply["entry"] == list(tool.fleet.entry_hosts)[1]
    assert reply["record"]["reason"] == "expected_wait"
    error = tool.run("explain", "request", "none", code=ExitCode.NOT_FOUND)
    assert "these daemons didn't answer: http://127.0.0.1:1" in error
    problems = [item["problem"] for item in tool.run_json("status")["problems"]]
    assert any("1 requests not-run" in problem for problem in problems)


def test_status_lists_problems(tool):
    """Guards against a status that shows abnormal figures without naming a problem."""
    output = tool.run("status")
    for problem in (
        "daemon at http://127.0.0.1:1 doesn't answer",
        f"entry host {list(tool.fleet.entry_hosts)[2]} is not reached",
        "pool rating has 4 of 8 configured hosts",
        "no daemon that answers owns the queue of service hotline",
    ):
        assert problem in output


def test_hosts_moves_and_inventory(tool, tmp_path):
    """Guards against lost updates of the inventory and moves to unknown pools."""
    host = tool.run_json("hosts", "list", "--pool", "rating")["hosts"][0]["host"]
    assert tool.run_json("hosts", "show", host)["pool"] == "rating"
    tool.run("hosts", "show", "nowhere-1", code=ExitCode.NOT_FOUND)
    assert tool.run_json("hosts", "move", host, "--to", "backoffice")["is_pending"]
    assert "asked for to pool backoffice" in tool.run("explain", "host", host)
    tool.run("hosts", "move", host, "--to", "none", code=ExitCode.INVALID)
    file = str(SITE / "hosts.json")
    apply = ("inventory", "apply", file, "--base-version")
    first = tool.run_json(*apply, "0")
    assert tool.run_json(*apply, "0") == first
    assert tool.run_json("inventory", "show")["version"] == first["version"]
    changed = tmp_path / "hosts.json"
    text = (SITE / "hosts.json").read_text("utf-8")
    changed.write_text(text.replace('"slots_count": 8', '"slots_count": 4'), "utf-8")
    apply = ("inventory", "apply", str(changed), "--base-version", "0")
    error = tool.run(*apply, code=ExitCode.CONFLICT)
    assert f"at version {first['version']}" in error


def test_jobs_are_submitted_once_followed_and_explained(tool):
    """Guards against duplicate jobs and against waiting jobs without a reason."""
    submit = ("jobs", "submit", "rate", "--service", "rating", "--team", "inspectors")
    job = tool.run_json(*submit)
    assert tool.run_json(*submit)["job_id"] == job["job_id"]
    assert tool.run_json(*submit, "--key", "again")["job_id"] != job["job_id"]
    listed = tool.run_json("jobs", "list", "--account", job["account"])
    assert listed["jobs_count"] == 2
    findings = tool.run_json("explain", "job", job["job_id"])["findings"]
    assert [finding["step"] for finding in findings] == [
        "accepted", "state", "attempts", "placement", "quota", "cancellation",
    ]  # fmt: skip
    assert "cancellation requested" in tool.run("jobs", "cancel", job["job_id"])
    follow = ("jobs", "follow", job["job_id"], "--limit-s", "0")
    tool.run(*follow, code=ExitCode.UNSUCCESSFUL)
    tool.run("explain", "job", "none", code=ExitCode.INVALID)


@pytest.mark.parametrize(
    "command",
    ["status", "apply", "hosts move", "inventory apply", "jobs submit", "explain host",
     "maintenance declare"],
)  # fmt: skip
def test_help_has_an_example_and_the_exit_codes(command, capsys):
    """Guards against a command whose help lacks an example or the exit codes."""
    main([*command.split(), "--help"])
    output = capsys.readouterr().out
    assert f"Example: sycamorecroft {command}" in output
    assert "6 outcome unknown" in " ".join(output.split())
