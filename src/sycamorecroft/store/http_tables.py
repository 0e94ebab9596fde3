"""HTTP client of the table service."""

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)
from sycamorecroft.store.transport import (
    STATUS_NOT_FOUND,
    Method,
    PlatformConnection,
    decode_reply,
    encode_segment,
)
from sycamorecroft.store.wire import (
    CommitBody,
    RowBody,
    ScanBody,
    TransactionBody,
    check_body,
    put_body,
    row_from_body,
    scan_from_body,
)

# The platform counts calls by this header; it has no effect on the result.
PURPOSE_HEADER = "Sycamorecroft-Purpose"


class HttpTableService(TableService):
    """Table service over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        path = f"/tables/{encode_segment(table)}/{encode_segment(key)}"
        headers = {PURPOSE_HEADER: purpose}
        reply = self._connection.call(Method.GET, path, headers=headers)
        if reply.status == STATUS_NOT_FOUND:
            return None
        return row_from_body(decode_reply(reply, RowBody))

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        query = urlencode({"prefix": prefix, "after_version": after_version})
        path = f"/tables/{encode_segment(table)}?{query}"
        headers = {PURPOSE_HEADER: purpose}
        reply = self._connection.call(Method.GET, path, headers=headers)
        return scan_from_body(decode_reply(reply, ScanBody))

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        body = TransactionBody(
            checks=[check_body(check) for check in checks],
            puts=[put_body(put) for put in puts],
        )
        reply = self._connection.call(
            Method.POST,
            "/tables/transact",
            body=msgspec.json.encode(body),
            headers={PURPOSE_HEADER: purpose},
        )
        return decode_reply(reply, CommitBody)["version"]
