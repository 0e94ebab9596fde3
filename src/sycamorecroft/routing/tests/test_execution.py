"""Tests of the request executor with fakes of its dependencies."""

import pytest

from sycamorecroft.claims.interfaces import (
    ClaimKey,
    Claims,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration.fleet import ServiceConfiguration, Urgency
from sycamorecroft.errors import InvariantError, NotRunError, RequestError
from sycamorecroft.routing.dispatch import AttemptKind, AttemptOutcome, AttemptReason
from sycamorecroft.routing.execution import (
    PENDING_WAITS_S,
    Outcome,
    RequestExecutor,
    ServiceRequest,
)
from sycamorecroft.routing.interfaces import SlotSource
from sycamorecroft.routing.messages import SlotGrant
from sycamorecroft.routing.retry import RetryBudget

SERVICE = ServiceConfiguration(
    "rating", "ondangwa", "rating", False, Urgency.NORMAL, 10.0, 1000, (503,)
)
REQUEST = ServiceRequest(
    "r1", "ondangwa", "rating", "inspectors", Urgency.NORMAL, 10.0, True, "k1", {}, b"x"
)
NON_REPEATABLE = REQUEST._replace(is_repeatable=False)
RESPONSE = RecordedResponse(200, {}, b"fit")

COMPLETE = AttemptOutcome(AttemptKind.COMPLETE, None, RESPONSE, True, 0.1)
NOT_SENT = AttemptOutcome(
    AttemptKind.NOT_SENT, AttemptReason.CONNECT_FAILED, None, False, 0.1
)
REFUSED = AttemptOutcome(
    AttemptKind.REFUSED, AttemptReason.REFUSED_BY_WORKER, None, True, 0.1
)
BROKEN = AttemptOutcome(
    AttemptKind.MAY_HAVE_RUN, AttemptReason.RESPONSE_BROKEN, None, True, 0.1
)
TOO_LARGE = BROKEN._replace(reason=AttemptReason.RESPONSE_TOO_LARGE)
TIMEOUT = BROKEN._replace(reason=AttemptReason.RESPONSE_TIMEOUT)


class FakeSlots(SlotSource):
    def __init__(self, grants_count=9):
        self.grants_count = grants_count
        self.demands = []
        self.held = {}
        self.releases = []

    def acquire(self, demand):
        self.demands.append(demand)
        if len(self.demands) > self.grants_count:
            raise NotRunError("expected_wait", "slot request refused")
        ticket = f"t{len(self.demands)}"
        self.held[ticket] = SlotGrant(ticket, "e1", f"w{len(self.demands)}", "ip:1")
        return self.held[ticket]

    def release(self, grant, *, service_time_s, host_failed):
        del self.held[grant.ticket]
        self.releases.append((service_time_s, host_failed))


class FakeClaims(Claims):
    def __init__(self, result=None):
        self.result = result
        self.claims_count = 0
        self.recorded = []
        self.released = []

    def claim(self, key, *, body_digest, deadline_s):
        self.claims_count += 1
        if isinstance(self.result, Exception):
            raise self.result
        return self.result or HeldClaim(key, "token")

    def record(self, claim, response):
        self.recorded.append(response)

    def release(self, claim):
        self.released.append(claim)


class FakeDispatcher:
    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)

    def dispatch(self, address, request, *, deadline_s, refusal_statuses):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class ExecutorFixture:
    def __init__(self, *outcomes, claims=None, grants_count=9, burst_count=10.0):
        self.slots = FakeSlots(grants_count)
        is_fake = isinstance(claims, FakeClaims)
        self.claims = claims if is_fake else FakeClaims(claims)
        self.dispatcher = FakeDispatcher(*outcomes)
        self.clock = ManualClock()
        self.retries = []
        self.executor = RequestExecutor(
            slots=self.slots, claims=self.claims, dispatcher=self.dispatcher,
            retry_budget=RetryBudget(burst_count=burst_count), clock=self.clock,
            sleep=self.clock.advance,
        )  # fmt: skip

    def run(self, request):
        execution = self.executor.execute(request, SERVICE)
        self.retries += [step.result for step in execution.steps if step.is_retried]
        return execution


