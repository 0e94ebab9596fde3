"""HTTP stand-ins of the users' platform on loopback: row store and hosts.

They implement the parts of the published protocol that the tests use.
"""

import base64
import json
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.entry.server import HttpServer, ServerSettings
from sycamorecroft.errors import (
    StoreConflictError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.interfaces import Check, Put, Row, StorePurpose

PAGE_ROWS_COUNT = 500
THREADS_COUNT = 32
# Each long poll occupies a thread, and each node of a site keeps several in progress.
STORE_THREADS_COUNT = 400


class JsonServer:
    """HTTP server with JSON bodies in requests and responses."""

    def __init__(self, port: int, threads_count: int = THREADS_COUNT) -> None:
        self.address = f"127.0.0.1:{port}"
        settings = ServerSettings(self.address, threads_count, 500, 2**20, 10)
        self._server = HttpServer(self._serve_request, settings)
        self._server.start()

    def stop(self) -> None:
        """Stops the server; open requests get 1 s to finish."""
        self._server.stop(1.0)

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        """Handles a request.

        :returns: status and JSON body of the response.
        """
        raise NotImplementedError

    def _serve_request(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        text = environ["wsgi.input"].read()
        query = {
            name: values[0]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        status, body = self.handle(
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
    """Stand-in of the row store.

    :ivar tables: rows and fault injection.
    """

    def __init__(self, port: int) -> None:
        self.tables = MemoryPartitions()
        super().__init__(port, STORE_THREADS_COUNT)

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        try:
            return 200, self._handle_call(path, query, body)
        except StoreConflictError as error:
            return 412, self._encode_rows(error.rows)
        except StoreHistoryLostError:
            return 410, {}
        except StoreUnavailableError:
            return 503, {}
        except StoreOutcomeUnknownError:
            return 500, {}

    def _handle_call(self, path: str, query: dict, body: dict) -> dict:
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
                return self._encode_rows(scan.rows)
        scan = tables.scan_part(
            query["table"],
            query.get("part", ""),
            purpose=StorePurpose.VIEW,
            first_key=query.get("from", ""),
            end_key=query.get("to", ""),
        )
        page = scan.rows[:PAGE_ROWS_COUNT]
        return self._encode_rows(page) | {"has-more": len(scan.rows) > PAGE_ROWS_COUNT}

    def _transact(self, body: dict) -> dict:
        checks = [
            Check(row["table"], row["key"], row["ver"] or None, row["part"])
            for row in body["expected-rev"]
        ]
        puts = [
            Put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
            for row in body["puts"]
        ]
        puts += [
            Put(row["table"], row["key"], None, row["part"]) for row in body["deletes"]
        ]
        version = self.tables.transact(checks, puts, purpose=StorePurpose.VIEW)
        return {"ver": version, "now-ms": self.tables.store_time_ms}

    def _encode_rows(self, rows: Iterable[Row]) -> dict:
        encoded_rows = []
        for row in rows:
            encoded_row = {
                "table": row.table,
                "part": row.part,
                "key": row.key,
                "ver": row.version,
            }
            if row.value is None:
                encoded_row["deleted"] = True
            else:
                encoded_row["value"] = base64.b64encode(row.value).decode()
            encoded_rows.append(encoded_row)
        return {
            "rows": encoded_rows,
            "ver": self.tables.version,
            "now-ms": self.tables.store_time_ms,
        }

    def put(self, table: str, key: str, value: dict) -> None:
        """Writes a row, as an operator or a worker does."""
        put = Put(table, key, json.dumps(value).encode())
        self.tables.transact((), (put,), purpose=StorePurpose.VIEW)

    def read(self, table: str, key: str) -> dict | None:
        """
        :returns: a row that was written by :meth:`put`; ``None`` if there is none.
        """
        row = self.tables.row(table, key)
        return None if row is None else json.loads(row.value)

    def drop(self, table: str, key: str) -> None:
        """Removes a row as the platform does, also while the store is unavailable."""
        self.tables.remove(table, key)


class HostServer(JsonServer):
    """Stand-in of the host service, without hosts."""

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        return 200, {"machines": [], "next-token": None}
