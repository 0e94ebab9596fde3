"""Tests of the budget of bytes and of the allowance for costly parsing."""

from concurrent.futures import ThreadPoolExecutor

from sycamorecroft.clock import ManualClock
from sycamorecroft.entry.memory_budget import Charge, MemoryBudget
from sycamorecroft.entry.parse_allowance import (
    BURST_LINES,
    LIGHT_BYTES_PER_LINE,
    LIGHT_LINES,
    LINES_PER_S,
    TURN_LINES,
    ParseAllowance,
    is_costly,
)

THREADS_COUNT = 8
ROUNDS_COUNT = 2000


def test_reservations_stay_within_the_limit():
    """Guards against bytes that are held beyond the budget or released twice."""
    budget = MemoryBudget(100)
    first, second = Charge(budget), Charge(budget)
    assert first.reserve(60)
    assert not second.reserve(41)
    assert budget.is_short
    assert second.reserve(40)
    assert not budget.has_free(1)
    first.release()
    first.release()
    assert budget.held_bytes == 40
    budget.end_shortage()
    assert not budget.is_short


def test_held_bytes_are_counted_beyond_the_limit():
    """Guards against responses that are lost for want of room, or not counted."""
    budget = MemoryBudget(100)
    charge = Charge(budget)
    charge.count(150)
    assert (budget.held_bytes, budget.is_short) == (150, True)
    budget.end_shortage()
    assert budget.is_short
    charge.count(30)
    assert budget.held_bytes == 30


def test_budget_is_kept_by_several_threads():
    """Guards against counts that are lost between threads, after which the budget is
    used up by nothing."""
    budget = MemoryBudget(1000)

    def use(_: int) -> int:
        largest_bytes = 0
        for size_bytes in range(ROUNDS_COUNT):
            charge = Charge(budget)
            charge.reserve(size_bytes % 400)
            largest_bytes = max(largest_bytes, budget.held_bytes)
            charge.release()
        return largest_bytes

    with ThreadPoolExecutor(THREADS_COUNT) as executor:
        largest = list(executor.map(use, range(THREADS_COUNT)))
    assert budget.held_bytes == 0
    assert max(largest) <= 1000


def test_ordinary_requests_are_not_costly():
    """Guards against ordinary heads and chunks that wait behind those of a crowd."""
    assert not is_costly(LIGHT_LINES, 0)
    assert is_costly(LIGHT_LINES + 1, 0)
    chunks_count = 1000
    assert not is_costly(2 * chunks_count, 2 * chunks_count * LIGHT_BYTES_PER_LINE)
    assert is_costly(2 * chunks_count, chunks_count * 16)


def test_allowance_refills_at_its_rate():
    """Guards against a crowd whose chunks are parsed faster than allowed, and against
    one legal body in small chunks that has to wait."""
    clock = ManualClock()
    allowance = ParseAllowance(clock)
    parsed_lines = 0
    while allowance.is_available():
        allowance.take(TURN_LINES)
        parsed_lines += TURN_LINES
    assert parsed_lines == BURST_LINES >= 2 * 262_144 // 16
    assert allowance.wait_s() == TURN_LINES / LINES_PER_S
    for _ in range(1000):
        clock.advance(0.01)
        if allowance.is_available():
            allowance.take(2 * TURN_LINES)
            parsed_lines += 2 * TURN_LINES
    assert parsed_lines <= BURST_LINES + 10 * LINES_PER_S + 2 * TURN_LINES
    assert parsed_lines >= BURST_LINES + 9 * LINES_PER_S
