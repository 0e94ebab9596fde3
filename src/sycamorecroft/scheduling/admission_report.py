"""Decides which share of the excess jobs of each client account is to be refused."""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import structlog

from sycamorecroft.scheduling.account_rates import BURST_S, account_weights
from sycamorecroft.scheduling.job_ranking import USEFUL_OBJECTIVE_RATIO, JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import ClientAccount, JobSpec, Resources, StepSpec
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# Key of the report, in the table of owners and the part of its service.
ADMISSION_KEY = "admission"
# A report is in force for this time after its arrival at an entry host.
REPORT_VALID_S = 2.0
REPORT_INTERVAL_S = 0.25
# Arrivals are counted over this time. A shorter one counts too few jobs of an account
# with a weight of 1, a longer one refuses longer after the end of a flood.
ARRIVAL_WINDOW_S = 2.0
# Entry hosts apply a report, and the owner sees its effect, within this time.
EFFECT_DELAY_S = 0.5
# The backlog is planned over this time ahead.
PLANNING_S = 1.0
# Part of the time that an excess job may wait which is planned to be used. Waits vary,
# so that with all of it more of the admitted jobs end too late to be of use.
PLANNED_WAIT_RATIO = 0.75
# Of the arrivals of an account some are always admitted: what it sends is estimated
# from these.
SHARE_MAX = 0.98
SHARE_MIN = 0.02
WAIT_MAX_S = 60.0
# Others may leave nothing, in which case a wait would have no bound.
LEFT_MIN_RATIO = 0.01
LOG_INTERVAL_S = 1.0

# Amount of each resource, multiplied by seconds.
_Work = tuple[float, float, float]


class AdmissionRow(NamedTuple):
    """Report as stored by the owner whose claim has ``epoch``.

    ``number`` rises with each report of the epoch, since a write without an answer may
    be applied after later ones. ``wait_ms`` is the expected wait of excess jobs,
    ``shares`` the share of its submissions to be refused by account.
    """

    epoch: int
    number: int
    wait_ms: int
    shares: dict[str, float]


class AdmissionReport(NamedTuple):
    """What the owner has decided at the monotonic time ``taken_s``."""

    taken_s: float
    wait_ms: int = 0
    shares: Mapping[str, float] = {}


class Arrival(NamedTuple):
    """A new job. ``slack_s``: how long it may wait and be of use to its caller.

    ``sent_count``: estimated number of submissions of which this one was admitted.
    """

    at_s: float
    account: str
    priority: int
    is_excess: bool
    work: _Work
    slack_s: float
    sent_count: float


class Backlog(NamedTuple):
    """Waiting work of a job."""

    priority: int
    work: _Work


def job_work(spec: JobSpec, excess_s: float) -> _Work:
    """
    :param excess_s: by how much tasks occupy their workers longer than estimated.
    :returns: estimated work of all steps.
    """
    return _sum(_step_work(step, step.tasks_count, excess_s) for step in spec.steps)


def waiting_work(job: Job, excess_s: float) -> _Work:
    """
    :param excess_s: by how much tasks occupy their workers longer than estimated.
    :returns: estimated work of the waiting tasks and of the steps that come after them.
    """
    waiting = job.waiting_steps()
    works = [
        _step_work(step.waiting[0].spec, len(step.waiting), excess_s)
        for step in waiting
    ]
    if len(job.spec.steps) == 1:
        return _sum(works)
    numbers = {step.waiting[0].id.step for step in waiting}
    for number, spec in enumerate(job.spec.steps):
        if number not in numbers and numbers.intersection(spec.after):
            numbers.add(number)
            works.append(_step_work(spec, spec.tasks_count, excess_s))
    return _sum(works)


def _step_work(step: StepSpec, count: int, excess_s: float) -> _Work:
    duration_s = step.estimate_ms / 1000 + excess_s
    factor = count * duration_s
    cpu, memory, gpu = step.allocation
    return cpu * factor, memory * factor, gpu * factor


def _sum(works: Iterable[_Work]) -> _Work:
    cpu = memory = gpu = 0.0
    for work in works:
        cpu += work[0]
        memory += work[1]
        gpu += work[2]
    return cpu, memory, gpu


def usable_capacity(workers: Iterable[Worker], now_s: float) -> Resources:
    """
    :returns: capacity of the workers that accept tasks, less what runs there until it
        is cancelled.
    """
    capacity = Resources()
    for worker in workers:
        if not worker.accepts_tasks(now_s):
            continue
        capacity = capacity.plus(worker.registration.capacity)
        if not worker.long_running_count:
            continue
        for run in worker.runs.values():
            if run.task.spec.is_long_running:
                capacity = capacity.minus(run.task.spec.allocation)
    return capacity


