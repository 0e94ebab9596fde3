"""Conditional transactions of controllers, with resolution of lost responses."""

import random
import uuid
from collections.abc import Sequence

import msgspec

from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService
from sycamorecroft.store.read_back import TokenRow, transact_with_token


def transact_resolved(
    table: TableService,
    checks: Sequence[Check],
    puts: Sequence[Put],
    *,
    purpose: StorePurpose,
) -> int:
    """Commits a transaction and resolves an unknown outcome by reading back.

    The first put writes the token row: a unique ``token`` is added to its JSON object,
    and ``checks`` must name its row. Attempts follow each other without a delay,
    because a controller repeats its step anyway and must not block its actor.

    :param puts: rows to write, the token row first; it must not be a deletion.
    :returns: the commit number.
    :raises StoreConflictError: when another writer changed a checked row.
    :raises StoreUnavailableError: when it is certain that nothing was written.
    :raises StoreOutcomeUnknownError: when the outcome couldn't be determined.
    :raises ValueError: when the first put is a deletion.
    """
    token = uuid.uuid4().hex
    token_put = _with_token(puts[0], token)
    return transact_with_token(
        table,
        checks,
        [token_put, *puts[1:]],
        TokenRow(token_put.table, token_put.key, token),
        purpose=purpose,
        backoff=Backoff(0.0, 0.0, random.Random()),
        sleep=_skip_delay,
    )


def _with_token(put: Put, token: str) -> Put:
    if put.value is None:
        message = (
            f"token row {put.table}/{put.key} must not be a deletion; "
            "put a row with a value first"
        )
        raise ValueError(message)
    content = msgspec.json.decode(put.value)
    content["token"] = token
    return put._replace(value=msgspec.json.encode(content))


def _skip_delay(delay_s: float) -> None:
    del delay_s
