"""Answers questions about placements on one node."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import RequestError, StoreUnavailableError
from sycamorecroft.explanations.messages import (
    Admission,
    ExplainOutcome,
    ExplainReply,
    ExplainRequest,
    NodeKnowledge,
    RouteFound,
)
from sycamorecroft.explanations.services import CopiedService, ServiceDirectory
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    CopyRefusal,
    explain,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.serving.application import JobApplication, is_job_id
from sycamorecroft.serving.authentication import KeyRefusal
from sycamorecroft.serving.responses import Response
from sycamorecroft.serving.router import Router, RouteTarget

_log = structlog.get_logger(__name__)

# Longest time in which the actor of a service has to answer. Its messages wait for less
# than 0.1 s unless its host is overloaded.
ACTOR_TIMEOUT_S = 1.0
# Longest time of an explanation. On 1,000 workers, 6,000 waiting tasks take 0.1 s.
EXPLAIN_LIMIT_S = 2.0
# Id of a job that is given without one; it ranks last among equals.
GIVEN_JOB_ID = "f" * 16


class NodeAges(NamedTuple):
    """Reads how old what this node knows is, in seconds."""

    configuration_age_s: Callable[[], float]
    store_contact_age_s: Callable[[], float]


class _Judged(NamedTuple):
    """A submission up to the point at which it would be stored."""

    route: RouteFound | None
    admission: Admission
    row: JobRow | None


class PlacementAnswers:
    """Answers questions about placements. Thread-safe.

    :param host: name of this entry host.
    :param router: returns the routing table in force, ``None`` before one was read.
    :param application: judges submissions.
    """

    def __init__(
        self,
        host: str,
        router: Callable[[], Router | None],
        application: JobApplication,
        services: ServiceDirectory,
        ages: NodeAges,
        clock: Clock,
    ) -> None:
        self._host = host
        self._router = router
        self._application = application
        self._services = services
        self._ages = ages
        self._clock = clock

    def answer(self, request: ExplainRequest) -> ExplainReply:
        """
        :raises RequestError: when the question is invalid.
        :raises StoreUnavailableError: when this node can't answer now.
        """
        router = self._router()
        if router is None:
            raise StoreUnavailableError("no configuration has been read yet")
        started_s = self._clock.monotonic_s()
        reply = self._answer(request, router, started_s + EXPLAIN_LIMIT_S)
        self._log_reply(request, reply, self._clock.monotonic_s() - started_s)
        return reply

    def _answer(
        self, request: ExplainRequest, router: Router, end_s: float
    ) -> ExplainReply:
        if request.job is not msgspec.UNSET:
            return self._explain_given(request, router, end_s)
        if not is_job_id(request.id):
            raise RequestError("a question needs a job or an id of 16 hex digits")
        if not request.host:
            names = [s.name for s in router.fleet.services if not s.is_standby]
            return self._explain_stored(request.id, None, names, router, end_s)
        target = self._find(request, router)
        if target is None:
            return self._refuse(router, _not_found())
        route = _describe(target)
        services = [route.service]
        return self._explain_stored(request.id, route, services, router, end_s)

    def _explain_given(
        self, request: ExplainRequest, router: Router, end_s: float
    ) -> ExplainReply:
        judged = self._judge(request, router)
        if judged.route is None or judged.row is None:
            return self._refuse(router, judged)
        suffix = request.path[len(judged.route.path_prefix) :]
        job_id = request.id or suffix or GIVEN_JOB_ID
        if not is_job_id(job_id):
            raise RequestError("the id of a job must have 16 hexadecimal digits")
        service = judged.route.service
        reply = ExplainReply(
            ExplainOutcome.NOT_OWNER,
            self._knowledge(router),
            judged.route,
            judged.admission,
            (self._services.owner(service),),
        )
        if service not in self._services.owned():
            return reply
        copied = self._copy(service, job_id, judged.row, end_s)
        return self._explain(reply, copied, end_s)

    def _explain_stored(
        self,
        job_id: str,
        route: RouteFound | None,
        services: list[str],
        router: Router,
        end_s: float,
    ) -> ExplainReply:
        owned = [name for name in self._services.owned() if name in services]
        reply = ExplainReply(
            ExplainOutcome.NO_SUCH_JOB if owned else ExplainOutcome.NOT_OWNER,
            self._knowledge(router),
            route,
            owners=tuple(map(self._services.owner, services)),
        )
        for service in owned:
            copied = self._copy(service, job_id, None, end_s)
            if copied.answer is not CopyRefusal.NO_SUCH_JOB:
                return self._explain(reply, copied, end_s)
        return reply

    def _copy(
        self, service: str, job_id: str, row: JobRow | None, end_s: float
    ) -> CopiedService:
        now_s = self._clock.monotonic_s()
        timeout_s = min(ACTOR_TIMEOUT_S, end_s - now_s)
        question = CopyPlacement(job_id, row, now_s + timeout_s)
        copied = self._services.copy_placement(service, question, timeout_s)
        if copied is None or copied.answer is CopyRefusal.EXPIRED:
            raise StoreUnavailableError(
                f"service {service} doesn't run here any more, or its decisions are "
                f"delayed by more than {timeout_s:.1f} s"
            )
        if copied.answer is CopyRefusal.TOO_LARGE:
            raise StoreUnavailableError(
                f"the state of service {service} is too large to be copied"
            )
        return copied

    def _explain(
        self, reply: ExplainReply, copied: CopiedService, end_s: float
    ) -> ExplainReply:
        answer = copied.answer
        assert isinstance(answer, CopiedPlacement)
        placement = explain(answer, lambda: self._clock.monotonic_s() >= end_s)
        return ExplainReply(
            ExplainOutcome.EXPLAINED,
            reply.node,
            reply.route,
            reply.admission,
            (self._services.owner(answer.service),),
            copied.claim_confirmed_age_s,
            round(self._clock.monotonic_s() - answer.taken_s, 3),
            placement,
        )

    def _find(self, request: ExplainRequest, router: Router) -> RouteTarget | None:
        route = router.find(request.host, request.path)
        return RouteTarget(router, route) if route is not None else None

    def _judge(self, request: ExplainRequest, router: Router) -> _Judged:
        target = self._find(request, router)
        if target is None:
            return _not_found()
        route = _describe(target)
        is_known, refusal = _check_account(request.account, target)
        if refusal is not None:
            status = HTTPStatus.UNAUTHORIZED
            admission = Admission(False, status, refusal, is_account_known=is_known)
            return _Judged(route, admission, None)
        account = request.account if is_known else ""
        assert request.job is not msgspec.UNSET
        row = self._application.read_submission(target, bytes(request.job), account)
        if isinstance(row, Response):
            return _Judged(route, _refusal(row, is_known), None)
        outage = self._application.outage_refusal()
        if outage is not None:
            return _Judged(route, _refusal(outage, is_known), None)
        admission = Admission(True, HTTPStatus.OK, is_account_known=is_known)
        return _Judged(route, admission, row)

    def _refuse(self, router: Router, judged: _Judged) -> ExplainReply:
        return ExplainReply(
            ExplainOutcome.REFUSED,
            self._knowledge(router),
            judged.route,
            judged.admission,
        )

    def _knowledge(self, router: Router) -> NodeKnowledge:
        return NodeKnowledge(
            self._host,
            router.fleet.version,
            round(self._ages.configuration_age_s(), 3),
            round(self._ages.store_contact_age_s(), 3),
        )

    def _log_reply(
        self, request: ExplainRequest, reply: ExplainReply, duration_s: float
    ) -> None:
        """Logs an answer; an unknown account isn't named, since it may be a key."""
        placement, admission = reply.placement, reply.admission
        is_known = admission is not None and admission.is_account_known
        _log.info(
            "placement_explained",
            outcome=reply.outcome,
            job=placement.job.id if placement else None,
            is_stored=request.job is msgspec.UNSET,
            service=reply.route.service if reply.route else None,
            account=request.account if is_known else None,
            reason=admission.reason if admission else None,
            version=reply.node.configuration_version,
            configuration_age_s=reply.node.configuration_age_s,
            claim_confirmed_age_s=reply.claim_confirmed_age_s,
            epoch=placement.epoch if placement else None,
            position=placement.rank.position if placement and placement.rank else None,
            duration_s=round(duration_s, 3),
        )


def _describe(target: RouteTarget) -> RouteFound:
    queue = target.queue
    return RouteFound(queue.name, queue.service, queue.path_prefix, target.is_public)


def _not_found() -> _Judged:
    text = "no queue matches this host name and path"
    admission = Admission(False, HTTPStatus.NOT_FOUND, "not_found", text)
    return _Judged(None, admission, None)


def _refusal(response: Response, is_account_known: bool | None) -> Admission:
    text = str((response.body or {}).get("reason", ""))
    return Admission(False, response.status, response.reason, text, is_account_known)


def _check_account(
    account: str, target: RouteTarget
) -> tuple[bool | None, KeyRefusal | None]:
    """Judges an account by its name, as its calls are judged by their keys.

    :returns: whether the account is known, ``None`` if that doesn't matter, and why its
        calls would be refused.
    """
    accounts = target.router.fleet.accounts
    if accounts is None:
        return None, None
    if not account:
        return None, None if target.is_public else KeyRefusal.MISSING
    if any(item.name == account for item in accounts):
        return True, None
    return False, KeyRefusal.UNKNOWN