# Each path: request, attempts, claim result, number of grants, expected outcome and
# reason, numbers of attempts, recorded and released claims.
PATHS = {
    "complete": (REQUEST, [COMPLETE], None, 9, "run", None, 1, 0, 0),
    "no slot": (REQUEST, [], None, 0, "not-run", "expected_wait", 0, 0, 0),
    "not sent, then complete": (
        NON_REPEATABLE, [NOT_SENT, COMPLETE], None, 9, "run", None, 2, 1, 0),
    "refused, then complete": (
        NON_REPEATABLE, [REFUSED, COMPLETE], None, 9, "run", None, 2, 1, 0),
    "broken, then complete": (
        REQUEST, [BROKEN, COMPLETE], None, 9, "run", None, 2, 0, 0),
    "broken, not repeatable": (
        NON_REPEATABLE, [BROKEN], None, 9, "unknown", "response_broken", 1, 0, 0),
    "refused, then broken": (
        NON_REPEATABLE, [REFUSED, BROKEN], None, 9,
        "unknown", "response_broken", 2, 0, 0),
    "broken, then not sent": (
        REQUEST, [BROKEN, NOT_SENT], None, 2, "unknown", "response_broken", 2, 0, 0),
    "too large": (
        REQUEST, [TOO_LARGE], None, 9, "unknown", "response_too_large", 1, 0, 0),
    "never sent": (
        NON_REPEATABLE, [NOT_SENT] * 4, None, 9, "not-run", "connect_failed", 4, 0, 1),
    "not sent, no further slot": (
        NON_REPEATABLE, [NOT_SENT], None, 1, "not-run", "expected_wait", 1, 0, 1),
    "claim outcome unknown": (
        NON_REPEATABLE, [], NotRunError("claim_unknown", "no answer"), 9,
        "not-run", "claim_unknown", 0, 0, 0),
    "claim of another attempt": (
        NON_REPEATABLE, [], PendingClaim(ClaimKey("ondangwa", "rating", "k1")), 9,
        "unknown", "claim_pending", 0, 0, 0),
    "recorded response": (NON_REPEATABLE, [], RESPONSE, 9, "run", None, 0, 0, 0),
}  # fmt: skip


class ResolvingClaims(FakeClaims):
    """Claims that are pending at the first look-up and then return ``result``."""

    def claim(self, key, *, body_digest, deadline_s):
        self.claims_count += 1
        if self.claims_count == 1:
            return PendingClaim(key)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result or HeldClaim(key, "token")


@pytest.mark.parametrize(
    ("resolved", "outcome", "attempts_count"),
    [
        (RESPONSE, "run", 0),
        (None, "run", 1),
        (NotRunError("store_unavailable", "no answer"), "unknown", 0),
    ],
    ids=["recorded", "released", "store unavailable"],
)
def test_pending_claim_is_looked_up_again(resolved, outcome, attempts_count):
    """Guards against reporting not-run although another attempt may have run."""
    fixture = ExecutorFixture(
        *[COMPLETE] * attempts_count, claims=ResolvingClaims(resolved)
    )
    execution = fixture.run(NON_REPEATABLE)
    assert (execution.outcome, execution.attempts_count) == (outcome, attempts_count)
    assert fixture.slots.held == {}


@pytest.mark.parametrize("path", PATHS)
def test_each_path_reports_its_outcome_and_releases_the_slot(path):
    """Guards against a slot or claim that isn't released, and against a second run."""
    request, attempts, claims, grants_count, *expected = PATHS[path]
    outcome, reason, attempts_count, recorded_count, released_count = expected
    fixture = ExecutorFixture(*attempts, claims=claims, grants_count=grants_count)
    execution = fixture.run(request)
    assert (execution.outcome, execution.reason) == (outcome, reason)
    assert execution.attempts_count == attempts_count
    assert (execution.response is not None) == (outcome == "run")
    assert len(fixture.claims.recorded) == recorded_count
    assert len(fixture.claims.released) == released_count
    is_pending = reason == "claim_pending"
    assert fixture.claims.claims_count <= 1 + is_pending * len(PENDING_WAITS_S)
    assert fixture.slots.held == {}
    assert fixture.dispatcher.outcomes == []


