"""HTTP client of the platform's table store."""

import base64
from collections.abc import Sequence
from typing import NamedTuple, Required, TypedDict, TypeVar
from urllib.parse import urlencode

import msgspec

from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    Scan,
    StorePurpose,
)
from sycamorecroft.store.transport import (
    STATUS_OK,
    Method,
    PlatformConnection,
    Reply,
)

_Body = TypeVar("_Body")

STATUS_PRECONDITION_FAILED = 412
STATUS_GONE = 410
# Added to the wait time of a feed call for the network round trip.
FEED_TIMEOUT_MARGIN_S = 1.0
# A space sorts before every other printable character: the range from a key to the same
# key with this suffix contains only the row of that key.
_KEY_END = " "


class _WireRow(TypedDict, total=False):
    """A row as the store sends it; ``value`` is base64 and absent if deleted."""

    table: Required[str]
    part: str
    key: Required[str]
    value: str
    ver: Required[int]
    deleted: bool


_WireRows = TypedDict(
    "_WireRows",
    {"rows": list[_WireRow], "ver": int, "now-ms": int, "has-more": bool},
    total=False,
)
_WireParts = TypedDict(
    "_WireParts", {"parts": Required[list[str]], "has-more": bool}, total=False
)


class _Rows(NamedTuple):
    rows: tuple[Row, ...]
    version: int
    store_time_ms: int
    has_more: bool


class PlatformTables(PartitionedTableService):
    """Table service of the platform over HTTP. Thread-safe."""

    def __init__(
        self, connection: PlatformConnection, feed_connection: PlatformConnection
    ) -> None:
        """
        :param connection: for calls that the store answers immediately.
        :param feed_connection: for calls in which the store waits for changes.
        """
        self._connection = connection
        self._feed_connection = feed_connection

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        scan = self.scan_part(
            table, "", purpose=purpose, first_key=key, end_key=key + _KEY_END
        )
        return scan.rows[0] if scan.rows else None

    def parts(self, table: str) -> tuple[str, ...]:
        parts: list[str] = []
        while True:
            query = {"table": table}
            if parts:
                query["after"] = parts[-1]
            reply = self._connection.call(
                Method.GET,
                f"/api/rows-parts?{urlencode(query)}",
                traffic_use="list parts",
            )
            body = _decode(reply, _WireParts)
            parts.extend(body["parts"])
            if not body.get("has-more") or not body["parts"]:
                return tuple(parts)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        if after_version:
            return self.changes(table, after_version=after_version, wait_s=0.0)
        scan = self.scan_part(table, "", purpose=purpose, first_key=prefix)
        rows = tuple(row for row in scan.rows if row.key.startswith(prefix))
        return scan._replace(rows=rows)

    def scan_part(
        self,
        table: str,
        part: str,
        *,
        purpose: StorePurpose,
        first_key: str = "",
        end_key: str = "",
    ) -> Scan:
        rows: list[Row] = []
        version = 0
        while True:
            page = self._page(table, part, first_key, end_key, purpose)
            rows.extend(page.rows)
            version = version or page.version
            if not page.has_more or not page.rows:
                return Scan(tuple(rows), version, page.store_time_ms)
            first_key = page.rows[-1].key + _KEY_END

    def changes(self, table: str, *, after_version: int, wait_s: float) -> Scan:
        query = urlencode(
            {"table": table, "after": after_version, "wait-ms": int(wait_s * 1000)}
        )
        reply = self._feed_connection.call(
            Method.GET,
            f"/api/rows-feed?{query}",
            timeout_s=wait_s + FEED_TIMEOUT_MARGIN_S,
            traffic_use=f"feed {_table_kind(table)}",
        )
        if reply.status == STATUS_GONE:
            message = (
                f"changes of table {table} after version {after_version} are no longer "
                "available; read the table again"
            )
            raise StoreHistoryLostError(message)
        page = _decode_rows(reply)
        return Scan(page.rows, page.version, page.store_time_ms)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        body = {
            "expected-rev": [_check_body(check) for check in checks],
            "puts": [_put_body(put) for put in puts if put.value is not None],
            "deletes": [_row_address(put) for put in puts if put.value is None],
        }
        reply = self._connection.call(
            Method.POST,
            "/api/rows-tx",
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            traffic_use=f"write {purpose}",
        )
        if reply.status == STATUS_PRECONDITION_FAILED:
            message = f"check of a transaction on {_table_names(puts)} failed"
            raise StoreConflictError(message, _decode_write(reply).rows)
        return _decode_write(reply).version

    def _page(
        self,
        table: str,
        part: str,
        first_key: str,
        end_key: str,
        purpose: StorePurpose,
    ) -> _Rows:
        query = {"table": table, "part": part}
        if first_key:
            query["from"] = first_key
        if end_key:
            query["to"] = end_key
        path = f"/api/rows-get?{urlencode(query)}"
        use = f"read {purpose}"
        return _decode_rows(self._connection.call(Method.GET, path, traffic_use=use))


def _table_kind(table: str) -> str:
    """Returns a table's name without that of a service."""
    return table.partition(".")[0]


def _table_names(puts: Sequence[Put]) -> str:
    return ", ".join(sorted({put.table for put in puts}))


def _row_address(row: Check | Put) -> dict[str, object]:
    return {"table": row.table, "part": row.part, "key": row.key}


def _check_body(check: Check) -> dict[str, object]:
    return _row_address(check) | {"ver": check.version or 0}


def _put_body(put: Put) -> dict[str, object]:
    value = base64.b64encode(put.value or b"").decode()
    return _row_address(put) | {"value": value}


def _decode_rows(reply: Reply, expected_status: int = STATUS_OK) -> _Rows:
    body = _decode(reply, _WireRows, expected_status)
    try:
        rows = tuple(_decode_row(row) for row in body.get("rows", ()))
    except (KeyError, ValueError) as error:
        raise PlatformError(f"{reply.call}: malformed row: {error!r}") from error
    return _Rows(
        rows=rows,
        version=body.get("ver", 0),
        store_time_ms=body.get("now-ms", 0),
        has_more=body.get("has-more", False),
    )


def _decode_write(reply: Reply) -> _Rows:
    """
    :raises StoreOutcomeUnknownError: when the write may have been applied.
    :raises PlatformError: when the store refused the write.
    """
    if reply.status not in (STATUS_OK, STATUS_PRECONDITION_FAILED):
        return _decode_rows(reply)
    try:
        decoded = _decode_rows(reply, reply.status)
        if not decoded.version and reply.status == STATUS_OK:
            raise PlatformError(f"{reply.call}: the response names no version")
    except PlatformError as error:
        raise StoreOutcomeUnknownError(str(error)) from error
    return decoded


def _decode(
    reply: Reply, body_type: type[_Body], expected_status: int = STATUS_OK
) -> _Body:
    """
    :raises PlatformError: when the status or the body isn't as expected.
    """
    if reply.status != expected_status:
        text = reply.body[:200].decode(errors="replace")
        raise PlatformError(
            f"{reply.call}: expected status {expected_status}, got {reply.status}: "
            f"{text}"
        )
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except JSON_ERRORS as error:
        raise PlatformError(f"{reply.call}: malformed response: {error}") from error


def _decode_row(body: _WireRow) -> Row:
    is_deleted = body.get("deleted", False) or "value" not in body
    value = None if is_deleted else base64.b64decode(body["value"])
    return Row(body["table"], body["key"], value, body["ver"], body.get("part", ""))
