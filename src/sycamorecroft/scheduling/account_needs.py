"""What the client accounts of a service need."""

from collections.abc import Iterable

from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.tasks import WaitingStep
from sycamorecroft.scheduling.workers import Worker


def account_needs(
    usage: AccountUsage, steps: Iterable[WaitingStep]
) -> dict[str, Resources]:
    """
    :param steps: all steps that have waiting tasks.
    :returns: demand of the runs and waiting tasks of each account that has some. Jobs
        without an account are left out.
    """
    needs = {account: usage.used(account) for account in usage.accounts() if account}
    for step in steps:
        account = step.tasks[0].job.account
        if account:
            waiting = step.tasks[0].spec.demand.times(len(step.waiting))
            needs[account] = needs.get(account, Resources()).plus(waiting)
    return needs


def pool_capacity(workers: Iterable[Worker]) -> Resources:
    """
    :returns: capacity of all registered workers of the service.
    """
    capacity = Resources()
    for worker in workers:
        if worker.is_registered:
            capacity = capacity.plus(worker.registration.capacity)
    return capacity
