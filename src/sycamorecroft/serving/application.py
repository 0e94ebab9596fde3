"""WSGI application through which callers submit, inspect and cancel jobs."""

import re
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    JobAccessError,
    KeyRefusedError,
    PlatformError,
    RecordError,
    RequestError,
)
from sycamorecroft.log_intervals import LogIntervals
from sycamorecroft.metrics import (
    ADMISSION_REFUSALS,
    SUBMISSION_REFUSALS,
    SUBMISSION_TIME,
    SUBMISSIONS,
)
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.account_rates import is_rated
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.rows import JobRow, encode_row
from sycamorecroft.serving.admission import (
    Admission,
    Refusal,
    SubmissionAttempt,
    UncertainSubmissions,
)
from sycamorecroft.serving.authentication import (
    AuthenticatedCall,
    Authentication,
)
from sycamorecroft.serving.job_store import CancelOutcome, JobStore, SubmitOutcome
from sycamorecroft.serving.responses import Response, outage, refused, unavailable
from sycamorecroft.serving.router import Router, RouteTarget

_log = structlog.get_logger(__name__)

DEFAULT_TIMEOUT_S = 3.0
# Reserved for the transfer of the response to the caller.
RESPONSE_MARGIN_S = 0.1
TASKS_LIMIT_COUNT = 1000
# Progress of a task that isn't running: its numbers, with up to 12 digits where they
# have no limit, and no texts. The progress of all tasks of a job lies in one row.
TASK_PROGRESS_MAX_BYTES = 64

# HTTP requires that a refusal with 401 names a scheme.
AUTHENTICATION_SCHEME = "ApiKey"
# Code of the refusal of a call for a job of another client account.
OTHER_ACCOUNT = "other_account"
# Code of the refusal of a submission whose id was cancelled before it was stored.
CANCELLED_BEFORE = "cancelled_before"
# Code of the refusal of a submission beyond its client account's rate.
ACCOUNT_RATE = "account_rate"

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


def is_job_id(text: str) -> bool:
    """
    :returns: whether a text may be the id of a job.
    """
    return _JOB_ID.fullmatch(text) is not None


class ServingSettings(NamedTuple):
    """Limits of submissions.

    ``row_limit_bytes``: largest row that the store accepts. ``closed_location_s``: for
    how long no job is stored under an id whose cancellation found no job.
    """

    row_limit_bytes: int
    closed_location_s: int = 180


