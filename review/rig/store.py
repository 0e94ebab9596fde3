"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import json
import random
import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from rig.http_json import NO_ANSWER, Answer, Request, serve

TX_S = 0.008
ANSWER_S = 0.004
LATE_S = (1.0, 6.0)
ROW_LIMIT_BYTES = 65536
CALL_LIMIT_BYTES = 1_000_000
ENTRIES_LIMIT_COUNT = 100
PAGE_ROWS_COUNT = 500
PAGE_BYTES = 1_000_000
FEED_ROWS_COUNT = 500
HISTORY_S = 20.0
OPERATOR_TABLES = ("op", "servers")


class Change(NamedTuple):
    """Change of a row; ``value`` is base64, ``None`` if the row was deleted."""

    table: str
    part: str
    key: str
    value: str | None
    ver: int
    time_s: float

    def encode(self) -> dict:
        """
        :returns: the row as the store sends it.
        """
        row = {"table": self.table, "part": self.part, "key": self.key, "ver": self.ver}
        if self.value is None:
            return row | {"deleted": True}
        return row | {"value": self.value}


class Store:
    """Linearizable rows with a change feed.

    :ivar refused: reasons of transactions that exceeded a limit of the store.
    :ivar is_down: whether each call is answered with 503, and nothing is done.
    :ivar slow_factor: how many times as long as usual each answer takes.
    :ivar lost_share: share of the writes that are not answered, and done 1 to 6 s later
        if their condition still holds.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._rows: dict[tuple[str, str, str], Change] = {}
        self._changes: list[Change] = []
        self._part_locks: dict[str, threading.Lock] = defaultdict(threading.Lock)
        self.version = 1
        self.refused: list[str] = []
        self.is_down = False
        self.slow_factor = 1.0
        self.lost_share = 0.0
        self._random = random.Random(1)
        self.address = serve(self._handle)

    def put(self, table: str, key: str, value: dict | None) -> None:
        """Writes a row as an operator or a worker does."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._apply([(table, "", key, text)])

    def find(self, table: str, key: str, part: str = "") -> bytes | None:
        """
        :returns: value of a row.
        """
        row = self._rows.get((table, part, key))
        return base64.b64decode(row.value) if row else None

    def _handle(self, request: Request) -> Answer:
        if request.path == "/worker":
            # How the workers of the rig register; the system never calls it.
            self.put("servers", request.body["id"], request.body["entry"])
            return Answer(200, {})
        if self.is_down:
            return Answer(503, {})
        if request.path == "/api/rows-tx":
            return self._transact(request.body)
        if self.slow_factor > 1:
            time.sleep(ANSWER_S * self.slow_factor)
        match request.path:
            case "/api/rows-get":
                return self._get(request.query)
            case "/api/rows-parts":
                return self._parts(request.query)
            case "/api/rows-feed":
                return self._feed(request.query)
        return Answer(404, {})

    def _transact(self, body: dict) -> Answer:
        checks = body.get("expected-rev", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        entries = [*checks, *puts, *deletes]
        parts = {entry.get("part", "") for entry in entries}
        reason = _limit_exceeded(entries, puts, body) or (
            "several parts" if len(parts) > 1 else ""
        )
        if reason:
            self.refused.append(reason)
            return Answer(400, {"error": reason})
        if any(entry["table"] in OPERATOR_TABLES for entry in (*puts, *deletes)):
            return Answer(403, {})
        with self._part_locks[parts.pop() if parts else ""]:
            time.sleep(TX_S * self.slow_factor)
            if self._random.random() >= self.lost_share:
                return self._commit(checks, puts, deletes)
        time.sleep(self._random.uniform(*LATE_S))
        self._commit(checks, puts, deletes)
        return NO_ANSWER

    def _commit(self, checks: list, puts: list, deletes: list) -> Answer:
        with self._changed:
            found = [self._rows.get(_address(check)) for check in checks]
            for check, row in zip(checks, found, strict=True):
                if (row.ver if row else 0) != check["ver"]:
                    rows = [row.encode() for row in found if row]
                    return Answer(412, self._stamp({"rows": rows}))
            self._apply(
                [(*_address(put), put["value"]) for put in puts]
                + [(*_address(row), None) for row in deletes]
            )
            return Answer(200, self._stamp({}))

    def _apply(self, writes: Iterable[tuple[str, str, str, str | None]]) -> None:
        self.version += 1
        now_s = time.monotonic()
        for table, part, key, value in writes:
            change = Change(table, part, key, value, self.version, now_s)
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = change
            self._changes.append(change)
        while self._changes and self._changes[0].time_s < now_s - HISTORY_S:
            self._forgotten = self._changes.pop(0).ver
        self._changed.notify_all()

    _forgotten = 0

    def _get(self, query: dict[str, str]) -> Answer:
        name = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("to", "")
        with self._changed:
            rows = sorted(
                (
                    row
                    for row in self._rows.values()
                    if (row.table, row.part) == name
                    and row.key >= first
                    and (not end or row.key < end)
                ),
                key=lambda row: row.key,
            )
            page, size = [], 0
            for row in rows[:PAGE_ROWS_COUNT]:
                size += len(row.value)
                if page and size > PAGE_BYTES:
                    break
                page.append(row.encode())
            return Answer(
                200, self._stamp({"rows": page, "has-more": len(page) < len(rows)})
            )

    def _parts(self, query: dict[str, str]) -> Answer:
        with self._changed:
            parts = {
                row.part for row in self._rows.values() if row.table == query["table"]
            }
            parts = sorted(part for part in parts if part > query.get("after", ""))
            return Answer(
                200,
                self._stamp({"parts": parts[:1000], "has-more": len(parts) > 1000}),
            )

    def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        with self._changed:
            while True:
                if after < self._forgotten:
                    return Answer(410, {})
                rows = [
                    change
                    for change in self._changes
                    if change.ver > after and change.table == table
                ]
                left_s = end_s - time.monotonic()
                if rows or left_s <= 0:
                    break
                self._changed.wait(left_s)
            return Answer(200, self._stamp({"rows": [row.encode() for row in rows]}))

    def _stamp(self, body: dict) -> dict:
        return body | {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}


def _address(entry: dict) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


def _limit_exceeded(entries: list, puts: list, body: dict) -> str:
    if len(entries) > ENTRIES_LIMIT_COUNT:
        return f"{len(entries)} entries"
    for put in puts:
        size = len(base64.b64decode(put["value"]))
        if size > ROW_LIMIT_BYTES:
            return f"row {put['table']}/{put['key']} has {size} bytes"
    size = len(json.dumps(body, separators=(",", ":")))
    return f"call of {size} bytes" if size > CALL_LIMIT_BYTES else ""
