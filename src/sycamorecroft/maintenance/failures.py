"""Detection of hosts that failed while they should be in service."""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.pools.records import HostRow
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import HostListing, HostStatus

# The platform's list lags: a host that has just returned may still be listed as gone.
LIST_LAG_S = 30.0
# No new drain starts for this time after a failure has been dealt with.
QUIET_S = 60.0


class FailureReport(NamedTuple):
    """Failed hosts, and pools that have or recently had one.

    ``is_known`` is false when the platform's list couldn't be had.
    """

    failed_hosts: frozenset[str]
    unsettled_pools: frozenset[str]
    is_known: bool


class _Sighting(NamedTuple):
    version: int
    first_seen_s: float


class FailureWatch:
    """Compares host rows with the platform's list. Keeps state between calls."""

    def __init__(self) -> None:
        self._sightings: dict[str, _Sighting] = {}
        self._last_failure_s: dict[str, float] = {}
        self._is_first = True

    def update(
        self, hosts: Mapping[str, HostRow], listing: HostListing | None, now_s: float
    ) -> FailureReport:
        """
        :param listing: ``None`` when the list couldn't be had.
        :param now_s: monotonic time in seconds.
        """
        self._note_rows(hosts, now_s)
        if listing is None:
            return FailureReport(frozenset(), frozenset(), False)
        live = frozenset(
            host.name for host in listing.hosts if host.status is HostStatus.LIVE
        )
        failed = frozenset(
            name
            for name, row in hosts.items()
            if name not in live and self._should_be_listed(name, row, now_s)
        )
        for name in failed:
            self._last_failure_s[hosts[name].record["pool"]] = now_s
        unsettled = frozenset(
            pool
            for pool, last_s in self._last_failure_s.items()
            if now_s - last_s < QUIET_S
        )
        return FailureReport(failed, unsettled, True)

    def _note_rows(self, hosts: Mapping[str, HostRow], now_s: float) -> None:
        # Rows that exist at the start are taken as old, so that a new controller
        # isn't blind to failures.
        first_seen_s = float("-inf") if self._is_first else now_s
        self._is_first = False
        for name in self._sightings.keys() - hosts.keys():
            del self._sightings[name]
        for name, row in hosts.items():
            known = self._sightings.get(name)
            if known is None or known.version != row.version:
                self._sightings[name] = _Sighting(row.version, first_seen_s)

    def _should_be_listed(self, name: str, row: HostRow, now_s: float) -> bool:
        age_s = now_s - self._sightings[name].first_seen_s
        return row.record["state"] == HostState.ACTIVE and age_s >= LIST_LAG_S
