"""Tests of which connections are closed, with time-outs tried at each moment."""

import pytest

from sycamorecroft.entry.connection_limits import ConnectionLimits
from sycamorecroft.entry.eviction import (
    MIN_BYTES_PER_S,
    SLOW_BYTES_PER_S,
    STALL_S,
    CloseReason,
    ConnectionView,
    Phase,
    choose_for_connections,
    choose_for_memory,
    is_stalled,
    timeout_reason,
)

LIMITS = ConnectionLimits(16_384, 262_144, 3.0, 15.0)
STEP_S = 0.25
LAST_S = 40.0
NOW_S = 100.0


def _first_timeout(view: ConnectionView) -> tuple[float, CloseReason] | None:
    now_s = 0.0
    while now_s <= LAST_S:
        reason = timeout_reason(view, LIMITS, now_s)
        if reason is not None:
            return now_s, reason
        now_s += STEP_S
    return None


@pytest.mark.parametrize(
    ("phase", "expected"),
    (
        (Phase.OPENED, (15.25, CloseReason.IDLE_TIMEOUT)),
        (Phase.KEPT, (15.25, CloseReason.IDLE_TIMEOUT)),
        (Phase.HEAD, (3.25, CloseReason.HEADER_TIMEOUT)),
        (Phase.BODY, (15.25, CloseReason.BODY_TIMEOUT)),
        (Phase.SENDING, (15.25, CloseReason.SEND_TIMEOUT)),
        (Phase.REFUSED, (1.25, CloseReason.REFUSAL_READ)),
        (Phase.HANDLED, None),
    ),
)
def test_connection_ends_once_its_own_time_is_over(phase, expected):
    """Guards against time-outs that are missing, early, or hit requests at work."""
    assert _first_timeout(ConnectionView(phase, 0.0, 0.0)) == expected


def test_deferred_connection_has_no_timeout():
    """Guards against clients that are blamed for input that waits to be parsed."""
    for phase in Phase:
        view = ConnectionView(phase, 0.0, 0.0, is_deferred=True)
        assert _first_timeout(view) is None


def test_body_ends_below_the_minimum_rate_only():
    """Guards against a byte now and then that keeps a connection, and against slow
    clients that are closed although they make progress."""
    for rate_bytes_per_s in (1, MIN_BYTES_PER_S // 2, MIN_BYTES_PER_S, 5000):
        timeouts = [
            now_s
            for now_s in range(1, 300)
            if timeout_reason(
                ConnectionView(Phase.BODY, 0.0, now_s, now_s * rate_bytes_per_s),
                LIMITS,
                now_s,
            )
        ]
        assert bool(timeouts) == (rate_bytes_per_s < MIN_BYTES_PER_S)
        assert not timeouts or timeouts[0] > LIMITS.idle_timeout_s


def test_connection_is_stalled_without_progress_or_below_the_rate():
    """Guards against bodies that hold the budget by a byte now and then."""

    def body(age_s: float, idle_s: float, received_bytes: float) -> ConnectionView:
        return ConnectionView(
            Phase.BODY, NOW_S - age_s, NOW_S - idle_s, int(received_bytes)
        )

    assert not is_stalled(body(STALL_S - 0.01, STALL_S - 0.01, 0), NOW_S)
    assert is_stalled(body(STALL_S, STALL_S, 1e9), NOW_S)
    assert is_stalled(body(10, 0, 8 * SLOW_BYTES_PER_S), NOW_S)
    assert not is_stalled(body(10, 0, 10 * SLOW_BYTES_PER_S), NOW_S)
    for phase in (Phase.OPENED, Phase.KEPT, Phase.HANDLED, Phase.REFUSED):
        assert not is_stalled(ConnectionView(phase, 0, 0), NOW_S)


def test_those_longest_without_progress_release_memory_first():
    """Guards against bodies that make progress and give way before stalled ones, and
    against more closes than needed."""
    views = [
        ConnectionView(Phase.BODY, 90, NOW_S, 10**9, 50),
        ConnectionView(Phase.BODY, 90, 95, 10**9, 50),
        ConnectionView(Phase.SENDING, 90, 92, 0, 50),
        ConnectionView(Phase.BODY, 90, 91, 10**9, 0),
        ConnectionView(Phase.HANDLED, 0, 0, 0, 50),
    ]
    assert choose_for_memory(views, 1, NOW_S) == [2]
    assert choose_for_memory(views, 51, NOW_S) == [2, 1]
    assert choose_for_memory(views, 1000, NOW_S) == [2, 1]
    assert choose_for_memory(views, 0, NOW_S) == []


def test_connections_of_callers_give_way_last():
    """Guards against a crowd of open connections that displaces ordinary callers."""
    views = [
        ConnectionView(Phase.KEPT, 0, 50),
        ConnectionView(Phase.KEPT, 0, 60),
        ConnectionView(Phase.BODY, 0, 70),
        ConnectionView(Phase.OPENED, 0, NOW_S),
        ConnectionView(Phase.REFUSED, 0, NOW_S),
        ConnectionView(Phase.HEAD, 0, NOW_S, is_deferred=True),
        ConnectionView(Phase.HANDLED, 0, 0),
        ConnectionView(Phase.BODY, 99.9, NOW_S),
        ConnectionView(Phase.KEPT, 0, NOW_S - STALL_S / 2),
    ]
    assert choose_for_connections(views, 8, NOW_S) == [4, 3, 2, 5]
    assert choose_for_connections(views, 2, NOW_S) == [4, 3]
    assert choose_for_connections(views[:2], 8, NOW_S) == [0, 1]
    assert choose_for_connections(views[:2], 1, NOW_S) == [0]
    assert choose_for_connections(views[6:], 8, NOW_S) == []
