"""What has changed since the last commit of a service's owner."""

from collections.abc import Iterable, Mapping

from sycamorecroft.scheduling.commit import Acknowledgement, Commit, JobProgress
from sycamorecroft.scheduling.jobs import Job, RunPhase
from sycamorecroft.scheduling.job_ranking import job_rank
from sycamorecroft.scheduling.pending_counts import PendingCounts

JOBS_PER_COMMIT_COUNT = 90
# An expired job takes up to three rows of a commit.
ROWS_PER_EXPIRED_JOB_COUNT = 3


class CommitQueue:
    """Jobs, acknowledgements and ended jobs that wait for a commit. Not thread-safe."""

    def __init__(self, retention_s: float) -> None:
        """
        :param retention_s: how long an ended job can be asked for.
        """
        self._retention_s = retention_s
        self._dirty: dict[str, Job] = {}
        self._acknowledgements: dict[str, int] = {}
        self._expired: list[str] = []
        self._ended_s: dict[str, float] = {}
        self._pending = PendingCounts()

    def mark_dirty(self, job: Job) -> None:
        """Has the progress of a job stored."""
        self._dirty[job.id] = job

    def is_dirty(self, job: Job) -> bool:
        """
        :returns: whether progress of the job waits to be stored.
        """
        return job.id in self._dirty

    @property
    def is_full(self) -> bool:
        """Whether the next commit has no room for another job."""
        return len(self._dirty) >= JOBS_PER_COMMIT_COUNT

    def acknowledge(self, worker_id: str, number: int) -> None:
        """Has an end acknowledged once what it means is stored."""
        self._acknowledgements[worker_id] = number

    def forget_acknowledgement(self, worker_id: str) -> None:
        """The worker started again and counts its ends anew."""
        self._acknowledgements.pop(worker_id, None)

    def record_ended(self, job_id: str, now_s: float) -> None:
        """A job has ended and nothing of it runs any more."""
        self._ended_s[job_id] = now_s

    def has_ended(self, job_id: str) -> bool:
        """
        :returns: whether the job ended and is still kept.
        """
        return job_id in self._ended_s

    @property
    def ended_count(self) -> int:
        """Ended jobs that are kept."""
        return len(self._ended_s)

    def expire(self, now_s: float) -> None:
        """Has the rows of jobs removed that ended long ago."""
        limit_s = now_s - self._retention_s
        while self._ended_s:
            job_id, ended_s = next(iter(self._ended_s.items()))
            if ended_s > limit_s:
                return
            del self._ended_s[job_id]
            self._expired.append(job_id)

    def take(self, jobs: Mapping[str, Job], now_s: float, now_ms: int) -> Commit | None:
        """
        :param jobs: all jobs, for the counts of those without a start.
        :param now_ms: Unix time.
        :returns: what is to be stored now, ``None`` if there is nothing.
        """
        pending = self._pending.changed(jobs.values(), now_s)
        if not (self._dirty or self._acknowledgements or self._expired or pending):
            return None
        chosen = self._choose_jobs(now_s)
        for job in chosen:
            del self._dirty[job.id]
        entries = [JobProgress(job.id, job.progress(now_ms)) for job in chosen]
        free_count = JOBS_PER_COMMIT_COUNT - len(entries)
        entries += self._take_expired(free_count // ROWS_PER_EXPIRED_JOB_COUNT)
        starts = tuple(
            run
            for job in chosen
            for run in job.runs()
            if run.phase is RunPhase.COMMITTING
        )
        return Commit(tuple(entries), starts, self._take_acknowledgements(), pending)

    def _choose_jobs(self, now_s: float) -> list[Job]:
        """Takes jobs that can still be in time first when a commit can't hold all."""
        jobs = list(self._dirty.values())
        if len(jobs) > JOBS_PER_COMMIT_COUNT:
            jobs.sort(key=lambda job: job_rank(job, now_s))
        return jobs[:JOBS_PER_COMMIT_COUNT]

    def _take_expired(self, count: int) -> Iterable[JobProgress]:
        expired, self._expired = self._expired[:count], self._expired[count:]
        return [JobProgress(job_id, None) for job_id in expired]

    def _take_acknowledgements(self) -> tuple[Acknowledgement, ...]:
        """Takes them only when no job is left whose progress they may depend on."""
        if self._dirty:
            return ()
        taken = tuple(Acknowledgement(*item) for item in self._acknowledgements.items())
        self._acknowledgements = {}
        return taken
