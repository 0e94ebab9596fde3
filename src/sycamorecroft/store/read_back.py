"""Resolves transactions whose response was lost by reading a row back."""

import time
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)

_log = structlog.get_logger(__name__)

ATTEMPTS_COUNT = 3


class TokenRow(NamedTuple):
    """A row whose JSON object identifies its writer by the field ``token``.

    The transaction must write the row and check its version, with a token that no other
    transaction uses.
    """

    table: str
    key: str
    token: str


class ReadBackState(StrEnum):
    """What a row shows about an earlier transaction on it.

    ``APPLIED``: the row holds the token.
    ``OTHER_WRITER``: another writer changed the row, before or after the transaction.
    The transaction can no longer take effect, unless it requires that the row is absent
    and the row is deleted while the transaction is still in flight.
    ``UNCHANGED``: the row is as the transaction requires it; the transaction may still
    be in flight and take effect later.
    """

    APPLIED = "applied"
    OTHER_WRITER = "other_writer"
    UNCHANGED = "unchanged"


class ReadBack(NamedTuple):
    """Result of reading a row back; ``row`` is ``None`` if the row is absent."""

    state: ReadBackState
    row: Row | None


def read_back(
    tables: TableService,
    token_row: TokenRow,
    checked_version: int | None,
    *,
    purpose: StorePurpose,
) -> ReadBack:
    """Reads a row back to determine whether a transaction took effect.

    :param checked_version: version that the transaction required of the row.
    :returns: state of the transaction, and the row.
    :raises StoreUnavailableError: when the row can't be read.
    """
    row = tables.read(token_row.table, token_row.key, purpose=purpose)
    if row is not None and _token_of(row) == token_row.token:
        return ReadBack(ReadBackState.APPLIED, row)
    version = None if row is None else row.version
    if version == checked_version:
        return ReadBack(ReadBackState.UNCHANGED, row)
    return ReadBack(ReadBackState.OTHER_WRITER, row)


def transact_with_token(
    tables: TableService,
    checks: Sequence[Check],
    puts: Sequence[Put],
    token_row: TokenRow,
    *,
    purpose: StorePurpose,
    backoff: Backoff,
    sleep: Callable[[float], object] = time.sleep,
    attempts_count: int = ATTEMPTS_COUNT,
) -> int:
    """Runs a transaction and resolves a lost response by reading a row back.

    An unchanged row doesn't show whether the transaction is still in flight, so the
    same transaction is sent again: its version check lets only one of the two take
    effect.

    :returns: the commit number.
    :raises ValueError: when ``checks`` does not include the token row.
    :raises StoreConflictError: when another writer changed the row.
    :raises StoreUnavailableError: when it is known that nothing was written.
    :raises StoreOutcomeUnknownError: when the outcome could not be determined.
    """
    checked_version = _checked_version(checks, token_row)
    for attempt in range(attempts_count):
        try:
            return tables.transact(checks, puts, purpose=purpose)
        except (StoreConflictError, StoreUnavailableError):
            # Such a failure is conclusive on the first attempt only: a later attempt
            # may fail because an earlier one took effect.
            if attempt == 0:
                raise
        except StoreOutcomeUnknownError:
            sleep(backoff.next_delay_s())
        version = _resolve(tables, token_row, checked_version, purpose)
        if version is not None:
            return version
    message = (
        f"outcome unknown after {attempts_count} attempts without a response to write "
        f"row {token_row.table}/{token_row.key}"
    )
    raise StoreOutcomeUnknownError(message)


def _resolve(
    tables: TableService,
    token_row: TokenRow,
    checked_version: int | None,
    purpose: StorePurpose,
) -> int | None:
    try:
        result = read_back(tables, token_row, checked_version, purpose=purpose)
    except StoreUnavailableError as error:
        raise StoreOutcomeUnknownError(
            f"row {token_row.table}/{token_row.key} can't be read back after a lost "
            f"response: {error}"
        ) from error
    if result.state is ReadBackState.APPLIED:
        return result.row.version
    if result.state is ReadBackState.OTHER_WRITER:
        message = (
            f"row {token_row.table}/{token_row.key} was changed by another writer; "
            "read it again"
        )
        raise StoreConflictError(message)
    return None


def _checked_version(checks: Sequence[Check], token_row: TokenRow) -> int | None:
    for check in checks:
        if (check.table, check.key) == (token_row.table, token_row.key):
            return check.version
    message = (
        f"checks don't include the token row {token_row.table}/{token_row.key}; add a "
        "check of its version"
    )
    raise ValueError(message)


def _token_of(row: Row) -> str | None:
    """
    :returns: token of the row's writer, ``None`` if the row can't be decoded: another
        writer stored it.
    """
    try:
        value = msgspec.json.decode(row.value or b"")
    except JSON_ERRORS as error:
        _log.error(
            "token_row_malformed", table=row.table, key=row.key, error=str(error)
        )
        return None
    return value.get("token") if isinstance(value, dict) else None
