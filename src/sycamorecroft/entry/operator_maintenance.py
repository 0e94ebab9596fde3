"""Operator interface: declaring, inspecting and changing maintenance waves."""

from datetime import datetime
from typing import Annotated

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.entry.application import HandlerResponse, Route, json_response
from sycamorecroft.entry.operator_interface import (
    PREFIX,
    OperatorState,
    OperatorStores,
    decode_body,
    to_builtins,
)
from sycamorecroft.errors import RequestError
from sycamorecroft.maintenance import Selection, SelectionKind
from sycamorecroft.maintenance.records import WaveRow

# Twice the number of workers in a fleet of the target size.
NAMES_LIMIT_COUNT = 2000


class MaintenanceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body that declares a wave. ``deadline`` is ISO 8601 with a UTC offset."""

    idempotency_key: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    kind: SelectionKind
    names: Annotated[tuple[str, ...], msgspec.Meta(max_length=NAMES_LIMIT_COUNT)]
    deadline: datetime


class MaintenanceHandlers:
    """Handlers that declare, list, explain and change maintenance waves."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes for maintenance waves.
        """
        path = f"{PREFIX}/maintenance"
        wave = f"{path}/<wave_id>"
        return (
            Route("GET", path, self.waves),
            Route("POST", path, self.declare_wave),
            Route("GET", wave, self.wave),
            Route("GET", f"{wave}/explain", self.explain_wave),
            Route("POST", f"{wave}/<action>", self.change_wave),
        )

    def waves(self, request: Request, request_id: str) -> HandlerResponse:
        """Lists all maintenance waves."""
        return json_response(
            {"waves": [wave.record for wave in self._stores.waves.waves()]}
        )

    def declare_wave(self, request: Request, request_id: str) -> HandlerResponse:
        """Declares a maintenance wave; idempotent by the key in the body."""
        body = decode_body(request, MaintenanceBody)
        selection = Selection(body.kind, body.names)
        wave = self._stores.waves.declare(
            body.idempotency_key, selection, body.deadline
        )
        return _wave_response(wave)

    def wave(self, request: Request, request_id: str, wave_id: str) -> HandlerResponse:
        """Returns a wave with the outcomes of finished hosts and those remaining."""
        progress = self._stores.waves.progress(wave_id)
        view = self._state.view()
        states = {
            host: view.hosts[host]["state"]
            for host in progress.wave.record["hosts"]
            if host in view.hosts
        }
        return json_response(
            {
                "wave": progress.wave.record,
                "outcomes": to_builtins(progress.outcomes),
                "remaining_hosts": progress.remaining_hosts,
                "host_states": states,
            }
        )

    def explain_wave(
        self, request: Request, request_id: str, wave_id: str
    ) -> HandlerResponse:
        """Explains for each host of a wave why it is waiting."""
        self._stores.waves.read(wave_id)
        return json_response(to_builtins(self._stores.maintenance.explain(wave_id)))

    def change_wave(
        self, request: Request, request_id: str, wave_id: str, action: str
    ) -> HandlerResponse:
        """Pauses, resumes or cancels a wave.

        :raises RequestError: if ``action`` is none of these.
        """
        waves = self._stores.waves
        actions = {"pause": waves.pause, "resume": waves.resume, "cancel": waves.cancel}
        if action not in actions:
            allowed = ", ".join(actions)
            raise RequestError(f"action {action!r} is unknown; allowed are {allowed}")
        return _wave_response(actions[action](wave_id))


def _wave_response(wave: WaveRow) -> HandlerResponse:
    return json_response({"wave": wave.record})
