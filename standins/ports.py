"""Loopback ports for servers that start later or in other processes."""

import socket

_reservations: list[socket.socket] = []


def reserve_port() -> int:
    """Reserves a free loopback port until this process ends.

    The port stays bound without a listener. Only a server that binds this very port
    with ``SO_REUSEADDR`` can then use it: the kernel assigns it to no other socket.

    :returns: the port.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    _reservations.append(reservation)
    return reservation.getsockname()[1]
