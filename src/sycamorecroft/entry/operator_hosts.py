"""Operator interface: host records, host moves and the inventory."""

from collections.abc import Mapping
from typing import Any

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
from sycamorecroft.pools.registry import NewHost
from sycamorecroft.store.interfaces import StorePurpose


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body that declares all worker hosts, each with its target pool."""

    base_version: int
    hosts: tuple[Mapping[str, Any], ...]


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to move a host to ``target_pool``."""

    target_pool: str


class HostHandlers:
    """Handlers that list and move hosts and declare the inventory."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes for hosts, moves and the inventory.
        """
        return (
            Route("GET", f"{PREFIX}/hosts", self.hosts),
            Route("GET", f"{PREFIX}/moves", self.read_moves),
            Route("POST", f"{PREFIX}/hosts/<host>/move", self.move_host),
            Route("GET", f"{PREFIX}/inventory", self.read_inventory),
            Route("PUT", f"{PREFIX}/inventory", self.publish_inventory),
        )

    def hosts(self, request: Request, request_id: str) -> HandlerResponse:
        """Lists the host records of this daemon's pool view."""
        view = self._state.view()
        records = [view.hosts[name] for name in sorted(view.hosts)]
        return json_response({"view_version": view.version, "hosts": records})

    def read_moves(self, request: Request, request_id: str) -> HandlerResponse:
        """Lists moves that operators requested and that have not completed."""
        return json_response({"moves": dict(self._stores.moves.pending())})

    def move_host(
        self, request: Request, request_id: str, host: str
    ) -> HandlerResponse:
        """Requests a move of a host to another pool."""
        body = decode_body(request, MoveBody)
        return json_response(self._stores.moves.request(host, body.target_pool), 202)

    def read_inventory(self, request: Request, request_id: str) -> HandlerResponse:
        """Returns the declared hosts, read from the store."""
        return json_response(
            to_builtins(self._stores.inventory.read(StorePurpose.OPERATORS))
        )

    def publish_inventory(self, request: Request, request_id: str) -> HandlerResponse:
        """Replaces the declared hosts.

        :raises RequestError: if a host has missing or invalid fields.
        """
        body = decode_body(request, InventoryBody)
        hosts = [_parse_new_host(host) for host in body.hosts]
        inventory = self._stores.inventory.publish(
            hosts, base_version=body.base_version
        )
        return json_response(
            {"version": inventory.version, "hosts_count": len(inventory.hosts)}
        )


def _parse_new_host(fields: Mapping[str, Any]) -> NewHost:
    try:
        values = [fields[name] for name in NewHost._fields]
        return msgspec.convert(values, NewHost)
    except (KeyError, msgspec.ValidationError) as error:
        allowed = ", ".join(NewHost._fields)
        message = (
            f"host {dict(fields)!r} is invalid ({error}); allowed fields: {allowed}"
        )
        raise RequestError(message) from error
