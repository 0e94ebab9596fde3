"""Approvals of workers for steps, and the requests for them to the advice service.

Tasks of a queue with advice run only on workers that the advice service has approved
for their step; each start carries the ticket of its approval.
"""

from abc import ABC, abstractmethod
from collections.abc import Set
from typing import NamedTuple

# Maximum number of workers in a call; each worker adds to the duration of the call.
WORKERS_PER_CALL_COUNT = 30
# A ticket with less validity left isn't used, since the order takes time to arrive.
TICKET_MARGIN_S = 0.3
REQUEST_RETRY_S = 0.3


class StepId(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    @property
    def name(self) -> str:
        """Name of the step in calls to the advice service."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class Approval(NamedTuple):
    """Approval of a worker for a step, with the ticket that its starts carry."""

    worker_id: str
    ticket: str


class Approvals(NamedTuple):
    """Answer of the advice service; the tickets are valid for ``valid_s``."""

    approved: tuple[Approval, ...]
    valid_s: float


class AdviceCalls(ABC):
    """Interface for calls to the advice service, which are made one at a time."""

    @abstractmethod
    def advise(self, step: str, workers: tuple[str, ...]) -> Approvals:
        """
        :param step: name of the step.
        :param workers: ids of the workers to be approved.
        :returns: approvals of those workers that may run the step.
        :raises PlatformError: when the advice service doesn't answer.
        """


class AdviceRequest(NamedTuple):
    """Request to approve workers for a step."""

    step: StepId
    workers: tuple[str, ...]


class AdviceResult(NamedTuple):
    """Answer to a request; ``approvals`` is ``None`` if the call failed."""

    request: AdviceRequest
    approvals: Approvals | None


class _Ticket(NamedTuple):
    value: str
    valid_until_s: float
    incarnation_ms: int


class ApprovalCache:
    """Caches approvals and refusals by step. Not thread-safe.

    A worker that was refused for a step isn't requested again, because the answer of
    the advice service doesn't change.
    """

    def __init__(self) -> None:
        self._tickets: dict[StepId, dict[str, _Ticket]] = {}
        self._refused: dict[StepId, set[str]] = {}
        self._next_request_s: dict[StepId, float] = {}

    def copy(self) -> "ApprovalCache":
        """
        :returns: an independent copy.
        """
        twin = ApprovalCache()
        twin._tickets = {step: known.copy() for step, known in self._tickets.items()}
        twin._refused = {step: known.copy() for step, known in self._refused.items()}
        twin._next_request_s = self._next_request_s.copy()
        return twin

    def ticket(
        self, step: StepId, worker_id: str, incarnation_ms: int, now_s: float
    ) -> str:
        """
        :param incarnation_ms: incarnation of the worker; a ticket is valid only for the
            incarnation that it was issued to.
        :returns: a valid ticket, or an empty string if there is none.
        """
        ticket = self._tickets.get(step, {}).get(worker_id)
        if ticket is None or ticket.incarnation_ms != incarnation_ms:
            return ""
        is_valid = now_s + TICKET_MARGIN_S < ticket.valid_until_s
        return ticket.value if is_valid else ""

    def next_request(
        self, step: StepId, workers: list[str], now_s: float
    ) -> AdviceRequest | None:
        """
        :param workers: workers with free capacity and no valid ticket, best first.
        :returns: request to send now, ``None`` if one is in flight or was answered too
            recently, or if all workers were refused.
        """
        if now_s < self._next_request_s.get(step, 0.0):
            return None
        refused = self._refused.get(step, set())
        asked = [name for name in workers if name not in refused]
        if not asked:
            return None
        self._next_request_s[step] = float("inf")
        return AdviceRequest(step, tuple(asked[:WORKERS_PER_CALL_COUNT]))

    def apply(
        self, result: AdviceResult, incarnations_ms: dict[str, int], now_s: float
    ) -> None:
        """Applies an answer of the advice service.

        :param incarnations_ms: current incarnation of each worker.
        """
        step = result.request.step
        if result.approvals is None:
            self._next_request_s[step] = now_s + REQUEST_RETRY_S
            return
        self._next_request_s[step] = now_s
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

    def discard_ticket(self, step: StepId, worker_id: str) -> None:
        """Drops a ticket that a worker has rejected."""
        self._tickets.get(step, {}).pop(worker_id, None)

    def discard_job(self, job_id: str) -> None:
        """Drops the approvals and refusals for all steps of a job that has ended."""
        self.keep_occurrences(job_id, frozenset())

    def keep_occurrences(self, job_id: str, occurrences: Set[int]) -> None:
        """Drops the approvals and refusals for all other occurrences of a job."""
        for by_step in (self._tickets, self._refused, self._next_request_s):
            steps = [step for step in by_step if step.job_id == job_id]
            for step in steps:
                if step.occurrence not in occurrences:
                    del by_step[step]
