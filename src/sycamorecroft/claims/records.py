"""Rows of the tables ``claims`` and ``claims_by_day``."""

import base64
import hashlib
import json
from typing import NamedTuple, TypedDict

from sycamorecroft.claims.interfaces import ClaimKey, RecordedResponse
from sycamorecroft.store.day_index import DayTables, index_delete, index_put
from sycamorecroft.store.interfaces import Put, StorePurpose

CLAIMS_TABLE = "claims"
DAYS_TABLE = "claims_by_day"
CLAIMS_DAY_TABLES = DayTables(CLAIMS_TABLE, DAYS_TABLE, StorePurpose.CLAIMS)
INLINE_BODY_MAX_BYTES = 32 * 1024


class StoredResponse(TypedDict):
    """Recorded response; the body is in the row or in the object store."""

    status: int
    headers: dict[str, str]
    body_base64: str | None
    object_key: str | None


class ClaimRecord(TypedDict):
    """Value of a row of table ``claims``; its key is the digest of the claim key."""

    account: str
    service: str
    token: str
    body_digest: str
    day: str
    response: StoredResponse | None


class ClaimVersion(NamedTuple):
    """A claim row as last written by its claimant."""

    record: ClaimRecord
    version: int


def row_key(key: ClaimKey) -> str:
    """
    :returns: digest of the claim key; free of separators and of bounded length.
    """
    return hashlib.sha256(json.dumps(list(key)).encode()).hexdigest()


def object_key(claim_row_key: str, token: str) -> str:
    """
    :returns: key in the object store of a recorded body.
    """
    return f"claims/{claim_row_key}/{token}"


def claim_puts(claim_row_key: str, record: ClaimRecord) -> tuple[Put, Put]:
    """
    :returns: the claim row first, then its row by day.
    """
    response = record["response"]
    body_key = response["object_key"] if response else None
    return (
        Put(CLAIMS_TABLE, claim_row_key, _encode(record)),
        index_put(DAYS_TABLE, record["day"], claim_row_key, body_key),
    )


def claim_deletes(claim_row_key: str, day: str) -> tuple[Put, Put]:
    """
    :returns: deletion of the claim row and of its row by day.
    """
    return (
        Put(CLAIMS_TABLE, claim_row_key, None),
        index_delete(DAYS_TABLE, day, claim_row_key),
    )


def decode_claim(value: bytes) -> ClaimRecord:
    """
    :param value: JSON text of a row of table ``claims``.
    """
    return json.loads(value)


def store_response(
    response: RecordedResponse, body_object_key: str | None
) -> StoredResponse:
    """
    :param body_object_key: key of the stored body, ``None`` to keep it in the row.
    """
    body = base64.b64encode(response.body).decode() if body_object_key is None else None
    return {
        "status": response.status,
        "headers": dict(response.headers),
        "body_base64": body,
        "object_key": body_object_key,
    }


def load_response(
    stored: StoredResponse, object_body: bytes | None
) -> RecordedResponse | None:
    """
    :param object_body: body read from the object store, if it is kept there.
    :returns: ``None`` when the body is missing.
    """
    body = object_body
    if stored["body_base64"] is not None:
        body = base64.b64decode(stored["body_base64"])
    if body is None:
        return None
    return RecordedResponse(stored["status"], stored["headers"], body)


def _encode(record: ClaimRecord) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()
