"""Contents of a transaction in which an owner stores the progress of its jobs."""

from typing import NamedTuple

from sycamorecroft.scheduling.rows import ProgressRow, StoredRow
from sycamorecroft.scheduling.tasks import Run


class JobProgress(NamedTuple):
    """Progress of one job to be stored; ``None`` deletes the job's rows.

    ``row``: row of a job to be deleted; ``None`` if it is deleted already, and only its
    progress is left.
    """

    job_id: str
    progress: ProgressRow | None
    row: StoredRow | None = None


class Acknowledgement(NamedTuple):
    """Highest number of a worker's finished runs whose effects are stored.

    Numbers start anew with each incarnation of a worker.
    """

    worker_id: str
    incarnation_ms: int
    number: int


class Commit(NamedTuple):
    """Progress to be stored, and the steps that follow once it is stored.

    ``starts`` are runs to be started and ``acknowledgements`` finished runs to be
    acknowledged after the commit. ``pending`` holds, by queue, the changed counts of
    jobs that haven't started.
    """

    jobs: tuple[JobProgress, ...]
    starts: tuple[Run, ...]
    acknowledgements: tuple[Acknowledgement, ...]
    pending: tuple[tuple[str, int], ...] = ()
