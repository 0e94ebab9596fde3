"""Demand on the pools, as the owners of the queues tell it by gossip."""

from collections import Counter

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.membership.state import MembershipView, ServiceDemand
from sycamorecroft.pools.state import PoolView
from sycamorecroft.routing.owner_actor import OwnerStatuses


def service_demands(statuses: OwnerStatuses) -> tuple[ServiceDemand, ...]:
    """
    :param statuses: queues that this entry host owns.
    :returns: demand on each of them, in slots.
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
    """
    :returns: demand of each pool in hosts at full use; pools whose queues no reached
        entry host owns are left out.
    """
    slots: Counter[str] = Counter()
    for digest in membership.digests if membership else ():
        if membership is None or digest.entry not in membership.reached:
            continue
        for demand in digest.demands:
            service = configuration.services.get(demand.service)
            if service is not None:
                slots[service.pool] += demand.slots_count
    sizes = _slots_per_host(view)
    return {
        pool: slots_count / sizes[pool]
        for pool, slots_count in slots.items()
        if sizes.get(pool)
    }


def _slots_per_host(view: PoolView) -> dict[str, float]:
    slots: Counter[str] = Counter()
    hosts: Counter[str] = Counter()
    for record in view.hosts.values():
        slots[record["pool"]] += record["slots_count"]
        hosts[record["pool"]] += 1
    return {pool: slots[pool] / hosts[pool] for pool in hosts}
