"""WSGI application through which callers submit, inspect and cancel jobs."""

import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, RecordError, RequestError
from sycamorecroft.metrics import (
    SUBMISSION_REFUSALS,
    SUBMISSION_TIME,
    SUBMISSIONS,
)
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.rows import JobRow, encode_row
from sycamorecroft.serving.job_store import CancelOutcome, JobStore, SubmitOutcome
from sycamorecroft.serving.router import RouteMatch, Router

_log = structlog.get_logger(__name__)

DEFAULT_TIMEOUT_S = 3.0
# Reserved for the transfer of the response to the caller.
RESPONSE_MARGIN_S = 0.1
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 5
TASKS_LIMIT_COUNT = 1000
# Progress of a task that isn't running: its numbers, with up to 12 digits where they
# have no limit, and no texts. The progress of all tasks of a job lies in one row.
TASK_PROGRESS_MAX_BYTES = 64

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


class Response(NamedTuple):
    """Response to a caller.

    ``reason`` is the code of a refusal from a bounded set, used as a metric label.
    """

    status: HTTPStatus
    body: dict[str, object] | None = None
    retry_after_s: int | None = None
    reason: str = ""


class ServingSettings(NamedTuple):
    """Limits of submissions.

    ``row_limit_bytes``: largest row that the store accepts.
    """

    row_limit_bytes: int


