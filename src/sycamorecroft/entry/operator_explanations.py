"""Operator interface: explanations of the state of hosts, jobs and requests."""

from werkzeug.wrappers import Request

from sycamorecroft.entry.application import HandlerResponse, Route, json_response
from sycamorecroft.entry.operator_interface import (
    PREFIX,
    OperatorState,
    OperatorStores,
    to_builtins,
)
from sycamorecroft.errors import RequestError
from sycamorecroft.jobs.explanation import JobFacts, explain_job
from sycamorecroft.maintenance.host_explanation import HostFacts, explain_host
from sycamorecroft.store.interfaces import StorePurpose


class ExplanationHandlers:
    """Handlers that list the reasons for a state in the order of the decisions."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes of the explanations.
        """
        path = f"{PREFIX}/explain"
        return (
            Route("GET", f"{path}/hosts/<host>", self.host),
            Route("GET", f"{path}/jobs/<path:job_id>", self.job),
            Route("GET", f"{path}/requests/<wanted_id>", self.request),
        )

    def host(self, request: Request, request_id: str, host: str) -> HandlerResponse:
        """Explains the state of a host.

        :raises RequestError: if the host is unknown.
        """
        inventory = self._stores.inventory.read(StorePurpose.OPERATORS)
        facts = HostFacts(
            self._stores.maintenance.snapshot(),
            {item.host: item.pool for item in inventory.hosts},
            self._stores.moves.pending(),
        )
        known = facts.snapshot.hosts.keys() | facts.declared_pools.keys()
        if host not in known:
            raise RequestError(
                f"host {host!r} is unknown; list the hosts to see their names"
            )
        findings = explain_host(host, facts)
        return json_response({"host": host, "findings": to_builtins(findings)})

    def job(self, request: Request, request_id: str, job_id: str) -> HandlerResponse:
        """Explains the state of a job.

        :raises RequestError: if the job is unknown.
        """
        record = self._stores.jobs.get(job_id)
        if record is None:
            raise RequestError(
                f"job {job_id!r} is unknown; ended jobs are kept for a week"
            )
        facts = JobFacts(
            self._state.configuration().in_force,
            self._state.view(),
            self._stores.jobs.list(record["account"]),
        )
        findings = explain_job(record, facts)
        return json_response(
            {
                "job_id": job_id,
                "state": record["state"],
                "findings": to_builtins(findings),
            }
        )

    def request(
        self, request: Request, request_id: str, wanted_id: str
    ) -> HandlerResponse:
        """Returns the record of a request to this entry host, or ``null``."""
        record = self._state.requests.find(wanted_id)
        membership = self._state.membership()
        own_entry_host = membership.own_entry if membership else None
        return json_response({"entry": own_entry_host, "record": to_builtins(record)})
