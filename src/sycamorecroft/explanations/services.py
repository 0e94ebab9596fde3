"""Interface to the services of a node, for explanations."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.explanations.messages import ServiceOwner
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    CopyRefusal,
)


class CopiedService(NamedTuple):
    """Answer of a service that this node owns.

    ``claim_confirmed_age_s``: time since its claim was known to hold, ``None`` if the
    claim has ended.
    """

    answer: CopiedPlacement | CopyRefusal
    claim_confirmed_age_s: float | None


class ServiceDirectory(ABC):
    """Services that this node owns, and the owners of the others. Thread-safe."""

    @abstractmethod
    def owned(self) -> list[str]:
        """
        :returns: names of the services that run here.
        """

    @abstractmethod
    def owner(self, service: str) -> ServiceOwner:
        """
        :returns: owner of a service as this node knows it.
        """

    @abstractmethod
    def copy_placement(
        self, service: str, question: CopyPlacement, timeout_s: float
    ) -> CopiedService | None:
        """
        :returns: answer of the service's actor, ``None`` if it doesn't run here any
            more, fails or takes longer than ``timeout_s``.
        """
