"""Lease of a job controller, as this slice needs it."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.platform.interfaces import Check


class HeldLease(NamedTuple):
    """A lease in force. ``check`` holds while the lease row is as last written."""

    epoch: int
    check: Check


class JobLease(ABC):
    """The lease ``jobs/<pool>`` of this daemon."""

    @abstractmethod
    def current(self) -> HeldLease | None:
        """
        :returns: the lease, or ``None`` while this daemon doesn't hold it.
        """

    @abstractmethod
    def give_up(self) -> None:
        """Lets the lease go, so that the next holder has a higher epoch."""
