"""Loopback proxy that delays, cuts, resets or silences connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import StrEnum

_CHUNK_BYTES = 65536
_POLL_S = 0.02


class LinkMode(StrEnum):
    """What happens to bytes. ``ONE_WAY`` drops answers, ``SILENT`` both directions."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Passes connections on to one address. Its mode may change at any time."""

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
        """Stops listening and cuts all connections."""
        self._listener.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets all connections; new ones work."""
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
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target, timeout=5)
            except OSError:
                if self._listener.fileno() < 0:
                    return
                continue
            far.settimeout(None)
            with self._lock:
                self._connections |= {near, far}
            for source, sink, is_answer in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._copy, args=(source, sink, is_answer), daemon=True
                ).start()

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(_CHUNK_BYTES):
                if not self._hold(is_answer, source):
                    break
                sink.sendall(chunk)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.close()
        with self._lock:
            self._connections -= {source, sink}

    def _hold(self, is_answer: bool, source: socket.socket) -> bool:
        """Waits as the mode says; bytes of a cut connection wait until it heals."""
        if self.mode is LinkMode.DELAY:
            time.sleep(self._delay_s)
        while self.mode is LinkMode.SILENT or (
            self.mode is LinkMode.ONE_WAY and is_answer
        ):
            if source.fileno() < 0:
                return False
            time.sleep(_POLL_S)
        return True
