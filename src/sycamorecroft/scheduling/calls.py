"""Interface for calls to a worker, independent of the transport."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class RunOutcome(StrEnum):
    """Outcome of a run.

    ``EXPIRED``: its lease expired. ``GANG_BROKEN``: another member of its gang ended.
    ``GANG_INCOMPLETE``: the other members of its gang didn't start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class RunningTask(NamedTuple):
    """A run in progress.

    ``progress_percent`` is 100 for a long-running task that is ready. ``gauge`` is the
    tail latency in milliseconds of a serving task, and the processor use of any other
    task.
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    gauge: float = 0


class FinishedRun(NamedTuple):
    """A finished run; ``number`` increases within one incarnation of a worker."""

    number: int
    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str


class RenewalReply(NamedTuple):
    """Run list of a worker, returned when the leases of its runs are renewed.

    ``clock_ms`` is the time on the worker's monotonic clock.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedRun, ...]


class StartOrder(NamedTuple):
    """Order to start a task; ``deadline_ms`` is on the worker's monotonic clock."""

    task: str
    attempt: int
    text: str
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class OrderStatus(StrEnum):
    """Outcome of an order.

    With ``REJECTED``, ``FENCED`` and ``UNHEALTHY`` the worker did nothing: it refused
    the order, has seen a higher epoch, or is unhealthy. ``REPLACED``: another worker
    answered at the address. ``UNKNOWN``: the worker may have carried out the order, or
    may still do so. ``WITHDRAWN``: the order was never sent.
    """

    DONE = "done"
    REJECTED = "rejected"
    FENCED = "fenced"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class OrderReply(NamedTuple):
    """Outcome of an order; ``reason`` is the reason that the worker gave.

    ``is_incarnation_known``: whether no incarnation can have executed the order but the
    one that answered the last call to renew leases, or an earlier one. ``lease_s``:
    how long the leases of the worker last that has taken an order to start, in s on its
    clock; ``None`` if it isn't known.
    """

    status: OrderStatus
    reason: str = ""
    is_incarnation_known: bool = False
    lease_s: float | None = None


class WorkerCalls(ABC):
    """Calls to one worker. Each order carries the epoch of the caller's claim."""

    @abstractmethod
    def renew_leases(
        self,
        *,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        needs_open_connection: bool = False,
    ) -> RenewalReply:
        """Renews the leases of all runs and returns the run list.

        The worker answers as soon as a run finishes, or after ``wait_ms``.

        :param acknowledged: number of the last finished run that is stored.
        :param deadline_ms: end of the leases on the worker's clock; ``None`` leaves
            them as they are.
        :param wait_ms: maximum time to wait for a run to finish.
        :param needs_open_connection: whether the call is sent only on the connection of
            the last answer, so that no later incarnation receives it.
        :returns: runs in progress, and finished runs after the acknowledged one.
        :raises StaleEpochError: when the worker has seen a higher epoch.
        :raises WorkerReplacedError: when another worker answers at the address.
        :raises WorkerCallError: when the worker doesn't answer, or when the call needed
            an open connection and wasn't sent.
        """

    @property
    @abstractmethod
    def order_connections_count(self) -> int:
        """Number of connections that orders have opened.

        A worker that restarts closes its connections. An order sent on one on which an
        incarnation has answered can't reach a later one.
        """

    @abstractmethod
    def identify(self) -> int:
        """Asks on the connection of orders which incarnation answers there.

        :returns: the worker's incarnation in ms, 0 if it doesn't tell.
        :raises StaleEpochError: when the worker has seen a higher epoch.
        :raises WorkerReplacedError: when another worker answers at the address.
        :raises StoreUnavailableError: when the worker refuses the call, or can't be
            connected.
        :raises WorkerCallError: when the worker doesn't answer.
        """

    @abstractmethod
    def start(
        self,
        order: StartOrder,
        may_send: Callable[[], bool] = lambda: True,
        *,
        needs_open_connection: bool = False,
    ) -> OrderReply:
        """Starts a run.

        :param may_send: asked when the connection is open, right before the order is
            written; the order is rejected if it may not be sent any more.
        :param needs_open_connection: whether the order is sent only on the connection
            of the last answer to an order or to :meth:`identify`.
        :returns: outcome of the order.
        :raises NoOpenConnectionError: when the order needed an open connection and
            wasn't sent.
        """

    @abstractmethod
    def stop(self, task: str, attempt: int) -> OrderReply:
        """Stops a run, or prevents its start if the run hasn't started.

        :returns: outcome of the order.
        """

    @abstractmethod
    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        """Limits the share of the worker's processors that a run may use.

        :param percent: share allowed from now on; 0 pauses the run.
        :returns: outcome of the order.
        """

    @abstractmethod
    def close(self) -> None:
        """Closes the connections to the worker."""
