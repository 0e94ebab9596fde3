"""HTTP handlers of the backend stand-in on plain sockets.

Some faults reset connections or truncate responses, which a WSGI server can't do.
"""

import json
import socket
import struct
import time
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler
from typing import NamedTuple, TypedDict

import msgspec

from standins.backend_state import (
    BackendFault,
    BackendFaultKind,
    BackendServer,
    LedgerEntry,
)

BODY_LIMIT_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 120.0
REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

# Makes ``close`` send a reset (RST) instead of an orderly shutdown (FIN).
_LINGER_RESET = struct.pack("ii", 1, 0)


def reset_on_close(connection: socket.socket) -> None:
    """Makes closing the socket send a reset to the peer."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


class _Handler(BaseHTTPRequestHandler):
    """Handler of a persistent connection with JSON responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = IDLE_TIMEOUT_S
    # Headers and body of a response are sent in one packet if they fit.
    wbufsize = 64 * 1024

    def log_message(self, format: str, *args: object) -> None:
        """Suppresses the log line that the base class writes for each request."""

    def send(
        self, status: int, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def send_json(self, status: int, value: object) -> None:
        self.send(status, msgspec.json.encode(value))

    def read_body(self) -> bytes | None:
        """
        :returns: the body; ``None`` if its length is missing or above the limit, which
            is answered with an error, or if the client closed the connection early.
        """
        length = self.headers.get("Content-Length", "")
        if not length.isdecimal() or int(length) > BODY_LIMIT_BYTES:
            self.close_connection = True
            status = 413 if length.isdecimal() else 411
            self.send_json(
                status,
                {"error": f"Content-Length of at most {BODY_LIMIT_BYTES} is required"},
            )
            return None
        body = self.rfile.read(int(length))
        if len(body) < int(length):
            self.close_connection = True
            return None
        return body


class BackendHandler(_Handler):
    """Connection of a client to one backend server.

    :ivar server: state of the backend server.
    """

    server: BackendServer

    def handle(self) -> None:
        self._is_over_connection_limit = not self.server.open_connection()
        try:
            super().handle()
        except OSError:
            # The client closed the connection; the ledger holds the requests that ran.
            reset_on_close(self.connection)
        finally:
            self.server.close_connection()

    def do_GET(self) -> None:  # noqa: N802
        if self.path == "/ledger":
            self.send_json(200, self.server.ledger())
            return
        self.send_json(
            404, {"error": "path not found; use GET /ledger or POST /{service}"}
        )

    def do_POST(self) -> None:  # noqa: N802
        self.server.wait_while_frozen()
        is_refusing = self.server.has_fault(BackendFaultKind.REFUSE)
        if is_refusing or self.server.consume_fault(BackendFaultKind.RESET_BEFORE_READ):
            self._reset_connection()
            return
        body = self.read_body()
        if body is None:
            return
        if self._is_over_connection_limit:
            self.close_connection = True
            self._reject("all connections are in use")
        elif not self.server.acquire_slot():
            self._reject("all slots are busy")
        else:
            self._run_in_slot(body)

    def finish(self) -> None:
        try:
            super().finish()
        except OSError:
            reset_on_close(self.connection)

    def _run_in_slot(self, body: bytes) -> None:
        try:
            entry = self._run_request(body)
        finally:
            self.server.release_slot()
        if self.server.consume_fault(BackendFaultKind.RESET_AFTER_READ):
            self._reset_connection()
            return
        self._respond(entry, len(body))

    def _run_request(self, body: bytes) -> LedgerEntry:
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        key = self.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        service = self.path.strip("/")
        entry = self.server.record_start(service, request_id, key, body)
        slow = self.server.consume_fault(BackendFaultKind.SLOW)
        delay_s = slow.delay_s if slow else 0.0
        time.sleep(self.server.service_time_s(service, request_id) + delay_s)
        self.server.wait_while_frozen()
        self.server.record_completion(entry)
        return entry

    def _respond(self, entry: LedgerEntry, body_length_bytes: int) -> None:
        request_id = entry["request_id"]
        digest = entry["body_digest"]
        if self.server.consume_fault(BackendFaultKind.WRONG_ID):
            request_id = f"{request_id}-other"
        if self.server.consume_fault(BackendFaultKind.WRONG_BODY):
            digest = digest[::-1]
        content = {
            "digest": digest,
            "length": body_length_bytes,
            "server": self.server.name,
        }
        body = json.dumps(content).encode()
        headers = {REQUEST_ID_HEADER: request_id, "Content-Type": "application/json"}
        if self.server.consume_fault(BackendFaultKind.TRUNCATED):
            self._send_truncated(body, headers)
            return
        # Recorded before sending, since a client may read the ledger as soon as it has
        # the response.
        self.server.record_response(entry, True)
        try:
            self.send(200, body, headers)
        except OSError:
            self.server.record_response(entry, False)
            raise

    def _send_truncated(self, body: bytes, headers: Mapping[str, str]) -> None:
        self.close_connection = True
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) // 2])
        self.wfile.flush()

    def _reject(self, reason: str) -> None:
        status = self.server.settings.refusal_status
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        body = json.dumps({"error": reason}).encode()
        self.send(status, body, {REQUEST_ID_HEADER: request_id})

    def _reset_connection(self) -> None:
        reset_on_close(self.connection)
        self.close_connection = True


class BackendFaultBody(TypedDict, total=False):
    """Body of ``POST /faults``.

    ``server`` is the name of a server, or ``all``, which is the default.
    """

    server: str
    kind: BackendFaultKind
    count: int | None
    duration_s: float | None
    delay_s: float


class ControlState(NamedTuple):
    """Backend servers by name that the control port manages."""

    servers: Mapping[str, BackendServer]


class ControlHandler(_Handler):
    """Connection to the control port.

    Serves ``GET /ledger``, ``DELETE /ledger``, ``GET /refusals``, ``POST /faults`` and
    ``DELETE /faults``.

    :ivar server: all backend servers.
    """

    server: ControlState

    def do_GET(self) -> None:  # noqa: N802
        servers = self.server.servers.values()
        if self.path == "/ledger":
            entries = [entry for server in servers for entry in server.ledger()]
            self.send_json(200, entries)
        elif self.path == "/refusals":
            self.send_json(
                200, {server.name: server.rejected_count() for server in servers}
            )
        else:
            self.send_json(
                404, {"error": "path not found; use GET /ledger or GET /refusals"}
            )

    def do_DELETE(self) -> None:  # noqa: N802
        for server in self.server.servers.values():
            if self.path == "/faults":
                server.clear_faults()
            elif self.path == "/ledger":
                server.clear_ledger()
        self.send_json(200, {})

    def do_POST(self) -> None:  # noqa: N802
        body = self.read_body()
        if body is None:
            return
        try:
            self._set_fault(body)
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            self.send_json(400, {"error": str(error)})
            return
        self.send_json(200, {})

    def _set_fault(self, body: bytes) -> None:
        fields = dict(msgspec.json.decode(body, type=BackendFaultBody))
        name = fields.pop("server", "all")
        fault = BackendFault(**fields)
        servers = self.server.servers
        affected_servers = servers.values() if name == "all" else [servers[name]]
        for server in affected_servers:
            server.set_fault(fault)
