"""Operator interface: hosts, moves and the inventory."""

from collections.abc import Mapping
from typing import Any

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.entry.application import Answer, Route, json_answer
from sycamorecroft.entry.operator_interface import (
    PREFIX,
    OperatorState,
    OperatorStores,
    decode_body,
    named,
)
from sycamorecroft.errors import RequestError
from sycamorecroft.pools.registry import NewHost
from sycamorecroft.store.interfaces import StorePurpose


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All worker hosts, each with the pool it should be in."""

    base_version: int
    hosts: tuple[Mapping[str, Any], ...]


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The pool that a host should be moved to."""

    target_pool: str


class HostHandlers:
    """Handlers that list and move hosts and declare the inventory."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes on hosts.
        """
        return (
            Route("GET", f"{PREFIX}/hosts", self.hosts),
            Route("GET", f"{PREFIX}/moves", self.read_moves),
            Route("POST", f"{PREFIX}/hosts/<host>/move", self.move_host),
            Route("GET", f"{PREFIX}/inventory", self.read_inventory),
            Route("PUT", f"{PREFIX}/inventory", self.publish_inventory),
        )

    def hosts(self, request: Request, request_id: str) -> Answer:
        """Host records as this daemon sees them."""
        view = self._state.view()
        records = [view.hosts[name] for name in sorted(view.hosts)]
        return json_answer({"view_version": view.version, "hosts": records})

    def read_moves(self, request: Request, request_id: str) -> Answer:
        """Moves that operators asked for and that aren't done yet."""
        return json_answer({"moves": dict(self._stores.moves.pending())})

    def move_host(self, request: Request, request_id: str, host: str) -> Answer:
        """Asks for a move of a host to another pool."""
        body = decode_body(request, MoveBody)
        return json_answer(self._stores.moves.request(host, body.target_pool), 202)

    def read_inventory(self, request: Request, request_id: str) -> Answer:
        """The declared hosts, from the store."""
        return json_answer(named(self._stores.inventory.read(StorePurpose.OPERATORS)))

    def publish_inventory(self, request: Request, request_id: str) -> Answer:
        """Replaces the declared hosts."""
        body = decode_body(request, InventoryBody)
        hosts = [_new_host(host) for host in body.hosts]
        inventory = self._stores.inventory.publish(
            hosts, base_version=body.base_version
        )
        return json_answer(
            {"version": inventory.version, "hosts_count": len(inventory.hosts)}
        )


def _new_host(fields: Mapping[str, Any]) -> NewHost:
    try:
        values = [fields[name] for name in NewHost._fields]
        return msgspec.convert(values, NewHost)
    except (KeyError, msgspec.ValidationError) as error:
        allowed = ", ".join(NewHost._fields)
        message = f"host {dict(fields)!r} is not valid ({error}); fields: {allowed}"
        raise RequestError(message) from error
