"""Tests of the reads of the configuration that calls with unknown keys share."""

import threading
import time

import pytest

from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.serving.configuration_lookup import (
    CONFIGURATION_BOUND_S,
    LOOKUP_INTERVAL_S,
    ConfigurationLookup,
    LookupOutcome,
)

STEP_S = 0.01


class _Store:
    """Configuration store whose reads may be held or fail."""

    def __init__(self) -> None:
        self.reads_count = 0
        self.error: Exception | None = None
        self.is_released = threading.Event()
        self.is_released.set()

    def hold(self) -> None:
        self.is_released.clear()

    def read(self) -> None:
        self.reads_count += 1
        assert self.is_released.wait(5.0)
        if self.error is not None:
            raise self.error


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store():
    return _Store()


@pytest.fixture
def lookup(store, clock):
    return ConfigurationLookup(store.read, clock, waiting_limit_count=2)


def _look_up(lookup, clock):
    """Looks the configuration up for a call that arrives now."""
    arrived_s = clock.monotonic_s()
    clock.advance(STEP_S)
    return lookup.look_up(arrived_s)


class _Calls:
    """Calls that look the configuration up in threads of their own."""

    def __init__(self, lookup, clock) -> None:
        self._lookup = lookup
        self._clock = clock
        self._threads: list[threading.Thread] = []
        self.outcomes: list[LookupOutcome] = []

    def start(self, count: int) -> None:
        arrived_s = self._clock.monotonic_s()
        self._clock.advance(STEP_S)

        def run() -> None:
            self.outcomes.append(self._lookup.look_up(arrived_s))

        threads = [threading.Thread(target=run, daemon=True) for _ in range(count)]
        self._threads += threads
        for thread in threads:
            thread.start()

    def join(self) -> list[LookupOutcome]:
        for thread in self._threads:
            thread.join(5.0)
            assert not thread.is_alive()
        return sorted(self.outcomes)


@pytest.fixture
def calls(lookup, clock):
    return _Calls(lookup, clock)


def _wait_for(condition) -> None:
    end_s = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end_s, "condition not met before the deadline"
        time.sleep(0.005)


def test_unknown_key_is_judged_by_a_read_sent_after_the_call_arrived(
    lookup, store, clock
):
    """Guards against a new key that is refused by what was read before its call."""
    lookup.record_read(clock.monotonic_s())
    assert _look_up(lookup, clock) is LookupOutcome.READ
    assert store.reads_count == 1


def test_reads_are_limited_to_one_in_the_interval(lookup, store, clock):
    """Guards against unknown keys that cost the store a read each."""
    outcomes = [_look_up(lookup, clock) for _ in range(20)]
    assert outcomes == [LookupOutcome.READ] + [LookupOutcome.LIMITED] * 19
    assert store.reads_count == 1
    clock.advance(LOOKUP_INTERVAL_S)
    assert _look_up(lookup, clock) is LookupOutcome.READ
    assert store.reads_count == 2


def test_calls_that_arrive_together_share_one_read(lookup, store, calls):
    """Guards against two calls with an unknown key that read the configuration twice
    or that wait for each other.
    """
    store.hold()
    calls.start(1)
    _wait_for(lambda: store.reads_count == 1)
    calls.start(2)
    _wait_for(lambda: lookup._waiting_count == 2)
    store.is_released.set()
    # The read proves nothing about the two that arrived while it was under way.
    assert calls.join() == [LookupOutcome.LIMITED] * 2 + [LookupOutcome.READ]
    assert store.reads_count == 1


def test_call_that_arrives_during_a_slow_read_gets_one_of_its_own(
    lookup, store, clock, calls
):
    """Guards against a new key that is refused by a read sent before its call, although
    the limit allows another one by then.
    """
    store.hold()
    calls.start(1)
    _wait_for(lambda: store.reads_count == 1)
    calls.start(2)
    _wait_for(lambda: lookup._waiting_count == 2)
    clock.advance(LOOKUP_INTERVAL_S)
    store.is_released.set()
    assert calls.join() == [LookupOutcome.READ] * 3
    assert store.reads_count == 2


@pytest.mark.parametrize("duration_s", [0.0, LOOKUP_INTERVAL_S])
def test_failed_read_is_told_to_all_that_waited_for_it(
    lookup, store, clock, calls, duration_s
):
    """Guards against keys that are refused as unknown though nobody could know, and
    against calls that wait for one slow read after another.
    """
    store.error = StoreUnavailableError("down")
    store.hold()
    calls.start(1)
    _wait_for(lambda: store.reads_count == 1)
    calls.start(2)
    _wait_for(lambda: lookup._waiting_count == 2)
    clock.advance(duration_s)
    store.is_released.set()
    assert calls.join() == [LookupOutcome.FAILED] * 3
    assert store.reads_count == 1


