"""Shares of a service's capacity that are due to its client accounts."""

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from sycamorecroft.scheduling.account_rates import OTHER_ACCOUNTS
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.workers import Worker

_Fractions = tuple[float, ...]


class _Filling:
    """Progressive filling: accounts rise with their weights until one can't.

    An account that rises by a share of its dominant resource takes the others in the
    proportions of its need.
    """

    def __init__(
        self, needs: Mapping[str, _Fractions], weights: Mapping[str, float]
    ) -> None:
        """
        :param needs: what each account needs, as fractions of the capacity.
        """
        self._needs = needs
        self._weights = weights
        self._full = {name: max(need) for name, need in needs.items()}
        self._rising = deque(
            sorted(
                (name for name, full in self._full.items() if full > 0),
                key=lambda name: (self._full[name] / weights[name], name),
            )
        )
        self._settled = [0.0] * len(Resources())
        self._slopes = self._measure_slopes()
        self.due = {name: 0.0 for name in needs}

    def run(self) -> dict[str, float]:
        """
        :returns: due share of each account's dominant resource.
        """
        while self._rising:
            name = self._rising[0]
            met_level = self._full[name] / self._weights[name]
            levels = [self._exhausted_level(n) for n in range(len(self._slopes))]
            lowest = min(levels)
            if met_level <= lowest:
                self._rising.popleft()
                self._settle(name, self._full[name])
            else:
                self._settle_users(levels.index(lowest), lowest)
        return self.due

    def _measure_slopes(self) -> list[float]:
        """Returns by how much each resource is taken for each unit of the level."""
        slopes = [0.0] * len(Resources())
        for name in self._rising:
            factor = self._weights[name] / self._full[name]
            for number, fraction in enumerate(self._needs[name]):
                slopes[number] += factor * fraction
        return slopes

    def _exhausted_level(self, number: int) -> float:
        if self._slopes[number] <= 0:
            return math.inf
        return max(0.0, 1 - self._settled[number]) / self._slopes[number]

    def _settle(self, name: str, share: float) -> None:
        self.due[name] = share
        factor = self._weights[name] / self._full[name]
        for number, fraction in enumerate(self._needs[name]):
            self._settled[number] += share / self._full[name] * fraction
            self._slopes[number] -= factor * fraction

    def _settle_users(self, number: int, level: float) -> None:
        """Settles all accounts that need a resource of which nothing is left."""
        rising, self._rising = self._rising, deque()
        for name in rising:
            if self._needs[name][number] > 0:
                self._settle(name, level * self._weights[name])
            else:
                self._rising.append(name)
        self._slopes = self._measure_slopes()


def dominant_share(amount: Resources, capacity: Resources) -> float:
    """
    :returns: largest fraction of a resource's capacity.
    """
    return max(_fractions(amount, capacity))


def _fractions(amount: Resources, capacity: Resources) -> _Fractions:
    """A resource of which there is none counts as not needed: no task can get it."""
    return tuple(
        used / whole if whole > 0 else 0.0
        for used, whole in zip(amount, capacity, strict=True)
    )


def due_shares(
    needs: Mapping[str, Resources],
    weights: Mapping[str, float],
    capacity: Resources,
) -> dict[str, float]:
    """Divides the capacity by weighted max-min fairness over dominant shares.

    :param needs: what each account uses and waits for.
    :param weights: positive weight of each of these accounts.
    :returns: share of its dominant resource that is due to each account, at most that
        of its need.
    """
    fractions = {name: _fractions(need, capacity) for name, need in needs.items()}
    return _Filling(fractions, weights).run()


class PlacementShares:
    """Due shares of accounts for one placement, and the shares in use meanwhile."""

    def __init__(
        self,
        usage: AccountUsage,
        weights: Mapping[str, float],
        jobs: Sequence[Job],
        workers: Iterable[Worker],
        now_s: float,
    ) -> None:
        """
        :param usage: usage of the accounts, which changes with each placed task.
        :param weights: weight by account and of :data:`OTHER_ACCOUNTS`.
        :param jobs: jobs with waiting tasks.
        :param workers: all workers; only those that accept tasks count.
        """
        self._usage = usage
        self._weights = weights
        names = {job.account for job in jobs}.union(usage.accounts())
        self._others = sorted(name for name in names if name not in weights)
        self._elsewhere: dict[str, Resources] = {}
        self.capacity = self._measure_capacity(workers, now_s)
        needs = {self._group(name): Resources() for name in names}
        for name in needs:
            needs[name] = self._used(name)
        for job in jobs:
            name = self._group(job.account)
            needs[name] = needs[name].plus(job.waiting_allocation())
        self.due = due_shares(needs, weights, self.capacity)
        self._is_met = {
            name: due >= dominant_share(needs[name], self.capacity)
            for name, due in self.due.items()
        }
        self._in_use: dict[str, tuple[Resources, float]] = {}

    def _group(self, account: str) -> str:
        return account if account in self._weights else OTHER_ACCOUNTS

    def _measure_capacity(self, workers: Iterable[Worker], now_s: float) -> Resources:
        """Returns what accepts tasks, and notes what runs elsewhere."""
        capacity = Resources()
        for worker in workers:
            if worker.accepts_tasks(now_s):
                capacity = capacity.plus(worker.registration.capacity)
                continue
            for run in worker.runs.values():
                name = self._group(run.task.job.account)
                elsewhere = self._elsewhere.get(name, Resources())
                self._elsewhere[name] = elsewhere.plus(run.task.spec.allocation)
        return capacity

    def _used(self, name: str) -> Resources:
        used = self._usage.allocated(name)
        if name == OTHER_ACCOUNTS:
            for other in self._others:
                used = used.plus(self._usage.allocated(other))
        elsewhere = self._elsewhere.get(name)
        return used if elsewhere is None else used.minus(elsewhere)

    def in_use(self, account: str) -> float:
        """
        :returns: dominant share that the account uses.
        """
        name = self._group(account)
        if name == OTHER_ACCOUNTS:
            return dominant_share(self._used(name), self.capacity)
        allocated = self._usage.allocated(name)
        cached = self._in_use.get(name)
        if cached is not None and cached[0] is allocated:
            return cached[1]
        share = dominant_share(self._used(name), self.capacity)
        self._in_use[name] = (allocated, share)
        return share

    def due_share(self, account: str) -> float:
        """
        :returns: dominant share that is due to the account.
        """
        return self.due[self._group(account)]

    def has_room(self, account: str, demand: Resources) -> bool:
        """
        :returns: whether the account stays within its due share with that demand, or
            uses nothing.
        """
        name = self._group(account)
        if self._is_met[name]:
            return True
        in_use = self.in_use(account)
        if in_use <= 0 or in_use >= self.due[name]:
            return in_use <= 0
        used = self._used(name).plus(demand)
        return dominant_share(used, self.capacity) <= self.due[name]

    def is_below(self, account: str, overshoot: float = 0.0) -> bool:
        """
        :param overshoot: share of the capacity beyond the due share.
        :returns: whether the account uses less than its due share; always if it uses
            nothing, or if its due share meets its need.
        """
        name = self._group(account)
        if self._is_met[name]:
            return True
        in_use = self.in_use(account)
        return in_use <= 0 or in_use < self.due[name] + overshoot
