"""JSON form of a fleet configuration, for table rows and peers' snapshots.

Objects with named fields are written, so that a release can add a field while
daemons of the release before still run; they ignore fields they don't know.
"""

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec

from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    PoolConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
)
from sycamorecroft.errors import ConfigurationError

_ENCODER = msgspec.json.Encoder(order="deterministic")


def encode_configuration(configuration: FleetConfiguration) -> bytes:
    """
    :returns: JSON text; equal configurations give equal texts.
    """
    return _ENCODER.encode(_named(configuration))


def decode_configuration(text: bytes) -> FleetConfiguration:
    """
    :raises ConfigurationError: if ``text`` is not JSON of a configuration.
    """
    try:
        return msgspec.convert(
            _positional(msgspec.json.decode(text)), FleetConfiguration
        )
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as cause:
        message = (
            f"configuration of {len(text)} bytes can't be decoded ({cause!r}); "
            "allowed is JSON written by encode_configuration; compile it again"
        )
        raise ConfigurationError(message) from cause


def digest_of(configuration: FleetConfiguration) -> str:
    """
    :returns: SHA-256 of the content, the version left out.
    """
    content = encode_configuration(configuration._replace(version=0))
    return hashlib.sha256(content).hexdigest()


def _named(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _named(item) for key, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {key: _named(item) for key, item in value.items()}
    return value


def _positional(raw: Any) -> list[Any]:
    accounts = {
        name: _fields(
            AccountConfiguration,
            {**account, "teams": _group(TeamConfiguration, account["teams"])},
        )
        for name, account in raw["accounts"].items()
    }
    return [
        raw["version"],
        accounts,
        _group(PoolConfiguration, raw["pools"]),
        _group(ServiceConfiguration, raw["services"]),
    ]


def _group(kind: Any, raw: Mapping[str, Any]) -> dict[str, list[Any]]:
    return {name: _fields(kind, item) for name, item in raw.items()}


def _fields(kind: Any, raw: Mapping[str, Any]) -> list[Any]:
    defaults = kind._field_defaults
    return [
        raw[key] if key in raw or key not in defaults else defaults[key]
        for key in kind._fields
    ]
