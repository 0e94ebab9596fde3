"""Operator interface: reading, publishing and rolling back the configuration."""

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.configuration.codec import decode_configuration, encode_configuration
from sycamorecroft.entry.application import HandlerResponse, Route, json_response
from sycamorecroft.entry.operator_interface import (
    PREFIX,
    OperatorState,
    OperatorStores,
    decode_body,
    to_builtins,
)

_HISTORY_LIMIT_COUNT = 20


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a publication. ``configuration`` is the compiled configuration."""

    base_version: int
    author: str
    configuration: msgspec.Raw


class RollbackBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a rollback to the earlier version ``to_version``."""

    base_version: int
    author: str
    to_version: int


class ConfigurationHandlers:
    """Handlers that read, publish and roll back the configuration."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes on the configuration.
        """
        path = f"{PREFIX}/configuration"
        return (
            Route("GET", path, self.read),
            Route("PUT", path, self.publish),
            Route("POST", f"{path}/rollback", self.roll_back),
            Route("GET", f"{path}/history", self.history),
        )

    def read(self, request: Request, request_id: str) -> HandlerResponse:
        """Returns the latest published version, read from the store."""
        head = self._stores.configuration.read_head()
        in_force = self._state.configuration().in_force_version
        return json_response(
            {
                "version": head.version if head else 0,
                "in_force_version": in_force,
                "configuration": (
                    msgspec.Raw(encode_configuration(head)) if head else None
                ),
            }
        )

    def publish(self, request: Request, request_id: str) -> HandlerResponse:
        """Publishes a configuration as the successor of its base version.

        :raises ConfigurationConflictError: if the base version is not the latest.
        """
        body = decode_body(request, PublishBody)
        published = self._stores.configuration.publish(
            decode_configuration(bytes(body.configuration)),
            base_version=body.base_version,
            author=body.author,
        )
        return json_response(to_builtins(published))

    def roll_back(self, request: Request, request_id: str) -> HandlerResponse:
        """Publishes the content of an earlier version as a new version."""
        body = decode_body(request, RollbackBody)
        published = self._stores.configuration.rollback(
            body.to_version, base_version=body.base_version, author=body.author
        )
        return json_response(to_builtins(published))

    def history(self, request: Request, request_id: str) -> HandlerResponse:
        """Lists published versions, latest first."""
        versions = self._stores.configuration.history(_HISTORY_LIMIT_COUNT)
        return json_response({"versions": to_builtins(versions)})
