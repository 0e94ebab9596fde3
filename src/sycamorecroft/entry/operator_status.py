"""Operator interface: status of the fleet as one daemon sees it."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from werkzeug.wrappers import Request

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.entry.application import HandlerResponse, Route, json_response
from sycamorecroft.entry.operator_interface import PREFIX, OperatorState, to_builtins
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.state import HostState, PoolView

_PLANNED_OUT_STATES = (HostState.DRAINING, HostState.DRAINED, HostState.REBOOTING)
_RATIO_TOLERANCE = 1e-9


class EntryHostStatus(NamedTuple):
    """What gossip tells of an entry host."""

    entry: str
    is_reached: bool
    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool


class PoolStatus(NamedTuple):
    """Counts of a pool's hosts.

    ``allowed_out_count`` is how many hosts may be out of service for planned work;
    ``budget_left_count`` is how many more may go out now.
    """

    pool: str
    is_spare: bool
    configured_count: int
    active_count: int
    planned_out_count: int
    failed_out_count: int
    allowed_out_count: int
    budget_left_count: int

    @property
    def hosts_count(self) -> int:
        """Hosts of the pool in any state."""
        return self.active_count + self.planned_out_count + self.failed_out_count

    @property
    def missing_count(self) -> int:
        """Hosts that the pool lacks of those it is configured for."""
        return max(0, self.configured_count - self.hosts_count)

    @property
    def reserve_count(self) -> int:
        """Active hosts beyond those the pool is configured for."""
        return max(0, self.active_count - self.configured_count)


class StatusHandlers:
    """Handler of the status; it never blocks on the store."""

    def __init__(self, state: OperatorState) -> None:
        self._state = state

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the route of the status.
        """
        return (Route("GET", f"{PREFIX}/status", self.status),)

    def status(self, request: Request, request_id: str) -> HandlerResponse:
        """Fleet overview as this daemon sees it."""
        state = self._state
        configuration = state.configuration()
        membership = state.membership()
        in_force = configuration.in_force
        return json_response(
            {
                "entry": membership.own_entry if membership else None,
                "in_force_version": configuration.in_force_version,
                "staged_version": configuration.staged_version,
                "view_version": state.view().version,
                "entries": to_builtins(_entry_host_statuses(membership)),
                "live_entries": membership.live if membership else (),
                "expected_entries_count": (
                    membership.expected_count if membership else 0
                ),
                "pools": _count_states_by_pool(state.view()),
                "pool_counts": to_builtins(pool_statuses(in_force, state.view())),
                "services": sorted(in_force.services) if in_force else (),
                "queues": to_builtins(state.queues()),
                "store": to_builtins(state.store()),
                "admitted_count": state.admitted_count(),
                "held_leases": state.held_leases(),
                "recent_failures": to_builtins(state.requests.recent_counts()),
            }
        )


def pool_statuses(
    configuration: FleetConfiguration | None, view: PoolView
) -> tuple[PoolStatus, ...]:
    """
    :returns: counts of each pool that is configured, in order of name.
    """
    states: dict[str, Counter[HostState]] = {}
    for record in view.hosts.values():
        states.setdefault(record["pool"], Counter())[record["state"]] += 1
    pools = configuration.pools.values() if configuration else ()
    statuses = []
    for pool in sorted(pools):
        counts = states.get(pool.name, Counter())
        allowed = int(counts.total() * pool.max_unavailable_ratio + _RATIO_TOLERANCE)
        planned_out = sum(counts[state] for state in _PLANNED_OUT_STATES)
        out = planned_out + counts[HostState.OUT]
        statuses.append(
            PoolStatus(
                pool=pool.name,
                is_spare=pool.is_spare,
                configured_count=pool.hosts_count,
                active_count=counts[HostState.ACTIVE],
                planned_out_count=planned_out,
                failed_out_count=counts[HostState.OUT],
                allowed_out_count=allowed,
                budget_left_count=max(0, allowed - out),
            )
        )
    return tuple(statuses)


def _entry_host_statuses(
    membership: MembershipView | None,
) -> Iterable[EntryHostStatus]:
    if membership is None:
        return []
    return [
        EntryHostStatus(
            entry=digest.entry,
            is_reached=digest.entry in membership.reached,
            staged_version=digest.staged_version,
            in_force_version=digest.in_force_version,
            view_version=digest.view_version,
            store_contact_age_ms=digest.store_contact_age_ms,
            may_own_queues=digest.may_own_queues,
        )
        for digest in sorted(membership.digests)
    ]


def _count_states_by_pool(view: PoolView) -> dict[str, dict[str, int]]:
    pools: dict[str, dict[str, int]] = {}
    for record in view.hosts.values():
        states = pools.setdefault(record["pool"], {})
        states[record["state"]] = states.get(record["state"], 0) + 1
    return dict(sorted(pools.items()))
