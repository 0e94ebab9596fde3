"""Generates the load of a site with five services, one of them flooded by one team."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
    Urgency,
)
from sycamorecroft.pools.state import HostRecord, HostState, PoolView

SERVICES = ("rating", "assessment", "hotline", "dispatch", "backoffice")
TEAM_SHARES = {"councils": 0.5, "inspectors": 0.25, "crews": 0.25}
FLOODING_TEAM = "councils"
URGENCY_SHARES = {Urgency.URGENT: 0.2, Urgency.NORMAL: 0.5, Urgency.BULK: 0.3}
TIMEOUTS_S = {Urgency.URGENT: 2.0, Urgency.NORMAL: 5.0, Urgency.BULK: 10.0}
WORKERS_COUNT = 8
SLOTS_PER_WORKER_COUNT = 8
SLOTS_COUNT = WORKERS_COUNT * SLOTS_PER_WORKER_COUNT
ENTRY_HOSTS_COUNT = 9
MEAN_SERVICE_TIME_S = 0.08
# The mean load uses half of a pool, so a flood of 5 times the mean is 2.5 times the
# capacity of the pool.
MEAN_LOAD_RATIO = 0.5

FLOOD_FACTOR = 5
# Service times are log-normal; with this sigma their p99 is 3.4 times the mean.
SERVICE_TIME_SIGMA = 0.6


class Arrival(NamedTuple):
    """Request of a caller to an entry host."""

    ticket: str
    service: str
    team: str
    urgency: Urgency
    entry_host: int
    arrived_s: float
    service_time_s: float
    is_flood: bool

    @property
    def deadline_s(self) -> float:
        return self.arrived_s + TIMEOUTS_S[self.urgency]


class Scenario(NamedTuple):
    """Parameters of a simulation.

    ``flood`` is the service and the urgency of the flood, if there is one.
    """

    seed: int
    warm_up_s: float
    window_s: float
    flood: tuple[str, Urgency] | None
    killed_entry_hosts_count: int

    @property
    def end_s(self) -> float:
        return self.warm_up_s + self.window_s


def arrivals(scenario: Scenario) -> list[Arrival]:
    """
    :returns: arrivals in time order. A flood adds arrivals and leaves the others as
        they are without it.
    """
    rate_per_s = MEAN_LOAD_RATIO * SLOTS_COUNT / MEAN_SERVICE_TIME_S
    result: list[Arrival] = []
    for service in SERVICES:
        random = Random(f"{scenario.seed}/{service}")
        result.extend(
            _poisson_arrivals(random, scenario, service, 0.0, rate_per_s, None)
        )
    if scenario.flood is not None:
        service, urgency = scenario.flood
        random = Random(f"{scenario.seed}/flood")
        extra_rate_per_s = rate_per_s * (FLOOD_FACTOR - 1)
        start_s = scenario.warm_up_s
        result.extend(
            _poisson_arrivals(
                random, scenario, service, start_s, extra_rate_per_s, urgency
            )
        )
    return sorted(result, key=lambda arrival: arrival.arrived_s)


def _poisson_arrivals(
    random: Random,
    scenario: Scenario,
    service: str,
    start_s: float,
    rate_per_s: float,
    flood_urgency: Urgency | None,
) -> Iterator[Arrival]:
    mu = -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2
    now_s = start_s
    number = 0
    entry_host_random = Random(f"{scenario.seed}/{service}/{flood_urgency}/entry")
    while True:
        now_s += random.expovariate(rate_per_s)
        if now_s >= scenario.end_s:
            return
        number += 1
        entry_hosts_count = ENTRY_HOSTS_COUNT
        if now_s >= scenario.warm_up_s:
            entry_hosts_count -= scenario.killed_entry_hosts_count
        yield Arrival(
            ticket=f"{service}/{'flood' if flood_urgency else 'base'}/{number}",
            service=service,
            team=FLOODING_TEAM if flood_urgency else _choose(random, TEAM_SHARES),
            urgency=flood_urgency or _choose(random, URGENCY_SHARES),
            entry_host=entry_host_random.randrange(entry_hosts_count),
            arrived_s=now_s,
            service_time_s=MEAN_SERVICE_TIME_S
            * random.lognormvariate(mu, SERVICE_TIME_SIGMA),
            is_flood=flood_urgency is not None,
        )


def _choose(random: Random, shares: dict) -> object:
    return random.choices(list(shares), list(shares.values()))[0]


def site_configuration() -> FleetConfiguration:
    """
    :returns: configuration with one pool for each service and teams of equal weight.
    """
    teams = {name: TeamConfiguration(name, 1.0, 1) for name in TEAM_SHARES}
    account = AccountConfiguration("ondangwa", ("ondangwa",), 0.99, teams)
    services = {
        name: ServiceConfiguration(
            name, "ondangwa", name, True, Urgency.NORMAL, 10.0, 1000, ()
        )
        for name in SERVICES
    }
    return FleetConfiguration(1, {"ondangwa": account}, {}, services)


def site_view(workers_count: int = WORKERS_COUNT) -> PoolView:
    """
    :returns: view with ``workers_count`` active workers in each pool.
    """
    hosts = {}
    for pool in SERVICES:
        for number in range(workers_count):
            host = f"{pool}-{number}"
            hosts[host] = HostRecord(
                host=host,
                address="127.0.0.1:1",
                data_centre="ondangwa",
                rack=f"{pool}-rack-{number // 4}",
                pool=pool,
                state=HostState.ACTIVE,
                epoch=1,
                slots_count=SLOTS_PER_WORKER_COUNT,
                connections_count=64,
                target_pool=None,
                maintenance_id=None,
            )
    return PoolView(1, hosts)
