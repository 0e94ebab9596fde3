"""Requests of callers to a service."""

from collections.abc import Callable, Mapping

from werkzeug.wrappers import Request

from sycamorecroft.admission.in_flight_limit import InFlightLimit, RequestFlow
from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.entry.application import Answer, Route
from sycamorecroft.entry.headers import OWN_PREFIX
from sycamorecroft.entry.parsing import Call, CallerRequest, parse_call
from sycamorecroft.entry.request_report import (
    ADMITTED,
    RequestReporter,
    RequestTrace,
)
from sycamorecroft.errors import NotRunError, OutcomeUnknownError
from sycamorecroft.routing.execution import (
    Execution,
    Outcome,
    RequestExecutor,
    ServiceRequest,
)

RECORDED_HEADER = "Sycamorecroft-Recorded"


class CallerHandlers:
    """Handlers of the caller interface.

    :param configuration: returns the configuration in force, ``None`` until ready.
    """

    def __init__(
        self,
        executor: RequestExecutor,
        limit: InFlightLimit,
        configuration: Callable[[], FleetConfiguration | None],
        clock: Clock,
        reporter: RequestReporter,
    ) -> None:
        self._executor = executor
        self._limit = limit
        self._configuration = configuration
        self._clock = clock
        self._reporter = reporter

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes of the caller interface.
        """
        path = "/v1/services/<service>/requests"
        return (Route("POST", path, self.run_request),)

    def run_request(self, request: Request, request_id: str, service: str) -> Answer:
        """Runs a request on a backend server of the service."""
        body = request.get_data()
        trace = RequestTrace(request_id, self._clock.monotonic_s(), len(body))
        try:
            execution = self._run(
                Call(request_id, service, request.headers, body), trace
            )
        except Exception as error:
            self._reporter.report_failure(trace, error)
            raise
        self._reporter.report_run(trace)
        return self._answer(execution)

    def _run(self, call: Call, trace: RequestTrace) -> Execution:
        configuration = self._configuration()
        if configuration is None:
            raise NotRunError("not_ready", "no configuration is in force here yet")
        if call.service in configuration.services:
            trace.service = call.service
        parsed = parse_call(call, configuration)
        trace.team, trace.urgency = parsed.team, parsed.urgency.value
        return self._admit_and_execute(parsed, trace)

    def _admit_and_execute(
        self, parsed: CallerRequest, trace: RequestTrace
    ) -> Execution:
        service, size_bytes = parsed.service.name, len(parsed.body)
        flow = RequestFlow(service, parsed.urgency, parsed.team)
        refusal = self._limit.admit(flow, size_bytes)
        trace.admission = refusal or ADMITTED
        if refusal is not None:
            message = f"entry host is full for service {service!r}; repeat later"
            raise NotRunError(refusal, message)
        try:
            execution = self._execute(parsed, trace.started_s)
        finally:
            self._limit.release(flow, size_bytes)
        trace.steps = execution.steps
        return self._require_response(execution, service)

    def _execute(self, parsed: CallerRequest, started_s: float) -> Execution:
        request = ServiceRequest(
            request_id=parsed.request_id,
            account=parsed.service.account,
            service=parsed.service.name,
            team=parsed.team,
            urgency=parsed.urgency,
            deadline_s=started_s + parsed.timeout_s,
            is_repeatable=parsed.is_repeatable,
            idempotency_key=parsed.idempotency_key,
            headers=parsed.headers,
            body=parsed.body,
        )
        return self._executor.execute(request, parsed.service)

    @staticmethod
    def _require_response(execution: Execution, service: str) -> Execution:
        reason = str(execution.reason)
        if execution.outcome is Outcome.NOT_RUN:
            message = f"request to {service!r} was not run: {reason}; repeat it later"
            raise NotRunError(reason, message)
        if execution.outcome is Outcome.UNKNOWN:
            message = (
                f"request to {service!r} may have run: {reason}; if it is not "
                "repeatable, repeat it only with the same idempotency key"
            )
            raise OutcomeUnknownError(reason, message)
        return execution

    def _answer(self, execution: Execution) -> Answer:
        response = execution.response
        assert response is not None
        headers = _forwarded(response.headers)
        content_type = headers.pop("content-type", "application/octet-stream")
        if execution.is_recorded:
            headers[RECORDED_HEADER] = "yes"
        return Answer(
            response.status,
            response.body,
            content_type,
            outcome=Outcome.RUN,
            headers=headers,
        )


def _forwarded(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name.lower(): value
        for name, value in headers.items()
        if not name.lower().startswith(OWN_PREFIX)
        and name.lower() not in ("date", "server")
    }
