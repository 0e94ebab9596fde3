"""End-to-end tests of nodes over HTTP: submission, runs, states, takeover and stop."""

import json
import time

import pytest
import urllib3

from standins.platform_http import HostServer, StoreServer
from standins.ports import reserve_port
from standins.worker_http import WorkerServer
from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.main import main
from sycamorecroft.clock import BoottimeClock
from sycamorecroft.node.node import Node
from sycamorecroft.ownership.rows import OWNERS_TABLE
from sycamorecroft.scheduling.admission_report import (
    ADMISSION_KEY,
    AdmissionRow,
)
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.settings.node import (
    HostCapacitySettings,
    HostControlSettings,
    NodeSettings,
    PlatformLimitSettings,
    StoreSettings,
)
from sycamorecroft.store.interfaces import Put, StorePurpose

FLEET = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "jobs.example",
            "prefix": "/a/",
            "service": "rating",
            "attempts": 3,
        }
    ],
    "services": [{"name": "rating"}],
    "limits": {"max-body-bytes": 100000},
}
JOB = {
    "spec": "text",
    "phases": [
        {"count": 3, "cpu": 500, "mem-mb": 10, "estimate-ms": 50},
        {"count": 1, "cpu": 500, "mem-mb": 10, "estimate-ms": 50, "after": [0]},
    ],
}
TOKEN = "0123456789abcdef"
WAIT_TIMEOUT_S = 15.0
# Longest time until a change of the configuration is in force.
CONFIGURATION_BOUND_S = 3.0
# Maximum age of the counts that callers get.
PENDING_MAX_AGE_S = 2.0


