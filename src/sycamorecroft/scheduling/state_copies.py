"""Copies of the jobs and workers that a placement may change."""

from collections.abc import Callable, Iterable, Mapping

from sycamorecroft.errors import CopyLimitError
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.tasks import Task, WaitingStep
from sycamorecroft.scheduling.workers import Worker


class StateCopies:
    """Copies by their originals.

    Runs, specifications and registrations are shared with the originals, since a
    placement doesn't change them.

    :ivar jobs: copies of the jobs with waiting tasks, by id.
    :ivar tasks: copy of each task of these jobs.
    :ivar steps: copy of each waiting step, by the ``id()`` of the step.
    :ivar workers: copy of each worker.
    :ivar workers_by_id: these copies, in the order of the originals.
    """

    def __init__(
        self,
        jobs: Iterable[Job],
        workers: Mapping[str, Worker],
        usage: AccountUsage,
        is_over: Callable[[], bool],
    ) -> None:
        """
        :param usage: copy of the usage of the service's accounts.
        :param is_over: returns whether copying has taken too long.
        :raises CopyLimitError: when it has.
        """
        self.workers = {worker: worker.copy() for worker in workers.values()}
        self.workers_by_id = {
            name: self.workers[worker] for name, worker in workers.items()
        }
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[Task, Task] = {}
        self.steps: dict[int, WaitingStep] = {}
        for job in jobs:
            if is_over():
                raise CopyLimitError("copying the jobs of the service takes too long")
            # Determined before, so that the copy of each step can be found.
            steps = job.waiting_steps()
            twin = self.jobs[job.id] = job.copy(usage, self.tasks)
            self.steps.update(zip(map(id, steps), twin.waiting_steps(), strict=True))