def excess_shares(
    arrivals: Iterable[Arrival], weights: Mapping[str, float]
) -> dict[str, float]:
    """
    :param weights: weight of each configured account.
    :returns: share of what each account sends that is beyond its rate. An account of
        whose arrivals none was judged to be excess is within its rate.
    """
    sent: dict[str, float] = defaultdict(float)
    beyond = set()
    for arrival in arrivals:
        sent[arrival.account] += arrival.sent_count
        if arrival.is_excess:
            beyond.add(arrival.account)
    shares = {}
    for name in beyond:
        weight = weights.get(name)
        if weight is not None:
            within = weight * ARRIVAL_WINDOW_S + max(1.0, weight * BURST_S)
            shares[name] = max(0.0, 1 - within / sent[name])
    return shares


class Outlook:
    """Wait that new excess jobs of each priority are to expect.

    Excess jobs are placed after all others of their priority, and those of more urgent
    queues before. So the work of all of these is ahead of a new one, and the capacity
    left to excess jobs is what arriving jobs of the others don't take.
    """

    def __init__(
        self,
        capacity: Resources,
        backlog: Iterable[Backlog],
        arrivals: Iterable[Arrival],
        shares: Mapping[str, float],
    ) -> None:
        """
        :param shares: share of what each account sends that is beyond its rate.
        """
        self._capacity = capacity
        self._backlog = tuple(backlog)
        self._arrivals = tuple(arrivals)
        self._shares = shares
        self._ahead: dict[int, tuple[_Work, _Work, _Work]] = {}
        self._ratios: dict[tuple[int, float, tuple[bool, ...]], float] = {}

    def _measure(self, priority: int) -> tuple[_Work, _Work, _Work]:
        """Returns the work ahead, the capacity left, and the arriving excess work."""
        measured = self._ahead.get(priority)
        if measured is None:
            ahead = _sum(b.work for b in self._backlog if b.priority <= priority)
            others = _sum(
                a.work
                for a in self._arrivals
                if (a.priority, a.is_excess) < (priority, True)
            )
            left = tuple(
                max(LEFT_MIN_RATIO * amount, amount - work / ARRIVAL_WINDOW_S)
                for amount, work in zip(self._capacity, others, strict=True)
            )
            measured = ahead, left, self._arriving_excess(priority)
            self._ahead[priority] = measured
        return measured

    def _arriving_excess(self, priority: int) -> _Work:
        """Returns the excess work that is sent each second, admitted or refused."""
        return _sum(
            tuple(amount * scale for amount in a.work)
            for a in self._arrivals
            if a.priority == priority
            for scale in (
                self._shares.get(a.account, 0.0) * a.sent_count / ARRIVAL_WINDOW_S,
            )
        )

    def wait_s(self, priority: int) -> float:
        """
        :returns: time in seconds until a new excess job would be placed.
        """
        ahead, left, _ = self._measure(priority)
        waits = [
            work / amount if amount > 0 else math.inf
            for work, amount in zip(ahead, left, strict=True)
            if work > 0
        ]
        return min(WAIT_MAX_S, max(waits, default=0.0))

    def unserved_ratio(self, priority: int, slack_s: float, work: _Work) -> float:
        """
        :param slack_s: how long a job may wait and be of use to its caller.
        :param work: estimated work of the job, which tells the resources that it needs.
        :returns: part of such excess jobs that can't be served in time; none if no work
            is ahead of them, or if the last one of the time planned for will be.
        """
        key = priority, round(slack_s, 1), tuple(amount > 0 for amount in work)
        ratio = self._ratios.get(key)
        if ratio is None:
            ratio = self._ratios[key] = self._measure_unserved(*key)
        return ratio

    def _measure_unserved(
        self, priority: int, slack_s: float, needed: tuple[bool, ...]
    ) -> float:
        measured = self._measure(priority)
        if not any(measured[0]):
            return 0.0
        served = 1.0
        for ahead, left, arriving, is_needed in zip(*measured, needed, strict=True):
            if arriving > 0 and is_needed:
                wait_s = PLANNED_WAIT_RATIO * max(0.0, slack_s)
                room = left * (PLANNING_S + wait_s) - ahead
                served = min(served, room / (arriving * PLANNING_S))
        return 1 - max(0.0, served)


def refused_shares(
    arrivals: Iterable[Arrival], outlook: Outlook, excess: Mapping[str, float]
) -> dict[str, float]:
    """
    :param excess: share of what each account sends that is beyond its rate.
    :returns: share of what each account sends that is beyond its rate and can't be
        served in time.
    """
    unserved: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        if arrival.is_excess and arrival.account in excess:
            ratio = outlook.unserved_ratio(
                arrival.priority, arrival.slack_s, arrival.work
            )
            unserved[arrival.account].append(ratio)
    shares = {}
    for name, ratios in unserved.items():
        # Rounded down, so that the share is never more than what is excess.
        share = math.floor(100 * excess[name] * sum(ratios) / len(ratios)) / 100
        if share >= SHARE_MIN:
            shares[name] = min(SHARE_MAX, share)
    return shares


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
        excess_s = self._ranking.step_excess_s
        backlog = [
            Backlog(job.queue.priority, waiting_work(job, excess_s))
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
        """Logs a change, once a second at most unless refusals begin or end."""
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
