"""Runs controllers on the entry hosts that are candidates for their lease."""

import time
from collections.abc import Callable

import structlog

from sycamorecroft.concurrency import Ticker
from sycamorecroft.membership.ownership import rank_owners
from sycamorecroft.membership.state import MembershipView

_log = structlog.get_logger()

STEP_INTERVAL_S = 1.0

# A candidate that doesn't hold the lease reads its row this often. A third of the
# lease's term, so that it adds little to the time until the next holder takes over.
ACQUIRE_INTERVAL_S = 3.0

# Two candidates bound the reads of lease rows, whatever the number of entry hosts;
# the second one takes over when the first stops.
CANDIDATES_COUNT = 2


class ControllerRunner:
    """Calls a controller's step while this entry host is a candidate for its lease.

    :param name: name of the lease, by which the candidates are chosen.
    :param step: does one round of work; returns a report for the log or ``None``.
    :param is_holder: whether the lease is held now; a holder that is no candidate
        any more goes on until it gives the lease up.
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
        """Starts the steps."""
        self._ticker.start()

    def stop(self, timeout_s: float) -> None:
        """Ends the steps; waits for one that runs."""
        self._ticker.stop()
        self._ticker.join(timeout_s)

    def _run(self) -> None:
        if self._is_holder() or self._is_due():
            self._last_attempt_s = time.monotonic()
            self._step()

    def _is_due(self) -> bool:
        if time.monotonic() - self._last_attempt_s < ACQUIRE_INTERVAL_S:
            return False
        return is_candidate(self._name, self._membership())


def is_candidate(name: str, view: MembershipView | None) -> bool:
    """
    :param name: name of a lease.
    :returns: whether this entry host should try to hold the lease.
    """
    if view is None:
        return False
    return view.own_entry in rank_owners(name, view.live)[:CANDIDATES_COUNT]
