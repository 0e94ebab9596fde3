"""Demand on services and pools, exchanged between queue owners by gossip."""

from collections import Counter

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.membership.state import MembershipView, ServiceDemand
from sycamorecroft.pools.state import PoolView
from sycamorecroft.routing.owner_actor import OwnerStatuses


def service_demands(statuses: OwnerStatuses) -> tuple[ServiceDemand, ...]:
    """
    :param statuses: statuses of the queues that this entry host owns.
    :returns: demand on each service, in slots, sorted by service.
    """
    return tuple(
        ServiceDemand(
            service,
            status.granted_count
            + status.parked_count
            + sum(status.waiting_counts.values()),
        )
        for service, status in sorted(statuses.items())
    )


def required_hosts(
    configuration: FleetConfiguration, membership: MembershipView | None, view: PoolView
) -> dict[str, float]:
    """Converts the gossiped demand in slots to hosts.

    :returns: number of fully used hosts that each pool needs; pools for which no
        reached entry host reports demand are omitted.
    """
    slots: Counter[str] = Counter()
    for digest in membership.digests if membership else ():
        if membership is None or digest.entry not in membership.reached:
            continue
        for demand in digest.demands:
            service = configuration.services.get(demand.service)
            if service is not None:
                slots[service.pool] += demand.slots_count
    slots_per_host = _slots_per_host(view)
    return {
        pool: slots_count / slots_per_host[pool]
        for pool, slots_count in slots.items()
        if slots_per_host.get(pool)
    }


def _slots_per_host(view: PoolView) -> dict[str, float]:
    slots: Counter[str] = Counter()
    hosts: Counter[str] = Counter()
    for record in view.hosts.values():
        slots[record["pool"]] += record["slots_count"]
        hosts[record["pool"]] += 1
    return {pool: slots[pool] / hosts[pool] for pool in hosts}
