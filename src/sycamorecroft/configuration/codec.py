"""JSON encoding of a fleet configuration, for table rows and peers' snapshots.

Records are encoded as objects with named fields, so that a release can add a field
while daemons of the previous release are running: they ignore unknown fields.
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
    return _ENCODER.encode(_to_objects(configuration))


def decode_configuration(text: bytes) -> FleetConfiguration:
    """
    :raises ConfigurationError: if ``text`` is not JSON of a configuration.
    """
    try:
        return msgspec.convert(
            _to_arrays(msgspec.json.decode(text)), FleetConfiguration
        )
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as cause:
        message = (
            f"configuration of {len(text)} bytes can't be decoded ({cause!r}); "
            "expected JSON written by encode_configuration; compile it again"
        )
        raise ConfigurationError(message) from cause


def digest_of(configuration: FleetConfiguration) -> str:
    """
    :returns: SHA-256 of the content without the version, as hex digits.
    """
    content = encode_configuration(configuration._replace(version=0))
    return hashlib.sha256(content).hexdigest()


def _to_objects(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _to_objects(item) for key, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {key: _to_objects(item) for key, item in value.items()}
    return value


def _to_arrays(raw: Any) -> list[Any]:
    accounts = {
        name: _to_array(
            AccountConfiguration,
            {**account, "teams": _group_to_arrays(TeamConfiguration, account["teams"])},
        )
        for name, account in raw["accounts"].items()
    }
    return [
        raw["version"],
        accounts,
        _group_to_arrays(PoolConfiguration, raw["pools"]),
        _group_to_arrays(ServiceConfiguration, raw["services"]),
    ]


def _group_to_arrays(record_type: Any, raw: Mapping[str, Any]) -> dict[str, list[Any]]:
    return {name: _to_array(record_type, item) for name, item in raw.items()}


def _to_array(record_type: Any, raw: Mapping[str, Any]) -> list[Any]:
    defaults = record_type._field_defaults
    return [
        raw[key] if key in raw or key not in defaults else defaults[key]
        for key in record_type._fields
    ]
