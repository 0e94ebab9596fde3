"""Crowds of clients that send requests in part, or don't read what they are sent.

One thread drives all connections of a crowd. The clients of one crowd send the same
text, so that a crowd takes little memory itself.
"""

import fcntl
import selectors
import socket
import struct
import termios
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

CONNECT_TIMEOUT_S = 5.0
# The receiver's threads take turns with other processes of the machine.
NO_PROGRESS_TIMEOUT_S = 2.0
SENT_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 5.0
_SELECT_TIMEOUT_S = 0.1
_RECEIVE_SIZE_BYTES = 65536

_HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
_FRAME_HEAD_BYTES = 9
_FRAME_SIZE_BYTES = 16384
_DATA_FRAME, _HEADERS_FRAME, _SETTINGS_FRAME, _WINDOW_FRAME = 0, 1, 4, 8
_END_HEADERS, _ACKNOWLEDGED = 4, 1
_INITIAL_WINDOW_SETTING = 4
_DEFAULT_WINDOW_BYTES = 65535


class Client(ABC):
    """What one connection of a crowd sends."""

    is_reading = False

    @abstractmethod
    def next_piece(self) -> bytes | memoryview:
        """
        :returns: what is to be sent next, empty if there is nothing at present.
        """

    @abstractmethod
    def advance(self, sent_bytes: int) -> None:
        """Notes that the beginning of the last piece was sent."""

    @abstractmethod
    def has_finished(self) -> bool:
        """
        :returns: whether the client sends nothing any more.
        """

    def receive(self, data: bytes) -> None:
        """Handles received bytes; called only if ``is_reading``."""
        raise NotImplementedError


class TextClient(Client):
    """Client that sends a text, in pieces of a size, and reads nothing.

    :param piece_bytes: largest piece that is given to the socket at once.
    """

    def __init__(self, text: bytes, piece_bytes: int = 2**20) -> None:
        self._text = memoryview(text)
        self._piece_bytes = piece_bytes
        self._position = 0

    def next_piece(self) -> memoryview:
        return self._text[self._position : self._position + self._piece_bytes]

    def advance(self, sent_bytes: int) -> None:
        self._position += sent_bytes

    def has_finished(self) -> bool:
        return self._position == len(self._text)


class GrpcClient(Client):
    """Client that sends one gRPC message but for its last byte, over HTTP/2.

    :param method: path of the method.
    :param message_bytes: length that the message is said to have.
    """

    is_reading = True

    def __init__(self, method: str, message_bytes: int) -> None:
        self._window_bytes = _DEFAULT_WINDOW_BYTES
        self._stream_window_bytes = _DEFAULT_WINDOW_BYTES
        self._left_bytes = message_bytes - 1
        self._received = b""
        self._outgoing = bytearray(_HTTP2_PREFACE)
        self._outgoing += _frame(_SETTINGS_FRAME, 0, 0, b"")
        self._outgoing += _frame(_HEADERS_FRAME, _END_HEADERS, 1, _grpc_head(method))
        head = struct.pack(">BI", 0, message_bytes)
        self._outgoing += _frame(_DATA_FRAME, 0, 1, head)

    def next_piece(self) -> bytes:
        size_bytes = min(
            self._window_bytes,
            self._stream_window_bytes,
            self._left_bytes,
            _FRAME_SIZE_BYTES,
        )
        if not self._outgoing and size_bytes > 0:
            self._outgoing += _frame(_DATA_FRAME, 0, 1, bytes(size_bytes))
            self._left_bytes -= size_bytes
            self._window_bytes -= size_bytes
            self._stream_window_bytes -= size_bytes
        return bytes(self._outgoing)

    def advance(self, sent_bytes: int) -> None:
        del self._outgoing[:sent_bytes]

    def has_finished(self) -> bool:
        return not self._outgoing and not self._left_bytes

    def receive(self, data: bytes) -> None:
        self._received += data
        while len(self._received) >= _FRAME_HEAD_BYTES:
            size_bytes = int.from_bytes(self._received[:3])
            end = _FRAME_HEAD_BYTES + size_bytes
            if len(self._received) < end:
                return
            kind, flags = self._received[3], self._received[4]
            stream = int.from_bytes(self._received[5:9])
            self._handle(kind, flags, stream, self._received[_FRAME_HEAD_BYTES:end])
            self._received = self._received[end:]

    def _handle(self, kind: int, flags: int, stream: int, payload: bytes) -> None:
        if kind == _WINDOW_FRAME:
            self._widen(stream, int.from_bytes(payload))
        elif kind == _SETTINGS_FRAME and not flags & _ACKNOWLEDGED:
            for key, value in struct.iter_unpack(">HI", payload):
                if key == _INITIAL_WINDOW_SETTING:
                    self._stream_window_bytes += value - _DEFAULT_WINDOW_BYTES
            self._outgoing += _frame(_SETTINGS_FRAME, _ACKNOWLEDGED, 0, b"")

    def _widen(self, stream: int, size_bytes: int) -> None:
        if stream:
            self._stream_window_bytes += size_bytes
        else:
            self._window_bytes += size_bytes


