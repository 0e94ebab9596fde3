"""When the ownership of each claimed service was last known to hold."""

import threading

from sycamorecroft.ownership.committer import ServiceClaim


class ClaimConfirmations:
    """Time of the latest proof of each claim. Thread-safe.

    Proofs are a commit, which requires the row of the claim, and a read of the owners'
    rows that shows it. A heartbeat proves nothing: it is accepted also after another
    entry host has claimed the service.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # By the version of the claim's row, which no other claim has.
        self._confirmed_s: dict[int, float] = {}

    def add(self, claim: ServiceClaim, sent_s: float) -> None:
        """Adds a new claim.

        :param sent_s: monotonic time at which the claim was sent.
        """
        with self._lock:
            self._confirmed_s[claim.owner_version] = sent_s

    def record(self, claim: ServiceClaim, sent_s: float) -> None:
        """Records that a claim, unless it has ended, held at a moment after ``sent_s``.

        :param sent_s: monotonic time at which the call that proved it was sent.
        """
        version = claim.owner_version
        with self._lock:
            if version in self._confirmed_s:
                self._confirmed_s[version] = max(self._confirmed_s[version], sent_s)

    def forget(self, claim: ServiceClaim) -> None:
        """Drops the confirmation of a claim that has ended, which grants no lease."""
        with self._lock:
            self._confirmed_s.pop(claim.owner_version, None)

    def confirmed_s(self, claim: ServiceClaim) -> float | None:
        """
        :returns: monotonic time of the latest proof of a claim, ``None`` if the claim
            has ended.
        """
        with self._lock:
            return self._confirmed_s.get(claim.owner_version)
