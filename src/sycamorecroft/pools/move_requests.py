"""Store of the host moves that operators requested."""

from collections.abc import Mapping
from typing import TypedDict

import msgspec
import structlog

from sycamorecroft.errors import PoolOperationError
from sycamorecroft.pools.records import HOSTS_TABLE, POOLS_TABLE
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)

_log = structlog.get_logger()

MOVES_TABLE = "moves"


class MoveRequestRecord(TypedDict):
    """Value of row ``<host>`` of table ``moves``."""

    host: str
    target_pool: str


class MoveRequestStore:
    """Stores move requests until the pool controller has carried them out.

    The controller starts a move only when the pool's budget allows it.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    def request(self, host: str, target_pool: str) -> MoveRequestRecord:
        """Stores a request, replacing any earlier one for the same host.

        :returns: the stored record.
        :raises PoolOperationError: when the host or the pool is unknown.
        :raises PlatformError: when the store did not confirm the write; safe to retry.
        """
        self._require_known(HOSTS_TABLE, host, "host")
        self._require_known(POOLS_TABLE, target_pool, "pool")
        record = MoveRequestRecord(host=host, target_pool=target_pool)
        self._table.transact(
            [],
            [Put(MOVES_TABLE, host, msgspec.json.encode(record))],
            purpose=StorePurpose.OPERATORS,
        )
        return record

    def pending(self) -> Mapping[str, str]:
        """
        :returns: target pool by host; malformed rows are logged and omitted.
        :raises StoreUnavailableError: when the store could not be read.
        """
        scan = self._table.scan(MOVES_TABLE, purpose=StorePurpose.POOLS)
        targets = {}
        for row in scan.rows:
            try:
                record = _decode(row)
            except msgspec.MsgspecError as error:
                # One malformed row must not block the controller's other work.
                _log.error("move_request_malformed", host=row.key, error=str(error))
                continue
            targets[record["host"]] = record["target_pool"]
        return targets

    def finish(self, host: str, target_pool: str) -> None:
        """Deletes a completed request, unless a later one has replaced it.

        :raises PlatformError: when the store did not confirm the write; safe to retry.
        """
        row = self._table.read(MOVES_TABLE, host, purpose=StorePurpose.POOLS)
        if row is None or row.value is None:
            return
        if _decode(row)["target_pool"] != target_pool:
            return
        self._table.transact(
            [Check(MOVES_TABLE, host, row.version)],
            [Put(MOVES_TABLE, host, None)],
            purpose=StorePurpose.POOLS,
        )

    def _require_known(self, table: str, key: str, kind: str) -> None:
        if self._table.read(table, key, purpose=StorePurpose.OPERATORS) is None:
            message = f"{kind} {key!r} is unknown; list the {kind}s and choose one"
            raise PoolOperationError(message)


def _decode(row: Row) -> MoveRequestRecord:
    return msgspec.json.decode(row.value or b"", type=MoveRequestRecord)
