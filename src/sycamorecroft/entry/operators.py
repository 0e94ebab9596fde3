"""Operator interface: configuration, hosts, maintenance and status."""

from collections.abc import Callable, Mapping
from datetime import datetime
from typing import Any, NamedTuple, TypeVar

import msgspec
from werkzeug.wrappers import Request

from sycamorecroft.configuration.actor import ConfigurationStatus
from sycamorecroft.configuration.codec import decode_configuration, encode_configuration
from sycamorecroft.configuration.store import ConfigurationStore, PublishedVersion
from sycamorecroft.entry.application import Answer, Route, json_answer
from sycamorecroft.errors import RequestError
from sycamorecroft.maintenance import Selection, SelectionKind, WaveStore
from sycamorecroft.maintenance.controller import MaintenanceController
from sycamorecroft.maintenance.records import WaveRow
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.move_requests import MoveRequestStore
from sycamorecroft.pools.registry import NewHost
from sycamorecroft.pools.state import PoolView

PREFIX = "/v1/operator"
_HISTORY_LIMIT_COUNT = 20

Body = TypeVar("Body")


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration to publish. ``configuration`` is compiled."""

    base_version: int
    author: str
    configuration: msgspec.Raw


class RollbackBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An earlier version to publish again."""

    base_version: int
    author: str
    to_version: int


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All worker hosts, each with the pool it should be in."""

    base_version: int
    hosts: tuple[Mapping[str, Any], ...]


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The pool that a host should be moved to."""

    target_pool: str


class MaintenanceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A maintenance wave. ``deadline`` is ISO 8601 with an offset."""

    idempotency_key: str
    kind: SelectionKind
    names: tuple[str, ...]
    deadline: datetime


class EntryStatus(NamedTuple):
    """What gossip tells of an entry host."""

    entry: str
    is_reached: bool
    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool


class OperatorState(NamedTuple):
    """Readers of this daemon's state; none of them blocks."""

    configuration: Callable[[], ConfigurationStatus]
    view: Callable[[], PoolView]
    membership: Callable[[], MembershipView | None]
    queues: Callable[[], Mapping[str, Any]]
    store: Callable[[], Any]


class OperatorStores(NamedTuple):
    """Stores that operator calls write to."""

    configuration: ConfigurationStore
    inventory: InventoryStore
    moves: MoveRequestStore
    waves: WaveStore
    maintenance: MaintenanceController


