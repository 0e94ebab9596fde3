"""Resources that the runs of each client account use in a service."""

from sycamorecroft.scheduling.model import Resources


class AccountUsage:
    """Sums the demands of an account's runs that aren't known to have ended.

    Tasks report when they get or lose a run, so that the sums follow what the owner
    knows of the runs rather than what it has decided. Not thread-safe.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._runs_count: dict[str, int] = {}

    def add(self, account: str, demand: Resources) -> None:
        """Adds a run."""
        self._used[account] = self.used(account).plus(demand)
        self._runs_count[account] = self._runs_count.get(account, 0) + 1

    def remove(self, account: str, demand: Resources) -> None:
        """Removes a run that was added before."""
        self._used[account] = self.used(account).minus(demand)
        self._runs_count[account] -= 1
        if not self._runs_count[account]:
            del self._used[account], self._runs_count[account]

    def used(self, account: str) -> Resources:
        """
        :returns: demand of all runs of the account.
        """
        return self._used.get(account, Resources())

    def accounts(self) -> list[str]:
        """
        :returns: accounts with runs.
        """
        return list(self._used)
