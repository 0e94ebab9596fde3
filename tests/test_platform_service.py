"""Tests that faults and settings set over HTTP reach the platform stand-in."""

import threading
from collections.abc import Callable, Iterator

import pytest
import urllib3

from standins.memory_platform import MemoryPlatform
from standins.platform_service import PlatformServer
from sycamorecroft.errors import StoreOutcomeUnknownError, StoreUnavailableError
from sycamorecroft.store import (
    HttpHostControl,
    HttpHostList,
    HttpTableService,
    HttpTaskService,
    PlatformConnection,
)
from sycamorecroft.store.interfaces import (
    HostPhase,
    HostRole,
    HostStatus,
    PlatformHost,
    Put,
    StorePurpose,
    TaskSize,
    TaskStart,
    TaskState,
)
from sycamorecroft.store.wire import host_body

PURPOSE = StorePurpose.JOBS
WORKER = PlatformHost(
    "w1", HostRole.WORKER, "127.0.0.1:1", "d", "r", HostStatus.LIVE, 8, 64, 0, 8, 64
)
Call = Callable[..., urllib3.BaseHTTPResponse]


@pytest.fixture
def connection() -> Iterator[PlatformConnection]:
    server = PlatformServer(MemoryPlatform(timeout_s=None), threads_count=4)
    thread = threading.Thread(target=server.run)
    thread.start()
    connection = PlatformConnection(server.address)
    yield connection
    connection.close()
    server.close()
    thread.join()


@pytest.fixture
def call(connection: PlatformConnection) -> Call:
    def call(method: str, path: str, **arguments) -> urllib3.BaseHTTPResponse:
        return connection._pool.request(method, path, **arguments)

    return call


def test_declared_host_reboots_for_the_set_time(connection, call):
    """Guards against hosts and settings sent over HTTP that have no effect."""
    call("POST", "/settings", json={"reboot_s": 0.0, "host_list_lag_s": 0.0})
    call("POST", "/hosts", json={"hosts": [host_body(WORKER)]})
    assert HttpHostList(connection).list_hosts().hosts == (WORKER,)
    control = HttpHostControl(connection)
    control.drain("w1", operation_id="o1")
    assert control.phase("w1") is HostPhase.DRAINING
    control.reboot("w1", operation_id="o1")
    assert control.phase("w1") is HostPhase.UP


def test_faults_are_set_for_one_service_and_cleared(connection, call):
    """Guards against faults that affect other services or remain once cleared."""
    tables = HttpTableService(connection)
    call("POST", "/faults", json={"service": "tables", "kind": "down"})
    with pytest.raises(StoreUnavailableError):
        tables.read("t", "a", purpose=PURPOSE)
    assert HttpHostList(connection).list_hosts().hosts == ()
    call("DELETE", "/faults")
    call("POST", "/faults", json={"kind": "lost_request", "operation": "write"})
    with pytest.raises(StoreOutcomeUnknownError):
        tables.transact([], [Put("t", "a", b"1")], purpose=PURPOSE)
    assert tables.read("t", "a", purpose=PURPOSE) is None


@pytest.mark.parametrize(
    ("body", "message"),
    [
        ({"service": "disk", "kind": "down"}, "must be one of all, tables"),
        ({"kind": "burn"}, "Invalid enum value 'burn'"),
    ],
)
def test_malformed_fault_is_refused(call, body, message):
    """Guards against a mistyped fault that is accepted and has no effect."""
    response = call("POST", "/faults", json=body)
    assert response.status == 400
    assert message in response.json()["error"]


def test_calls_are_counted_by_purpose(connection, call):
    """Guards against calls that are counted under another purpose or not at all."""
    HttpTableService(connection).read("t", "a", purpose=PURPOSE)
    calls = call("GET", "/counts").json()["calls"]
    assert calls == [{"purpose": "jobs", "operation": "read", "count": 1}]


def test_tasks_end_in_the_requested_state(connection, call):
    """Guards against tasks that don't end in the state requested over HTTP."""
    call("POST", "/hosts", json={"hosts": [host_body(WORKER)]})
    tasks = HttpTaskService(connection)
    start = TaskStart("t1", "w1", "jobs/p", 1, 9.0, TaskSize(1, 8, 0), "", None)
    tasks.start(start)
    call("POST", "/tasks/t1/finish", json={"state": "succeeded", "detail": "done"})
    call("POST", "/workers/w1/failing", json={"is_failing": True})
    tasks.start(start._replace(task_id="t2"))
    states = [task.state for task in tasks.list_tasks("w1")]
    assert states == [TaskState.SUCCEEDED, TaskState.FAILED]
