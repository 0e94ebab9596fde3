"""WSGI application that serves the platform's stand-ins (section 7 of the design).

In addition to the platform's interface it serves ``POST /hosts`` (declares the host
list), ``POST /faults``, ``DELETE /faults``, ``POST /settings``, ``GET /counts``,
``POST /tasks/{id}/finish`` and ``POST /workers/{host}/failing``.
"""

import re
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypedDict
from urllib.parse import parse_qs

import msgspec
from waitress.channel import ClientDisconnected

from standins.faults import Fault, FaultInjector, FaultKind, Operation
from standins.memory_platform import MemoryPlatform
from sycamorecroft.errors import (
    NotLeaseHolderError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    SycamorecroftError,
)
from sycamorecroft.store.http_tables import PURPOSE_HEADER
from sycamorecroft.store.interfaces import StorePurpose, TaskState
from sycamorecroft.store.wire import (
    CommitBody,
    EpochBody,
    HostBody,
    HostOperationBody,
    PhaseBody,
    RenewBody,
    TasksBody,
    TaskStartBody,
    ThrottleBody,
    TransactionBody,
    check_from_body,
    host_from_body,
    listing_body,
    put_from_body,
    row_body,
    scan_body,
    start_from_body,
    status_body,
)

_PURPOSE_VARIABLE = "HTTP_" + PURPOSE_HEADER.upper().replace("-", "_")
_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class FaultBody(TypedDict, total=False):
    """Body of ``POST /faults``.

    ``service`` is a service of the platform, or ``all``, which is the default.
    """

    service: str
    kind: FaultKind
    count: int | None
    duration_s: float | None
    delay_s: float
    operation: Operation | None


class SettingsBody(TypedDict, total=False):
    """Body of ``POST /settings``; settings that are absent stay unchanged."""

    reboot_s: float
    host_list_lag_s: float
    usage_lag_s: float


class DeclarationBody(TypedDict):
    """Body of ``POST /hosts``, which replaces the host list."""

    hosts: list[HostBody]


class FinishBody(TypedDict):
    """Body of ``POST /tasks/{id}/finish``, which ends a live task."""

    state: TaskState
    detail: str


class FailingBody(TypedDict):
    """Body of ``POST /workers/{host}/failing``; a failing worker fails new tasks."""

    is_failing: bool


class Request(NamedTuple):
    """Request with the arguments from its path."""

    arguments: tuple[str, ...]
    query: dict[str, list[str]]
    body: bytes
    purpose: str

    def decode(self, message_type: type) -> dict:
        return msgspec.json.decode(self.body, type=message_type)


class Response(NamedTuple):
    """Response; a body that isn't ``bytes`` is sent as JSON."""

    status: int
    body: object


class _Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Callable[[Request], Response]


OK = Response(200, {})
NOT_FOUND = Response(404, {"error": "path, row, object or task not found"})


