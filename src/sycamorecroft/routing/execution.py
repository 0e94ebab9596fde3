"""Execution of a request by the entry host: slot, claim, dispatch and retries."""

import time
from collections.abc import Callable, Mapping
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

from sycamorecroft.claims.interfaces import (
    ClaimKey,
    Claims,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import ServiceConfiguration, Urgency
from sycamorecroft.errors import NotRunError, RequestError
from sycamorecroft.invariants import check_not_run_is_true, check_single_dispatch
from sycamorecroft.routing.dispatch import (
    AttemptKind,
    AttemptOutcome,
    AttemptReason,
    BackendRequest,
    Dispatcher,
)
from sycamorecroft.routing.interfaces import SlotDemand, SlotSource
from sycamorecroft.routing.messages import SlotGrant
from sycamorecroft.routing.retry import RetryBudget

MAX_ATTEMPTS_COUNT = 4
"""Limit of attempts per request. It also bounds attempts that were not sent, which
spend no retry budget because they cost a worker nothing."""

TIMEOUT_FAILURE_RATIO = 0.5
"""A timeout counts as a failure of the worker only after at least this part of the
service's timeout. Otherwise callers with very short timeouts could eject healthy
workers for all callers."""

_HOST_FAILURES = frozenset(
    (
        AttemptReason.CONNECT_FAILED,
        AttemptReason.REFUSED_BY_WORKER,
        AttemptReason.RESPONSE_BROKEN,
        AttemptReason.RESPONSE_MISMATCH,
        AttemptReason.RESPONSE_UNBOUNDED,
    )
)

CLAIM_PENDING = "claim_pending"
GRANTED = "granted"
_CLAIM_RESULTS = {
    HeldClaim: "held",
    PendingClaim: CLAIM_PENDING,
    RecordedResponse: "recorded",
}

# A grant that is older than this before its dispatch, because the process paused or the
# claim was slow, is released unused: an owner reclaims the grants of a requester after
# 2 s without contact.
MAX_GRANT_AGE_S = 1.5
STALE_GRANT = "stale_grant"

# A repeated request often arrives while the response to the first one is being
# recorded. Its claim is therefore looked up again after these waits, in seconds, while
# no slot is held.
PENDING_WAITS_S = (0.05, 0.1, 0.2, 0.4, 0.8)
DEADLINE = "deadline"


class Outcome(StrEnum):
    """Outcome of a request as reported to the caller."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ServiceRequest(NamedTuple):
    """Admitted request of a caller. ``deadline_s`` is monotonic time.

    ``is_repeatable`` is ``False`` if the service or the caller declares the request as
    not repeatable; it then needs an ``idempotency_key``.
    """

    request_id: str
    account: str
    service: str
    team: str
    urgency: Urgency
    deadline_s: float
    is_repeatable: bool
    idempotency_key: str | None
    headers: Mapping[str, str]
    body: bytes


class StepKind(StrEnum):
    """Kind of a step in the execution of a request."""

    QUEUE = "queue"
    CLAIM = "claim"
    ATTEMPT = "attempt"


class ExecutionStep(NamedTuple):
    """Completed step. ``result`` is one of a fixed set of codes.

    ``is_retried`` marks an attempt that another one follows.
    """

    kind: StepKind
    result: str
    duration_s: float
    host: str | None = None
    is_retried: bool = False


class Execution(NamedTuple):
    """Outcome of a request; ``response`` is set exactly if the outcome is ``RUN``.

    ``is_recorded`` marks the recorded response of an earlier attempt.
    """

    outcome: Outcome
    reason: str | None
    response: RecordedResponse | None
    attempts_count: int
    is_recorded: bool
    steps: tuple[ExecutionStep, ...] = ()


class _Dependencies(NamedTuple):
    slots: SlotSource
    claims: Claims
    dispatcher: Dispatcher
    retry_budget: RetryBudget
    clock: Clock
    sleep: Callable[[float], object]


class RequestExecutor:
    """Executes requests. Thread-safe; blocks the calling thread until the outcome."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        claims: Claims,
        dispatcher: Dispatcher,
        retry_budget: RetryBudget,
        clock: Clock,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self._dependencies = _Dependencies(
            slots=slots,
            claims=claims,
            dispatcher=dispatcher,
            retry_budget=retry_budget,
            clock=clock,
            sleep=sleep,
        )

    def execute(
        self, request: ServiceRequest, service: ServiceConfiguration
    ) -> Execution:
        """Executes a request with as many attempts as its outcome allows.

        :returns: the outcome with the steps that led to it.
        :raises RequestError: if a request that isn't repeatable has no idempotency
            key, or its key was used with another body.
        """
        if not request.is_repeatable and not request.idempotency_key:
            message = (
                f"request {request.request_id!r} to service {request.service!r} is not "
                "repeatable and has no idempotency key; send Idempotency-Key"
            )
            raise RequestError(message)
        self._dependencies.retry_budget.record_request()
        execution_state = _RequestExecution(self._dependencies, request, service)
        execution = execution_state.execute()
        return execution._replace(steps=tuple(execution_state.steps))


class _RequestExecution:
    """Execution of one request, and its state between attempts."""

    def __init__(
        self,
        dependencies: _Dependencies,
        request: ServiceRequest,
        service: ServiceConfiguration,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._service = service
        self._claim: HeldClaim | None = None
        self._excluded_hosts: tuple[str, ...] = ()
        self._attempts_count = 0
        self._uncertain_count = 0
        self._uncertain_reason: str | None = None
        self._last_attempt: AttemptOutcome | None = None
        self.steps: list[ExecutionStep] = []

    def execute(self) -> Execution:
        while True:
            started_s = self._dependencies.clock.monotonic_s()
            try:
                grant = self._dependencies.slots.acquire(self._demand())
                self._record_step(StepKind.QUEUE, GRANTED, started_s, grant.host)
            except NotRunError as error:
                self._record_step(StepKind.QUEUE, error.reason, started_s)
                return self._end_without_response(error.reason)
            execution = self._use_grant(grant)
            if execution is not None and execution.reason == CLAIM_PENDING:
                execution = self._await_claim(execution)
            if execution is not None:
                return execution

    def _record_step(
        self, kind: StepKind, result: str, started_s: float, host: str | None = None
    ) -> None:
        duration_s = self._dependencies.clock.monotonic_s() - started_s
        self.steps.append(ExecutionStep(kind, result, duration_s, host))

    def _await_claim(self, pending: Execution) -> Execution | None:
        """Waits for another attempt that holds the claim of the same request.

        :returns: the recorded response or ``pending``; ``None`` if the other attempt
            released the claim and this request now holds it.
        """
        for wait_s in PENDING_WAITS_S:
            if (
                self._dependencies.clock.monotonic_s() + wait_s
                >= self._request.deadline_s
            ):
                return pending
            self._dependencies.sleep(wait_s)
            execution = self._prepare_dispatch()
            if execution is None or execution.outcome is Outcome.RUN:
                return execution
            if execution.outcome is Outcome.NOT_RUN:
                # Only the look-up failed; the other attempt may have run.
                return pending
        return pending

    def _demand(self) -> SlotDemand:
        request = self._request
        return SlotDemand(
            request.service,
            request.team,
            request.urgency,
            request.deadline_s,
            self._excluded_hosts,
        )

    def _use_grant(self, grant: SlotGrant) -> Execution | None:
        """
        :returns: the final outcome, ``None`` if a further attempt is to be made.
        """
        attempt: AttemptOutcome | None = None
        granted_s = self._dependencies.clock.monotonic_s()
        try:
            execution = self._prepare_dispatch()
            if execution is not None:
                return execution
            if self._dependencies.clock.monotonic_s() - granted_s > MAX_GRANT_AGE_S:
                self._record_step(StepKind.QUEUE, STALE_GRANT, granted_s, grant.host)
                return None
            attempt = self._dispatch(grant)
        finally:
            self._release(grant, attempt)
        return self._handle_outcome(grant, attempt)

    def _release(self, grant: SlotGrant, attempt: AttemptOutcome | None) -> None:
        is_dispatched = attempt is not None and attempt.has_sent_bytes
        self._dependencies.slots.release(
            grant,
            service_time_s=attempt.elapsed_s if is_dispatched else None,
            host_failed=attempt is not None and self._is_host_failure(attempt),
        )

    def _prepare_dispatch(self) -> Execution | None:
        """Claims a request that isn't repeatable, and checks the deadline.

        :returns: the final outcome, ``None`` if the request may be dispatched.
        """
        if self._request.is_repeatable or self._claim is not None:
            return self._check_deadline()
        request = self._request
        key = ClaimKey(request.account, request.service, request.idempotency_key or "")
        started_s = self._dependencies.clock.monotonic_s()
        try:
            claim = self._dependencies.claims.claim(
                key, body_digest=_digest(request), deadline_s=request.deadline_s
            )
        except NotRunError as error:
            self._record_step(StepKind.CLAIM, error.reason, started_s)
            return self._end_without_response(error.reason)
        self._record_step(StepKind.CLAIM, _CLAIM_RESULTS[type(claim)], started_s)
        if isinstance(claim, RecordedResponse):
            return Execution(Outcome.RUN, None, claim, self._attempts_count, True)
        if isinstance(claim, PendingClaim):
            return self._execution(Outcome.UNKNOWN, CLAIM_PENDING)
        self._claim = claim
        return self._check_deadline()

    def _check_deadline(self) -> Execution | None:
        if self._dependencies.clock.monotonic_s() < self._request.deadline_s:
            return None
        return self._end_without_response(DEADLINE)

    def _dispatch(self, grant: SlotGrant) -> AttemptOutcome:
        request = self._request
        if not request.is_repeatable:
            check_single_dispatch(request.request_id, self._uncertain_count)
        self._attempts_count += 1
        backend_request = BackendRequest(
            request.request_id, request.service, request.headers, request.body
        )
        return self._dependencies.dispatcher.dispatch(
            grant.address,
            backend_request,
            deadline_s=request.deadline_s,
            refusal_statuses=self._service.refusal_statuses,
        )

    def _handle_outcome(
        self, grant: SlotGrant, attempt: AttemptOutcome
    ) -> Execution | None:
        self._last_attempt = attempt
        result = str(attempt.reason or attempt.kind)
        step = ExecutionStep(StepKind.ATTEMPT, result, attempt.elapsed_s, grant.host)
        self.steps.append(step)
        if attempt.kind is AttemptKind.COMPLETE:
            if self._claim is not None:
                self._dependencies.claims.record(self._claim, attempt.response)
            return Execution(
                Outcome.RUN, None, attempt.response, self._attempts_count, False
            )
        if attempt.kind is AttemptKind.MAY_HAVE_RUN:
            self._uncertain_count += 1
            self._uncertain_reason = str(attempt.reason)
        if self._may_retry(attempt):
            self._excluded_hosts += (grant.host,)
            self.steps[-1] = step._replace(is_retried=True)
            return None
        return self._end_without_response(str(attempt.reason))

    def _may_retry(self, attempt: AttemptOutcome) -> bool:
        if self._attempts_count >= MAX_ATTEMPTS_COUNT:
            return False
        if attempt.reason in (
            AttemptReason.INVALID_REQUEST,
            AttemptReason.RESPONSE_TOO_LARGE,
        ):
            return False
        if self._uncertain_count and not self._request.is_repeatable:
            return False
        if self._dependencies.clock.monotonic_s() >= self._request.deadline_s:
            return False
        if attempt.kind is AttemptKind.NOT_SENT:
            return True
        return self._dependencies.retry_budget.try_spend()

    def _end_without_response(self, reason: str) -> Execution:
        """Ends a request without a response: not run, or unknown if it may have run."""
        if self._uncertain_reason is not None:
            return self._execution(Outcome.UNKNOWN, self._uncertain_reason)
        last_attempt = self._last_attempt
        check_not_run_is_true(
            self._request.request_id,
            bytes_sent=last_attempt is not None and last_attempt.has_sent_bytes,
            refused=last_attempt is not None
            and last_attempt.kind is AttemptKind.REFUSED,
        )
        if self._claim is not None:
            self._dependencies.claims.release(self._claim)
        return self._execution(Outcome.NOT_RUN, reason)

    def _is_host_failure(self, attempt: AttemptOutcome) -> bool:
        if attempt.reason is AttemptReason.RESPONSE_TIMEOUT:
            service_timeout_s = self._service.timeout_s
            return attempt.elapsed_s >= TIMEOUT_FAILURE_RATIO * service_timeout_s
        return attempt.reason in _HOST_FAILURES

    def _execution(self, outcome: Outcome, reason: str) -> Execution:
        return Execution(outcome, reason, None, self._attempts_count, False)


def _digest(request: ServiceRequest) -> str:
    content_type = next(
        (
            value
            for name, value in request.headers.items()
            if name.lower() == "content-type"
        ),
        "",
    )
    digest = sha256(content_type.encode())
    digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
