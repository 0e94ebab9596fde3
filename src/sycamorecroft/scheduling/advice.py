"""Approvals of workers by the service that a queue's policy names."""

from abc import ABC, abstractmethod
from typing import NamedTuple

# Workers that one call asks about; each adds to its duration.
WORKERS_PER_CALL_COUNT = 30
# A ticket isn't used when less than this is left, since the order takes its time.
TICKET_MARGIN_S = 0.3
RETRY_S = 0.3


class StepId(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    @property
    def name(self) -> str:
        """Name by which the advice service knows the step."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class Approval(NamedTuple):
    """A worker that may run a step, with the ticket that its starts carry."""

    worker_id: str
    ticket: str


class Approvals(NamedTuple):
    """Answer of the advice service."""

    approved: tuple[Approval, ...]
    valid_s: float


class AdviceCalls(ABC):
    """Calls to the advice service, one at a time."""

    @abstractmethod
    def advise(self, step: str, workers: tuple[str, ...]) -> Approvals:
        """
        :raises PlatformError: when there was no answer.
        """


class AdviceRequest(NamedTuple):
    """Question which of some workers may run a step."""

    step: StepId
    workers: tuple[str, ...]


class AdviceResult(NamedTuple):
    """Answer to a question; ``approvals`` is ``None`` when there was none."""

    request: AdviceRequest
    approvals: Approvals | None


class _Ticket(NamedTuple):
    ticket: str
    valid_until_s: float
    incarnation_ms: int


class ApprovalCache:
    """Approvals that are known, by step. Not thread-safe.

    A worker that was refused once isn't asked about again: the answer doesn't change.
    """

    def __init__(self) -> None:
        self._tickets: dict[StepId, dict[str, _Ticket]] = {}
        self._refused: dict[StepId, set[str]] = {}
        self._asked_until_s: dict[StepId, float] = {}

    def ticket(self, step: StepId, worker_id: str, incarnation_ms: int, now_s: float) -> str:
        """
        :param born_ms: life of the worker; a ticket ends with the life it was for.
        :returns: a valid ticket, empty if there is none.
        """
        known = self._tickets.get(step, {}).get(worker_id)
        if known is None or known.incarnation_ms != incarnation_ms:
            return ""
        is_valid = now_s + TICKET_MARGIN_S < known.valid_until_s
        return known.ticket if is_valid else ""

    def request(
        self, step: StepId, workers: list[str], now_s: float
    ) -> AdviceRequest | None:
        """
        :param workers: workers with room that have no valid ticket, best first.
        :returns: what to ask now, ``None`` when a call is on its way or none is left.
        """
        if now_s < self._asked_until_s.get(step, 0.0):
            return None
        refused = self._refused.get(step, set())
        asked = [name for name in workers if name not in refused]
        if not asked:
            return None
        self._asked_until_s[step] = float("inf")
        return AdviceRequest(step, tuple(asked[:WORKERS_PER_CALL_COUNT]))

    def apply(
        self, result: AdviceResult, incarnations_ms: dict[str, int], now_s: float
    ) -> None:
        """Takes in an answer."""
        step = result.request.step
        if result.approvals is None:
            self._asked_until_s[step] = now_s + RETRY_S
            return
        self._asked_until_s[step] = now_s
        valid_until_s = now_s + result.approvals.valid_s
        tickets = self._tickets.setdefault(step, {})
        for approval in result.approvals.approved:
            incarnation_ms = incarnations_ms.get(approval.worker_id, 0)
            tickets[approval.worker_id] = _Ticket(
                approval.ticket, valid_until_s, incarnation_ms
            )
        approved = {approval.worker_id for approval in result.approvals.approved}
        refused = set(result.request.workers) - approved
        self._refused.setdefault(step, set()).update(refused)

    def forget_ticket(self, step: StepId, worker_id: str) -> None:
        """Forgets a ticket that a worker didn't take."""
        self._tickets.get(step, {}).pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Forgets all steps of a job that has ended."""
        for known in (self._tickets, self._refused, self._asked_until_s):
            for step in [step for step in known if step.job_id == job_id]:
                del known[step]
