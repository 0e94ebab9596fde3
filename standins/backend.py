"""Stand-in process that runs many backend servers on loopback, one port each.

Run as ``python -m standins.backend --control-port 8200 --first-port 8300 --count 40``.
Prints one JSON line with the addresses once all ports listen. Server ``w0`` listens on
the first port.
"""

import argparse
import contextlib
import json
import selectors
import socket
import threading
import time
from collections.abc import Mapping
from typing import NamedTuple

from standins.backend_http import BackendHandler, ControlHandler, ControlState
from standins.backend_state import BackendFaultKind, BackendServer, BackendSettings

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG_COUNT = 512

# Interval between checks whether a ``refuse`` fault was set or cleared.
REFUSE_FAULT_POLL_S = 0.05

CONTROL_NAME = "control"


class _Listener(NamedTuple):
    """Listening port, with the handler of its connections and the state they act on."""

    name: str
    port: int
    handler: type
    server: BackendServer | ControlState


class BackendFleet:
    """Backend servers and their control port.

    :param first_port: port of the first server; 0 selects free ports.
    :param control_port: port of the control interface; 0 selects a free port.
    """

    def __init__(
        self,
        names: list[str],
        settings: BackendSettings,
        *,
        first_port: int = 0,
        control_port: int = 0,
    ) -> None:
        self.servers = {name: BackendServer(name, settings) for name in names}
        self._selector = selectors.DefaultSelector()
        self._sockets: dict[str, socket.socket] = {}
        self._listeners: dict[str, _Listener] = {}
        self._is_closed = threading.Event()
        control = ControlState(self.servers)
        self._open_listener(
            _Listener(CONTROL_NAME, control_port, ControlHandler, control)
        )
        for index, server in enumerate(self.servers.values()):
            port = first_port + index if first_port else 0
            self._open_listener(_Listener(server.name, port, BackendHandler, server))

    def addresses(self) -> Mapping[str, str]:
        """
        :returns: addresses as ``ip:port`` by the server's name; the control port is
            named ``control``.
        """
        return {
            name: f"{LOOPBACK}:{listener.port}"
            for name, listener in self._listeners.items()
        }

    def run(self) -> None:
        """Accepts connections until :meth:`close` is called."""
        checked_s = float("-inf")
        while not self._is_closed.is_set():
            if time.monotonic() >= checked_s + REFUSE_FAULT_POLL_S:
                checked_s = time.monotonic()
                self._apply_refuse_faults()
            for key, _ in self._selector.select(REFUSE_FAULT_POLL_S):
                self._accept_connection(key.fileobj, key.data)
        for name in list(self._sockets):
            self._stop_listening(name)

    def close(self) -> None:
        """Makes :meth:`run` return; established connections stay open."""
        self._is_closed.set()

    def _open_listener(self, listener: _Listener) -> None:
        listening_socket = self._start_listening(listener)
        port = listening_socket.getsockname()[1]
        self._listeners[listener.name] = listener._replace(port=port)

    def _start_listening(self, listener: _Listener) -> socket.socket:
        listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((LOOPBACK, listener.port))
        listening_socket.listen(LISTEN_BACKLOG_COUNT)
        listening_socket.setblocking(False)
        self._sockets[listener.name] = listening_socket
        self._selector.register(listening_socket, selectors.EVENT_READ, listener)
        return listening_socket

    def _stop_listening(self, name: str) -> None:
        listening_socket = self._sockets.pop(name)
        self._selector.unregister(listening_socket)
        listening_socket.close()

    def _apply_refuse_faults(self) -> None:
        for name, server in self.servers.items():
            is_refusing = server.has_fault(BackendFaultKind.REFUSE)
            if is_refusing and name in self._sockets:
                self._stop_listening(name)
            elif not is_refusing and name not in self._sockets:
                self._start_listening(self._listeners[name])

    def _accept_connection(
        self, listening_socket: socket.socket, listener: _Listener
    ) -> None:
        try:
            connection, address = listening_socket.accept()
        except OSError:
            return
        connection.setblocking(True)
        threading.Thread(
            target=_serve_connection,
            args=(connection, address, listener),
            name=f"connection-{listener.name}",
            daemon=True,
        ).start()


def _serve_connection(
    connection: socket.socket, address: tuple[str, int], listener: _Listener
) -> None:
    with contextlib.closing(connection), contextlib.suppress(OSError):
        listener.handler(connection, address, listener.server)


def _parse_service_time(text: str) -> tuple[str, float]:
    name, _, time_ms = text.partition("=")
    return name, float(time_ms) / 1000


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="stand-in for backend servers")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--first-port", type=int, required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--name-prefix", default="w")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--refusal-status", type=int, default=503)
    parser.add_argument("--service-time-ms", type=float, default=20.0)
    parser.add_argument(
        "--service",
        type=_parse_service_time,
        action="append",
        default=[],
        help="mean service time of one service, as NAME=MILLISECONDS",
    )
    parser.add_argument("--spread-ratio", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    return parser.parse_args()


def main() -> None:
    arguments = _parse_arguments()
    settings = BackendSettings(
        slots_count=arguments.slots,
        connections_count=arguments.connections,
        refusal_status=arguments.refusal_status,
        service_time_s=arguments.service_time_ms / 1000,
        service_times_s=dict(arguments.service),
        spread_ratio=arguments.spread_ratio,
        seed=arguments.seed,
    )
    names = [f"{arguments.name_prefix}{index}" for index in range(arguments.count)]
    fleet = BackendFleet(
        names,
        settings,
        first_port=arguments.first_port,
        control_port=arguments.control_port,
    )
    print(json.dumps(fleet.addresses()), flush=True)
    fleet.run()


if __name__ == "__main__":
    main()
