"""Decides which connections are closed: on time-outs, and for want of room."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.entry.connection_limits import ConnectionLimits

# Without progress for this long, a connection gives way to others.
STALL_S = 1.0
# Slower bodies give way to others.
SLOW_BYTES_PER_S = 8 * 1024
# A caller that sends a byte now and then never exceeds the idle time-out, so that
# without a minimum rate it could occupy a connection indefinitely.
MIN_BYTES_PER_S = 1024


class Phase(StrEnum):
    """What a connection is doing.

    ``OPENED``: nothing was received yet. ``KEPT``: open between two requests.
    ``REFUSED``: what still arrives is discarded.
    """

    OPENED = "opened"
    KEPT = "kept"
    HEAD = "head"
    BODY = "body"
    HANDLED = "handled"
    SENDING = "sending"
    REFUSED = "refused"


class CloseReason(StrEnum):
    """Why a connection was closed by this process, or a request refused."""

    IDLE_TIMEOUT = "idle_timeout"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    SEND_TIMEOUT = "send_timeout"
    REFUSAL_READ = "refusal_read"
    CONNECTIONS_SHORT = "connections_short"
    MEMORY_SHORT = "memory_short"
    DESCRIPTORS_SHORT = "descriptors_short"
    STOPPING = "stopping"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED = "malformed"
    UNEXPECTED_ERROR = "unexpected_error"


class ConnectionView(NamedTuple):
    """What decisions need to know of a connection.

    ``started_s``: monotonic time of the first byte of the request under way.
    ``progress_s``: time at which bytes were last received or sent. ``received_bytes``:
    bytes of the request under way. ``held_bytes``: its part of the budget.
    ``is_deferred``: received bytes wait for the allowance to parse them.
    """

    phase: Phase
    started_s: float
    progress_s: float
    received_bytes: int = 0
    held_bytes: int = 0
    is_deferred: bool = False


def timeout_reason(
    view: ConnectionView, limits: ConnectionLimits, now_s: float
) -> CloseReason | None:
    """
    :returns: time-out that the connection has exceeded, ``None`` if there is none.
    """
    if view.is_deferred:
        return None
    idle_s = now_s - view.progress_s
    match view.phase:
        case Phase.OPENED | Phase.KEPT if idle_s > limits.idle_timeout_s:
            return CloseReason.IDLE_TIMEOUT
        case Phase.HEAD if now_s - view.started_s > limits.header_timeout_s:
            return CloseReason.HEADER_TIMEOUT
        case Phase.BODY if _is_body_overdue(view, limits, now_s):
            return CloseReason.BODY_TIMEOUT
        case Phase.SENDING if idle_s > limits.idle_timeout_s:
            return CloseReason.SEND_TIMEOUT
        case Phase.REFUSED if now_s - view.started_s > STALL_S:
            return CloseReason.REFUSAL_READ
    return None


def _is_body_overdue(
    view: ConnectionView, limits: ConnectionLimits, now_s: float
) -> bool:
    if now_s - view.progress_s > limits.idle_timeout_s:
        return True
    allowed_s = limits.idle_timeout_s + view.received_bytes / MIN_BYTES_PER_S
    return now_s - view.started_s > allowed_s


def is_stalled(view: ConnectionView, now_s: float) -> bool:
    """
    :returns: whether the connection holds something without making progress.
    """
    if view.phase not in (Phase.HEAD, Phase.BODY, Phase.SENDING):
        return False
    if now_s - view.progress_s >= STALL_S:
        return True
    if view.phase is Phase.SENDING:
        return False
    allowed_s = STALL_S + view.received_bytes / SLOW_BYTES_PER_S
    return now_s - view.started_s > allowed_s


def choose_for_memory(
    views: Iterable[ConnectionView], needed_bytes: int, now_s: float
) -> list[int]:
    """
    :param needed_bytes: bytes to release.
    :returns: indexes of the connections to close: stalled ones, those longest without
        progress first.
    """
    stalled = sorted(
        (view.progress_s, index, view.held_bytes)
        for index, view in enumerate(views)
        if view.held_bytes and is_stalled(view, now_s)
    )
    chosen = []
    for _, index, held_bytes in stalled:
        if needed_bytes <= 0:
            break
        chosen.append(index)
        needed_bytes -= held_bytes
    return chosen


def choose_for_connections(
    views: Iterable[ConnectionView], count: int, now_s: float
) -> list[int]:
    """
    :param count: number of connections to close at most.
    :returns: indexes of the connections to close; few that callers keep.
    """
    ranked = sorted(
        (_connection_rank(view), view.progress_s, index)
        for index, view in enumerate(views)
        if _gives_way(view, now_s)
    )
    return [
        index
        for position, (rank, _, index) in enumerate(ranked[:count])
        if rank < _KEPT_RANK or position <= count * _KEPT_RATIO
    ]


_KEPT_RANK = 3
_KEPT_RATIO = 1 / 8


def _connection_rank(view: ConnectionView) -> int:
    """Returns the order in which connections give way, lowest first."""
    match view.phase:
        case Phase.REFUSED:
            return 0
        case Phase.OPENED:
            return 1
        case Phase.KEPT:
            return _KEPT_RANK
    return 2


def _gives_way(view: ConnectionView, now_s: float) -> bool:
    idle_s = now_s - view.progress_s
    match view.phase:
        case Phase.REFUSED | Phase.OPENED:
            # A client that connects for a request sends it at once.
            return True
        case Phase.KEPT:
            return idle_s >= STALL_S
    return view.is_deferred or is_stalled(view, now_s)