class PlatformApplication:
    """WSGI application that serves a :class:`MemoryPlatform`.

    When a fault loses a response, the connection is closed without a response.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform
        self._routes = tuple(
            _Route(method, re.compile(pattern), handler)
            for method, pattern, handler in self._handlers()
        )

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = self._dispatch(environ)
        body = response.body
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        headers = [("Content-Length", str(len(body)))]
        start_response(_STATUS_LINES[response.status], headers)
        return [body]

    def _handlers(self) -> Iterable[tuple[str, str, Callable[[Request], Response]]]:
        task = r"/tasks/(.+)/"
        yield "POST", r"/tables/transact", self._transact
        yield "GET", r"/tables/([^/]+)/(.+)", self._read_row
        yield "GET", r"/tables/([^/]+)", self._scan_table
        yield "PUT", r"/objects/(.+)", self._put_object
        yield "GET", r"/objects/(.+)", self._get_object
        yield "DELETE", r"/objects/(.+)", self._delete_object
        yield "GET", r"/hosts", self._list_hosts
        yield "POST", r"/hosts", self._declare_hosts
        yield "POST", r"/hosts/(.+)/drain", self._drain_host
        yield "POST", r"/hosts/(.+)/reboot", self._reboot_host
        yield "GET", r"/hosts/(.+)", self._host_phase
        yield "POST", r"/workers/(.+)/tasks", self._start_task
        yield "GET", r"/workers/(.+)/tasks", self._list_tasks
        yield "POST", r"/workers/(.+)/failing", self._set_failing
        yield "POST", task + "renew", self._renew_task
        yield "POST", task + "checkpoint", self._checkpoint_task
        yield "POST", task + "throttle", self._throttle_task
        yield "POST", task + "stop", self._stop_task
        yield "POST", task + "finish", self._finish_task
        yield "GET", r"/tasks/(.+)", self._get_task
        yield "GET", r"/usage", self._list_usage
        yield "GET", r"/counts", self._call_counts
        yield "POST", r"/settings", self._change_settings
        yield "POST", r"/faults", self._set_fault
        yield "DELETE", r"/faults", self._clear_faults

    def _dispatch(self, environ: dict) -> Response:
        path = environ["PATH_INFO"].encode("latin-1").decode()
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match and route.method == environ["REQUEST_METHOD"]:
                request = Request(
                    match.groups(),
                    parse_qs(environ.get("QUERY_STRING", "")),
                    environ["wsgi.input"].read(),
                    environ.get(_PURPOSE_VARIABLE, StorePurpose.OPERATORS),
                )
                return _call_handler(route.handler, request)
        return NOT_FOUND

    def _transact(self, request: Request) -> Response:
        body = request.decode(TransactionBody)
        version = self._platform.tables.transact(
            [check_from_body(check) for check in body["checks"]],
            [put_from_body(put) for put in body["puts"]],
            purpose=StorePurpose(request.purpose),
        )
        return Response(200, CommitBody(version=version))

    def _read_row(self, request: Request) -> Response:
        table, key = request.arguments
        purpose = StorePurpose(request.purpose)
        row = self._platform.tables.read(table, key, purpose=purpose)
        return NOT_FOUND if row is None else Response(200, row_body(row))

    def _scan_table(self, request: Request) -> Response:
        scan = self._platform.tables.scan(
            request.arguments[0],
            purpose=StorePurpose(request.purpose),
            prefix=request.query.get("prefix", [""])[0],
            after_version=int(request.query.get("after_version", ["0"])[0]),
        )
        return Response(200, scan_body(scan))

    def _put_object(self, request: Request) -> Response:
        self._platform.objects.put(request.arguments[0], request.body)
        return OK

    def _get_object(self, request: Request) -> Response:
        body = self._platform.objects.get(request.arguments[0])
        return NOT_FOUND if body is None else Response(200, body)

    def _delete_object(self, request: Request) -> Response:
        self._platform.objects.delete(request.arguments[0])
        return OK

    def _list_hosts(self, request: Request) -> Response:
        return Response(200, listing_body(self._platform.hosts.list_hosts()))

    def _declare_hosts(self, request: Request) -> Response:
        body = request.decode(DeclarationBody)
        self._platform.hosts.declare(host_from_body(host) for host in body["hosts"])
        return OK

    def _drain_host(self, request: Request) -> Response:
        operation_id = request.decode(HostOperationBody)["operation_id"]
        self._platform.control.drain(request.arguments[0], operation_id=operation_id)
        return OK

    def _reboot_host(self, request: Request) -> Response:
        operation_id = request.decode(HostOperationBody)["operation_id"]
        self._platform.control.reboot(request.arguments[0], operation_id=operation_id)
        return OK

    def _host_phase(self, request: Request) -> Response:
        phase = self._platform.control.phase(request.arguments[0])
        return Response(200, PhaseBody(phase=phase))

    def _start_task(self, request: Request) -> Response:
        start = start_from_body(request.decode(TaskStartBody))
        if start.worker != request.arguments[0]:
            message = (
                "worker must be the same in path and body, got "
                f"{request.arguments[0]!r} and {start.worker!r}"
            )
            raise PlatformError(message)
        self._platform.tasks.start(start)
        return OK

    def _list_tasks(self, request: Request) -> Response:
        statuses = self._platform.tasks.list_tasks(request.arguments[0])
        return Response(200, TasksBody(tasks=[status_body(item) for item in statuses]))

    def _list_usage(self, request: Request) -> Response:
        statuses = self._platform.tasks.list_usage()
        return Response(200, TasksBody(tasks=[status_body(item) for item in statuses]))

    def _get_task(self, request: Request) -> Response:
        status = self._platform.tasks.get(request.arguments[0])
        return NOT_FOUND if status is None else Response(200, status_body(status))

    def _renew_task(self, request: Request) -> Response:
        self._platform.tasks.renew(request.arguments[0], **request.decode(RenewBody))
        return OK

    def _checkpoint_task(self, request: Request) -> Response:
        body = request.decode(EpochBody)
        self._platform.tasks.checkpoint(request.arguments[0], **body)
        return OK

    def _throttle_task(self, request: Request) -> Response:
        body = request.decode(ThrottleBody)
        self._platform.tasks.throttle(request.arguments[0], **body)
        return OK

    def _stop_task(self, request: Request) -> Response:
        self._platform.tasks.stop(request.arguments[0], **request.decode(EpochBody))
        return OK

    def _finish_task(self, request: Request) -> Response:
        self._platform.tasks.finish(request.arguments[0], **request.decode(FinishBody))
        return OK

    def _set_failing(self, request: Request) -> Response:
        is_failing = request.decode(FailingBody)["is_failing"]
        self._platform.tasks.set_failing(request.arguments[0], is_failing)
        return OK

    def _call_counts(self, request: Request) -> Response:
        counts = self._platform.tables.call_counts()
        items = [
            {"purpose": key.purpose, "operation": key.operation, "count": count}
            for key, count in sorted(counts.items())
        ]
        return Response(200, {"calls": items})

    def _change_settings(self, request: Request) -> Response:
        body = request.decode(SettingsBody)
        platform = self._platform
        platform.control.reboot_s = body.get("reboot_s", platform.control.reboot_s)
        platform.hosts.lag_s = body.get("host_list_lag_s", platform.hosts.lag_s)
        platform.tasks.usage_lag_s = body.get("usage_lag_s", platform.tasks.usage_lag_s)
        return OK

    def _set_fault(self, request: Request) -> Response:
        fields = dict(request.decode(FaultBody))
        name = fields.pop("service", "all")
        injectors = self._fault_injectors()
        if name != "all" and name not in injectors:
            allowed = ", ".join(["all", *injectors])
            raise PlatformError(f"service must be one of {allowed}, got {name!r}")
        for service, injector in injectors.items():
            if name in ("all", service):
                injector.set(Fault(**fields))
        return OK

    def _clear_faults(self, request: Request) -> Response:
        for injector in self._fault_injectors().values():
            injector.clear()
        return OK

    def _fault_injectors(self) -> dict[str, FaultInjector]:
        platform = self._platform
        return {
            "tables": platform.tables.faults,
            "objects": platform.objects.faults,
            "hosts": platform.hosts.faults,
            "control": platform.control.faults,
            "tasks": platform.tasks.faults,
        }


def _call_handler(handler: Callable[[Request], Response], request: Request) -> Response:
    try:
        return handler(request)
    except (SycamorecroftError, ValueError, TypeError, KeyError) as error:
        outcome_unknown = StoreOutcomeUnknownError
        if isinstance(error, outcome_unknown) or isinstance(
            error.__cause__, outcome_unknown
        ):
            raise ClientDisconnected from error
        return Response(_error_status(error), {"error": str(error)})


def _error_status(error: Exception) -> int:
    statuses: tuple[tuple[type[Exception], int], ...] = (
        (StoreConflictError, 409),
        (StoreUnavailableError, 503),
        (NotLeaseHolderError, 403),
    )
    for error_type, status in statuses:
        if isinstance(error, error_type):
            return status
    return 400
