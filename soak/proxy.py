"""Loopback proxy that delays, stalls, silences, closes or resets connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import StrEnum

_CHUNK_BYTES = 65536
_POLL_S = 0.02


class LinkMode(StrEnum):
    """Treatment of data on a link.

    ``PASS``: forwarded. ``DELAY``: forwarded with a delay. ``STALLED``: held in both
    directions until the mode changes. ``ONE_WAY``: requests are forwarded and responses
    held until the mode changes.
    """

    PASS = "pass"
    DELAY = "delay"
    STALLED = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Forwards connections to one address.

    :ivar mode: treatment of data; may change at any time.
    """

    def __init__(self, target: tuple[str, int], *, delay_s: float = 0.3) -> None:
        self._target: tuple[str, int] | None = target
        self._delay_s = delay_s
        self.mode = LinkMode.PASS
        self._refused_until_s = 0.0
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_target(self, target: tuple[str, int] | None) -> None:
        """Sets where new connections lead.

        :param target: host and port; with ``None`` new connections are closed, or stay
            open without a response if the mode is ``STALLED``.
        """
        with self._lock:
            self._target = target

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._listener.close()
        with self._lock:
            self._connections |= self._silent
            self._silent = set()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets all connections; new ones are accepted."""
        connections = self._take_connections()
        # Both ends first: a copying thread that sees one end closed closes the other.
        for connection in connections:
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        for connection in connections:
            with contextlib.suppress(OSError):
                # A thread that waits for data keeps the socket open beyond close().
                connection.shutdown(socket.SHUT_RD)
            connection.close()

    def close_all(self, refused_s: float = 0.0) -> None:
        """Closes all connections without a response.

        :param refused_s: time for which new connections are closed as well.
        """
        self._refused_until_s = time.monotonic() + refused_s
        for connection in self._take_connections():
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def silence(self) -> None:
        """Open connections deliver nothing any more, and stay open."""
        self._take_connections(stays_open=True)

    def _take_connections(self, *, stays_open: bool = False) -> set[socket.socket]:
        with self._lock:
            connections, self._connections = self._connections, set()
            if stays_open:
                self._silent |= connections
        return connections

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        target = self._target
        if target is None and self.mode is LinkMode.STALLED:
            with self._lock:
                self._connections.add(client)
            return
        try:
            if target is None or self._is_refusing():
                client.close()
                return
            upstream = socket.create_connection(target, timeout=5)
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        with self._lock:
            is_current = target == self._target and not self._is_refusing()
            if is_current:
                self._connections |= {client, upstream}
        if not is_current:
            client.close()
            upstream.close()
            return
        threading.Thread(
            target=self._copy, args=(upstream, client, True), daemon=True
        ).start()
        self._copy(client, upstream, False)

    def _is_refusing(self) -> bool:
        return time.monotonic() < self._refused_until_s

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(_CHUNK_BYTES):
                if not self._wait_for_link(is_response, source):
                    break
                if source not in self._silent:
                    sink.sendall(chunk)
        if is_response and source in self._silent:
            # The caller isn't told that the other end is gone.
            source.close()
            return
        for connection in (source, sink):
            with contextlib.suppress(OSError):
                # The thread of the other direction waits for data.
                connection.shutdown(socket.SHUT_RD)
            connection.close()
        with self._lock:
            self._connections -= {source, sink}
            self._silent -= {source, sink}

    def _wait_for_link(self, is_response: bool, source: socket.socket) -> bool:
        """Delays or holds data according to the mode.

        :returns: whether the connection is still open.
        """
        if self.mode is LinkMode.DELAY:
            time.sleep(self._delay_s)
        while self.mode is LinkMode.STALLED or (
            self.mode is LinkMode.ONE_WAY and is_response
        ):
            if source.fileno() < 0:
                return False
            time.sleep(_POLL_S)
        return True