def _frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return (
        len(payload).to_bytes(3) + bytes((kind, flags)) + stream.to_bytes(4) + payload
    )


def _grpc_head(method: str) -> bytes:
    """Returns the header block of a call, with literal fields only."""
    fields = (
        (":method", "POST"),
        (":scheme", "http"),
        (":path", method),
        (":authority", "peer"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    )
    return b"".join(
        b"\0"
        + bytes((len(name),))
        + name.encode()
        + bytes((len(value),))
        + value.encode()
        for name, value in fields
    )


class Crowd:
    """Clients with a connection each, which stay open until :meth:`close`.

    :param port: port on loopback to which all connect.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._connections: dict[socket.socket, Client] = {}

    def connect(self, clients: list[Client]) -> int:
        """Opens a connection for each client.

        :returns: number of connections that the server accepted.
        """
        count = 0
        for client in clients:
            try:
                connection = socket.create_connection(
                    ("127.0.0.1", self._port), CONNECT_TIMEOUT_S
                )
            except OSError:
                continue
            connection.setblocking(False)
            self._connections[connection] = client
            count += 1
        return count

    def send(self, observe: Callable[[], object]) -> None:
        """Sends until all clients have finished, or no one makes progress.

        :param observe: called now and then meanwhile.
        """
        deadline_s = time.monotonic() + SENT_TIMEOUT_S
        progress_s = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for connection, client in self._connections.items():
                selector.register(connection, _events(client))
            while selector.get_map() and time.monotonic() < deadline_s:
                if self._send_once(selector):
                    progress_s = time.monotonic()
                if time.monotonic() - progress_s > NO_PROGRESS_TIMEOUT_S:
                    break
                observe()
        self._wait_until_received(deadline_s, observe)

    def _wait_until_received(
        self, deadline_s: float, observe: Callable[[], object]
    ) -> None:
        """Waits until the kernel has delivered what was sent, or makes no progress."""
        progress_s = time.monotonic()
        unsent_bytes = _total_unsent_bytes(self._connections)
        while unsent_bytes and time.monotonic() < deadline_s:
            observe()
            time.sleep(_SELECT_TIMEOUT_S)
            left_bytes = _total_unsent_bytes(self._connections)
            if left_bytes != unsent_bytes:
                progress_s = time.monotonic()
            elif time.monotonic() - progress_s > NO_PROGRESS_TIMEOUT_S:
                break
            unsent_bytes = left_bytes
        observe()

    def _send_once(self, selector: selectors.BaseSelector) -> bool:
        """Returns whether any client has sent or received something."""
        has_progressed = False
        for key, events in selector.select(_SELECT_TIMEOUT_S):
            client = self._connections[key.fileobj]
            try:
                if events & selectors.EVENT_READ:
                    data = key.fileobj.recv(_RECEIVE_SIZE_BYTES)
                    client.receive(data)
                    has_progressed = bool(data)
                    if not data:
                        selector.unregister(key.fileobj)
                        continue
                piece = client.next_piece()
                if piece:
                    client.advance(key.fileobj.send(piece))
                    has_progressed = True
            except BlockingIOError:
                continue
            except OSError:
                # The server has closed the connection, as it may.
                selector.unregister(key.fileobj)
                continue
            if client.has_finished():
                selector.unregister(key.fileobj)
            else:
                selector.modify(key.fileobj, _events(client))
        return has_progressed

    def read_statuses(self) -> list[int | None]:
        """
        :returns: status of the first response on each connection, ``None`` if it was
            closed without one, or nothing arrives in time.
        """
        return [_read_status(connection) for connection in self._connections]

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections:
            connection.close()
        self._connections.clear()


def _total_unsent_bytes(connections: Iterable[socket.socket]) -> int:
    """Returns the bytes that the receivers' kernel hasn't acknowledged."""
    return sum(_unsent_bytes(connection) for connection in connections)


def _unsent_bytes(connection: socket.socket) -> int:
    answer = fcntl.ioctl(connection, termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", answer)[0]


def _read_status(connection: socket.socket) -> int | None:
    connection.settimeout(STATUS_TIMEOUT_S)
    try:
        line = connection.makefile("rb").readline()
    except OSError:
        return None
    return int(line.split()[1]) if line else None


def _events(client: Client) -> int:
    reading = selectors.EVENT_READ if client.is_reading else 0
    writing = selectors.EVENT_WRITE if client.next_piece() or not reading else 0
    return reading | writing
