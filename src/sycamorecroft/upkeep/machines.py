"""Machines as the platform lists them, and the calls that control them."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources


class MachineState(StrEnum):
    """State of a machine in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(NamedTuple):
    """A machine; ``worker_id`` is empty when none runs on it."""

    name: str
    pool: str
    state: MachineState
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: str


class OrderToken(NamedTuple):
    """Holder and fencing token of an order for one machine."""

    holder: str
    number: int


class MachineOrderStatus(StrEnum):
    """Outcome of an order; ``REFUSED``: the machine's state forbids it for now."""

    DONE = "done"
    REFUSED = "refused"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class MachineCalls(ABC):
    """Control of machines."""

    @abstractmethod
    def list_machines(self) -> tuple[Machine, ...]:
        """
        :raises PlatformError: when the list can't be had.
        """

    @abstractmethod
    def move(self, machine: str, pool: str, token: OrderToken) -> MachineOrderStatus:
        """Moves a machine to another pool; all that runs on it ends.

        :returns: outcome of the order.
        """

    @abstractmethod
    def begin_upkeep(
        self, machine: str, wave: int, token: OrderToken
    ) -> MachineOrderStatus:
        """Begins a machine's upkeep; all that runs on it ends.

        :returns: outcome of the order.
        """
