"""Index of the jobs of a service that have tasks to be placed."""

from collections.abc import Iterator

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.tasks import WaitingStep


class WaitingJobs:
    """Jobs with tasks that could run now and have no worker. Not thread-safe.

    A change of a job only adds the job to the index. Whether it has waiting tasks is
    determined when the index is read, so that the cost follows the changes and the
    waiting jobs rather than all jobs.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Must be called after each change that may have made a task of the job wait.

        These are the job's submission, the start of an occurrence, the end of a run and
        the completion of a step.
        """
        self._jobs[job.id] = job

    def jobs(self) -> list[Job]:
        """
        :returns: the jobs that have waiting tasks.
        """
        waiting = {job.id: job for job in self._jobs.values() if job.waiting_steps()}
        self._jobs = waiting
        return list(waiting.values())

    def steps(self) -> Iterator[WaitingStep]:
        """
        :returns: the steps that have waiting tasks, of all jobs.
        """
        for job in self.jobs():
            yield from job.waiting_steps()
