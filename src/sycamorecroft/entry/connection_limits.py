"""Limits of connections, from the settings and the configuration in force."""

from typing import NamedTuple


class ConnectionLimits(NamedTuple):
    """Limits that apply to each connection of a listener.

    ``header_timeout_s``: from the first byte of a request to the end of its head.
    ``idle_timeout_s``: without progress of a body, a response or a kept connection.
    """

    header_limit_bytes: int
    body_limit_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
