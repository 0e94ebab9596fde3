"""Reads the configuration for calls that need a more recent one."""

import threading
from collections.abc import Callable
from enum import StrEnum

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError
from sycamorecroft.metrics import CONFIGURATION_LOOKUPS
from sycamorecroft.recorder import NullRecorder, Recorder

_log = structlog.get_logger(__name__)

# Shortest time between two reads of one process: unknown keys cost the store at most
# this much.
LOOKUP_INTERVAL_S = 0.5
# Longest time until a change is in force on a process that reaches the store. What was
# read longer ago isn't enough to accept or refuse a key.
CONFIGURATION_BOUND_S = 3.0
# Longer than the longest timeout of a read.
WAIT_LIMIT_S = 2.5


class LookupOutcome(StrEnum):
    """What is known about the configuration after a look-up.

    ``READ``: a read that is recent enough for the call has been answered.
    ``LIMITED``: no such read was made; the one before is within the bound of a change.
    ``FAILED``: the read failed, or none was made and the last one isn't within it.
    """

    READ = "read"
    LIMITED = "limited"
    FAILED = "failed"


class ConfigurationLookup:
    """Reads of the configuration that several calls share. Thread-safe.

    :param read: reads the configuration and puts it in force; raises
        :class:`~sycamorecroft.errors.PlatformError` if the store can't be read.
    :param waiting_limit_count: calls that may wait for the read of another one.
    """

    def __init__(
        self,
        read: Callable[[], object],
        clock: Clock,
        waiting_limit_count: int,
        recorder: Recorder | None = None,
    ) -> None:
        self._read = read
        self._clock = clock
        self._waiting_limit_count = waiting_limit_count
        self._recorder = recorder or NullRecorder()
        self._changed = threading.Condition()
        self._is_reading = False
        self._waiting_count = 0
        self._ended_count = 0
        self._has_failed = False
        self._next_s = float("-inf")
        self._answered_s = float("-inf")
        self._known_s = float("-inf")

    def record_read(self, sent_s: float) -> None:
        """Records that the store has answered a read of the configuration.

        :param sent_s: monotonic time at which the read was sent.
        """
        with self._changed:
            if sent_s > self._answered_s:
                self._answered_s = sent_s
                self._has_failed = False
            self._known_s = max(self._known_s, sent_s)

    def record_known(self, known_s: float) -> None:
        """Records that all changes before a monotonic time are in force here."""
        with self._changed:
            self._known_s = max(self._known_s, known_s)

    def current_until_s(self) -> float:
        """
        :returns: monotonic time in seconds until which the configuration in force is
            within the bound of a change.
        """
        return self._known_s + CONFIGURATION_BOUND_S

    def is_current(self) -> bool:
        """
        :returns: whether the configuration in force is within the bound of a change.
        """
        return self._clock.monotonic_s() <= self.current_until_s()

    def age_s(self) -> float:
        """
        :returns: time in seconds for which changes may not be in force here.
        """
        return self._clock.monotonic_s() - self._known_s

    def look_up(self, arrived_s: float) -> LookupOutcome:
        """Reads the configuration for a call with an unknown key, if the limit allows
        it and no read was sent since the call arrived.

        :param arrived_s: monotonic time at which the call arrived.
        """
        return self._count(self._look_up(lambda: self._answered_s > arrived_s))

    def refresh(self) -> LookupOutcome:
        """Reads the configuration if it isn't within the bound of a change and the
        limit allows it.
        """
        return self._count(self._look_up(self.is_current))

    def _count(self, outcome: LookupOutcome) -> LookupOutcome:
        self._recorder.count(CONFIGURATION_LOOKUPS, outcome=outcome.value)
        return outcome

    def _look_up(self, is_recent_enough: Callable[[], bool]) -> LookupOutcome:
        with self._changed:
            while not is_recent_enough():
                if not self._is_reading:
                    if self._clock.monotonic_s() < self._next_s:
                        return self._judge_limited()
                    self._is_reading = True
                    break
                if self._waiting_count >= self._waiting_limit_count:
                    return self._judge_limited()
                if not self._wait_for_read():
                    return LookupOutcome.FAILED
            else:
                return LookupOutcome.READ
        return self._read_once()

    def _judge_limited(self) -> LookupOutcome:
        is_enough = self.is_current() and not self._has_failed
        return LookupOutcome.LIMITED if is_enough else LookupOutcome.FAILED

    def _wait_for_read(self) -> bool:
        """Waits for the read under way.

        :returns: whether it was answered.
        """
        ended_count = self._ended_count
        self._waiting_count += 1
        has_ended = self._changed.wait_for(
            lambda: self._ended_count != ended_count, WAIT_LIMIT_S
        )
        self._waiting_count -= 1
        return has_ended and not self._has_failed

    def _read_once(self) -> LookupOutcome:
        sent_s = self._clock.monotonic_s()
        is_answered = False
        try:
            self._read()
            is_answered = True
        except PlatformError as error:
            _log.info("configuration_lookup_failed", reason=str(error))
        except Exception:
            # Calls that wait for this read must not wait forever.
            _log.exception("configuration_lookup_aborted")
        finally:
            self._record_end(sent_s, is_answered=is_answered)
        return LookupOutcome.READ if is_answered else LookupOutcome.FAILED

    def _record_end(self, sent_s: float, *, is_answered: bool) -> None:
        with self._changed:
            self._is_reading = False
            self._next_s = sent_s + LOOKUP_INTERVAL_S
            self._ended_count += 1
            if is_answered:
                self._answered_s = max(self._answered_s, sent_s)
                self._known_s = max(self._known_s, sent_s)
            self._has_failed = not is_answered
            self._changed.notify_all()
