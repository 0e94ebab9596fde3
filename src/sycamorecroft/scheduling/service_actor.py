"""Actor of a service that this entry host owns."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import DaemonActor, tell_if_alive
from sycamorecroft.errors import PlatformError
from sycamorecroft.ownership.committer import CommitOutcome, CommitResult, Committer
from sycamorecroft.quotas.messages import QuotaWriteResult
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.scheduling.admission_report import AdmissionReport
from sycamorecroft.scheduling.advice import AdviceRequest, AdviceResult
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, WorkerCalls
from sycamorecroft.scheduling.model import FleetSnapshot, WorkerRegistration
from sycamorecroft.scheduling.orders import StartTask
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    CopyRefusal,
    copy_placement,
)
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.scheduling.scheduler import Scheduler
from sycamorecroft.scheduling.worker_clock import WorkerClock
from sycamorecroft.scheduling.worker_link import (
    EpochSuperseded,
    RenewalFailed,
    RenewalSucceeded,
    StartResult,
    StopResult,
    ThrottleResult,
    WorkerLink,
    WorkerReplaced,
)
from sycamorecroft.scheduling.workers import Worker
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

# The actor applies up to this many queued messages before it decides, so that a burst
# of messages costs one decision and one transaction.
MESSAGES_PER_DECISION_COUNT = 50
# Minimum time between load snapshots, each of which visits every waiting task.
SNAPSHOT_INTERVAL_S = 0.08
LOGGED_DELAY_S = 0.1
DELAY_LOG_INTERVAL_S = 1.0


_LINK_MESSAGES = (
    EpochSuperseded,
    RenewalFailed,
    RenewalSucceeded,
    ThrottleResult,
    StartResult,
    StopResult,
    WorkerReplaced,
)


class JobRowsChanged(NamedTuple):
    """New submissions and cancellations of jobs."""

    rows: tuple[Row, ...]


class RegistrationsChanged(NamedTuple):
    """Current registrations of all workers of the service."""

    registrations: tuple[WorkerRegistration, ...]


class MarksChanged(NamedTuple):
    """The fleet controller has changed the planned-work marks of the service."""

    marks: WorkerMarks
    version: int


class FleetChanged(NamedTuple):
    """A version of the configuration has come into force."""

    fleet: FleetSnapshot


class QuotaRowsChanged(NamedTuple):
    """Rows of the table of quotas were read, or have changed."""

    rows: tuple[Row, ...]


class QuotaWritten(NamedTuple):
    """The outcome of a write of quota rows is known."""

    result: QuotaWriteResult


_QUOTA_MESSAGES = (QuotaRowsChanged, QuotaWritten, QuotaWriter)


class Tick(NamedTuple):
    """Periodic trigger of decisions that depend on time.

    ``sent_s`` is the monotonic time at which it was sent.
    """

    sent_s: float


class StopService(NamedTuple):
    """The entry host releases the service or has lost its claim."""


class ServiceContext(NamedTuple):
    """Dependencies of a service's actor.

    ``connect`` opens the connection to a worker. ``lease_limit_s`` returns the
    monotonic time beyond which no lease may be granted. ``on_lost`` is called when
    another entry host owns the service. ``request_advice`` sends a
    request to the advice service and passes the answer to the given callback.
    """

    clock: Clock
    lease_s: float
    connect: Callable[[WorkerRegistration], WorkerCalls]
    lease_limit_s: Callable[[], float]
    on_lost: Callable[[], None]
    request_advice: Callable[[AdviceRequest, Callable[[AdviceResult], object]], None]


class _OpenLink(NamedTuple):
    """Link to a worker, and what its registration said when the link was opened.

    ``opened_s`` is monotonic time.
    """

    link: WorkerLink
    address: str
    incarnation_ms: int
    opened_s: float

    def is_outdated(self, worker: Worker) -> bool:
        """
        :returns: whether the worker has restarted, perhaps at another address, since
            the link was opened, and hasn't answered it since.
        """
        registration = worker.registration
        known_ms = max(self.incarnation_ms, worker.incarnation_ms)
        is_restarted = registration.incarnation_ms > known_ms
        return is_restarted or registration.address != self.address


class ServiceActor(DaemonActor):
    """Runs the scheduler of a service and the links to its workers."""

    def __init__(
        self,
        scheduler: Scheduler,
        context: ServiceContext,
        publish: Callable[[PoolSnapshot], None],
        publish_admission: Callable[
            [AdmissionReport], AdmissionReport | None
        ] = lambda report: None,
    ) -> None:
        """
        :param publish: receives a load snapshot when the load may have changed.
        :param publish_admission: receives the admission report, which may be unchanged,
            and returns the one that was stored last.
        """
        super().__init__()
        self._publish_admission = publish_admission
        self._stored_admission: AdmissionReport | None = None
        self._publish = publish
        self._scheduler = scheduler
        self._context = context
        self._clock = context.clock
        self._committer: Committer | None = None
        self._is_committing = False
        self._quota_writer: QuotaWriter | None = None
        self._links: dict[str, _OpenLink] = {}
        self._is_connecting_due = True
        self._invalid_addresses: dict[str, str] = {}
        self._handled_count = 0
        self._is_snapshot_due = False
        self._next_snapshot_s = 0.0
        self._delay_logged_s = 0.0
        self._is_stopped = False

    def handle(self, message: object) -> object:
        if self._is_stopped:
            return None
        # Copied before the decision on the messages that came before.
        reply = None
        if isinstance(message, CopyPlacement):
            reply = self._copy_placement(message)
        elif isinstance(message, _QUOTA_MESSAGES):
            self._apply_quota_message(message)
        else:
            self._apply(message)
        self._handled_count += 1
        if (
            self.actor_inbox.empty()
            or self._handled_count >= MESSAGES_PER_DECISION_COUNT
        ):
            self._handled_count = 0
            self._decide()
        return reply

    def _copy_placement(
        self, question: CopyPlacement
    ) -> CopiedPlacement | CopyRefusal | None:
        """Returns ``None`` after an unexpected error, which must hold up nothing."""
        try:
            return copy_placement(self._scheduler, question, self._clock)
        except Exception:
            _log.exception("placement_not_copied", job=question.job_id)
            return None

    def _apply(self, message: object) -> None:
        now_s = self._clock.monotonic_s()
        if isinstance(message, _LINK_MESSAGES):
            self._apply_link_message(message, now_s)
            return
        scheduler = self._scheduler
        match message:
            case CommitResult():
                self._apply_commit(message, now_s)
            case JobRowsChanged():
                scheduler.apply_job_rows(message.rows, now_s, self._now_ms())
                self._is_snapshot_due = True
            case RegistrationsChanged():
                scheduler.reports.apply_registrations(message.registrations, now_s)
                self._is_connecting_due = True
            case Tick():
                self._is_connecting_due = True
                self._log_delay(now_s - message.sent_s, now_s)
                self._extend_leases(now_s)
                scheduler.tick(now_s, self._now_ms())
                self._is_snapshot_due = True
            case AdviceResult():
                scheduler.apply_advice(message, now_s)
            case FleetChanged() | MarksChanged():
                self._apply_instruction(message, now_s)
            case Committer():
                self._committer = message
            case StopService():
                self._close()

    def _apply_quota_message(
        self, message: QuotaRowsChanged | QuotaWritten | QuotaWriter
    ) -> None:
        now_s = self._clock.monotonic_s()
        match message:
            case QuotaRowsChanged():
                self._scheduler.quotas.apply_rows(message.rows, now_s)
            case QuotaWritten():
                self._scheduler.quotas.apply_result(message.result, now_s)
            case QuotaWriter():
                self._quota_writer = message

    def _apply_instruction(
        self, message: FleetChanged | MarksChanged, now_s: float
    ) -> None:
        """Applies what operators and the fleet controller ask of the service."""
        if isinstance(message, FleetChanged):
            self._scheduler.apply_fleet(message.fleet, now_s)
            return
        self._scheduler.reports.apply_marks(message.marks, message.version)
        self._is_snapshot_due = True

    def _apply_link_message(self, message: object, now_s: float) -> None:
        scheduler = self._scheduler
        match message:
            case RenewalSucceeded():
                self._log_delay(now_s - message.received_s, now_s)
                scheduler.reports.apply_renewal(
                    message.worker_id,
                    message.reply,
                    sent_s=message.sent_s,
                    now_s=now_s,
                    lease_end_s=message.lease_end_s,
                )
            case RenewalFailed():
                scheduler.reports.extend_lease(
                    message.worker_id,
                    message.lease_end_s,
                    may_be_restarted=message.may_be_restarted,
                    now_s=now_s,
                )
            case StartResult():
                scheduler.outcomes.apply_start(message.run, message.reply, now_s)
            case ThrottleResult():
                scheduler.outcomes.apply_throttle(message.order, message.reply, now_s)
            case StopResult():
                scheduler.outcomes.apply_stop(message.order, message.reply, now_s)
            case WorkerReplaced():
                self._apply_replacement(message, now_s)
            case EpochSuperseded():
                self._handle_lost_ownership(
                    f"worker {message.worker_id} has seen a higher epoch"
                )

    def _extend_leases(self, now_s: float) -> None:
        """Allows for calls in flight, which may have extended leases of silent workers.

        After a pause of the process, their outcomes may come after the next tick.
        """
        workers = self._scheduler.workers
        for worker_id, current in self._links.items():
            worker = workers.get(worker_id)
            if worker is not None and not worker.is_in_contact(now_s):
                self._extend_lease(worker_id, current.link, now_s)

    def _extend_lease(self, worker_id: str, link: WorkerLink, now_s: float) -> None:
        self._scheduler.reports.extend_lease(
            worker_id, link.lease_end_s(), may_be_restarted=False, now_s=now_s
        )

    def _apply_replacement(self, message: WorkerReplaced, now_s: float) -> None:
        """Ignores the answer to a call of a former link, at a former address."""
        current = self._links.get(message.worker_id)
        if current is not None and message.sent_s >= current.opened_s:
            self._scheduler.reports.apply_replacement(message.worker_id, now_s)

    def _log_delay(self, delay_s: float, now_s: float) -> None:
        """Logs, once a second at most, that messages wait long for the actor.

        :param delay_s: time in seconds from the arrival of a message until now.
        """
        is_due = now_s - self._delay_logged_s >= DELAY_LOG_INTERVAL_S
        if delay_s < LOGGED_DELAY_S or not is_due:
            return
        self._delay_logged_s = now_s
        _log.info(
            "service_decisions_delayed",
            service=self._scheduler.service,
            delay_s=round(delay_s, 3),
            queued_messages_count=self.actor_inbox.qsize(),
        )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _apply_commit(self, result: CommitResult, now_s: float) -> None:
        self._is_committing = False
        if result.outcome is CommitOutcome.LOST:
            self._handle_lost_ownership("another entry host has claimed the service")
            return
        self._scheduler.apply_commit(result.commit, now_s)
        for acknowledgement in result.commit.acknowledgements:
            current = self._links.get(acknowledgement.worker_id)
            if current is not None:
                current.link.acknowledge(acknowledgement)

    def _handle_lost_ownership(self, reason: str) -> None:
        _log.warning("service_lost", service=self._scheduler.service, reason=reason)
        self._close()
        self._context.on_lost()

    def _close(self) -> None:
        self._is_stopped = True
        for current in self._links.values():
            current.link.close()
        if self._committer is not None:
            self._committer.close()
        self.actor_ref.stop(block=False)

    def _decide(self) -> None:
        if self._is_stopped:
            return
        now_s = self._clock.monotonic_s()
        if self._is_connecting_due:
            self._is_connecting_due = False
            self._connect_workers()
        # Before the placement, which otherwise uses again what has become free of a
        # grant that another service waits for.
        self._write_quotas(now_s)
        self._scheduler.place(now_s)
        self._write_quotas(now_s)
        if not self._is_committing and self._committer is not None:
            commit = self._scheduler.next_commit(now_s)
            if commit is not None:
                self._is_committing = True
                self._committer.submit(commit)
        for order in self._scheduler.take_orders():
            self._send_order(order)
        if self._is_snapshot_due and now_s >= self._next_snapshot_s:
            self._is_snapshot_due = False
            self._next_snapshot_s = now_s + SNAPSHOT_INTERVAL_S
            self._publish(self._scheduler.snapshot(now_s))
            report = self._scheduler.admission_report(self._stored_admission, now_s)
            self._stored_admission = self._publish_admission(report)

    def _write_quotas(self, now_s: float) -> None:
        if self._quota_writer is None:
            return
        write = self._scheduler.quotas.next_write(now_s)
        if write is not None:
            self._quota_writer.submit(write)

    def _send_order(self, order: object) -> None:
        if isinstance(order, AdviceRequest):
            notify = partial(tell_if_alive, self.actor_ref)
            self._context.request_advice(order, notify)
            return
        current = self._links.get(order.worker_id)
        if current is not None:
            current.link.enqueue(order)
        elif isinstance(order, StartTask):
            now_s = self._clock.monotonic_s()
            reply = OrderReply(OrderStatus.REJECTED, "no connection")
            self._scheduler.outcomes.apply_start(order.run, reply, now_s)

    def _connect_workers(self) -> None:
        workers = self._scheduler.workers
        for worker_id in [name for name in self._links if name not in workers]:
            self._links.pop(worker_id).link.close()
        for worker_id, worker in workers.items():
            registration = worker.registration
            if not registration.address:
                continue
            current = self._links.get(worker_id)
            if current is not None and current.is_outdated(worker):
                _log.info(
                    "worker_reconnected",
                    worker=worker_id,
                    address=registration.address,
                    former_address=current.address,
                    born_ms=registration.incarnation_ms,
                )
                self._links.pop(worker_id)
                current.link.withdraw()
                self._extend_lease(worker_id, current.link, self._clock.monotonic_s())
                current = None
            if current is None:
                self._open_link(registration)

    def _open_link(self, registration: WorkerRegistration) -> None:
        try:
            calls = self._context.connect(registration)
        except PlatformError as error:
            self._log_invalid_address(registration, error)
            return
        link = WorkerLink(
            registration.worker_id,
            calls,
            WorkerClock(self._context.lease_s),
            self._clock,
            partial(tell_if_alive, self.actor_ref),
            self._context.lease_limit_s,
        )
        link.start()
        self._links[registration.worker_id] = _OpenLink(
            link,
            registration.address,
            registration.incarnation_ms,
            self._clock.monotonic_s(),
        )

    def _log_invalid_address(
        self, registration: WorkerRegistration, error: PlatformError
    ) -> None:
        """Logs, once for each address, that a worker can't be connected."""
        worker_id = registration.worker_id
        if self._invalid_addresses.get(worker_id) == registration.address:
            return
        self._invalid_addresses[worker_id] = registration.address
        _log.error("worker_address_invalid", worker=worker_id, error=str(error))
