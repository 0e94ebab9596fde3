"""WSGI application for callers."""

import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, RequestError
from sycamorecroft.metrics import (
    SUBMISSION_REFUSALS,
    SUBMISSION_TIME,
    SUBMISSIONS,
)
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.serving.job_store import CancelOutcome, JobStore, SubmitOutcome
from sycamorecroft.serving.router import Router, Target

_log = structlog.get_logger(__name__)

DEFAULT_TIMEOUT_S = 3.0
# Left for the answer's way back to the caller.
ANSWER_MARGIN_S = 0.1
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 5
TASKS_LIMIT_COUNT = 1000
ROW_MARGIN_BYTES = 4096

_JOB_ID = re.compile(r"^[0-9a-f]{16}$")


class Answer(NamedTuple):
    """Response to a caller; ``reason`` is a bounded code of a refusal."""

    status: HTTPStatus
    body: dict[str, object] | None = None
    retry_after_s: int | None = None
    reason: str = ""


class ServingSettings(NamedTuple):
    """Limits of submissions."""

    row_limit_bytes: int


class JobApplication:
    """Accepts, reports and cancels jobs.

    :param router: returns the queues in force, ``None`` while there are none.
    :param decode_job: decodes the body of a submission.
    :param machine_sizes: returns the distinct capacities of machines, none while they
        are not known.
    """

    def __init__(
        self,
        router: Callable[[], Router | None],
        decode_job: Callable[[bytes], JobSpec],
        store: JobStore,
        clock: Clock,
        settings: ServingSettings,
        recorder: Recorder | None = None,
        machine_sizes: Callable[[], tuple[Resources, ...]] = tuple,
    ) -> None:
        self._machine_sizes = machine_sizes
        self._router = router
        self._decode_job = decode_job
        self._store = store
        self._clock = clock
        self._settings = settings
        self._recorder = recorder or NullRecorder()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            answer = self._answer(environ)
        except Exception:
            _log.exception("request_failed", path=environ.get("PATH_INFO"))
            answer = _refused(HTTPStatus.BAD_GATEWAY, "internal error")
        if answer.reason:
            self._recorder.count(SUBMISSION_REFUSALS, reason=answer.reason)
        body = msgspec.json.encode(answer.body or {})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if answer.retry_after_s is not None:
            headers.append(("Retry-After", str(answer.retry_after_s)))
        start_response(f"{answer.status.value} {answer.status.phrase}", headers)
        return [body]

    def _answer(self, environ: dict) -> Answer:
        router = self._router()
        if router is None:
            return _unavailable("no configuration has been read yet")
        path = environ.get("PATH_INFO", "")
        target = router.find(environ.get("HTTP_HOST", ""), path)
        if target is None:
            return _refused(HTTPStatus.NOT_FOUND, "no queue has this host and path")
        method = environ["REQUEST_METHOD"]
        if not target.rest and method == "GET":
            return self._pending(target)
        if not _JOB_ID.match(target.rest):
            return _refused(HTTPStatus.NOT_FOUND, "an id has 16 hexadecimal digits")
        match method:
            case "POST":
                return self._submit(environ, target, router)
            case "GET":
                return self._state(target)
            case "DELETE":
                return self._cancel(environ, target)
        return _refused(HTTPStatus.METHOD_NOT_ALLOWED, "use POST, GET or DELETE")

    def _deadline_s(self, environ: dict) -> float:
        text = environ.get("HTTP_X_DEADLINE_MS", "")
        timeout_s = int(text) / 1000 if text.isdecimal() else DEFAULT_TIMEOUT_S
        return self._clock.monotonic_s() + max(0.0, timeout_s - ANSWER_MARGIN_S)

    def _submit(self, environ: dict, target: Target, router: Router) -> Answer:
        deadline_s = self._deadline_s(environ)
        body = environ["wsgi.input"].read()
        limit_bytes = router.fleet.body_limit_bytes
        if limit_bytes and len(body) > limit_bytes:
            return _refused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body has {len(body)} bytes; at most {limit_bytes} are allowed",
            )
        try:
            spec = self._decode_job(body)
            self._check_size(spec, body)
            self._check_steps(spec)
        except RequestError as error:
            _log.info("job_refused", job=target.rest, reason=str(error))
            return _refused(HTTPStatus.BAD_REQUEST, str(error))
        now_ms = int(self._clock.now().timestamp() * 1000)
        row = JobRow(target.queue, spec, now_ms)
        begin_s = self._clock.monotonic_s()
        outcome = self._store.submit(target.rest, row, deadline_s=deadline_s)
        duration_s = self._clock.monotonic_s() - begin_s
        service = target.queue.service
        self._recorder.count(SUBMISSIONS, service=service, outcome=outcome.value)
        self._recorder.record(SUBMISSION_TIME, duration_s, service=service)
        _log.info(
            "job_submitted",
            job=target.rest,
            queue=target.queue.name,
            version=router.fleet.version,
            outcome=outcome,
            duration_s=round(duration_s, 3),
        )
        match outcome:
            case SubmitOutcome.STORED | SubmitOutcome.REPEATED:
                return Answer(HTTPStatus.OK)
            case SubmitOutcome.NOT_STORED:
                return self._unreachable()
        return _refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been stored")

    def _unreachable(self) -> Answer:
        """Refuses while the store is away.

        An outage that has lasted for a while is likely to last about as long again, and
        callers try only a few times.
        """
        age_s = round(self._store.contact_age_s())
        retry_after_s = max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, age_s))
        return _unavailable("the store can't be reached", retry_after_s)

    def _check_size(self, spec: JobSpec, body: bytes) -> None:
        tasks_count = sum(step.tasks_count for step in spec.steps)
        if tasks_count > TASKS_LIMIT_COUNT:
            message = f"a job has at most {TASKS_LIMIT_COUNT} tasks, got {tasks_count}"
            raise RequestError(message)
        limit_bytes = self._settings.row_limit_bytes - ROW_MARGIN_BYTES
        if len(body) > limit_bytes:
            message = f"a job has at most {limit_bytes} bytes, got {len(body)}"
            raise RequestError(message)

    def _check_steps(self, spec: JobSpec) -> None:
        """Refuses a job with a task that no machine can ever hold."""
        sizes = self._machine_sizes()
        for number, step in enumerate(spec.steps):
            if not sizes or any(size.covers(step.allocation) for size in sizes):
                continue
            raise RequestError(
                f"a task of step {number} needs {step.allocation}, and no machine is as "
                f"large; there are {list(sizes)}: split the task"
            )

    def _state(self, target: Target) -> Answer:
        try:
            state = self._store.state(target.queue.service, target.rest)
        except PlatformError as error:
            _log.info("state_not_read", job=target.rest, error=str(error))
            return self._unreachable()
        if state is None:
            return _refused(HTTPStatus.GONE, "no such job")
        return Answer(HTTPStatus.OK, {"state": state.value})

    def _cancel(self, environ: dict, target: Target) -> Answer:
        outcome = self._store.cancel(
            target.queue.service,
            target.rest,
            deadline_s=self._deadline_s(environ),
        )
        _log.info("job_cancel_requested", job=target.rest, outcome=outcome)
        match outcome:
            case CancelOutcome.STORED:
                return Answer(HTTPStatus.OK)
            case CancelOutcome.NO_SUCH_JOB:
                return _refused(HTTPStatus.GONE, "no such job")
        return _refused(HTTPStatus.GATEWAY_TIMEOUT, "the job may have been cancelled")

    def _pending(self, target: Target) -> Answer:
        queue = target.queue
        try:
            count = self._store.pending_count(queue.service, queue.name)
        except PlatformError as error:
            _log.info("pending_not_read", queue=queue.name, error=str(error))
            return self._unreachable()
        return Answer(HTTPStatus.OK, {"pending": count})


def _refused(status: HTTPStatus, reason: str) -> Answer:
    return Answer(status, {"reason": reason}, reason=status.name.lower())


def _unavailable(reason: str, retry_after_s: int = RETRY_AFTER_MIN_S) -> Answer:
    return Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        {"reason": reason},
        retry_after_s,
        HTTPStatus.SERVICE_UNAVAILABLE.name.lower(),
    )
