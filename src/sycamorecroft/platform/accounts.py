"""Decodes and checks the client accounts of a configuration.

Error messages name the place, what was got and what is allowed. Of texts they show the
length only, since any of them may be a key that was written in the wrong place.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from sycamorecroft.errors import RecordError
from sycamorecroft.platform.api_keys import key_digest
from sycamorecroft.platform.capacities import (
    NUMBER_MAX,
    WireCapacity,
    decode_capacity,
)
from sycamorecroft.scheduling.model import ClientAccount

# A job's rows carry the name, beside as many tasks as they have room for.
ACCOUNT_NAME_MAX_BYTES = 200

_Weight = Annotated[float, msgspec.Meta(ge=0, le=NUMBER_MAX)]
_Priority = Annotated[int, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]

_WEIGHT_ALLOWED = f"a number from 0 to {NUMBER_MAX}"
_PRIORITY_ALLOWED = f"an integer from {-NUMBER_MAX} to {NUMBER_MAX}"
_LIMIT_ALLOWED = (
    f"an object whose cpu, mem-mb and gpu are integers from 0 to {NUMBER_MAX}"
)
_NAME_ALLOWED = (
    f"a text of 1 to {ACCOUNT_NAME_MAX_BYTES} bytes of printable characters, without "
    "a space at its ends"
)
_KEY_ALLOWED = (
    "a text of at least 1 printable character, without a space at its ends, since it "
    "is sent in a header"
)


def decode_accounts(wire: object) -> tuple[ClientAccount, ...] | None:
    """
    :param wire: list of accounts as decoded from JSON; ``None`` if there is none.
    :returns: the accounts; ``None`` if there is no list.
    :raises RecordError: when an account is malformed, when two have the same name, or
        when two have the same key.
    """
    if wire is None:
        return None
    if not isinstance(wire, list):
        raise _error("tenants", "a list", wire)
    accounts = tuple(_account(number, account) for number, account in enumerate(wire))
    _check_names(accounts)
    _check_keys(accounts)
    return accounts


def _account(number: int, wire: object) -> ClientAccount:
    place = f"tenant {number}"
    if not isinstance(wire, dict):
        raise _error(place, "an object", wire)
    name = _name(f"name of {place}", wire)
    place += f" ({name!r})"
    limit = wire.get("max-count")
    return ClientAccount(
        name=name,
        key_digests=_key_digests(place, wire),
        weight=_convert(
            f"weight of {place}", wire.get("weight", 1), _Weight, _WEIGHT_ALLOWED
        ),
        priority=_convert(
            f"priority of {place}",
            wire.get("priority", 0),
            _Priority,
            _PRIORITY_ALLOWED,
        ),
        limit=decode_capacity(
            _convert(
                f"max-count of {place}",
                {} if limit is None else limit,
                WireCapacity,
                _LIMIT_ALLOWED,
            )
        ),
    )


def _name(place: str, wire: dict[str, Any]) -> str:
    if "name" not in wire:
        raise RecordError(f"{place} must be {_NAME_ALLOWED}, got none")
    name = wire["name"]
    if not _is_sendable(name) or len(name.encode()) > ACCOUNT_NAME_MAX_BYTES:
        raise _error(place, _NAME_ALLOWED, name)
    return name


def _key_digests(place: str, wire: dict[str, Any]) -> frozenset[bytes]:
    if "keys" not in wire:
        raise RecordError(f"keys of {place} must be a list, got none")
    keys = wire["keys"]
    if not isinstance(keys, list):
        raise _error(f"keys of {place}", "a list", keys)
    for number, key in enumerate(keys):
        if not _is_sendable(key):
            raise _error(f"key {number} of {place}", _KEY_ALLOWED, key)
    return frozenset(key_digest(key.encode()) for key in keys)


def _is_sendable(value: object) -> bool:
    """
    :returns: whether the value is a text that a header can carry unchanged.
    """
    if not isinstance(value, str) or not value:
        return False
    return value.isprintable() and value.strip() == value


def _convert(place: str, value: object, kind: Any, allowed: str) -> Any:
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        raise _error(place, allowed, value) from error


def _check_names(accounts: Iterable[ClientAccount]) -> None:
    numbers: dict[str, int] = {}
    for number, account in enumerate(accounts):
        former = numbers.setdefault(account.name, number)
        if former != number:
            raise RecordError(
                f"tenants must have different names, got {account.name!r} for tenants "
                f"{former} and {number}"
            )


def _check_keys(accounts: Iterable[ClientAccount]) -> None:
    holders: dict[bytes, str] = {}
    for account in accounts:
        for digest in account.key_digests:
            holder = holders.setdefault(digest, account.name)
            if holder != account.name:
                raise RecordError(
                    "a key must belong to one tenant, got the same key for "
                    f"{holder!r} and {account.name!r}"
                )


def _error(place: str, allowed: str, value: object) -> RecordError:
    return RecordError(f"{place} must be {allowed}, got {_describe(value)}")


def _describe(value: object) -> str:
    """
    :returns: the value's type, with a number's value and the size of a text or list.
    """
    match value:
        case None:
            return "null"
        case bool():
            return str(value).lower()
        case int() | float():
            return f"the number {value}"
        case str():
            return f"a text of {len(value)} characters"
        case list():
            return f"a list of {len(value)} elements"
        case dict():
            members = ", ".join(
                f"{name}: {_describe(member)}"
                for name, member in value.items()
                if name in WireCapacity.__annotations__
            )
            return f"an object with {members}" if members else "an object"
    return "a value of another type"
