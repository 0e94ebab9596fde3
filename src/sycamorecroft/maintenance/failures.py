"""Detects active hosts that the platform doesn't report as live."""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.pools.records import HostRow
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import HostListing, HostStatus

# The platform's host list lags, so it may still lack a host that has just returned.
HOST_LIST_LAG_S = 30.0
# Time without new drains in a pool after its last failure has been resolved.
FAILURE_COOLDOWN_S = 60.0


class FailureReport(NamedTuple):
    """Failed hosts, and pools that have or recently had a failed host.

    Both are empty while the platform's host list is unavailable.
    """

    failed_hosts: frozenset[str]
    recently_failed_pools: frozenset[str]
    is_host_list_available: bool


class _Observation(NamedTuple):
    version: int
    first_seen_s: float


class FailureDetector:
    """Compares host rows with the platform's host list over successive updates."""

    def __init__(self) -> None:
        self._observations: dict[str, _Observation] = {}
        self._last_failure_s: dict[str, float] = {}
        self._is_first_update = True

    def update(
        self, hosts: Mapping[str, HostRow], listing: HostListing | None, now_s: float
    ) -> FailureReport:
        """
        :param listing: the platform's host list, ``None`` if it is unavailable.
        :param now_s: monotonic time in seconds.
        :returns: hosts and pools with current or recent failures.
        """
        self._track_rows(hosts, now_s)
        if listing is None:
            return FailureReport(frozenset(), frozenset(), False)
        live = frozenset(
            host.name for host in listing.hosts if host.status is HostStatus.LIVE
        )
        failed = frozenset(
            name
            for name, row in hosts.items()
            if name not in live and self._is_expected_live(name, row, now_s)
        )
        for name in failed:
            self._last_failure_s[hosts[name].record["pool"]] = now_s
        recently_failed = frozenset(
            pool
            for pool, last_s in self._last_failure_s.items()
            if now_s - last_s < FAILURE_COOLDOWN_S
        )
        return FailureReport(failed, recently_failed, True)

    def _track_rows(self, hosts: Mapping[str, HostRow], now_s: float) -> None:
        # Rows read by the first update count as old, so that a new controller detects
        # failures without waiting for the lag of the host list.
        first_seen_s = float("-inf") if self._is_first_update else now_s
        self._is_first_update = False
        for name in self._observations.keys() - hosts.keys():
            del self._observations[name]
        for name, row in hosts.items():
            observation = self._observations.get(name)
            if observation is None or observation.version != row.version:
                self._observations[name] = _Observation(row.version, first_seen_s)

    def _is_expected_live(self, name: str, row: HostRow, now_s: float) -> bool:
        age_s = now_s - self._observations[name].first_seen_s
        return row.record["state"] == HostState.ACTIVE and age_s >= HOST_LIST_LAG_S
