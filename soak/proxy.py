"""Loopback proxy that delays, stalls or resets connections."""

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
        self._target = target
        self._delay_s = delay_s
        self.mode = LinkMode.PASS
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._listener.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets all connections; new ones are accepted."""
        with self._lock:
            connections, self._connections = self._connections, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                upstream = socket.create_connection(self._target, timeout=5)
            except OSError:
                if self._listener.fileno() < 0:
                    return
                continue
            upstream.settimeout(None)
            with self._lock:
                self._connections |= {client, upstream}
            for source, sink, is_response in (
                (client, upstream, False),
                (upstream, client, True),
            ):
                threading.Thread(
                    target=self._copy, args=(source, sink, is_response), daemon=True
                ).start()

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(_CHUNK_BYTES):
                if not self._wait_for_link(is_response, source):
                    break
                sink.sendall(chunk)
        for connection in (source, sink):
            with contextlib.suppress(OSError):
                connection.close()
        with self._lock:
            self._connections -= {source, sink}

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
