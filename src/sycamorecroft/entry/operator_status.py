"""Operator interface: status of the fleet as seen by one daemon."""

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
    """Status of an entry host according to its latest gossiped digest."""

    entry: str
    is_reached: bool
    staged_version: int
    in_force_version: int
    view_version: int
    store_contact_age_ms: int
    may_own_queues: bool


class PoolStatus(NamedTuple):
    """Host counts of a pool.

    ``allowed_out_count`` is the number of hosts that may be out of service at a time,
    and ``budget_left_count`` the number that may still be taken out for planned work.
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
        """Number of hosts of the pool in any state."""
        return self.active_count + self.planned_out_count + self.failed_out_count

    @property
    def missing_count(self) -> int:
        """Number of hosts by which the pool is below its configured size."""
        return max(0, self.configured_count - self.hosts_count)

    @property
    def reserve_count(self) -> int:
        """Number of active hosts in excess of the configured size."""
        return max(0, self.active_count - self.configured_count)


class StatusHandlers:
    """Handler of the fleet status; it does not access the store."""

    def __init__(self, state: OperatorState) -> None:
        self._state = state

    def routes(self) -> tuple[Route, ...]:
        """
        :returns: the route of the fleet status.
        """
        return (Route("GET", f"{PREFIX}/status", self.status),)

    def status(self, request: Request, request_id: str) -> HandlerResponse:
        """Returns an overview of the fleet as seen by this daemon."""
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
    :returns: host counts of each configured pool, ordered by pool name.
    """
    states: dict[str, Counter[HostState]] = {}
    for record in view.hosts.values():
        states.setdefault(record["pool"], Counter())[record["state"]] += 1
    pools = configuration.pools.values() if configuration else ()
    statuses = []
    for pool in sorted(pools):
        counts = states.get(pool.name, Counter())
        allowed_out_count = int(
            counts.total() * pool.max_unavailable_ratio + _RATIO_TOLERANCE
        )
        planned_out_count = sum(counts[state] for state in _PLANNED_OUT_STATES)
        out_count = planned_out_count + counts[HostState.OUT]
        statuses.append(
            PoolStatus(
                pool=pool.name,
                is_spare=pool.is_spare,
                configured_count=pool.hosts_count,
                active_count=counts[HostState.ACTIVE],
                planned_out_count=planned_out_count,
                failed_out_count=counts[HostState.OUT],
                allowed_out_count=allowed_out_count,
                budget_left_count=max(0, allowed_out_count - out_count),
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