def _named(value: Any) -> Any:
    """
    :returns: ``value`` with named tuples as objects, for JSON.
    """
    if hasattr(value, "_asdict"):
        return {key: _named(item) for key, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {str(key): _named(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_named(item) for item in value]
    return value


def decode_body(request: Request, kind: type[Body]) -> Body:
    """
    :raises RequestError: naming the key, when the body isn't JSON of ``kind``.
    """
    try:
        return msgspec.json.decode(request.get_data(), type=kind)
    except msgspec.MsgspecError as error:
        message = f"body is no valid {kind.__name__}: {error}; correct the body"
        raise RequestError(message) from error


class OperatorHandlers:
    """Handlers of the operator interface."""

    def __init__(self, state: OperatorState, stores: OperatorStores) -> None:
        self._state = state
        self._stores = stores

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the routes of the operator interface.
        """
        wave = f"{PREFIX}/maintenance/<wave_id>"
        return (
            Route("GET", f"{PREFIX}/status", self.status),
            Route("GET", f"{PREFIX}/configuration", self.read_configuration),
            Route("PUT", f"{PREFIX}/configuration", self.publish),
            Route("POST", f"{PREFIX}/configuration/rollback", self.roll_back),
            Route("GET", f"{PREFIX}/configuration/history", self.history),
            Route("GET", f"{PREFIX}/hosts", self.hosts),
            Route("GET", f"{PREFIX}/moves", self.read_moves),
            Route("POST", f"{PREFIX}/hosts/<host>/move", self.move_host),
            Route("GET", f"{PREFIX}/inventory", self.read_inventory),
            Route("PUT", f"{PREFIX}/inventory", self.publish_inventory),
            Route("GET", f"{PREFIX}/maintenance", self.waves),
            Route("POST", f"{PREFIX}/maintenance", self.declare_wave),
            Route("GET", wave, self.wave),
            Route("GET", f"{wave}/explain", self.explain_wave),
            Route("POST", f"{wave}/<action>", self.change_wave),
        )

    def status(self, request: Request, request_id: str) -> Answer:
        """Fleet overview as this daemon sees it."""
        configuration = self._state.configuration()
        membership = self._state.membership()
        return json_answer(
            {
                "entry": membership.own_entry if membership else None,
                "in_force_version": configuration.in_force_version,
                "staged_version": configuration.staged_version,
                "view_version": self._state.view().version,
                "entries": _named(_entries(membership)),
                "live_entries": membership.live if membership else (),
                "expected_entries_count": (
                    membership.expected_count if membership else 0
                ),
                "pools": _pools(self._state.view()),
                "queues": _named(self._state.queues()),
                "store": _named(self._state.store()),
            }
        )

    def read_configuration(self, request: Request, request_id: str) -> Answer:
        """The version published last, from the store."""
        head = self._stores.configuration.read_head()
        in_force = self._state.configuration().in_force_version
        return json_answer(
            {
                "version": head.version if head else 0,
                "in_force_version": in_force,
                "configuration": (
                    msgspec.Raw(encode_configuration(head)) if head else None
                ),
            }
        )

    def publish(self, request: Request, request_id: str) -> Answer:
        """Publishes a configuration as the version after its base."""
        body = decode_body(request, PublishBody)
        published = self._stores.configuration.publish(
            decode_configuration(bytes(body.configuration)),
            base_version=body.base_version,
            author=body.author,
        )
        return self._published(published)

    def roll_back(self, request: Request, request_id: str) -> Answer:
        """Publishes the content of an earlier version as a new version."""
        body = decode_body(request, RollbackBody)
        published = self._stores.configuration.rollback(
            body.to_version, base_version=body.base_version, author=body.author
        )
        return self._published(published)

    def _published(self, published: PublishedVersion) -> Answer:
        return json_answer(_named(published))

    def history(self, request: Request, request_id: str) -> Answer:
        """Published versions, the latest first."""
        versions = self._stores.configuration.history(_HISTORY_LIMIT_COUNT)
        return json_answer({"versions": _named(versions)})

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
        return json_answer(_named(self._stores.inventory.read()))

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

    def waves(self, request: Request, request_id: str) -> Answer:
        """All maintenance waves."""
        return json_answer(
            {"waves": [wave.record for wave in self._stores.waves.waves()]}
        )

    def declare_wave(self, request: Request, request_id: str) -> Answer:
        """Declares a maintenance wave; the same key declares it once."""
        body = decode_body(request, MaintenanceBody)
        selection = Selection(body.kind, body.names)
        wave = self._stores.waves.declare(
            body.idempotency_key, selection, body.deadline
        )
        return _wave_answer(wave)

    def wave(self, request: Request, request_id: str, wave_id: str) -> Answer:
        """A wave with the outcome of each host that has ended."""
        progress = self._stores.waves.progress(wave_id)
        view = self._state.view()
        states = {
            host: view.hosts[host]["state"]
            for host in progress.wave.record["hosts"]
            if host in view.hosts
        }
        return json_answer(
            {
                "wave": progress.wave.record,
                "outcomes": _named(progress.outcomes),
                "remaining_hosts": progress.remaining_hosts,
                "host_states": states,
            }
        )

    def explain_wave(self, request: Request, request_id: str, wave_id: str) -> Answer:
        """For each host of the wave why it waits."""
        self._stores.waves.read(wave_id)
        return json_answer({"hosts": _named(self._stores.maintenance.explain(wave_id))})

    def change_wave(
        self, request: Request, request_id: str, wave_id: str, action: str
    ) -> Answer:
        """Pauses, resumes or cancels a wave."""
        waves = self._stores.waves
        actions = {"pause": waves.pause, "resume": waves.resume, "cancel": waves.cancel}
        if action not in actions:
            allowed = ", ".join(actions)
            raise RequestError(f"action {action!r} is unknown; allowed are {allowed}")
        return _wave_answer(actions[action](wave_id))


def _wave_answer(wave: WaveRow) -> Answer:
    return json_answer({"wave": wave.record})


def _entries(membership: MembershipView | None) -> list[EntryStatus]:
    if membership is None:
        return []
    return [
        EntryStatus(
            entry=digest.entry,
            is_reached=digest.entry in membership.reached,
            staged_version=digest.staged_version,
            in_force_version=digest.in_force_version,
            view_version=digest.view_version,
            store_contact_age_ms=digest.store_contact_age_ms,
            may_own_queues=digest.may_own_queues,
        )
        for digest in sorted(membership.digests)
    ]


def _pools(view: PoolView) -> dict[str, dict[str, int]]:
    pools: dict[str, dict[str, int]] = {}
    for record in view.hosts.values():
        states = pools.setdefault(record["pool"], {})
        states[record["state"]] = states.get(record["state"], 0) + 1
    return dict(sorted(pools.items()))


def _new_host(fields: Mapping[str, Any]) -> NewHost:
    try:
        values = [fields[name] for name in NewHost._fields]
        return msgspec.convert(values, NewHost)
    except (KeyError, msgspec.ValidationError) as error:
        allowed = ", ".join(NewHost._fields)
        message = f"host {dict(fields)!r} is not valid ({error}); fields: {allowed}"
        raise RequestError(message) from error
