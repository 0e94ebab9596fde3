"""Encoding of the rows of tables ``claims`` and ``claims_by_day``."""

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
    """Recorded response, with its body in the row or in the object store."""

    status: int
    headers: dict[str, str]
    body_base64: str | None
    object_key: str | None


class ClaimRecord(TypedDict):
    """Value of a row of table ``claims``, whose key is the digest of the claim key."""

    account: str
    service: str
    token: str
    body_digest: str
    day: str
    response: StoredResponse | None


class ClaimVersion(NamedTuple):
    """A claim row and the commit number that wrote it."""

    record: ClaimRecord
    version: int


def row_key(key: ClaimKey) -> str:
    """
    :returns: hexadecimal digest of the claim key, without separators and of bounded
        length.
    """
    return hashlib.sha256(json.dumps(list(key)).encode()).hexdigest()


def object_key(claim_row_key: str, token: str) -> str:
    """
    :returns: key of a recorded body in the object store.
    """
    return f"claims/{claim_row_key}/{token}"


def claim_puts(claim_row_key: str, record: ClaimRecord) -> tuple[Put, Put]:
    """
    :returns: puts of the claim row and of its row in the index by day, in this order.
    """
    response = record["response"]
    body_key = response["object_key"] if response else None
    return (
        Put(CLAIMS_TABLE, claim_row_key, _encode(record)),
        index_put(DAYS_TABLE, record["day"], claim_row_key, body_key),
    )


def claim_deletes(claim_row_key: str, day: str) -> tuple[Put, Put]:
    """
    :returns: deletions of the claim row and of its row in the index by day.
    """
    return (
        Put(CLAIMS_TABLE, claim_row_key, None),
        index_delete(DAYS_TABLE, day, claim_row_key),
    )


def decode_claim(value: bytes) -> ClaimRecord:
    """
    :param value: JSON value of a row of table ``claims``.
    :returns: the record.
    """
    return json.loads(value)


def store_response(
    response: RecordedResponse, body_object_key: str | None
) -> StoredResponse:
    """
    :param body_object_key: key of the body in the object store, ``None`` to store the
        body in the row.
    :returns: the response as it is stored in a claim row.
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
    :param object_body: body read from the object store, ``None`` if it is in the row
        or missing.
    :returns: the response, ``None`` when its body is missing.
    """
    body = object_body
    if stored["body_base64"] is not None:
        body = base64.b64decode(stored["body_base64"])
    if body is None:
        return None
    return RecordedResponse(stored["status"], stored["headers"], body)


def _encode(record: ClaimRecord) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()
