"""Transactions by which an owner stores the progress of its jobs."""

from typing import NamedTuple

from sycamorecroft.scheduling.jobs import Run
from sycamorecroft.scheduling.rows import ProgressRow


class JobProgress(NamedTuple):
    """Progress of one job to be stored; ``None`` removes the job and its rows."""

    job_id: str
    progress: ProgressRow | None


class Acknowledgement(NamedTuple):
    """Highest end of a worker whose effects are stored."""

    worker_id: str
    number: int


class Commit(NamedTuple):
    """Progress to be stored, and what may follow once it is.

    :param pending: counts of jobs without a start by queue, where they changed.
    """

    jobs: tuple[JobProgress, ...]
    starts: tuple[Run, ...]
    acknowledgements: tuple[Acknowledgement, ...]
    pending: tuple[tuple[str, int], ...] = ()
