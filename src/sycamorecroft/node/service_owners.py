"""Services that a node owns and those of others, as explanations need them."""

from sycamorecroft.clock import Clock
from sycamorecroft.explanations.messages import ServiceOwner
from sycamorecroft.explanations.services import CopiedService, ServiceDirectory
from sycamorecroft.node.service_supervisor import ServiceSupervisor
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.confirmations import ClaimConfirmations
from sycamorecroft.scheduling.placement_question import CopyPlacement


class ServiceOwners(ServiceDirectory):
    """Reads the state of the ownership without waiting for its lock.

    The lock is held during calls to the store.
    """

    def __init__(
        self,
        ownership: Ownership,
        supervisor: ServiceSupervisor,
        confirmations: ClaimConfirmations,
        clock: Clock,
    ) -> None:
        self._ownership = ownership
        self._supervisor = supervisor
        self._confirmations = confirmations
        self._clock = clock

    def owned(self) -> list[str]:
        return sorted(self._supervisor.owned.copy())

    def owner(self, service: str) -> ServiceOwner:
        record = self._ownership.owners.get(service)
        if record is None:
            return ServiceOwner(service, "", 0, None)
        known_for_s = round(self._clock.monotonic_s() - record.seen_s, 3)
        return ServiceOwner(
            service,
            record.row.entry_host,
            record.row.epoch,
            known_for_s,
            service in self._supervisor.owned,
        )

    def copy_placement(
        self, service: str, question: CopyPlacement, timeout_s: float
    ) -> CopiedService | None:
        owned = self._supervisor.owned.get(service)
        if owned is None:
            return None
        answer = owned.copy_placement(question, timeout_s)
        if answer is None:
            return None
        return CopiedService(answer, self._claim_confirmed_age_s(service))

    def _claim_confirmed_age_s(self, service: str) -> float | None:
        claimed = self._ownership.owned.get(service)
        if claimed is None:
            return None
        confirmed_s = self._confirmations.confirmed_s(claimed.claim)
        if confirmed_s is None:
            return None
        return round(self._clock.monotonic_s() - confirmed_s, 3)
