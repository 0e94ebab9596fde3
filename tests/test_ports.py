"""Tests of the loopback ports that stand-ins and nodes of a test listen on."""

import socket

import pytest

from standins.platform_http import StoreServer
from standins.ports import reserve_port


def test_reserved_port_is_free_for_its_server_only():
    """Guards against a node that can't listen since another socket took its port.

    Seen in the soak of seed 1 on 2026-12-04: "h2 isn't ready", address in use.
    """
    port = reserve_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    for _ in range(2):
        server = StoreServer(port)
        with socket.create_connection(("127.0.0.1", port), timeout=5):
            pass
        server.stop()


def test_kernel_assigns_no_reserved_port():
    """Guards against a connection whose own end takes the port of a server."""
    reserved = {reserve_port() for _ in range(200)}
    assert len(reserved) == 200
    sockets = [socket.socket() for _ in range(200)]
    for assigned in sockets:
        assigned.bind(("127.0.0.1", 0))
    assert not reserved & {assigned.getsockname()[1] for assigned in sockets}
    for assigned in sockets:
        assigned.close()