class JobApplication:
    """Submits, reports and cancels jobs for callers.

    :param router: returns the routing table in force, ``None`` before one was read.
    :param decode_job: decodes the body of a submission and raises
        :class:`~sycamorecroft.errors.RequestError` if it is invalid.
    :param host_sizes: returns the distinct capacities of hosts, empty while they
        are unknown.
    :param admission: reports by which submissions are refused; none are if ``None``.
    """

    def __init__(
        self,
        router: Callable[[], Router | None],
        decode_job: Callable[[bytes], JobSpec],
        store: JobStore,
        authentication: Authentication,
        clock: Clock,
        settings: ServingSettings,
        recorder: Recorder | None = None,
        host_sizes: Callable[[], tuple[Resources, ...]] = tuple,
        admission: Admission | None = None,
    ) -> None:
        self._admission = admission or Admission(clock)
        self._uncertain = UncertainSubmissions(clock)
        self._host_sizes = host_sizes
        self._router = router
        self._decode_job = decode_job
        self._store = store
        self._authentication = authentication
        self._clock = clock
        self._settings = settings
        self._recorder = recorder or NullRecorder()
        self._log_intervals = LogIntervals(clock)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            response = self._respond(environ)
        except KeyRefusedError as error:
            response = error.response
        except Exception:
            _log.exception("request_failed", path=environ.get("PATH_INFO"))
            response = refused(HTTPStatus.BAD_GATEWAY, "internal error")
        if response.reason:
            self._recorder.count(SUBMISSION_REFUSALS, reason=response.reason)
        body = msgspec.json.encode(response.body or {})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if response.retry_after_s is not None:
            headers.append(("Retry-After", str(response.retry_after_s)))
        if response.status is HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", AUTHENTICATION_SCHEME))
        start_response(f"{response.status.value} {response.status.phrase}", headers)
        return [body]

    def _respond(self, environ: dict) -> Response:
        find_target = partial(self._find_target, environ)
        call = self._authentication.authenticate(environ, find_target)
        if isinstance(call, Response):
            return call
        job_id = call.target.route.path_suffix
        method = environ["REQUEST_METHOD"]
        if not job_id and method == "GET":
            return self._get_pending(call)
        if not is_job_id(job_id):
            return refused(
                HTTPStatus.NOT_FOUND, "a job id must have 16 hexadecimal digits"
            )
        match method:
            case "POST":
                return self._submit(environ, call)
            case "GET":
                return self._get_state(call)
            case "DELETE":
                return self._cancel(environ, call)
        return refused(HTTPStatus.METHOD_NOT_ALLOWED, "use POST, GET or DELETE")

    def _find_target(self, environ: dict) -> RouteTarget | Response:
        router = self._router()
        if router is None:
            return unavailable("no configuration has been read yet")
        path = environ.get("PATH_INFO", "")
        route = router.find(environ.get("HTTP_HOST", ""), path)
        if route is None:
            return refused(
                HTTPStatus.NOT_FOUND, "no queue matches this host name and path"
            )
        return RouteTarget(router, route)

    def _deadline_s(self, environ: dict) -> float:
        text = environ.get("HTTP_X_DEADLINE_MS", "")
        timeout_s = int(text) / 1000 if text.isdecimal() else DEFAULT_TIMEOUT_S
        return self._clock.monotonic_s() + max(0.0, timeout_s - RESPONSE_MARGIN_S)

    def _submit(self, environ: dict, call: AuthenticatedCall) -> Response:
        deadline_s = self._deadline_s(environ)
        route, caller = call.target.route, call.caller
        body = environ["wsgi.input"].read()
        row = self.read_submission(call.target, body, caller.account or "")
        if isinstance(row, Response):
            if row.status is HTTPStatus.BAD_REQUEST:
                reason = (row.body or {}).get("reason")
                _log.info("job_refused", job=route.path_suffix, reason=reason)
            return row
        if not caller.account:
            return self._store_submission(call, row, deadline_s)
        with self._uncertain.attempt(route.path_suffix) as attempt:
            response = self._refuse_excess(call, row, attempt)
            return response or self._store_submission(call, row, deadline_s)

    def _refuse_excess(
        self, call: AuthenticatedCall, row: JobRow, attempt: SubmissionAttempt
    ) -> Response | None:
        """Refuses a submission that the report of the service's owner asks to refuse.

        :returns: ``None`` if the job is to be stored, or may be stored already.
        """
        if not attempt.is_certain or self._find_refusal(call, row) is None:
            return None
        route = call.target.route
        try:
            if self._store.is_stored(route.queue, route.path_suffix):
                return None
        except PlatformError as error:
            _log.info("job_row_read_failed", job=route.path_suffix, error=str(error))
            return None
        # The read may have taken seconds, and the site may have no accounts any more.
        caller = call.caller.check_again()
        refusal = self._find_refusal(call, row)
        if refusal is None or not caller.account:
            return None
        if not self._uncertain.end_refused(attempt):
            return None
        self._record_refusal(call, refusal)
        response = refused(
            HTTPStatus.TOO_MANY_REQUESTS,
            "the account sends more than its rate, and the job can't be served in time",
            ACCOUNT_RATE,
        )
        return response._replace(retry_after_s=refusal.retry_after_s)

    def _find_refusal(self, call: AuthenticatedCall, row: JobRow) -> Refusal | None:
        if not (row.account and is_rated(row.spec)):
            return None
        route = call.target.route
        service = route.queue.service
        return self._admission.find_refusal(service, row.account, route.path_suffix)

    def _record_refusal(self, call: AuthenticatedCall, refusal: Refusal) -> None:
        route = call.target.route
        service = route.queue.service
        self._recorder.count(ADMISSION_REFUSALS, service=service, reason=ACCOUNT_RATE)
        _log.info(
            "job_refused",
            job=route.path_suffix,
            reason=ACCOUNT_RATE,
            service=service,
            account=call.caller.account,
            share=refusal.share,
            epoch=refusal.epoch,
            report_age_s=refusal.age_s,
            retry_after_s=refusal.retry_after_s,
        )

    def _store_submission(
        self, call: AuthenticatedCall, row: JobRow, deadline_s: float
    ) -> Response:
        (router, route), caller = call
        start_s = self._clock.monotonic_s()
        outcome = self._store.submit(
            route.path_suffix, row, caller=caller, deadline_s=deadline_s
        )
        if outcome is SubmitOutcome.UNKNOWN and caller.account:
            self._uncertain.record_unknown(route.path_suffix)
        duration_s = self._clock.monotonic_s() - start_s
        service = route.queue.service
        self._recorder.count(SUBMISSIONS, service=service, outcome=outcome.value)
        self._recorder.record(SUBMISSION_TIME, duration_s, service=service)
        _log.info(
            "job_submitted",
            job=route.path_suffix,
            queue=route.queue.name,
            account=caller.account,
            version=router.fleet.version,
            outcome=outcome,
            duration_s=round(duration_s, 3),
        )
        return self._report_submission(outcome, call)

    def read_submission(
        self, target: RouteTarget, body: bytes, account: str
    ) -> JobRow | Response:
        """Judges the body of a submission.

        :param account: name of the client account, empty if there is none.
        :returns: the job as it is to be stored, or the refusal.
        """
        limit_bytes = target.router.fleet.body_limit_bytes
        if limit_bytes and len(body) > limit_bytes:
            return refused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body has {len(body)} bytes; at most {limit_bytes} are allowed",
            )
        now_ms = int(self._clock.now().timestamp() * 1000)
        try:
            spec = self._decode_job(body)
            row = JobRow(target.queue, spec, now_ms, account)
            self._check_size(row)
            self._check_task_sizes(spec)
        except RequestError as error:
            return refused(HTTPStatus.BAD_REQUEST, str(error))
        return row

    def outage_refusal(self) -> Response | None:
        """
        :returns: the refusal of submissions during an outage of the store, ``None`` if
            there is none.
        """
        return None if self._store.is_reachable() else self._refuse_in_outage()

    def _report_submission(
        self, outcome: SubmitOutcome, call: AuthenticatedCall
    ) -> Response:
        match outcome:
            case SubmitOutcome.STORED | SubmitOutcome.REPEATED:
                return Response(HTTPStatus.OK)
            case SubmitOutcome.NOT_STORED:
                return self._refuse_in_outage()
            case SubmitOutcome.CANCELLED:
                return unavailable(
                    "the job was cancelled before it was stored; submit it under "
                    "another id",
                    self._settings.closed_location_s,
                    CANCELLED_BEFORE,
                )
            case SubmitOutcome.OTHER_ACCOUNT:
                return self._refuse_access(call)
        return refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been stored")

    def _refuse_in_outage(self) -> Response:
        """Refuses a request during an outage of the store."""
        return outage(self._store.contact_age_s(), "the store can't be reached")

    def _refuse_access(self, call: AuthenticatedCall) -> Response:
        """Refuses a call for a job of another client account."""
        suppressed_count = self._log_intervals.admit(OTHER_ACCOUNT)
        if suppressed_count is not None:
            _log.info(
                "call_refused",
                reason=OTHER_ACCOUNT,
                job=call.target.route.path_suffix,
                account=call.caller.account,
                queue=call.target.queue.name,
                version=call.target.router.fleet.version,
                suppressed_count=suppressed_count,
            )
        return refused(
            HTTPStatus.FORBIDDEN,
            "the job belongs to another client account",
            OTHER_ACCOUNT,
        )

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

    def _get_state(self, call: AuthenticatedCall) -> Response:
        route = call.target.route
        try:
            state = self._store.state(
                route.queue, route.path_suffix, caller=call.caller
            )
        except JobAccessError:
            return self._refuse_access(call)
        except RecordError as error:
            return _refuse_malformed(route.path_suffix, error)
        except PlatformError as error:
            _log.info("job_state_read_failed", job=route.path_suffix, error=str(error))
            return self._refuse_in_outage()
        if state is None:
            return refused(HTTPStatus.GONE, "no such job")
        # The read may have taken seconds.
        call.caller.check_again()
        return Response(HTTPStatus.OK, {"state": state.value})

    def _cancel(self, environ: dict, call: AuthenticatedCall) -> Response:
        route = call.target.route
        try:
            outcome = self._store.cancel(
                route.queue,
                route.path_suffix,
                caller=call.caller,
                deadline_s=self._deadline_s(environ),
            )
        except JobAccessError:
            return self._refuse_access(call)
        except RecordError as error:
            return _refuse_malformed(route.path_suffix, error)
        _log.info(
            "job_cancel_requested",
            job=route.path_suffix,
            account=call.caller.account,
            outcome=outcome,
        )
        match outcome:
            case CancelOutcome.STORED:
                return Response(HTTPStatus.OK)
            case CancelOutcome.NO_SUCH_JOB:
                return refused(HTTPStatus.GONE, "no such job")
        return refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been cancelled")

    def _get_pending(self, call: AuthenticatedCall) -> Response:
        queue = call.target.queue
        try:
            count = self._store.pending_count(queue.service, queue.name)
        except RecordError as error:
            _log.error("pending_row_malformed", queue=queue.name, error=str(error))
            return unavailable("the queue's count can't be read")
        except PlatformError as error:
            _log.info("pending_count_read_failed", queue=queue.name, error=str(error))
            return self._refuse_in_outage()
        call.caller.check_again()
        return Response(HTTPStatus.OK, {"pending": count})


def _refuse_malformed(job_id: str, error: RecordError) -> Response:
    _log.error("job_row_malformed", job=job_id, error=str(error))
    return unavailable("the job's row can't be read")
