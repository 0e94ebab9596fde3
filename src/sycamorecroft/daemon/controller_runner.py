"""Periodic execution of controllers on the candidates for their lease."""

import time
from collections.abc import Callable

import structlog

from sycamorecroft.concurrency import Ticker
from sycamorecroft.membership.ownership import rank_owners
from sycamorecroft.membership.state import MembershipView

_log = structlog.get_logger()

STEP_INTERVAL_S = 1.0

# Interval at which a candidate without the lease reads the lease row. A third of the
# lease duration, so that it adds little to the time until the next holder takes over.
ACQUIRE_INTERVAL_S = 3.0

# Limiting the candidates bounds the reads of lease rows, whatever the number of entry
# hosts. The second candidate takes over when the first one stops.
CANDIDATES_COUNT = 2


class ControllerRunner:
    """Calls a controller's step while this entry host is a candidate for the lease.

    :param name: name of the lease, which determines the candidates.
    :param step: performs one round of work; its result is ignored.
    :param is_holder: returns whether the lease is held; a holder that is no longer a
        candidate continues until it loses or releases the lease.
    :param membership: returns the current membership, ``None`` until it is known.
    """

    def __init__(
        self,
        name: str,
        step: Callable[[], object],
        is_holder: Callable[[], bool],
        membership: Callable[[], MembershipView | None],
    ) -> None:
        self._name = name
        self._step = step
        self._is_holder = is_holder
        self._membership = membership
        self._last_attempt_s = float("-inf")
        self._ticker = Ticker(f"controller-{name}", STEP_INTERVAL_S, self._run)

    def start(self) -> None:
        """Starts the periodic steps."""
        self._ticker.start()

    def stop(self, timeout_s: float) -> None:
        """Stops the periodic steps and waits for a running one.

        :param timeout_s: longest wait in seconds.
        """
        self._ticker.stop()
        self._ticker.join(timeout_s)

    def _run(self) -> None:
        if self._is_holder() or self._is_attempt_due():
            self._last_attempt_s = time.monotonic()
            self._step()

    def _is_attempt_due(self) -> bool:
        if time.monotonic() - self._last_attempt_s < ACQUIRE_INTERVAL_S:
            return False
        return is_candidate(self._name, self._membership())


def is_candidate(name: str, view: MembershipView | None) -> bool:
    """
    :param name: name of a lease.
    :param view: current membership, ``None`` if unknown.
    :returns: whether this entry host should try to acquire the lease.
    """
    if view is None:
        return False
    return view.own_entry in rank_owners(name, view.live)[:CANDIDATES_COUNT]
