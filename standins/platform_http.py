"""The users' platform over HTTP on loopback: store of rows, workers and machines.

Speaks the published protocol, as far as the tests need it.
"""

import base64
import json
import threading
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

from standins.memory_partitions import MemoryPartitions
from standins.memory_worker import MemoryWorker
from sycamorecroft.entry.server import EntryServer, ServerSettings
from sycamorecroft.errors import (
    StaleEpochError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.scheduling.calls import OrderStatus, RunOutcome, StartOrder
from sycamorecroft.store.interfaces import Check, Put, Row, StorePurpose

HOLD_POLL_S = 0.01
PAGE_ROWS_COUNT = 500


class JsonServer:
    """HTTP server whose calls take and return JSON."""

    def __init__(self, port: int) -> None:
        self.address = f"127.0.0.1:{port}"
        settings = ServerSettings(self.address, 32, 500, 2**20, 10)
        self._server = EntryServer(self._serve, settings)
        self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop(1.0)

    def answer(self, method: str, path: str, query: dict, body: dict) -> tuple:
        """
        :returns: status and body.
        """
        raise NotImplementedError

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        text = environ["wsgi.input"].read()
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        status, body = self.answer(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            query,
            json.loads(text) if text else {},
        )
        data = json.dumps(body).encode()
        headers = [("Content-Length", str(len(data)))]
        start_response(f"{status} -", headers)
        return [data]


class StoreServer(JsonServer):
    """Store of rows.

    :ivar tables: the rows.
    """

    def __init__(self, port: int) -> None:
        self.tables = MemoryPartitions()
        super().__init__(port)

    def answer(self, method: str, path: str, query: dict, body: dict) -> tuple:
        try:
            return 200, self._answer(path, query, body)
        except StoreConflictError as error:
            return 412, self._rows(error.rows)
        except StoreHistoryLostError:
            return 410, {}
        except StoreUnavailableError:
            return 503, {}
        except StoreOutcomeUnknownError:
            return 500, {}

    def _answer(self, path: str, query: dict, body: dict) -> dict:
        tables = self.tables
        tables.store_time_ms = int(time.monotonic() * 1000)
        match path:
            case "/api/rows-tx":
                return self._transact(body)
            case "/api/rows-parts":
                return {"parts": tables.parts(query["table"]), "has-more": False}
            case "/api/rows-feed":
                scan = tables.changes(
                    query["table"],
                    after_version=int(query["after"]),
                    wait_s=int(query["wait-ms"]) / 1000,
                )
                return self._rows(scan.rows)
        scan = tables.scan_part(
            query["table"],
            query.get("part", ""),
            purpose=StorePurpose.VIEW,
            first_key=query.get("from", ""),
            end_key=query.get("to", ""),
        )
        page = scan.rows[:PAGE_ROWS_COUNT]
        return self._rows(page) | {"has-more": len(scan.rows) > PAGE_ROWS_COUNT}

    def _transact(self, body: dict) -> dict:
        checks = [
            Check(row["table"], row["key"], row["ver"] or None, row["part"])
            for row in body["expected-rev"]
        ]
        puts = [
            Put(r["table"], r["key"], base64.b64decode(r["value"]), r["part"])
            for r in body["puts"]
        ]
        puts += [Put(r["table"], r["key"], None, r["part"]) for r in body["deletes"]]
        version = self.tables.transact(checks, puts, purpose=StorePurpose.VIEW)
        return {"ver": version, "now-ms": self.tables.store_time_ms}

    def _rows(self, rows: Iterable[Row]) -> dict:
        encoded = []
        for row in rows:
            wire = {
                "table": row.table,
                "part": row.part,
                "key": row.key,
                "ver": row.version,
            }
            if row.value is None:
                wire["deleted"] = True
            else:
                wire["value"] = base64.b64encode(row.value).decode()
            encoded.append(wire)
        return {
            "rows": encoded,
            "ver": self.tables.version,
            "now-ms": self.tables.store_time_ms,
        }

    def put(self, table: str, key: str, value: dict) -> None:
        """Writes a row as the operator or a worker does."""
        put = Put(table, key, json.dumps(value).encode())
        self.tables.transact((), (put,), purpose=StorePurpose.VIEW)


class WorkerServer(JsonServer):
    """Worker that ends each task after a while.

    :ivar worker: its state.
    """

    def __init__(self, port: int, *, task_s: float = 0.05) -> None:
        self.worker = MemoryWorker()
        self._lock = threading.Lock()
        self._task_s = task_s
        self._started_s: dict[str, float] = {}
        super().__init__(port)

    def answer(self, method: str, path: str, query: dict, body: dict) -> tuple:
        with self._lock:
            self.worker.clock_ms = int(time.monotonic() * 1000)
            if path == "/healthz":
                return 200, {}
        if path == "/api/hold":
            return self._hold(body)
        calls = self.worker.calls(body["fence"])
        with self._lock:
            if path == "/api/run-start":
                reply = calls.start(
                    StartOrder(
                        body["task"],
                        body["attempt"],
                        body["spec"],
                        body["deadline-ms"],
                        body.get("checkpoint", ""),
                    )
                )
                self._started_s.setdefault(body["task"], time.monotonic())
            else:
                reply = calls.stop(body["task"], body["attempt"])
        status = 200 if reply.status is OrderStatus.DONE else 409
        return status, {"clock-ms": self.worker.clock_ms, "reason": reply.reason}

    def _hold(self, body: dict) -> tuple:
        end_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while True:
            with self._lock:
                self._end_tasks()
                self.worker.clock_ms = int(time.monotonic() * 1000)
                try:
                    reply = self.worker.calls(body["fence"]).renew_leases(
                        acknowledged=body["ack-cursor"],
                        deadline_ms=body.get("deadline-ms"),
                        wait_ms=0,
                    )
                except StaleEpochError:
                    return 409, {"reason": "fence", "clock-ms": self.worker.clock_ms}
            if reply.finished or time.monotonic() >= end_s:
                break
            time.sleep(HOLD_POLL_S)
        return 200, {
            "clock-ms": reply.clock_ms,
            "born": reply.incarnation_ms,
            "running": [list(row) for row in reply.running],
            "finished": [list(row) for row in reply.finished],
        }

    def _end_tasks(self) -> None:
        now_s = time.monotonic()
        deadline_ms = self.worker.deadline_ms
        if deadline_ms and now_s * 1000 >= deadline_ms:
            self.worker.running.clear()
        for task in list(self.worker.running):
            if now_s - self._started_s.get(task, now_s) > self._task_s:
                self.worker.end(task, RunOutcome.DONE)


class MachineServer(JsonServer):
    """Machines that stay where they are."""

    def answer(self, method: str, path: str, query: dict, body: dict) -> tuple:
        return 200, {"machines": [], "next-token": None}
