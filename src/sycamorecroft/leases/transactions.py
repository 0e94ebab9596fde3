"""Conditional transactions of controllers that survive a lost response."""

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
    """Commits a transaction; an unknown outcome is resolved by reading back.

    The first put is the witness: a field ``token`` is added to its JSON object, and
    ``checks`` must name its row. Attempts follow each other without a wait, because
    a controller repeats its step anyway and must not delay its actor.

    :param puts: rows to write, the witness first; it must not be a deletion.
    :returns: the commit number.
    :raises StoreConflictError: when another writer changed a checked row.
    :raises StoreUnavailableError: when it is known that nothing was written.
    :raises StoreOutcomeUnknownError: when the outcome couldn't be learned.
    """
    token = uuid.uuid4().hex
    witness = _with_token(puts[0], token)
    return transact_with_token(
        table,
        checks,
        [witness, *puts[1:]],
        TokenRow(witness.table, witness.key, token),
        purpose=purpose,
        backoff=Backoff(0.0, 0.0, random.Random()),
        sleep=_continue_at_once,
    )


def _with_token(put: Put, token: str) -> Put:
    if put.value is None:
        message = f"witness row {put.table}/{put.key} must not be a deletion"
        raise ValueError(message)
    content = msgspec.json.decode(put.value)
    content["token"] = token
    return put._replace(value=msgspec.json.encode(content))


def _continue_at_once(delay_s: float) -> None:
    del delay_s
