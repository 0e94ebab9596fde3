"""Resources that the runs of each client account use in a service."""

from sycamorecroft.scheduling.model import Resources, StepSpec

_NOTHING = Resources()


class AccountUsage:
    """Sums the resources of an account's runs that aren't known to have ended.

    Tasks report when they get or lose a run, so that the sums follow what the owner
    knows of the runs rather than what it has decided. Not thread-safe.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._allocated: dict[str, Resources] = {}
        self._runs_count: dict[str, int] = {}

    def copy(self) -> "AccountUsage":
        """
        :returns: an independent copy.
        """
        twin = AccountUsage()
        twin._used = self._used.copy()
        twin._allocated = self._allocated.copy()
        twin._runs_count = self._runs_count.copy()
        return twin

    def add(self, account: str, spec: StepSpec) -> None:
        """Adds a run of a task of the step."""
        self._used[account] = self.used(account).plus(spec.demand)
        self._allocated[account] = self.allocated(account).plus(spec.allocation)
        self._runs_count[account] = self._runs_count.get(account, 0) + 1

    def remove(self, account: str, spec: StepSpec) -> None:
        """Removes a run that was added before."""
        self._used[account] = self.used(account).minus(spec.demand)
        self._allocated[account] = self.allocated(account).minus(spec.allocation)
        self._runs_count[account] -= 1
        if not self._runs_count[account]:
            del self._used[account], self._allocated[account]
            del self._runs_count[account]

    def used(self, account: str) -> Resources:
        """
        :returns: demand of all runs of the account.
        """
        return self._used.get(account, Resources())

    def allocated(self, account: str) -> Resources:
        """
        :returns: what is set aside on workers for all runs of the account; the same
            object until that changes.
        """
        return self._allocated.get(account, _NOTHING)

    def accounts(self) -> list[str]:
        """
        :returns: accounts with runs.
        """
        return list(self._used)