class _NodeSite:
    def __init__(self) -> None:
        self.store = StoreServer(reserve_port())
        self.host_control = HostServer(reserve_port())
        self.workers = {f"i-{n}": WorkerServer(reserve_port()) for n in range(2)}
        self.nodes: dict[str, Node] = {}
        self.addresses: dict[str, str] = {}
        self.metrics_addresses: dict[str, str] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.store.put("op", "config", FLEET)
        for name, worker in self.workers.items():
            registration = {
                "service": "rating",
                "addr": worker.address,
                "state": "ready",
                "capacity": {"cpu": 8000, "mem-mb": 1000, "gpu": 0},
                "labels": ["a", "r1"],
                "born": 1,
            }
            self.store.put("servers", name, registration)
        self.store.put("servers", "i-bad", {"service": 5})

    def start_node(self, name: str, link_mbps: float = 1000.0) -> None:
        addresses = [f"127.0.0.1:{reserve_port()}" for _ in range(3)]
        settings = NodeSettings(
            host=name,
            data_centre="dc1",
            front_address=addresses[0],
            ready_address=addresses[1],
            metrics_address=addresses[2],
            store=StoreSettings(address=self.store.address, row_limit_bytes=65536),
            machines=HostControlSettings(
                address=self.host_control.address, lease_ms=3000
            ),
            bounds=PlatformLimitSettings(
                grace_s=6, lease_max_ms=10000, status_s=120, upkeep_s=2
            ),
            capacity=HostCapacitySettings(link_mbps=link_mbps),
            operator_token=TOKEN,
        )
        self.nodes[name] = Node(settings, BoottimeClock())
        self.addresses[name] = addresses[0]
        self.metrics_addresses[name] = addresses[2]
        self.nodes[name].start()
        self.wait_for(lambda: self._is_ready(addresses[1]))

    def _is_ready(self, address: str) -> bool:
        return self.http.request("GET", f"http://{address}/api/readyz").status == 200

    def call(
        self, name: str, method: str, path: str, body: object = None, key: str = ""
    ):
        headers = {"Host": "jobs.example", "X-Deadline-Ms": "3000"}
        response = self.http.request(
            method,
            f"http://{self.addresses[name]}{path}",
            body=None if body is None else json.dumps(body),
            headers=headers | ({"Api-Key": key} if key else {}),
        )
        return response.status, json.loads(response.data)

    def wait_for(self, condition, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        end_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < end_s, "condition not met before the deadline"
            time.sleep(0.02)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.stop()
        for server in (self.store, self.host_control, *self.workers.values()):
            server.stop()


@pytest.fixture
def empty_site():
    node_site = _NodeSite()
    yield node_site
    node_site.stop()


@pytest.fixture
def site(empty_site):
    empty_site.start_node("h1")
    return empty_site


def test_job_completes_and_reports_its_state(site):
    """Guards against components that fail to work together on the path of a job."""
    path = "/a/00112233445566aa"
    assert site.call("h1", "POST", path, JOB)[0] == 200
    assert site.call("h1", "POST", path, JOB)[0] == 200
    complete = (200, {"state": "complete"})
    site.wait_for(lambda: site.call("h1", "GET", path) == complete)
    started = [s.task for w in site.workers.values() for s in w.worker.started]
    assert len(started) == len(set(started)) == 4
    no_pending = (200, {"pending": 0})
    site.wait_for(
        lambda: site.call("h1", "GET", "/a/") == no_pending, PENDING_MAX_AGE_S
    )
    assert site.call("h1", "GET", "/a/ffffffffffffffff")[0] == 410
    assert site.call("h1", "POST", "/a/ffffffffffffffff", {"phases": 1})[0] == 400


def test_planned_stop_transfers_services(site):
    """Guards against jobs that make no progress after their owner was stopped."""
    site.start_node("h2")
    site.wait_for(lambda: any(node.supervisor.owned for node in site.nodes.values()))
    owners = [n for n, node in site.nodes.items() if node.supervisor.owned]
    stopped_node = owners[0]
    remaining_node = next(name for name in site.nodes if name != stopped_node)
    path = "/a/00112233445566bb"
    assert site.call(remaining_node, "POST", path, JOB)[0] == 200
    assert site.nodes.pop(stopped_node).stop()
    complete = (200, {"state": "complete"})
    site.wait_for(lambda: site.call(remaining_node, "GET", path) == complete)
    started = [s.task for w in site.workers.values() for s in w.worker.started]
    assert len(started) == len(set(started)) == 4


def test_submissions_are_refused_during_a_store_outage(site):
    """Guards against a node that does not recover after a store outage."""
    site.wait_for(lambda: bool(site.nodes["h1"].supervisor.owned))
    site.store.tables.is_unavailable = True
    path = "/a/00112233445566cc"
    status, _ = site.call("h1", "POST", path, JOB)
    assert status in (503, 504)
    time.sleep(2.0)
    assert site.call("h1", "POST", path, JOB)[0] == 503
    site.store.tables.is_unavailable = False
    site.wait_for(lambda: site.call("h1", "POST", path, JOB)[0] == 200)
    complete = (200, {"state": "complete"})
    site.wait_for(lambda: site.call("h1", "GET", path) == complete)


def test_service_moves_to_an_entry_host_that_can_carry_it(empty_site):
    """Guards against a busy service that starves on the link of a small owner.

    The small entry host starts first and claims the service; all tasks of the job must
    still run once.
    """
    site = empty_site
    site.start_node("h1", link_mbps=5.0)
    site.wait_for(lambda: "rating" in site.nodes["h1"].supervisor.owned)
    site.start_node("h2", link_mbps=100.0)
    path = "/a/00112233445566dd"
    assert site.call("h1", "POST", path, JOB)[0] == 200
    site.wait_for(lambda: "rating" in site.nodes["h2"].supervisor.owned)
    complete = (200, {"state": "complete"})
    site.wait_for(lambda: site.call("h2", "GET", path) == complete)
    started = [s.task for w in site.workers.values() for s in w.worker.started]
    assert len(started) == len(set(started)) == 4


def test_withdrawn_key_ends_on_an_open_connection_of_each_entry_host(site):
    """Guards against a key that is good for as long as its connection stays open, or
    that another entry host still accepts.
    """
    site.start_node("h2")
    accounts = [{"name": "north", "keys": ["key-1", "key-2"]}]
    site.store.put("op", "config", FLEET | {"version": 2, "tenants": accounts})
    path = "/a/00112233445566ee"
    for name in site.nodes:
        site.wait_for(
            lambda name=name: site.call(name, "GET", path)[0] == 401,
            CONFIGURATION_BOUND_S,
        )
        # A new key works at once, since an unknown one is looked up.
        assert site.call(name, "POST", path, JOB, key="key-1")[0] == 200
    complete = (200, {"state": "complete"})
    site.wait_for(lambda: site.call("h2", "GET", path, key="key-2") == complete)
    accounts[0]["keys"] = ["key-2"]
    site.store.put("op", "config", FLEET | {"version": 3, "tenants": accounts})
    for name, address in site.addresses.items():
        site.wait_for(
            lambda name=name: site.call(name, "GET", path, key="key-1")[0] == 401,
            CONFIGURATION_BOUND_S,
        )
        assert site.call(name, "GET", path, key="key-2") == complete
        assert site.http.connection_from_url(f"http://{address}").num_connections == 1


def test_report_of_an_owner_refuses_until_it_ends(site):
    """Guards against a report that the feed doesn't pass on, against a refused job that
    runs, and against refusals that go on without a report.
    """
    accounts = [{"name": "north", "keys": ["key-1"]}]
    site.store.put("op", "config", FLEET | {"version": 2, "tenants": accounts})
    ids = (f"{number:016x}" for number in range(1000))

    def submit(job_id):
        return site.call("h1", "POST", f"/a/{job_id}", JOB, key="key-1")[0]

    site.wait_for(lambda: submit("f" * 16) == 200, CONFIGURATION_BOUND_S)
    report = encode_row(AdmissionRow(99, 1, 1000, {"north": 1.0}))
    put = Put(OWNERS_TABLE, ADMISSION_KEY, report, "rating")
    site.store.tables.transact((), (put,), purpose=StorePurpose.VIEW)
    refused_ids = []

    def is_refused():
        job_id = next(ids)
        if submit(job_id) == 429:
            refused_ids.append(job_id)
        return bool(refused_ids)

    site.wait_for(is_refused)
    assert submit("f" * 16) == 200
    path = f"/a/{refused_ids[0]}"
    assert site.call("h1", "GET", path, key="key-1")[0] == 410
    site.wait_for(lambda: submit(refused_ids[0]) == 200)


def test_configuration_stays_current_without_changes(site):
    """Guards against calls with good keys that read the configuration in calm periods.

    The feed's polls are answered after 1.5 s each, and say that nothing has changed.
    """
    lookup = site.nodes["h1"]._lookup
    ages_s = []
    end_s = time.monotonic() + 3.5
    while time.monotonic() < end_s:
        ages_s.append(lookup.age_s())
        time.sleep(0.02)
    assert max(ages_s) < CONFIGURATION_BOUND_S - 0.5


class _Tool:
    """Runs ``explain placement`` against the nodes of a site."""

    def __init__(self, site, tmp_path, capsys) -> None:
        self._site = site
        self._path = tmp_path
        self._capsys = capsys

    def explain(self, *arguments, nodes=("h1", "h2"), job=None, token=TOKEN):
        """
        :returns: exit code, decoded output (``None`` without one) and error.
        """
        addresses = self._site.metrics_addresses
        settings = {
            "node_urls": [f"http://{addresses[name]}" for name in nodes],
            "operator_token": token,
            "timeout_s": 5,
        }
        path = self._path / "tool.jsonc"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = ["explain", "placement"]
        if job is not None:
            file = self._path / "job.json"
            file.write_text(json.dumps(job), encoding="utf-8")
            command += [str(file), "--host", "jobs.example", "--path", "/a/"]
        code = main([*command, *arguments, "--settings", str(path)])
        output, error = self._capsys.readouterr()
        # Log lines of the nodes are written to standard output, too.
        replies = [x for x in output.splitlines() if x.startswith('{"outcome"')]
        return code, json.loads(replies[0]) if replies else output, error


@pytest.fixture
def tool(site, tmp_path, capsys):
    site.start_node("h2")
    site.wait_for(lambda: any(node.supervisor.owned for node in site.nodes.values()))
    return _Tool(site, tmp_path, capsys)


def _owner(site):
    return next(name for name, node in site.nodes.items() if node.supervisor.owned)


STUCK_JOB = {"phases": [{"count": 2, "cpu": 500, "requires": "none"}]}


def test_placement_is_explained_by_the_owner(site, tool):
    """Guards against a command that doesn't find the owner, or sends the job."""
    code, reply, _ = tool.explain("--json", job=JOB)
    assert (code, reply["outcome"]) == (ExitCode.SUCCESS, "explained")
    assert reply["node"]["host"] == _owner(site)
    (step,) = reply["placement"]["steps"]
    assert {start["worker"] for start in step["starts"]} <= {"i-0", "i-1"}
    assert reply["placement"]["job"]["steps_later_count"] == 1
    assert not any(worker.worker.started for worker in site.workers.values())
    time.sleep(1.0)
    assert site.call("h1", "POST", "/a/00112233445566ff", STUCK_JOB)[0] == 200
    site.wait_for(lambda: tool.explain("--id", "00112233445566ff")[0] == 0)
    time.sleep(1.0)
    code, output, _ = tool.explain("--id", "00112233445566ff")
    assert code == ExitCode.SUCCESS
    assert "no_worker" in output and "label" in output
    assert "00112233445566ff (stored, queued)" in output


def test_exit_code_says_why_no_placement_is_explained(site, tool):
    """Guards against programs that take a missing answer for one."""
    other = next(name for name in site.nodes if name != _owner(site))
    code, _, error = tool.explain(job=JOB, nodes=(other,))
    assert code == ExitCode.UNAVAILABLE
    assert f"owned by {_owner(site)}" in error and "as known for" in error
    site.metrics_addresses["gone"] = f"127.0.0.1:{reserve_port()}"
    code, _, error = tool.explain(job=JOB, nodes=("gone",))
    assert code == ExitCode.UNAVAILABLE and "no connection" in error
    assert tool.explain("--id", "ffffffffffffffff")[0] == ExitCode.NOT_FOUND
    time.sleep(1.0)
    code, reply, error = tool.explain("--json", job={"phases": []})
    assert (code, reply["admission"]["status"]) == (ExitCode.UNSUCCESSFUL, 400)
    assert "refused with 400" in error
    assert tool.explain(job=JOB, token="x" * 16)[0] == ExitCode.REFUSED
    assert tool.explain()[0] == ExitCode.INVALID
    assert tool.explain(job=JOB, nodes=())[0] == ExitCode.INVALID


def test_metrics_need_no_token(site):
    """Guards against scrapes that fail since operators have a token."""
    address = site.metrics_addresses["h1"]
    response = site.http.request("GET", f"http://{address}/metrics")
    assert response.status == 200
    assert b"sycamorecroft_node_configuration_version" in response.data
    path = "/operator/v1/explain/placement"
    assert site.http.request("POST", f"http://{address}{path}").status == 401