def test_limit_after_a_failed_read_is_no_refusal_of_the_key(lookup, store, clock):
    """Guards against an outage in which only the first of many calls is told that its
    key couldn't be verified.
    """
    lookup.record_read(clock.monotonic_s())
    store.error = StoreUnavailableError("down")
    assert [_look_up(lookup, clock) for _ in range(3)] == [LookupOutcome.FAILED] * 3
    assert store.reads_count == 1
    lookup.record_read(clock.monotonic_s())
    assert _look_up(lookup, clock) is LookupOutcome.LIMITED


def test_unexpected_error_holds_up_no_later_call(lookup, store, clock):
    """Guards against calls that wait forever for a read that ended with an error."""
    store.error = KeyError("fault")
    assert _look_up(lookup, clock) is LookupOutcome.FAILED
    clock.advance(LOOKUP_INTERVAL_S)
    store.error = None
    assert _look_up(lookup, clock) is LookupOutcome.READ


def test_slow_read_occupies_a_bounded_number_of_threads(lookup, store, clock, calls):
    """Guards against unknown keys that hold all threads while the store is slow."""
    lookup.record_read(clock.monotonic_s())
    store.hold()
    calls.start(1)
    _wait_for(lambda: store.reads_count == 1)
    calls.start(2)
    _wait_for(lambda: lookup._waiting_count == 2)
    assert _look_up(lookup, clock) is LookupOutcome.LIMITED
    clock.advance(CONFIGURATION_BOUND_S)
    # What was read last is too old to refuse a key by now.
    assert _look_up(lookup, clock) is LookupOutcome.FAILED
    store.is_released.set()
    calls.join()


def test_age_counts_from_when_the_answered_read_was_sent(lookup, clock):
    """Guards against an age that hides a configuration that is read slowly or late."""
    clock.advance(10.0)
    lookup.record_read(7.0)
    lookup.record_read(5.0)
    assert lookup.age_s() == pytest.approx(3.0)


def test_configuration_is_current_within_the_bound_of_a_change(lookup, clock):
    """Guards against keys that are accepted by a configuration that is too old, and
    against reads while the feed keeps it current.
    """
    assert not lookup.is_current()
    lookup.record_read(clock.monotonic_s())
    clock.advance(1.5)
    # The feed has waited since the read was sent, and there was no change.
    lookup.record_known(1.0)
    lookup.record_read(0.5)
    assert lookup.current_until_s() == 1.0 + CONFIGURATION_BOUND_S
    clock.advance(1.0 + CONFIGURATION_BOUND_S - 1.5)
    assert lookup.is_current()
    clock.advance(STEP_S)
    assert not lookup.is_current()


def test_what_the_feed_knows_without_a_later_read_proves_nothing_of_a_new_key(
    lookup, store, clock
):
    """Guards against a new key that is refused without a read of its own."""
    lookup.record_read(clock.monotonic_s())
    clock.advance(1.5)
    lookup.record_known(clock.monotonic_s())
    assert _look_up(lookup, clock) is LookupOutcome.READ
    assert store.reads_count == 1


def test_refresh_reads_once_for_calls_that_need_no_later_read(lookup, store, clock):
    """Guards against a read for each call after a pause of the process."""
    lookup.record_read(clock.monotonic_s())
    clock.advance(CONFIGURATION_BOUND_S + STEP_S)
    assert [lookup.refresh() for _ in range(3)] == [LookupOutcome.READ] * 3
    assert store.reads_count == 1


def test_refresh_that_fails_is_limited(lookup, store, clock):
    """Guards against calls with good keys that flood a store that doesn't answer."""
    store.error = StoreUnavailableError("down")
    assert [lookup.refresh() for _ in range(3)] == [LookupOutcome.FAILED] * 3
    assert store.reads_count == 1
    clock.advance(LOOKUP_INTERVAL_S)
    store.error = None
    assert lookup.refresh() is LookupOutcome.READ


def test_read_that_takes_longer_than_the_bound_is_not_current(lookup, store, clock):
    """Guards against a key that was withdrawn while the configuration was being read,
    and is accepted by what the read brought.
    """
    read = store.read

    def read_slowly():
        clock.advance(CONFIGURATION_BOUND_S + STEP_S)
        read()

    lookup._read = read_slowly
    assert lookup.refresh() is LookupOutcome.READ
    assert not lookup.is_current()
