"""Calls to a worker, independent of their transport."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple


class RunOutcome(StrEnum):
    """How a run ended.

    ``LAPSED``: its lease expired. ``BROKEN``: another member of its gang ended.
    ``ALONE``: it waited too long for the others of its gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class RunningTask(NamedTuple):
    """A run in progress.

    ``progress_percent`` is 100 for a long-running task that is at work. ``gauge`` is
    the tail of the response times in milliseconds of a task that serves, and the
    processor use of any other task.
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    gauge: int = 0


class FinishedRun(NamedTuple):
    """The end of a run; ``number`` rises within one life of a worker."""

    number: int
    task: str
    attempt: int
    outcome: str
    checkpoint: str


class RenewalReply(NamedTuple):
    """Runs of a worker; ``clock_ms`` is the worker's steady clock."""

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedRun, ...]


class StartOrder(NamedTuple):
    """Order to start a task; ``deadline_ms`` is a time on the worker's clock."""

    task: str
    attempt: int
    text: str
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class OrderStatus(StrEnum):
    """Outcome of an order.

    ``REJECTED``: the worker did nothing; ``FENCED``: it did nothing because it has
    seen a higher epoch; ``UNHEALTHY``: it did nothing because it is unwell;
    ``UNKNOWN``: it may have run, or may still run, the order.
    """

    DONE = "done"
    REJECTED = "rejected"
    FENCED = "fenced"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


class OrderReply(NamedTuple):
    """Outcome of an order with the reason that the worker gave."""

    status: OrderStatus
    reason: str = ""
    clock_ms: int = 0


class WorkerCalls(ABC):
    """Calls to one worker. Each order carries the epoch of the caller's lease."""

    @abstractmethod
    def renew_leases(
        self, *, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> RenewalReply:
        """Extends the lease of all runs and returns them, waiting for an end.

        :param acknowledged: number of the last end that is stored.
        :raises StaleEpochError: when the worker has seen a higher epoch.
        :raises WorkerReplacedError: when another worker answers at the address.
        :raises WorkerCallError: when there was no answer.
        """

    @abstractmethod
    def start(self, order: StartOrder) -> OrderReply:
        """
        :returns: outcome of the order.
        """

    @abstractmethod
    def stop(self, task: str, attempt: int) -> OrderReply:
        """Ends a run, and makes sure that it never starts if it hasn't yet.

        :returns: outcome of the order.
        """

    @abstractmethod
    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        """Limits the share of a worker that a run may use.

        :returns: outcome of the order.
        """

    @abstractmethod
    def close(self) -> None:
        """Closes the connections."""
