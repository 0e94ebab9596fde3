"""State, stores and conversions that operator handlers have in common."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.configuration.actor import ConfigurationStatus
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.entry.request_records import RequestRecords
from sycamorecroft.errors import RequestError
from sycamorecroft.jobs import JobStore
from sycamorecroft.maintenance import WaveStore
from sycamorecroft.maintenance.explainer import MaintenanceExplainer
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.move_requests import MoveRequestStore
from sycamorecroft.pools.state import PoolView

PREFIX = "/v1/operator"

Body = TypeVar("Body")


class OperatorState(NamedTuple):
    """Functions that read this daemon's state without blocking."""

    configuration: Callable[[], ConfigurationStatus]
    view: Callable[[], PoolView]
    membership: Callable[[], MembershipView | None]
    queues: Callable[[], Mapping[str, Any]]
    store: Callable[[], Any]
    admitted_count: Callable[[], int]
    held_leases: Callable[[], tuple[str, ...]]
    requests: RequestRecords


class OperatorStores(NamedTuple):
    """Stores that operator handlers read and write."""

    configuration: ConfigurationStore
    inventory: InventoryStore
    moves: MoveRequestStore
    waves: WaveStore
    maintenance: MaintenanceExplainer
    jobs: JobStore


def to_builtins(value: Any) -> Any:
    """
    :returns: ``value`` with named tuples converted to dictionaries, for JSON objects.
    """
    if hasattr(value, "_asdict"):
        return {key: to_builtins(item) for key, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {str(key): to_builtins(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_builtins(item) for item in value]
    return value


def decode_body(request: Request, kind: type[Body]) -> Body:
    """Decodes the JSON body of a request.

    :returns: the body as an instance of ``kind``.
    :raises RequestError: if the body is not valid; the message names the invalid key.
    """
    try:
        return msgspec.json.decode(request.get_data(), type=kind)
    except msgspec.MsgspecError as error:
        message = f"body is not a valid {kind.__name__}: {error}; correct the body"
        raise RequestError(message) from error
