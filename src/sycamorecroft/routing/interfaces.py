"""Interfaces that the execution of a request needs from other slices."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotGrant


class SlotDemand(NamedTuple):
    """What a request needs; ``deadline_s`` is monotonic time of this process."""

    service: str
    team: str
    urgency: Urgency
    deadline_s: float
    excluded_hosts: tuple[str, ...]


class SlotSource(ABC):
    """Source of slots: the owner of the service's queue, wherever it runs."""

    @abstractmethod
    def acquire(self, demand: SlotDemand) -> SlotGrant:
        """Waits for a slot, at most until the deadline of the demand.

        :raises NotRunError: when the request was refused or its deadline passed.
        """

    @abstractmethod
    def release(
        self, grant: SlotGrant, *, service_time_s: float | None, host_failed: bool
    ) -> None:
        """Returns the slot; never blocks on the network.

        :param service_time_s: dispatch to end of response, ``None`` if not dispatched.
        """
