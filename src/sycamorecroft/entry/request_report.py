"""Reporting of callers' requests to metrics, the log and the failure records."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.entry.request_records import (
    MESSAGE_LIMIT_CHARACTERS,
    RequestRecord,
    RequestRecords,
    RequestStep,
)
from sycamorecroft.errors import NotRunError, OutcomeUnknownError, SycamorecroftError
from sycamorecroft.routing.execution import ExecutionStep, Outcome, StepKind
from sycamorecroft.telemetry import Telemetry

LOG_LINES_PER_S = 10.0
"""Bounds the log lines that a flood of refusals writes; metrics count every refusal."""

LOG_BURST_COUNT = 50.0
ADMITTED = "admitted"
BAD_REQUEST = "bad_request"
INTERNAL = "internal"
_MS_PER_S = 1000.0

_log = structlog.get_logger()


class RequestTrace:
    """Data collected about a request while it is handled. Not thread-safe."""

    def __init__(self, request_id: str, started_s: float, body_bytes: int) -> None:
        """
        :param started_s: monotonic time at which the handler started.
        """
        self.request_id = request_id
        self.started_s = started_s
        self.body_bytes = body_bytes
        self.service: str | None = None
        self.team: str | None = None
        self.urgency: str | None = None
        self.admission: str | None = None
        self.steps: tuple[ExecutionStep, ...] = ()


class LogRateLimiter:
    """Token bucket that limits the rate of log lines. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = LOG_BURST_COUNT
        self._refilled_s = clock.monotonic_s()
        self._suppressed_count = 0
        self._lock = threading.Lock()

    def admit(self) -> int | None:
        """
        :returns: number of lines suppressed since the last one admitted, ``None`` if
            this line is to be suppressed too.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            refill = (now_s - self._refilled_s) * LOG_LINES_PER_S
            self._tokens = min(LOG_BURST_COUNT, self._tokens + refill)
            self._refilled_s = now_s
            if self._tokens < 1.0:
                self._suppressed_count += 1
                return None
            self._tokens -= 1.0
            suppressed_count, self._suppressed_count = self._suppressed_count, 0
            return suppressed_count


class _FailureResult(NamedTuple):
    outcome: Outcome
    reason: str
    message: str


class RequestReporter:
    """Reports each request once, when it ends. Thread-safe."""

    def __init__(
        self, telemetry: Telemetry, records: RequestRecords, clock: Clock
    ) -> None:
        self._telemetry = telemetry
        self._records = records
        self._clock = clock
        self._log_limiter = LogRateLimiter(clock)

    def report_completed(self, trace: RequestTrace) -> None:
        """Reports a request whose response is returned to the caller."""
        self._count(trace, Outcome.RUN)
        _log.debug("request_run", **self._fields(trace))

    def report_failure(self, trace: RequestTrace, error: Exception) -> None:
        """Reports a request that was not run or whose outcome is unknown.

        Metrics and records cover every failure; log lines are rate-limited.
        """
        result = _to_failure_result(error)
        self._count(trace, result.outcome)
        if result.outcome is Outcome.NOT_RUN:
            self._telemetry.count_refusal(trace.service, result.reason)
        self._records.add(self._record(trace, result))
        suppressed_count = self._log_limiter.admit()
        if suppressed_count is None:
            return
        is_not_run = result.outcome is Outcome.NOT_RUN
        _log.info(
            "request_not_run" if is_not_run else "request_unknown",
            outcome=result.outcome.value,
            reason=result.reason,
            suppressed_count=suppressed_count,
            **self._fields(trace),
        )

    def _count(self, trace: RequestTrace, outcome: Outcome) -> None:
        service = trace.service
        self._telemetry.count_request(service, outcome)
        for step in trace.steps:
            if step.kind is StepKind.QUEUE:
                self._telemetry.record_queue_time(service, step.duration_s)
            elif step.kind is StepKind.ATTEMPT:
                self._telemetry.record_service_time(service, step.duration_s)
            if step.is_retried:
                self._telemetry.count_retry(service, step.result)

    def _fields(self, trace: RequestTrace) -> dict[str, object]:
        return {
            "request_id": trace.request_id,
            "service": trace.service,
            "duration_ms": self._elapsed_ms(trace),
            "queue_ms": _duration_ms(trace.steps, StepKind.QUEUE),
            "attempt_ms": _duration_ms(trace.steps, StepKind.ATTEMPT),
            "attempts_count": sum(
                step.kind is StepKind.ATTEMPT for step in trace.steps
            ),
            "body_bytes": trace.body_bytes,
        }

    def _record(self, trace: RequestTrace, result: _FailureResult) -> RequestRecord:
        return RequestRecord(
            request_id=trace.request_id,
            ended_at=self._clock.now().isoformat(timespec="milliseconds"),
            ended_s=self._clock.monotonic_s(),
            service=trace.service,
            team=trace.team,
            urgency=trace.urgency,
            outcome=result.outcome.value,
            reason=result.reason,
            message=result.message[:MESSAGE_LIMIT_CHARACTERS],
            body_bytes=trace.body_bytes,
            duration_ms=self._elapsed_ms(trace),
            steps=tuple(_to_request_steps(trace, result)),
        )

    def _elapsed_ms(self, trace: RequestTrace) -> float:
        return _ms(self._clock.monotonic_s() - trace.started_s)


def _to_failure_result(error: Exception) -> _FailureResult:
    if isinstance(error, OutcomeUnknownError):
        return _FailureResult(Outcome.UNKNOWN, error.reason, str(error))
    if isinstance(error, NotRunError):
        return _FailureResult(Outcome.NOT_RUN, error.reason, str(error))
    if isinstance(error, SycamorecroftError):
        return _FailureResult(Outcome.NOT_RUN, BAD_REQUEST, str(error))
    return _FailureResult(Outcome.UNKNOWN, INTERNAL, type(error).__name__)


def _to_request_steps(
    trace: RequestTrace, result: _FailureResult
) -> Iterable[RequestStep]:
    if trace.admission is None:
        yield RequestStep("headers", result.reason, None, 0.0)
        return
    yield RequestStep("headers", "accepted", None, 0.0)
    yield RequestStep("admission", trace.admission, None, 0.0)
    for step in trace.steps:
        yield RequestStep(step.kind.value, step.result, step.host, _ms(step.duration_s))


def _duration_ms(steps: Iterable[ExecutionStep], kind: StepKind) -> float:
    return _ms(sum(step.duration_s for step in steps if step.kind is kind))


def _ms(duration_s: float) -> float:
    return round(duration_s * _MS_PER_S, 3)
