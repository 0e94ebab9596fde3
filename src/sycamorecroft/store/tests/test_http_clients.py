"""Guards against a write whose outcome is reported wrongly."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from standins.memory_platform import MemoryPlatform
from standins.platform_service import PlatformServer
from sycamorecroft.errors import (
    NotLeaseHolderError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store import (
    HttpHostControl,
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    HttpTaskService,
    PlatformConnection,
)
from sycamorecroft.store.interfaces import (
    Check,
    HostPhase,
    HostRole,
    HostStatus,
    PlatformHost,
    Put,
    Row,
    StorePurpose,
    TaskSize,
    TaskStart,
    TaskState,
)

PURPOSE = StorePurpose.CLAIMS
KEY = "ondangwa/rating/ключ ?%/1"
WORKER = PlatformHost(
    "w1", HostRole.WORKER, "127.0.0.1:1", "d", "r", HostStatus.LIVE, 8, 64, 0, 8, 64
)


class _ServedPlatform(NamedTuple):
    platform: MemoryPlatform
    connection: PlatformConnection
    tables: HttpTableService


@pytest.fixture
def served_platform() -> Iterator[_ServedPlatform]:
    platform = MemoryPlatform(timeout_s=None)
    server = PlatformServer(platform, threads_count=4)
    thread = threading.Thread(target=server.run)
    thread.start()
    connection = PlatformConnection(server.address, timeout_s=0.5)
    yield _ServedPlatform(platform, connection, HttpTableService(connection))
    connection.close()
    server.close()
    thread.join()


def _insert_row(tables: HttpTableService) -> int:
    put = Put("claims", KEY, b'{"token":"x"}')
    return tables.transact([Check("claims", KEY, None)], [put], purpose=PURPOSE)


def test_rows_round_trip_and_conflicts_name_the_version(served_platform):
    """Guards against altered rows, and conflicts without the current version."""
    version = _insert_row(served_platform.tables)
    row = served_platform.tables.read("claims", KEY, purpose=PURPOSE)
    assert row == Row("claims", KEY, b'{"token":"x"}', version)
    with pytest.raises(StoreConflictError, match="has version 1"):
        _insert_row(served_platform.tables)
    assert served_platform.tables.read("claims", "other", purpose=PURPOSE) is None


def test_delta_scan_returns_deleted_rows(served_platform):
    """Guards against a delta scan that misses a deletion."""
    written_version = _insert_row(served_platform.tables)
    delete = Put("claims", KEY, None)
    deleted_version = served_platform.tables.transact([], [delete], purpose=PURPOSE)
    scan = served_platform.tables.scan(
        "claims", purpose=PURPOSE, after_version=written_version
    )
    assert scan.rows == (Row("claims", KEY, None, deleted_version),)
    assert (
        served_platform.tables.scan("claims", purpose=PURPOSE, prefix="ond").rows == ()
    )


def test_response_lost_after_the_write_is_unknown(served_platform):
    """Guards against reporting an applied write as failed."""
    served_platform.platform.tables.faults.lose_responses(count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        _insert_row(served_platform.tables)
    assert served_platform.tables.read("claims", KEY, purpose=PURPOSE) is not None


def test_timed_out_write_is_unknown_and_may_still_be_applied(served_platform):
    """Guards against reporting a timed-out write as not applied."""
    served_platform.platform.tables.faults.set_delay(0.8, count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        _insert_row(served_platform.tables)
    assert served_platform.tables.read("claims", KEY, purpose=PURPOSE) is None
    deadline_s = time.monotonic() + 5
    while served_platform.tables.read("claims", KEY, purpose=PURPOSE) is None:
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_outage_is_known_as_not_applied(served_platform):
    """Guards against reporting a call refused in an outage as unknown."""
    served_platform.platform.tables.faults.set_down(count=2)
    with pytest.raises(StoreUnavailableError):
        _insert_row(served_platform.tables)
    with pytest.raises(StoreUnavailableError):
        served_platform.tables.read("claims", KEY, purpose=PURPOSE)
    assert served_platform.tables.read("claims", KEY, purpose=PURPOSE) is None


def test_lost_response_of_a_read_is_unavailable(served_platform):
    """Guards against reporting a failed read as an unknown write."""
    served_platform.platform.tables.faults.lose_responses(count=1, operation=None)
    with pytest.raises(StoreUnavailableError):
        served_platform.tables.read("claims", KEY, purpose=PURPOSE)


def test_refused_connection_is_known_as_not_applied():
    """Guards against reporting a write that was never sent as unknown."""
    with socket.create_server(("127.0.0.1", 0)) as closed_socket:
        address = f"127.0.0.1:{closed_socket.getsockname()[1]}"
    with pytest.raises(StoreUnavailableError):
        _insert_row(HttpTableService(PlatformConnection(address)))


@pytest.mark.parametrize(
    "response_bytes",
    [
        b"",
        b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"ver',
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        b"no HTTP\r\n\r\n",
    ],
    ids=["closed", "truncated", "incomplete", "status 500", "garbage"],
)
def test_malformed_response_to_a_write_is_unknown(response_bytes: bytes):
    """Guards against treating a malformed response as a definite outcome."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve() -> None:
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(response_bytes)

        threading.Thread(target=serve, daemon=True).start()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with pytest.raises(StoreOutcomeUnknownError):
            _insert_row(HttpTableService(PlatformConnection(address)))


