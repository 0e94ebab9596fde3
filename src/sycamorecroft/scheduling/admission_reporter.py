"""Reports of an owner on the share of each account's submissions to be refused."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import structlog

from sycamorecroft.scheduling.account_rates import account_weights
from sycamorecroft.scheduling.admission_report import (
    ARRIVAL_WINDOW_S,
    REPORT_INTERVAL_S,
    REPORT_VALID_S,
    AdmissionReport,
    Arrival,
    Backlog,
    Outlook,
    excess_shares,
    job_work,
    refused_shares,
    usable_capacity,
    waiting_work,
)
from sycamorecroft.scheduling.job_ranking import USEFUL_OBJECTIVE_RATIO, JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import ClientAccount
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# Entry hosts apply a report, and the owner sees its effect, within this time.
EFFECT_DELAY_S = 0.5
LOG_INTERVAL_S = 1.0


class SharesInForce:
    """Shares that entry hosts may have applied to recent arrivals."""

    def __init__(self) -> None:
        self._stored: deque[tuple[float, Mapping[str, float]]] = deque()

    def record(self, stored: AdmissionReport | None, now_s: float) -> None:
        """Records the report that is stored now, ``None`` if there is none."""
        is_valid = stored is not None and now_s - stored.taken_s < REPORT_VALID_S
        self._stored.append((now_s, stored.shares if is_valid else {}))
        while len(self._stored) > 1 and now_s - self._stored[1][0] > EFFECT_DELAY_S:
            self._stored.popleft()

    def lowest(self, account: str) -> float:
        """
        :returns: the lowest share that may have applied to a job that arrives now. A
            higher one would make the account seem to send more than it does.
        """
        return min((shares.get(account, 0.0) for _, shares in self._stored), default=0)


class AdmissionReporter:
    """Reports which share of its submissions each account is refused.

    Not thread-safe.
    """

    def __init__(self, service: str, epoch: int, ranking: JobRanking) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._ranking = ranking
        self._arrivals: deque[Arrival] = deque()
        self._in_force = SharesInForce()
        self._latest = AdmissionReport(-math.inf)
        self._logged_s = -math.inf

    def record_arrival(self, job: Job, now_s: float) -> None:
        """Records a new job that counts towards its account's rate."""
        allowed_s = job.objective_end_s - job.accepted_s
        slack_s = USEFUL_OBJECTIVE_RATIO * allowed_s - self._ranking.needed_s(job)
        self._arrivals.append(
            Arrival(
                now_s,
                job.account,
                job.queue.priority,
                job.is_excess,
                job_work(job.spec, self._ranking.step_excess_s),
                slack_s,
                1 / (1 - self._lowest_share(job.account)),
            )
        )

    def _lowest_share(self, account: str) -> float:
        """Returns the lowest share that may have applied to a job that arrives now."""
        # The latest report may have been stored since the one before was confirmed.
        latest = self._latest.shares.get(account, 0.0)
        return min(latest, self._in_force.lowest(account))

    def discard_arrivals(self) -> None:
        """Discards stored jobs, which a new owner reads at once."""
        self._arrivals.clear()

    def report(
        self,
        waiting_jobs: Callable[[], Iterable[Job]],
        workers: Iterable[Worker],
        accounts: Mapping[str, ClientAccount] | None,
        stored: AdmissionReport | None,
        now_s: float,
    ) -> AdmissionReport:
        """
        :param waiting_jobs: returns the jobs with waiting tasks; called only if an
            account sends more than its rate.
        :param accounts: configured accounts; nothing is refused if ``None``.
        :param stored: report that was stored last.
        :returns: the report in force from now.
        """
        if now_s - self._latest.taken_s < REPORT_INTERVAL_S and accounts is not None:
            return self._latest
        self._in_force.record(stored, now_s)
        while self._arrivals and now_s - self._arrivals[0].at_s > ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        former = self._latest
        self._latest = AdmissionReport(now_s)
        excess = {}
        if accounts is not None:
            weights = account_weights(accounts)
            excess = excess_shares(
                self._arrivals, {name: weights[name] for name in accounts}
            )
        if excess:
            self._latest = self._decide(waiting_jobs(), workers, excess, now_s)
        if self._latest.shares != former.shares:
            self._log(excess)
        return self._latest

    def _decide(
        self,
        jobs: Iterable[Job],
        workers: Iterable[Worker],
        excess: Mapping[str, float],
        now_s: float,
    ) -> AdmissionReport:
        overrun_s = self._ranking.step_excess_s
        backlog = [
            Backlog(job.queue.priority, waiting_work(job, overrun_s))
            for job in jobs
            if not job.is_excess or self._is_useful(job, now_s)
        ]
        capacity = usable_capacity(workers, now_s)
        outlook = Outlook(capacity, backlog, self._arrivals, excess)
        shares = refused_shares(self._arrivals, outlook, excess)
        if not shares:
            return AdmissionReport(now_s)
        priorities = {a.priority for a in self._arrivals if a.account in shares}
        wait_s = max(outlook.wait_s(priority) for priority in priorities)
        return AdmissionReport(now_s, 100 * round(10 * wait_s), shares)

    def _is_useful(self, job: Job, now_s: float) -> bool:
        """Returns whether a job can still end in time; others are placed last."""
        useful_s = USEFUL_OBJECTIVE_RATIO * (job.objective_end_s - job.accepted_s)
        return now_s + self._ranking.needed_s(job) <= job.accepted_s + useful_s

    def _log(self, excess: Mapping[str, float]) -> None:
        """Logs a change, once a second at most; the end of refusals always."""
        report = self._latest
        is_repeated = report.shares and self._logged_s > report.taken_s - LOG_INTERVAL_S
        if is_repeated:
            return
        self._logged_s = report.taken_s
        _log.info(
            "admission_report_changed",
            service=self._service,
            epoch=self._epoch,
            arrivals_count=len(self._arrivals),
            window_s=ARRIVAL_WINDOW_S,
            excess_shares={name: round(share, 2) for name, share in excess.items()},
            wait_ms=report.wait_ms,
            shares=dict(report.shares),
        )
