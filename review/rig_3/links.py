"""Path of one machine to a server, which a partition may cut."""

import contextlib
import socket
import threading
import time

from review.rig_3.site import Record

# A partition drops packets. The sender's system repeats them after this time, and then
# after twice the time as before, so that they arrive with the first repetition after
# the end of the partition.
FIRST_REPETITION_S = 0.2
CHUNK_BYTES = 65536


class Partition:
    """Whether a machine is cut off; silent, and the same for all its paths."""

    def __init__(self) -> None:
        self._end_s = 0.0

    def begin(self, duration_s: float) -> None:
        """Cuts the machine off."""
        self._end_s = time.monotonic() + duration_s

    @property
    def is_on(self) -> bool:
        """Whether the machine is cut off now."""
        return time.monotonic() < self._end_s

    def wait(self) -> None:
        """Waits while the machine is cut off."""
        while self.is_on:
            time.sleep(0.01)

    def hold(self) -> bool:
        """Waits until bytes arrive that are sent now.

        :returns: whether they were held up.
        """
        if not self.is_on:
            return False
        due_s, repetition_s = time.monotonic(), FIRST_REPETITION_S
        while self.is_on:
            due_s += repetition_s
            repetition_s *= 2
            time.sleep(max(0.0, due_s - time.monotonic()))
        return True


class Link:
    """Forwards connections to a server.

    Bytes that a partition holds up arrive after it, also if the sender has closed its
    connection meanwhile. They are lost if the sender has reset it.

    :ivar on_bytes: called with the bytes from the machine before they are forwarded.
    """

    def __init__(
        self, name: str, server: str, partition: Partition, record: Record
    ) -> None:
        host, _, port = server.partition(":")
        self._server = (host, int(port))
        self._name = name
        self._partition = partition
        self._record = record
        self.on_bytes = lambda data: None
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops taking connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        if self._partition.is_on:
            # The machine would still wait for the connection to open.
            self._partition.wait()
            client.close()
            return
        try:
            server = socket.create_connection(self._server)
        except OSError:
            client.close()
            return
        for one in (client, server):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(
            target=self._forward, args=(server, client, False), daemon=True
        )
        back.start()
        self._forward(client, server, True)
        back.join()
        client.close()
        server.close()

    def _forward(
        self, source: socket.socket, target: socket.socket, is_from_machine: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if is_from_machine:
                    self.on_bytes(data)
                if self._partition.hold():
                    if is_from_machine and self._is_reset(source):
                        self._record.write(f"{self._name}: held bytes are lost")
                        break
                    if is_from_machine:
                        self._record.write(f"{self._name}: held bytes arrive")
                target.sendall(data)
            self._partition.wait()
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    @staticmethod
    def _is_reset(source: socket.socket) -> bool:
        """Returns whether the sender has reset the connection."""
        source.setblocking(False)
        try:
            source.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            source.setblocking(True)
        return False
