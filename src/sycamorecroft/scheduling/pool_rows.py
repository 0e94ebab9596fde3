"""Rows that service owners and the fleet controller exchange.

Each service owner stores its load in a separate part, so that the load doesn't wait for
commits of the service's jobs. The marks of all services are stored in the part of the
fleet controller, which writes them in one transaction.
"""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot

# Claim of the entry host that orders host moves and upkeep. The tilde keeps the name
# distinct from services, whose names contain none.
FLEET_CONTROLLER_CLAIM = "~machines"
LOADS_TABLE = "loads"
MARKS_TABLE = "marks"
# Key of the row with the host sizes. It lies in the table of owners, which all entry
# hosts watch.
HOST_SIZES_KEY = "sizes"


class LoadRow(NamedTuple):
    """Load of a service, as stored by the owner whose claim has ``epoch``."""

    service: str
    epoch: int
    snapshot: PoolSnapshot


class HostSizesRow(NamedTuple):
    """Distinct capacities of all hosts, including those on standby."""

    sizes: tuple[Resources, ...]


def load_part(service: str) -> str:
    """
    :returns: part that stores the row of a service's load.
    """
    return f"{service}/load"
