"""Rows through which a service's owner and the machines' owner work together.

Each service's owner stores its load in a part of its own, so that it doesn't wait for
the commits of its jobs. The marks of all services lie in the part of the machines'
owner, which writes them in one transaction.
"""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot

# Name under which hosts claim the right to order moves and upkeep. It can't be the
# name of a service, which has no tilde.
FLEET_CONTROLLER_CLAIM = "~machines"
LOADS_TABLE = "loads"
MARKS_TABLE = "marks"
# Key of the machines' sizes beside the row of their owner, which all hosts follow.
HOST_SIZES_KEY = "sizes"


class LoadRow(NamedTuple):
    """Load of a service, by the owner that claimed it with ``epoch``."""

    service: str
    epoch: int
    snapshot: PoolSnapshot


class HostSizesRow(NamedTuple):
    """Distinct capacities of all machines, standby included."""

    sizes: tuple[Resources, ...]


def load_part(service: str) -> str:
    """
    :returns: part of the row of a service's load.
    """
    return f"{service}/load"
