"""Hosts in the platform's list, and the interface of the calls that control them."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources


class HostState(StrEnum):
    """State of a host in the platform's host list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Host(NamedTuple):
    """A host in the platform's list; ``worker_id`` is empty if no worker runs on it."""

    name: str
    pool: str
    state: HostState
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: str


class FencingToken(NamedTuple):
    """Fencing token of orders, with the entry host that holds it.

    ``expires_s``: monotonic time from which no order may be sent with it.
    """

    holder: str
    number: int
    expires_s: float


class HostOrderStatus(StrEnum):
    """Outcome of an order.

    ``REFUSED``: the present state of the host does not permit it. ``NOT_DONE``: the
    order was not carried out. ``UNKNOWN``: the order may have been carried out.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class HostCalls(ABC):
    """Interface to the platform's control of hosts."""

    @abstractmethod
    def list_hosts(self) -> tuple[Host, ...]:
        """
        :returns: all hosts, standby hosts included.
        :raises PlatformError: when the host list is unavailable.
        """

    @abstractmethod
    def move(self, host: str, pool: str, token: FencingToken) -> HostOrderStatus:
        """Moves a host to another pool, which terminates all runs on it.

        :returns: outcome of the order.
        """

    @abstractmethod
    def start_upkeep(
        self, host: str, wave: int, token: FencingToken
    ) -> HostOrderStatus:
        """Starts the upkeep of a host, which terminates all runs on it.

        :returns: outcome of the order.
        """
