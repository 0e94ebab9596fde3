"""Creation of the platform clients of one daemon."""

import random
from typing import NamedTuple
from urllib.parse import urlsplit

from sycamorecroft.clock import Clock
from sycamorecroft.settings import DaemonSettings
from sycamorecroft.store import (
    GuardedTableService,
    HttpHostControl,
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    HttpTaskService,
    PlatformConnection,
    StoreBudget,
)
from sycamorecroft.store.interfaces import StorePurpose

# Purposes for which only few daemons call the store at a time need more than an equal
# share: controllers run only on lease holders, and an operator calls a single daemon.
_BUDGET_SHARES = {
    StorePurpose.POOLS: 0.5,
    StorePurpose.LEASES: 0.4,
    StorePurpose.JOBS: 0.4,
    StorePurpose.OPERATORS: 0.5,
    StorePurpose.CONFIGURATION: 0.2,
}


class PlatformClients(NamedTuple):
    """Platform clients that share one connection pool."""

    connection: PlatformConnection
    tables: GuardedTableService
    objects: HttpObjectStore
    host_list: HttpHostList
    host_control: HttpHostControl
    tasks: HttpTaskService


def connect_platform(settings: DaemonSettings, clock: Clock) -> PlatformClients:
    """
    :returns: clients of the platform in the settings; no call is made yet.
    """
    address = urlsplit(settings.platform_url).netloc
    connection = PlatformConnection(address, timeout_s=settings.store_timeout_s)
    budget = StoreBudget(
        1 / len(settings.entries), clock.monotonic_s(), shares=_BUDGET_SHARES
    )
    tables = GuardedTableService(
        HttpTableService(connection),
        budget=budget,
        clock=clock,
        random_source=random.Random(),
    )
    return PlatformClients(
        connection,
        tables,
        HttpObjectStore(connection),
        HttpHostList(connection),
        HttpHostControl(connection),
        HttpTaskService(connection),
    )
