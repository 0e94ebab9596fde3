"""Interface by which the placement respects the limits of client accounts."""

from abc import ABC, abstractmethod

from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import Resources


class QuotaGate(ABC):
    """Tells which accounts may get further runs. Not thread-safe."""

    @abstractmethod
    def allows(self, account: str, demand: Resources, count: int = 1) -> bool:
        """Asks whether tasks may start.

        A refusal is recorded as waiting demand of the account.

        :param demand: demand of one more task.
        :param count: number of such tasks that start together or not at all.
        :returns: whether the account may be assigned these tasks now, in addition to
            all of its runs.
        """

    @abstractmethod
    def is_limited(self, account: str) -> bool:
        """
        :returns: whether the account's limit is used up by runs and by grants of other
            services, so that more workers would not help its waiting tasks.
        """

    @abstractmethod
    def copy(self, usage: AccountUsage) -> "QuotaGate":
        """
        :param usage: copy of the usage of the service's accounts.
        :returns: an independent copy, for a placement that is only tried out.
        """


class NoQuotas(QuotaGate):
    """Gate of a configuration without client accounts."""

    def allows(self, account: str, demand: Resources, count: int = 1) -> bool:
        return True

    def is_limited(self, account: str) -> bool:
        return False

    def copy(self, usage: AccountUsage) -> "NoQuotas":
        return self
