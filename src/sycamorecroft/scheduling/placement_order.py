"""Order in which the waiting jobs of a service get their turn in a placement."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import (
    Callable,
    Collection,
    Generator,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from itertools import groupby

import structlog

from sycamorecroft.metrics import SHARE_DEFERRALS
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.capacity_holds import CapacityHolds, PassedOver
from sycamorecroft.scheduling.fair_shares import PlacementShares
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.scheduling.tasks import Task, WaitingStep
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# A step that is placed in part may be completed up to this share of the capacity beyond
# its account's share: eight tasks of nine cores are 7% of 1,020 cores, and less
# than a whole step would end no job in time.
STEP_OVERSHOOT_RATIO = 0.1
DEFERRAL_LOG_INTERVAL_S = 1.0
LOGGED_ACCOUNTS_COUNT = 5


_Allows = Callable[[WaitingStep, bool], bool]
_Rank = tuple[float | str, ...]


class Turn:
    """A job whose tasks may be placed now. Valid until the next turn is requested.

    ``allows`` tells, before a task of a step is assigned, whether it may be, given
    whether others of the step were assigned in this turn; ``None`` if all may be.
    ``held_workers``: workers that are held for a step of the job, which is to be placed
    there; empty if the job's steps are placed on workers that aren't held.
    ``unplaced``: with ``allows``, the first tasks of the steps of which a task fits
    nowhere.
    """

    __slots__ = ("allows", "held_workers", "job", "steps", "unplaced")

    def __init__(
        self,
        job: Job,
        steps: tuple[WaitingStep, ...],
        allows: _Allows | None = None,
        held_workers: tuple[Worker, ...] = (),
    ) -> None:
        self.job = job
        self.steps = steps
        self.allows = allows
        self.held_workers = held_workers
        self.unplaced: tuple[Task, ...] = ()

    def allows_step(self, step: WaitingStep) -> bool:
        """
        :returns: whether the first of the step's tasks may be assigned.
        """
        return self.allows is None or self.allows(step, False)

    def allowed_tasks(self, step: WaitingStep) -> Iterator[Task]:
        """Yields the step's waiting tasks as far as they may be assigned.

        Each must be assigned, if it is to be, before the next one is taken.
        """
        is_begun = False
        for task in step.waiting:
            if self.allows is not None and not self.allows(step, is_begun):
                return
            yield task
            # A task that waits for a worker near its data has no run.
            is_begun = is_begun or task.run is not None

    def record_unplaced(self, step: WaitingStep) -> None:
        """Records that a task of the step, which may be assigned, fits nowhere."""
        if self.allows is not None:
            self.unplaced += (step.tasks[0],)


class PlacementOrder(ABC):
    """Decides which jobs get their turn, in which order."""

    @abstractmethod
    def turns(
        self, jobs: Sequence[Job], workers: Mapping[str, Worker], now_s: float
    ) -> Iterator[Turn]:
        """
        :param jobs: jobs with waiting tasks.
        :param workers: all workers of the service.
        :returns: the turns of one placement. The tasks of each have to be placed before
            the next one is requested.
        """

    @abstractmethod
    def copy(
        self, jobs: Mapping[str, Job], ranking: JobRanking, usage: AccountUsage
    ) -> "PlacementOrder":
        """
        :param jobs: copies of the jobs with waiting tasks, by id.
        :param ranking: copy of the ranking.
        :param usage: copy of the usage of the service's accounts.
        :returns: an independent copy that records no metrics.
        """

    @abstractmethod
    def held(self) -> Collection[str]:
        """
        :returns: ids of the workers that are held for steps of the latest turns.
        """


class RankOrder(PlacementOrder):
    """Gives jobs their turns by rank alone."""

    def __init__(self, ranking: JobRanking) -> None:
        self._ranking = ranking

    def turns(
        self, jobs: Sequence[Job], workers: Mapping[str, Worker], now_s: float
    ) -> Iterator[Turn]:
        ranking = self._ranking
        turn: Turn | None = None
        for job in sorted(jobs, key=lambda job: ranking.rank(job, now_s)):
            if turn is None:
                turn = Turn(job, job.waiting_steps())
            else:
                # A turn of its own for each job costs a tenth of a placement.
                turn.job, turn.steps = job, job.waiting_steps()
            yield turn

    def copy(
        self, jobs: Mapping[str, Job], ranking: JobRanking, usage: AccountUsage
    ) -> "RankOrder":
        return RankOrder(ranking)

    def held(self) -> Collection[str]:
        return ()


class FairOrder(PlacementOrder):
    """Ranks jobs of accounts that have reached their due share behind their group.

    A group are jobs of equal rank but for objective and id. In each, the first turns
    are those of jobs with which their account stays within its share, the next those of
    accounts below their share, and the last those of the others. Steps that are passed
    over get workers of their own.

    :ivar holds: workers that are held for steps.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        ranking: JobRanking,
        usage: AccountUsage,
        recorder: Recorder,
    ) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._ranking = ranking
        self._usage = usage
        self._recorder = recorder
        self.holds = CapacityHolds(service, epoch, recorder)
        self._weights: Mapping[str, float] = {}
        self._logged_s = 0.0

    def apply_weights(self, weights: Mapping[str, float]) -> None:
        """Applies the weights of the accounts in force and of other accounts."""
        self._weights = weights

    def copy(
        self, jobs: Mapping[str, Job], ranking: JobRanking, usage: AccountUsage
    ) -> "FairOrder":
        twin = shallow_copy(self)
        twin._ranking = ranking
        twin._usage = usage
        twin._recorder = NullRecorder()
        twin.holds = self.holds.copy(jobs)
        twin._weights = dict(self._weights)
        return twin

    def held(self) -> Collection[str]:
        return self.holds.held

    def shares(
        self, jobs: Sequence[Job], workers: Mapping[str, Worker], now_s: float
    ) -> PlacementShares:
        """
        :param jobs: jobs with waiting tasks.
        :param workers: all workers of the service.
        :returns: what is due to the accounts, and what they use.
        """
        return PlacementShares(
            self._usage, self._weights, jobs, workers.values(), now_s
        )

    def turns(
        self, jobs: Sequence[Job], workers: Mapping[str, Worker], now_s: float
    ) -> Iterator[Turn]:
        self.holds.refresh(workers, now_s)
        shares = self.shares(jobs, workers, now_s)
        ranked = sorted((self._ranking.rank(job, now_s), job) for job in jobs)
        return self._turns(_FairTurns(shares, now_s), ranked, workers, now_s)

    def _turns(
        self,
        fair: "_FairTurns",
        ranked: Iterable[tuple[_Rank, Job]],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> Iterator[Turn]:
        for hold in self.holds.holds():
            yield Turn(
                hold.job,
                hold.waiting_steps(),
                held_workers=tuple(workers[name] for name in hold.worker_ids),
            )
        for group, members in groupby(ranked, key=lambda item: item[0][:-2]):
            yield from fair.of_group([job for _, job in members], group)
        if fair.deferred:
            self._log_deferrals(fair.deferred, fair.shares, now_s)
        self.holds.add(fair.passed_over, workers, now_s)

    def _log_deferrals(
        self, accounts: Counter[str], shares: PlacementShares, now_s: float
    ) -> None:
        """Counts, and logs once a second at most, that shares were reached."""
        self._recorder.count(SHARE_DEFERRALS, service=self._service)
        if now_s - self._logged_s < DEFERRAL_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        _log.info(
            "jobs_deferred_by_share",
            service=self._service,
            epoch=self._epoch,
            jobs_count=accounts.total(),
            accounts_count=len(accounts),
            sharing_accounts_count=len(shares.due),
            capacity_cpu_millicores=shares.capacity.cpu_millicores,
            largest={
                name: {
                    "jobs_count": jobs_count,
                    "due_share": round(shares.due_share(name), 4),
                    "share_in_use": round(shares.in_use(name), 4),
                }
                for name, jobs_count in accounts.most_common(LOGGED_ACCOUNTS_COUNT)
            },
        )


class _FairTurns:
    """Turns of one placement.

    :ivar deferred: number of jobs, by account, that got their turn beyond its share.
    """

    def __init__(self, shares: PlacementShares, now_s: float) -> None:
        self.shares = shares
        self.passed_over = PassedOver(now_s)
        self.deferred: Counter[str] = Counter()

    def of_group(self, jobs: Sequence[Job], group: _Rank) -> Iterator[Turn]:
        """Yields the turns of jobs of equal rank but for objective and id.

        :param jobs: the jobs, by objective.
        """
        exceeding: list[tuple[int, Job]] = []
        over: list[tuple[int, Job]] = []
        for number, job in enumerate(jobs):
            is_left = yield from self._limited_turn(job, self._stays_within, group)
            if is_left:
                is_below = self.shares.is_below(job.account)
                (exceeding if is_below else over).append((number, job))
        for number, job in exceeding:
            is_left = yield from self._limited_turn(job, self._is_below, group)
            if is_left:
                over.append((number, job))
        for _, job in sorted(over):
            steps = job.waiting_steps()
            self.deferred[job.account] += 1
            yield Turn(job, steps)
            self.passed_over.record_turn(steps, job.waiting_steps(), group)

    def _limited_turn(
        self, job: Job, allows: _Allows, group: _Rank
    ) -> Generator[Turn, None, bool]:
        """Yields the turn of a job as far as its account's share allows it.

        :returns: whether tasks are left because of the share.
        """
        steps = job.waiting_steps()
        if not any(allows(step, False) for step in steps):
            return bool(steps)
        turn = Turn(job, steps, allows)
        yield turn
        left = job.waiting_steps()
        if left is steps and len(turn.unplaced) == len(steps):
            # In a full pool, this is what happens to most jobs.
            self.passed_over.record_left(job, left, group)
            return False
        self.passed_over.record_turn(steps, left, group)
        # Others wait for a worker near their data, or are beyond the share.
        unplaced = [step for step in left if step.tasks[0] in turn.unplaced]
        self.passed_over.record_left(job, unplaced, group)
        return any(
            step.tasks[0] not in turn.unplaced and not allows(step, False)
            for step in left
        )

    def _stays_within(self, step: WaitingStep, is_begun: bool) -> bool:
        """Returns whether the account stays within its share with the whole step.

        A step that has been begun may exceed the share so far that it is completed, as
        may that of an account which uses nothing.
        """
        task = step.tasks[0]
        if is_begun or _is_begun(step):
            return self.shares.is_below(task.job.account, STEP_OVERSHOOT_RATIO)
        demand = task.spec.allocation.times(len(step.tasks))
        return self.shares.has_room(task.job.account, demand)

    def _is_below(self, step: WaitingStep, is_begun: bool) -> bool:
        """Returns whether the account is below its share, which the step may exceed."""
        is_begun = is_begun or _is_begun(step)
        overshoot = STEP_OVERSHOOT_RATIO if is_begun else 0.0
        return self.shares.is_below(step.tasks[0].job.account, overshoot)


def _is_begun(step: WaitingStep) -> bool:
    return len(step.waiting) < len(step.tasks)