class JobApplication:
    """Submits, reports and cancels jobs for callers.

    :param router: returns the routing table in force, ``None`` before one was read.
    :param decode_job: decodes the body of a submission and raises
        :class:`~sycamorecroft.errors.RequestError` if it is invalid.
    :param host_sizes: returns the distinct capacities of hosts, empty while they
        are unknown.
    """

    def __init__(
        self,
        router: Callable[[], Router | None],
        decode_job: Callable[[bytes], JobSpec],
        store: JobStore,
        clock: Clock,
        settings: ServingSettings,
        recorder: Recorder | None = None,
        host_sizes: Callable[[], tuple[Resources, ...]] = tuple,
    ) -> None:
        self._host_sizes = host_sizes
        self._router = router
        self._decode_job = decode_job
        self._store = store
        self._clock = clock
        self._settings = settings
        self._recorder = recorder or NullRecorder()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            response = self._respond(environ)
        except Exception:
            _log.exception("request_failed", path=environ.get("PATH_INFO"))
            response = _refused(HTTPStatus.BAD_GATEWAY, "internal error")
        if response.reason:
            self._recorder.count(SUBMISSION_REFUSALS, reason=response.reason)
        body = msgspec.json.encode(response.body or {})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if response.retry_after_s is not None:
            headers.append(("Retry-After", str(response.retry_after_s)))
        start_response(f"{response.status.value} {response.status.phrase}", headers)
        return [body]

    def _respond(self, environ: dict) -> Response:
        router = self._router()
        if router is None:
            return _unavailable("no configuration has been read yet")
        path = environ.get("PATH_INFO", "")
        route = router.find(environ.get("HTTP_HOST", ""), path)
        if route is None:
            return _refused(
                HTTPStatus.NOT_FOUND, "no queue matches this host name and path"
            )
        method = environ["REQUEST_METHOD"]
        if not route.path_suffix and method == "GET":
            return self._get_pending(route)
        if not _JOB_ID.fullmatch(route.path_suffix):
            return _refused(
                HTTPStatus.NOT_FOUND, "a job id must have 16 hexadecimal digits"
            )
        match method:
            case "POST":
                return self._submit(environ, route, router)
            case "GET":
                return self._get_state(route)
            case "DELETE":
                return self._cancel(environ, route)
        return _refused(HTTPStatus.METHOD_NOT_ALLOWED, "use POST, GET or DELETE")

    def _deadline_s(self, environ: dict) -> float:
        text = environ.get("HTTP_X_DEADLINE_MS", "")
        timeout_s = int(text) / 1000 if text.isdecimal() else DEFAULT_TIMEOUT_S
        return self._clock.monotonic_s() + max(0.0, timeout_s - RESPONSE_MARGIN_S)

    def _submit(self, environ: dict, route: RouteMatch, router: Router) -> Response:
        deadline_s = self._deadline_s(environ)
        body = environ["wsgi.input"].read()
        limit_bytes = router.fleet.body_limit_bytes
        if limit_bytes and len(body) > limit_bytes:
            return _refused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body has {len(body)} bytes; at most {limit_bytes} are allowed",
            )
        now_ms = int(self._clock.now().timestamp() * 1000)
        try:
            row = JobRow(route.queue, self._decode_job(body), now_ms)
            self._check_size(row)
            self._check_task_sizes(row.spec)
        except RequestError as error:
            _log.info("job_refused", job=route.path_suffix, reason=str(error))
            return _refused(HTTPStatus.BAD_REQUEST, str(error))
        start_s = self._clock.monotonic_s()
        outcome = self._store.submit(route.path_suffix, row, deadline_s=deadline_s)
        duration_s = self._clock.monotonic_s() - start_s
        service = route.queue.service
        self._recorder.count(SUBMISSIONS, service=service, outcome=outcome.value)
        self._recorder.record(SUBMISSION_TIME, duration_s, service=service)
        _log.info(
            "job_submitted",
            job=route.path_suffix,
            queue=route.queue.name,
            version=router.fleet.version,
            outcome=outcome,
            duration_s=round(duration_s, 3),
        )
        match outcome:
            case SubmitOutcome.STORED | SubmitOutcome.REPEATED:
                return Response(HTTPStatus.OK)
            case SubmitOutcome.NOT_STORED:
                return self._refuse_in_outage()
        return _refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been stored")

    def _refuse_in_outage(self) -> Response:
        """Refuses a request during an outage of the store.

        An outage is likely to last about as long again as it has lasted so far. Callers
        retry only a few times, so that the delay grows with the outage.
        """
        age_s = round(self._store.contact_age_s())
        retry_after_s = max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, age_s))
        return _unavailable("the store can't be reached", retry_after_s)

    def _check_size(self, row: JobRow) -> None:
        """Refuses a job with too many tasks, or whose row the store would refuse.

        The row may be larger than the body, which leaves out empty fields.

        :raises RequestError: when the job is too large.
        """
        limit_bytes = self._settings.row_limit_bytes
        limit_count = min(TASKS_LIMIT_COUNT, limit_bytes // TASK_PROGRESS_MAX_BYTES)
        tasks_count = sum(step.tasks_count for step in row.spec.steps)
        if tasks_count > limit_count:
            message = f"a job has at most {limit_count} tasks, got {tasks_count}"
            raise RequestError(message)
        size_bytes = len(encode_row(row))
        if size_bytes > limit_bytes:
            message = f"a stored job has at most {limit_bytes} bytes, got {size_bytes}"
            raise RequestError(message)

    def _check_task_sizes(self, spec: JobSpec) -> None:
        """Refuses a job with a task that fits on no host.

        :raises RequestError: when a task exceeds each of the host sizes.
        """
        sizes = self._host_sizes()
        for number, step in enumerate(spec.steps):
            if not sizes or any(size.covers(step.allocation) for size in sizes):
                continue
            raise RequestError(
                f"a task of step {number} needs {step.allocation} and fits on no host; "
                f"host sizes are {list(sizes)}: split the task"
            )

    def _get_state(self, route: RouteMatch) -> Response:
        try:
            state = self._store.state(route.queue.service, route.path_suffix)
        except RecordError as error:
            _log.error("job_row_malformed", job=route.path_suffix, error=str(error))
            return _unavailable("the job's row can't be read")
        except PlatformError as error:
            _log.info("job_state_read_failed", job=route.path_suffix, error=str(error))
            return self._refuse_in_outage()
        if state is None:
            return _refused(HTTPStatus.GONE, "no such job")
        return Response(HTTPStatus.OK, {"state": state.value})

    def _cancel(self, environ: dict, route: RouteMatch) -> Response:
        outcome = self._store.cancel(
            route.queue.service,
            route.path_suffix,
            deadline_s=self._deadline_s(environ),
        )
        _log.info("job_cancel_requested", job=route.path_suffix, outcome=outcome)
        match outcome:
            case CancelOutcome.STORED:
                return Response(HTTPStatus.OK)
            case CancelOutcome.NO_SUCH_JOB:
                return _refused(HTTPStatus.GONE, "no such job")
        return _refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been cancelled")

    def _get_pending(self, route: RouteMatch) -> Response:
        queue = route.queue
        try:
            count = self._store.pending_count(queue.service, queue.name)
        except RecordError as error:
            _log.error("pending_row_malformed", queue=queue.name, error=str(error))
            return _unavailable("the queue's count can't be read")
        except PlatformError as error:
            _log.info("pending_count_read_failed", queue=queue.name, error=str(error))
            return self._refuse_in_outage()
        return Response(HTTPStatus.OK, {"pending": count})


def _refused(status: HTTPStatus, reason: str) -> Response:
    return Response(status, {"reason": reason}, reason=status.name.lower())


def _unavailable(reason: str, retry_after_s: int = RETRY_AFTER_MIN_S) -> Response:
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        {"reason": reason},
        retry_after_s,
        HTTPStatus.SERVICE_UNAVAILABLE.name.lower(),
    )
