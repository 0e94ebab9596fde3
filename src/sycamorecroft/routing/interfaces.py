"""Interfaces through which the execution of a request obtains slots."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotGrant


class SlotDemand(NamedTuple):
    """Slot that a request needs; ``deadline_s`` is monotonic time of this process."""

    service: str
    team: str
    urgency: Urgency
    deadline_s: float
    excluded_hosts: tuple[str, ...]


class SlotSource(ABC):
    """Source of slots, granted by the queue owner on this or another entry host."""

    @abstractmethod
    def acquire(self, demand: SlotDemand) -> SlotGrant:
        """Waits for a slot, at most until the deadline of the demand.

        :returns: the granted slot; the caller calls :meth:`release`.
        :raises NotRunError: if the request is refused or its deadline passes.
        """

    @abstractmethod
    def release(
        self, grant: SlotGrant, *, service_time_s: float | None, host_failed: bool
    ) -> None:
        """Releases the slot without blocking on the network.

        :param service_time_s: time from dispatch to the end of the response, ``None``
            if nothing was dispatched.
        :param host_failed: whether the attempt counts as a failure of the worker.
        """
