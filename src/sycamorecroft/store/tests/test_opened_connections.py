"""Tests of the count of opened connections."""

import socket
import threading

from urllib3.connection import HTTPConnection

from sycamorecroft.store.transport import Method, PlatformConnection


def _answer(server):
    peer, _ = server.accept()
    with peer:
        peer.recv(65536)
        peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def test_connection_counts_as_opened_only_once_it_is_open(monkeypatch):
    """Guards against an order that is taken for one to a known incarnation.

    The worker answers a call to renew leases, and restarts, while the connection of an
    order is being opened. The connection is open only after that answer.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:
        connection = PlatformConnection(f"127.0.0.1:{server.getsockname()[1]}")
        counts = []
        connect = HTTPConnection.connect

        def connect_slowly(self):
            # What the thread that renews leases reads meanwhile.
            counts.append(connection.opened_count)
            connect(self)

        threading.Thread(target=_answer, args=(server,), daemon=True).start()

        monkeypatch.setattr(HTTPConnection, "connect", connect_slowly)
        connection.call(Method.POST, "/orders", body=b"{}")
        connection.close()
    assert counts[0] < connection.opened_count