def test_objects_round_trip_and_lost_writes_are_reported(served_platform):
    """Guards against altered objects, and lost writes that look successful."""
    objects = HttpObjectStore(served_platform.connection)
    objects.put("responses/a b", bytes(range(256)))
    assert objects.get("responses/a b") == bytes(range(256))
    served_platform.platform.objects.faults.lose_responses(count=1)
    with pytest.raises(StoreUnavailableError):
        objects.delete("responses/a b")
    assert objects.get("responses/a b") is None


def test_host_operation_can_be_repeated_after_a_lost_response(served_platform):
    """Guards against a host operation that fails when it is retried."""
    served_platform.platform.hosts.declare([WORKER])
    control = HttpHostControl(served_platform.connection)
    served_platform.platform.control.faults.lose_responses(count=1)
    with pytest.raises(PlatformError):
        control.drain("w1", operation_id="o1")
    control.drain("w1", operation_id="o1")
    assert control.phase("w1") is HostPhase.DRAINING
    listing = HttpHostList(served_platform.connection).list_hosts()
    assert listing.hosts == (WORKER._replace(status=HostStatus.LEAVING),)
    assert listing.as_of.tzinfo is not None


def test_task_calls_are_fenced_by_epoch(served_platform):
    """Guards against task calls of a controller that has lost its lease."""
    served_platform.platform.hosts.declare([WORKER])
    tasks = HttpTaskService(served_platform.connection)
    request = TaskStart("t/1", "w1", "jobs/p", 2, 9.0, TaskSize(1.5, 8, 0), "", None)
    served_platform.platform.tasks.faults.lose_responses(count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        tasks.start(request)
    assert [task.task_id for task in tasks.list_tasks("w1")] == ["t/1"]
    tasks.checkpoint("t/1", epoch=3)
    calls: tuple[Callable[[], None], ...] = (
        lambda: tasks.start(request._replace(task_id="t/2")),
        lambda: tasks.renew("t/1", epoch=2, lease_s=9.0),
        lambda: tasks.stop("t/1", epoch=2),
    )
    for call in calls:
        with pytest.raises(NotLeaseHolderError):
            call()
    tasks.throttle("t/1", epoch=3, ratio=0.5)
    task = tasks.get("t/1")
    assert (task.state, task.usage) == (TaskState.THROTTLED, TaskSize(0.75, 8, 0))
    assert tasks.list_usage() == (task,)
    assert tasks.get("t/2") is None
