"""Requests of callers to a service."""

from collections.abc import Callable, Mapping

from werkzeug.wrappers import Request

from sycamorecroft.admission.entry_limit import EntryFlow, EntryLimit
from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.entry.application import Answer, Route
from sycamorecroft.entry.headers import OWN_PREFIX
from sycamorecroft.entry.parsing import Call, CallerRequest, parse_call
from sycamorecroft.errors import NotRunError, OutcomeUnknownError, SycamorecroftError
from sycamorecroft.routing.execution import (
    Execution,
    Outcome,
    RequestExecutor,
    ServiceRequest,
)
from sycamorecroft.telemetry import Telemetry

RECORDED_HEADER = "Sycamorecroft-Recorded"


class CallerHandlers:
    """Handlers of the caller interface.

    :param configuration: returns the configuration in force, ``None`` until ready.
    """

    def __init__(
        self,
        executor: RequestExecutor,
        limit: EntryLimit,
        configuration: Callable[[], FleetConfiguration | None],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._executor = executor
        self._limit = limit
        self._configuration = configuration
        self._clock = clock
        self._telemetry = telemetry

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes of the caller interface.
        """
        path = "/v1/services/<service>/requests"
        return (Route("POST", path, self.run_request),)

    def run_request(self, request: Request, request_id: str, service: str) -> Answer:
        """Runs a request on a backend server of the service."""
        started_s = self._clock.monotonic_s()
        configuration = self._require_configuration()
        known_service = service if service in configuration.services else None
        try:
            call = Call(request_id, service, request.headers, request.get_data())
            parsed = parse_call(call, configuration)
            execution = self._admit_and_execute(parsed, started_s)
        except SycamorecroftError as error:
            self._count_error(known_service, error)
            raise
        self._telemetry.count_request(known_service, execution.outcome)
        return self._answer(execution)

    def _require_configuration(self) -> FleetConfiguration:
        configuration = self._configuration()
        if configuration is None:
            self._telemetry.count_refusal(None, "not_ready")
            raise NotRunError("not_ready", "no configuration is in force here yet")
        return configuration

    def _admit_and_execute(self, parsed: CallerRequest, started_s: float) -> Execution:
        service, size_bytes = parsed.service.name, len(parsed.body)
        flow = EntryFlow(service, parsed.urgency, parsed.team)
        refusal = self._limit.admit(flow, size_bytes)
        if refusal is not None:
            message = f"entry host is full for service {service!r}; repeat later"
            raise NotRunError(refusal, message)
        try:
            execution = self._execute(parsed, started_s)
        finally:
            self._limit.leave(flow, size_bytes)
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

    def _count_error(self, service: str | None, error: SycamorecroftError) -> None:
        if isinstance(error, OutcomeUnknownError):
            self._telemetry.count_request(service, Outcome.UNKNOWN)
            return
        reason = error.reason if isinstance(error, NotRunError) else "bad_request"
        self._telemetry.count_request(service, Outcome.NOT_RUN)
        self._telemetry.count_refusal(service, reason)


def _forwarded(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name.lower(): value
        for name, value in headers.items()
        if not name.lower().startswith(OWN_PREFIX)
        and name.lower() not in ("date", "server")
    }
