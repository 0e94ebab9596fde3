"""Path to a server that holds up what a client sends, as a partition does."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
TIMEOUT_S = 10.0


class HeldLink:
    """Holds up the bytes of one connection until it is released.

    Bytes whose sender has reset the connection meanwhile are lost; those of a sender
    that has only closed it arrive.

    :ivar delivered: bytes that have arrived after the release.
    """

    def __init__(self) -> None:
        self.delivered = b""
        self._server = socket.create_server(("127.0.0.1", 0))
        self._server.settimeout(TIMEOUT_S)
        self._has_bytes = threading.Event()
        self._released = threading.Event()
        self._thread = threading.Thread(target=self._hold, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Address at which clients connect, as ``ip:port``."""
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def wait_for_bytes(self) -> None:
        """Waits until a client has sent something.

        :raises TimeoutError: when nothing was sent in time.
        """
        if not self._has_bytes.wait(TIMEOUT_S):
            raise TimeoutError("nothing was sent")

    def release(self) -> None:
        """Delivers what was held up, unless its sender has reset the connection."""
        self._released.set()
        self._thread.join(TIMEOUT_S)

    def close(self) -> None:
        """Stops taking connections."""
        self._server.close()

    def _hold(self) -> None:
        with contextlib.suppress(OSError):
            client, _ = self._server.accept()
            with client:
                held = client.recv(CHUNK_BYTES)
                self._has_bytes.set()
                self._released.wait(TIMEOUT_S)
                client.setblocking(False)
                # Raises an error if the sender has reset the connection.
                with contextlib.suppress(BlockingIOError):
                    while more := client.recv(CHUNK_BYTES):
                        held += more
                self.delivered = held