@pytest.mark.parametrize(
    ("request_", "attempt", "claims"),
    [
        (NON_REPEATABLE, None, RequestError("key used with another body")),
        (NON_REPEATABLE, None, RuntimeError("claims")),
        (REQUEST, RuntimeError("dispatch"), None),
    ],
)
def test_slot_is_released_when_a_dependency_raises(request_, attempt, claims):
    fixture = ExecutorFixture(attempt, claims=claims)
    with pytest.raises((RequestError, RuntimeError)):
        fixture.run(request_)
    assert fixture.slots.held == {}


def test_non_repeatable_request_needs_an_idempotency_key():
    fixture = ExecutorFixture()
    with pytest.raises(RequestError, match="Idempotency-Key"):
        fixture.run(NON_REPEATABLE._replace(idempotency_key=None))
    assert fixture.slots.demands == []


def test_retry_avoids_the_hosts_that_failed():
    fixture = ExecutorFixture(NOT_SENT, NOT_SENT, COMPLETE)
    fixture.run(REQUEST)
    assert fixture.slots.demands[2].excluded_hosts == ("w1", "w2")
    assert fixture.slots.releases == [(None, True), (None, True), (0.1, False)]
    assert fixture.retries == ["connect_failed", "connect_failed"]


def test_retries_stay_within_the_budget():
    """Guards against a retry storm.

    Without the budget 1,000 failing requests would cause 3,000 retries.
    """
    attempts = [BROKEN] * 1200
    fixture = ExecutorFixture(*attempts, grants_count=len(attempts))
    for _ in range(1000):
        assert fixture.run(REQUEST).outcome is Outcome.UNKNOWN
    assert 100 <= len(fixture.retries) <= 110


def test_short_timeout_of_a_caller_does_not_count_against_the_worker():
    """Guards against ejection of healthy workers by very short timeouts."""
    fixture = ExecutorFixture(TIMEOUT, TIMEOUT._replace(elapsed_s=6.0), burst_count=0.0)
    fixture.run(REQUEST)
    fixture.run(REQUEST)
    assert [failed for _, failed in fixture.slots.releases] == [False, True]


def test_deadline_that_passes_after_the_grant_is_not_run():
    fixture = ExecutorFixture()
    fixture.clock.advance(11.0)
    execution = fixture.run(NON_REPEATABLE)
    assert (execution.outcome, execution.reason) == ("not-run", "deadline")
    assert len(fixture.claims.released) == 1
    assert fixture.slots.releases == [(None, False)]


def test_inconsistent_attempt_outcome_raises():
    """Guards against reporting not-run for an attempt that sent bytes (I4)."""
    fixture = ExecutorFixture(NOT_SENT._replace(has_sent_bytes=True), grants_count=1)
    with pytest.raises(InvariantError, match="^I4:"):
        fixture.run(REQUEST)


class SlowClaims(FakeClaims):
    """Claims that succeed only after the process has paused for 2 s."""

    clock = None

    def claim(self, key, *, body_digest, deadline_s):
        self.clock.advance(2.0)
        return super().claim(key, body_digest=body_digest, deadline_s=deadline_s)


def test_grant_that_is_too_old_before_its_dispatch_is_released():
    """Guards against a dispatch on a slot that the owner has reclaimed."""
    claims = SlowClaims()
    fixture = ExecutorFixture(COMPLETE, claims=claims)
    claims.clock = fixture.clock
    execution = fixture.run(NON_REPEATABLE)
    assert (execution.outcome, execution.attempts_count) == ("run", 1)
    assert len(fixture.slots.demands) == 2
    assert claims.claims_count == 1
    assert fixture.slots.releases[0] == (None, False)
