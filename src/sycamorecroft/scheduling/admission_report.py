"""Decides which share of the submissions of each client account is to be refused."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.scheduling.account_rates import BURST_S
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, Resources, StepSpec
from sycamorecroft.scheduling.workers import Worker

# Key of the report, in the table of owners and the part of its service.
ADMISSION_KEY = "admission"
# A report is in force for this time after its arrival at an entry host.
REPORT_VALID_S = 2.0
REPORT_INTERVAL_S = 0.25
# Arrivals are counted over this time. A shorter one counts too few jobs of an account
# with a weight of 1, a longer one refuses longer after the end of a flood.
ARRIVAL_WINDOW_S = 2.0
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


def job_work(spec: JobSpec, overrun_s: float) -> _Work:
    """
    :param overrun_s: by how much tasks occupy their workers longer than estimated.
    :returns: estimated work of all steps.
    """
    return _sum(_step_work(step, step.tasks_count, overrun_s) for step in spec.steps)


def waiting_work(job: Job, overrun_s: float) -> _Work:
    """
    :param overrun_s: by how much tasks occupy their workers longer than estimated.
    :returns: estimated work of the waiting tasks and of the steps that come after them.
    """
    waiting = job.waiting_steps()
    works = [
        _step_work(step.waiting[0].spec, len(step.waiting), overrun_s)
        for step in waiting
    ]
    if len(job.spec.steps) == 1:
        return _sum(works)
    numbers = {step.waiting[0].id.step for step in waiting}
    for number, spec in enumerate(job.spec.steps):
        if number not in numbers and numbers.intersection(spec.after):
            numbers.add(number)
            works.append(_step_work(spec, spec.tasks_count, overrun_s))
    return _sum(works)


def _step_work(step: StepSpec, count: int, overrun_s: float) -> _Work:
    duration_s = step.estimate_ms / 1000 + overrun_s
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

    An excess job is placed after all other jobs of its priority and after all jobs of
    more urgent queues. So their waiting work is ahead of a new excess job, and the
    capacity left to excess jobs is what the arriving jobs among them don't use.
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
        :returns: share of such excess jobs that can't be served in time; 0 if no work
            is ahead of them, or if all that arrive within the planned time can be
            served.
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
