"""Decodes the rows that operators and workers write, and encodes the wave status."""

from typing import Any, TypedDict

import msgspec

from sycamorecroft.errors import RecordError
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.platform.accounts import decode_accounts
from sycamorecroft.platform.capacities import (
    WireCapacity,
    WireNumber,
    decode_capacity,
)
from sycamorecroft.scheduling.model import (
    AdviceTimes,
    FleetSnapshot,
    Queue,
    Service,
    WorkerRegistration,
)
from sycamorecroft.store.transport import is_valid_address
from sycamorecroft.upkeep.waves import Wave

_DECODE_ERRORS = (
    *JSON_ERRORS,
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
_READY = "ready"
_DRAINING = "draining"

_WireWorker = TypedDict(
    "_WireWorker",
    {
        "service": str,
        "addr": str,
        "zone": str,
        "state": str,
        "capacity": WireCapacity,
        "labels": list[str],
        "born": WireNumber,
        "machine": str,
        "remaining-ms": WireNumber,
    },
    total=False,
)
_WORKER_REQUIRED = ("service", "addr", "state", "capacity")


def decode_worker(worker_id: str, value: bytes) -> WorkerRegistration:
    """
    :param worker_id: key of the row.
    :param value: JSON text of the row.
    :returns: the registration.
    :raises RecordError: when the row isn't a valid registration.
    """
    try:
        wire = msgspec.json.decode(value, type=_WireWorker)
    except JSON_ERRORS as error:
        raise RecordError(f"registration of worker {worker_id}: {error}") from error
    missing = [name for name in _WORKER_REQUIRED if name not in wire]
    if missing or wire["state"] not in (_READY, _DRAINING):
        message = (
            f"registration of worker {worker_id}: missing fields {missing} or a state "
            "other than ready and draining"
        )
        raise RecordError(message)
    if not is_valid_address(wire["addr"]):
        raise RecordError(
            f"registration of worker {worker_id}: address must be 'ip:port', got "
            f"{wire['addr']!r}"
        )
    return WorkerRegistration(
        worker_id=worker_id,
        service=wire["service"],
        address=wire["addr"],
        data_centre=wire.get("zone", ""),
        is_draining=wire["state"] == _DRAINING,
        labels=tuple(wire.get("labels", ())),
        capacity=decode_capacity(wire["capacity"]),
        incarnation_ms=wire.get("born", 0),
        host=wire.get("machine", ""),
        remaining_ms=wire.get("remaining-ms", 0),
    )


def decode_fleet(value: bytes) -> FleetSnapshot:
    """
    :param value: JSON text of the configuration row.
    :returns: the complete configuration.
    :raises RecordError: when it can't be decoded.
    """
    try:
        wire = msgspec.json.decode(value)
        limits = wire.get("limits") or {}
        return FleetSnapshot(
            version=int(wire["version"]),
            queues=tuple(_queue(route) for route in wire["routes"]),
            services=tuple(_service(service) for service in wire["services"]),
            header_limit_bytes=int(limits.get("max-header-bytes", 0)),
            body_limit_bytes=int(limits.get("max-body-bytes", 0)),
            header_timeout_ms=int(limits.get("header-timeout-ms", 0)),
            idle_timeout_ms=int(limits.get("idle-timeout-ms", 0)),
            accounts=decode_accounts(wire.get("tenants")),
            public_queues=_public_queues(wire["routes"]),
        )
    except _DECODE_ERRORS as error:
        raise RecordError(f"configuration: {error!r}") from error


def _public_queues(routes: list[dict[str, Any]]) -> frozenset[str]:
    """
    :returns: names of the queues of which each route is public.
    """
    is_public = {}
    for route in routes:
        value = route.get("public")
        if value is not None and not isinstance(value, bool):
            raise ValueError(
                f"public of route {route['name']!r} must be true or false, got a "
                f"{type(value).__name__}"
            )
        name = route["name"]
        is_public[name] = bool(value) and is_public.get(name, True)
    return frozenset(name for name, value in is_public.items() if value)


def _queue(wire: dict[str, Any]) -> Queue:
    advice = wire.get("advice")
    return Queue(
        name=wire["name"],
        host_name=wire["host"].lower(),
        path_prefix=wire["prefix"],
        service=wire["service"],
        priority=int(wire.get("priority", 0)),
        attempts_count=int(wire.get("attempts", 1)),
        stretch_ratio=float(wire.get("stretch", 1.0)),
        objective_ms=int(wire.get("objective-ms", 0)),
        timeout_ms=int(wire.get("timeout-ms", 0)),
        advice=_advice(advice) if isinstance(advice, dict) else None,
    )


def _advice(wire: dict[str, Any]) -> AdviceTimes:
    return AdviceTimes(
        int(wire.get("decide-ms", 0)),
        int(wire.get("period-ms", 0)),
        int(wire.get("valid-ms", 0)),
    )


def _service(wire: dict[str, Any]) -> Service:
    return Service(
        name=wire["name"],
        rejects_overload=bool(wire.get("rejects-overload")),
        is_standby=bool(wire.get("standby")),
    )


def decode_wave(value: bytes) -> Wave:
    """
    :param value: JSON text of the row of a wave.
    :returns: the wave.
    :raises RecordError: when it can't be decoded.
    """
    try:
        wire = msgspec.json.decode(value)
        return Wave(
            number=int(wire["wave"]),
            hosts=tuple(map(str, wire["machines"])),
            duration_s=float(wire["duration-s"]),
            concurrent_limit_count=int(wire["max-count"]),
        )
    except _DECODE_ERRORS as error:
        raise RecordError(f"upkeep wave: {error!r}") from error


def encode_wave_status(is_complete: bool) -> bytes:
    """
    :returns: JSON text of the row that reports the state of a wave to the operator.
    """
    return msgspec.json.encode({"state": "complete" if is_complete else "running"})
