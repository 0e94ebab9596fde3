"""Caller interface: requests to services."""

from collections.abc import Callable, Mapping

from werkzeug.wrappers import Request

from sycamorecroft.admission.in_flight_limit import InFlightLimit, RequestFlow
from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.entry.application import HandlerResponse, Route
from sycamorecroft.entry.headers import RESERVED_PREFIX
from sycamorecroft.entry.parsing import CallerRequest, IncomingRequest, parse_request
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
    """Admits requests of callers, executes them and reports their outcome.

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

    def run_request(
        self, request: Request, request_id: str, service: str
    ) -> HandlerResponse:
        """Executes a request on a backend server of the service.

        :returns: the response of the backend server.
        :raises RequestError: if the headers or the body are invalid.
        :raises NotRunError: if it is certain that the request was not run.
        :raises OutcomeUnknownError: if the request may have run.
        """
        body = request.get_data()
        trace = RequestTrace(request_id, self._clock.monotonic_s(), len(body))
        try:
            execution = self._run(
                IncomingRequest(request_id, service, request.headers, body), trace
            )
        except Exception as error:
            self._reporter.report_failure(trace, error)
            raise
        self._reporter.report_completed(trace)
        return self._to_response(execution)

    def _run(self, incoming: IncomingRequest, trace: RequestTrace) -> Execution:
        configuration = self._configuration()
        if configuration is None:
            raise NotRunError(
                "not_ready", "no configuration is in force yet; retry later"
            )
        if incoming.service in configuration.services:
            trace.service = incoming.service
        checked = parse_request(incoming, configuration)
        trace.team, trace.urgency = checked.team, checked.urgency.value
        return self._admit_and_execute(checked, trace)

    def _admit_and_execute(
        self, checked: CallerRequest, trace: RequestTrace
    ) -> Execution:
        service, size_bytes = checked.service.name, len(checked.body)
        flow = RequestFlow(service, checked.urgency, checked.team)
        refusal = self._limit.admit(flow, size_bytes)
        trace.admission = refusal or ADMITTED
        if refusal is not None:
            message = (
                f"entry host is at its limit for service {service!r}; repeat later"
            )
            raise NotRunError(refusal, message)
        try:
            execution = self._execute(checked, trace.started_s)
        finally:
            self._limit.release(flow, size_bytes)
        trace.steps = execution.steps
        return self._require_response(execution, service)

    def _execute(self, checked: CallerRequest, started_s: float) -> Execution:
        request = ServiceRequest(
            request_id=checked.request_id,
            account=checked.service.account,
            service=checked.service.name,
            team=checked.team,
            urgency=checked.urgency,
            deadline_s=started_s + checked.timeout_s,
            is_repeatable=checked.is_repeatable,
            idempotency_key=checked.idempotency_key,
            headers=checked.headers,
            body=checked.body,
        )
        return self._executor.execute(request, checked.service)

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

    def _to_response(self, execution: Execution) -> HandlerResponse:
        response = execution.response
        assert response is not None
        headers = _response_headers(response.headers)
        content_type = headers.pop("content-type", "application/octet-stream")
        if execution.is_recorded:
            headers[RECORDED_HEADER] = "yes"
        return HandlerResponse(
            response.status,
            response.body,
            content_type,
            outcome=Outcome.RUN,
            headers=headers,
        )


def _response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name.lower(): value
        for name, value in headers.items()
        if not name.lower().startswith(RESERVED_PREFIX)
        and name.lower() not in ("date", "server")
    }
