"""Job interface: submission, look-up and cancellation of jobs."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration, Urgency
from sycamorecroft.entry.application import HandlerResponse, Route, json_response
from sycamorecroft.entry.headers import IDEMPOTENCY_KEY_HEADER
from sycamorecroft.entry.operator_interface import decode_body
from sycamorecroft.entry.parsing import validate_idempotency_key
from sycamorecroft.errors import NotRunError, RequestError
from sycamorecroft.jobs import JobRecord, JobRequest, JobStore
from sycamorecroft.store.interfaces import TaskSize

PREFIX = "/v1/jobs"
SUBMIT_TIMEOUT_S = 5.0
_LIST_LIMIT_COUNT = 200
NAME_LIMIT_CHARACTERS = 128
# A job is stored as a row of the table service; larger content belongs in the object
# store.
COMMAND_LIMIT_CHARACTERS = 16 * 1024
BODY_LIMIT_BYTES = 128 * 1024


class SizeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that a job requests."""

    processors_count: Annotated[float, msgspec.Meta(gt=0, le=4096)] = 1.0
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**46)] = 0
    accelerators_count: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a job submission. The job counts against the quota of ``team``."""

    service: Annotated[str, msgspec.Meta(max_length=NAME_LIMIT_CHARACTERS)]
    command: Annotated[str, msgspec.Meta(max_length=COMMAND_LIMIT_CHARACTERS)]
    team: Annotated[str, msgspec.Meta(max_length=NAME_LIMIT_CHARACTERS)]
    urgency: Urgency = Urgency.NORMAL
    size: SizeBody = SizeBody()


class JobHandlers:
    """Handlers that submit, list, read and cancel jobs.

    :param configuration: returns the configuration in force, ``None`` until ready.
    """

    def __init__(
        self,
        store: JobStore,
        configuration: Callable[[], FleetConfiguration | None],
        clock: Clock,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._clock = clock

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes of the job interface.
        """
        job = f"{PREFIX}/<path:job_id>"
        return (
            Route("POST", PREFIX, self.submit),
            Route("GET", PREFIX, self.list),
            Route("GET", job, self.read),
            Route("DELETE", job, self.cancel),
        )

    def submit(self, request: Request, request_id: str) -> HandlerResponse:
        """Submits a job; the response is sent once the job is stored durably.

        :raises RequestError: if the body or the idempotency key is invalid.
        :raises NotRunError: if no configuration is in force.
        """
        size_bytes = len(request.get_data())
        if size_bytes > BODY_LIMIT_BYTES:
            raise RequestError(
                f"body of {size_bytes} bytes; at most {BODY_LIMIT_BYTES} are allowed; "
                "keep large content in the object store"
            )
        body = decode_body(request, JobBody)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if not key:
            raise RequestError(
                f"{IDEMPOTENCY_KEY_HEADER} is missing; send a key that is new for "
                "each job and is kept when the same job is submitted again"
            )
        account = self._require_account(body)
        job = JobRequest(
            account=account,
            service=body.service,
            idempotency_key=validate_idempotency_key(key),
            team=body.team,
            urgency=body.urgency,
            command=body.command,
            size=TaskSize(*msgspec.structs.astuple(body.size)),
        )
        deadline_s = self._clock.monotonic_s() + SUBMIT_TIMEOUT_S
        return json_response(self._store.submit(job, deadline_s=deadline_s), 202)

    def _require_account(self, body: JobBody) -> str:
        configuration = self._configuration()
        if configuration is None:
            raise NotRunError(
                "not_ready", "no configuration is in force yet; retry later"
            )
        service = configuration.services.get(body.service)
        if service is None:
            allowed = ", ".join(sorted(configuration.services))
            raise RequestError(f"unknown service {body.service!r}; allowed: {allowed}")
        teams = configuration.accounts[service.account].teams
        if body.team not in teams:
            allowed = ", ".join(sorted(teams))
            raise RequestError(f"unknown team {body.team!r}; allowed: {allowed}")
        return service.account

    def list(self, request: Request, request_id: str) -> HandlerResponse:
        """Lists jobs of a client account, or of one of its services.

        :raises RequestError: if the query names no client account.
        """
        account = request.args.get("account")
        if not account:
            raise RequestError(
                "query parameter 'account' is missing; send the name of a client "
                "account"
            )
        jobs = self._store.list(
            account,
            request.args.get("service"),
            include_ended=request.args.get("ended") == "yes",
        )
        return json_response(
            {"jobs": jobs[:_LIST_LIMIT_COUNT], "jobs_count": len(jobs)}
        )

    def read(self, request: Request, request_id: str, job_id: str) -> HandlerResponse:
        """Returns the record of a job.

        :raises RequestError: if the job is unknown.
        """
        return json_response(_require_job(self._store.get(job_id), job_id))

    def cancel(self, request: Request, request_id: str, job_id: str) -> HandlerResponse:
        """Requests cancellation of a job; a job that has ended is left unchanged.

        :raises RequestError: if the job is unknown.
        """
        return json_response(_require_job(self._store.cancel(job_id), job_id))


def _require_job(job: JobRecord | None, job_id: str) -> JobRecord:
    if job is None:
        raise RequestError(
            f"job {job_id!r} is unknown; ended jobs are kept for a week; list the jobs"
        )
    return job
