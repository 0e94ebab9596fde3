"""Collects changes of a service's jobs for the owner's next commit."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.scheduling.commit import Acknowledgement, Commit, JobProgress
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.pending_counts import PendingCounts
from sycamorecroft.scheduling.progress_size import DEFAULT_ROW_LIMIT_BYTES, fit_into_row
from sycamorecroft.scheduling.rows import ProgressRow, StoredRow
from sycamorecroft.scheduling.tasks import RunPhase
from sycamorecroft.store.interfaces import Row

# A transaction holds at most 100 entries. Three are the check of the owner's row, and
# the check and the put of the row of commits.
ROWS_PER_COMMIT_COUNT = 97
# Maximum number of jobs in a commit.
JOBS_PER_COMMIT_COUNT = 90
# Maximum number of counts of pending jobs in a commit, which take the place of jobs.
PENDING_PER_COMMIT_COUNT = 40
# A transaction holds at most 1 MB, in which values take 4/3 of their size (base64). The
# rest is for keys and the other rows.
PROGRESS_PER_COMMIT_BYTES = 650_000
# That a job has begun is stored with its next progress, and without that after this
# time: the second one while commits are frequent, since starts wait for theirs.
BEGIN_COMMIT_DELAY_S = 0.5
BEGIN_COMMIT_MAX_DELAY_S = 2.0
# Removing an expired job takes up to three rows of a commit.
ROWS_PER_EXPIRED_JOB_COUNT = 3


class _ChangedJob(NamedTuple):
    """A job and its progress to be stored."""

    job: Job
    progress: ProgressRow


class _BegunJob(NamedTuple):
    """A job and the monotonic time at which it was known to have begun."""

    job: Job
    begun_s: float


class _EndedJob(NamedTuple):
    """When a job ended, as monotonic time, and its row."""

    ended_s: float
    row: StoredRow


class CommitQueue:
    """Changed and expired jobs, and acknowledgements, to commit. Not thread-safe.

    :ivar has_accounts: whether the configuration has client accounts. The progress of a
        job without one then says so, which saves reads of the job's row.
    """

    def __init__(
        self,
        retention_s: float,
        ranking: JobRanking,
        row_limit_bytes: int = DEFAULT_ROW_LIMIT_BYTES,
    ) -> None:
        """
        :param retention_s: how long an ended job can be queried, in s.
        :param row_limit_bytes: largest row that the store accepts.
        """
        self._retention_s = retention_s
        self._row_limit_bytes = row_limit_bytes
        self._ranking = ranking
        self._dirty: dict[str, Job] = {}
        # Jobs that aren't stored as running yet.
        self._begun: dict[str, _BegunJob] = {}
        self._taken_s = 0.0
        self._acknowledgements: dict[str, Acknowledgement] = {}
        self._expired: list[str] = []
        self._ended: dict[str, _EndedJob] = {}
        # Rows of jobs whose removal is queued, in progress, or stored no longer ago
        # than the retention time.
        self._removed_rows: dict[str, StoredRow] = {}
        self._removed_s: dict[str, float] = {}
        self._pending = PendingCounts()
        self.has_accounts = False

    def load_pending_counts(self, rows: Iterable[Row]) -> None:
        """Loads the counts of pending jobs that a former owner stored."""
        self._pending.load(rows)

    def mark_dirty(self, job: Job) -> None:
        """Adds a job whose progress must be stored."""
        self._dirty[job.id] = job

    def mark_begun(self, job: Job, now_s: float) -> None:
        """Adds a job that has begun, which isn't stored as running yet."""
        self._begun[job.id] = _BegunJob(job, now_s)

    def _mark_begun_dirty(self, now_s: float) -> None:
        """Adds jobs that have begun for some time, as long as the commit has room."""
        is_idle = now_s - self._taken_s >= BEGIN_COMMIT_DELAY_S
        delay_s = BEGIN_COMMIT_DELAY_S if is_idle else BEGIN_COMMIT_MAX_DELAY_S
        limit_s = now_s - delay_s
        while self._begun and not self.is_full:
            job_id, begun = next(iter(self._begun.items()))
            if begun.begun_s > limit_s:
                return
            del self._begun[job_id]
            self.mark_dirty(begun.job)

    def is_dirty(self, job: Job) -> bool:
        """
        :returns: whether the job has progress that isn't in a commit yet.
        """
        return job.id in self._dirty

    def dirty_jobs(self) -> set[str]:
        """
        :returns: ids of the jobs that are to be in the next commits.
        """
        return set(self._dirty)

    @property
    def is_full(self) -> bool:
        """Whether the next commit can hold no more jobs."""
        return len(self._dirty) >= JOBS_PER_COMMIT_COUNT

    def acknowledge(self, acknowledgement: Acknowledgement) -> None:
        """Adds a finished run to be acknowledged once its effects are stored."""
        self._acknowledgements[acknowledgement.worker_id] = acknowledgement

    def discard_acknowledgement(self, worker_id: str) -> None:
        """Drops the acknowledgement of a worker whose restart has reset its numbers."""
        self._acknowledgements.pop(worker_id, None)

    def record_ended(self, job_id: str, now_s: float, row: StoredRow) -> None:
        """Records a job that has ended and has no run in progress."""
        # In the order in which they expire, also those that are recorded again.
        self._ended.pop(job_id, None)
        self._ended[job_id] = _EndedJob(now_s, row)

    def has_ended(self, job_id: str, row_version: int) -> bool:
        """
        :param row_version: version of a row of the job, which may have been read before
            the job was removed.
        :returns: whether the job has ended and is retained, or the row is that of a job
            that is removed. A later row under the same id is a new job.
        """
        if job_id in self._ended:
            return True
        removed = self._removed_rows.get(job_id)
        return removed is not None and row_version <= removed.version

    @property
    def ended_count(self) -> int:
        """Number of ended jobs that are retained."""
        return len(self._ended)

    def expire(self, now_s: float) -> None:
        """Queues the removal of jobs that ended longer ago than the retention time."""
        limit_s = now_s - self._retention_s
        self._forget_removed(limit_s)
        while self._ended:
            job_id, ended = next(iter(self._ended.items()))
            if ended.ended_s > limit_s:
                return
            del self._ended[job_id]
            self._removed_rows[job_id] = ended.row
            self._removed_s.pop(job_id, None)
            self._expired.append(job_id)

    def remove_progress(self, job_id: str) -> None:
        """Queues the rest of a removal, which a former owner has begun.

        The row of a job is deleted before its progress.
        """
        self._expired.append(job_id)

    def record_removed(self, job_id: str, now_s: float) -> None:
        """Records that the removal of a job is stored.

        A row that was read before may still arrive; the removed row's version is kept
        for the retention time, which is longer than any read.
        """
        self._removed_s[job_id] = now_s

    def _forget_removed(self, limit_s: float) -> None:
        while self._removed_s:
            job_id, removed_s = next(iter(self._removed_s.items()))
            if removed_s > limit_s:
                return
            del self._removed_s[job_id]
            self._removed_rows.pop(job_id, None)

    def take(self, jobs: Mapping[str, Job], now_s: float, now_ms: int) -> Commit | None:
        """
        :param jobs: all jobs, for the counts of those that haven't started.
        :param now_ms: Unix time.
        :returns: the next commit, or ``None`` if nothing has changed.
        """
        self._mark_begun_dirty(now_s)
        pending = self._pending.changed(
            jobs.values(), now_s, limit_count=PENDING_PER_COMMIT_COUNT
        )
        if not (self._dirty or self._acknowledgements or self._expired or pending):
            return None
        self._taken_s = now_s
        limit_count = min(JOBS_PER_COMMIT_COUNT, ROWS_PER_COMMIT_COUNT - len(pending))
        changed = self._take_changed(limit_count, now_s, now_ms)
        progress = [JobProgress(item.job.id, item.progress) for item in changed]
        free_count = limit_count - len(progress)
        expired_count = free_count // ROWS_PER_EXPIRED_JOB_COUNT
        progress += self._take_expired(expired_count, jobs)
        starts = tuple(
            run
            for item in changed
            for run in item.job.runs()
            if run.phase is RunPhase.COMMITTING
        )
        return Commit(tuple(progress), starts, self._take_acknowledgements(), pending)

    def _take_changed(
        self, limit_count: int, now_s: float, now_ms: int
    ) -> list[_ChangedJob]:
        """Prefers jobs that can meet their objective if a commit can't hold all."""
        jobs = list(self._dirty.values())
        if len(jobs) > limit_count:
            jobs.sort(key=lambda job: self._ranking.rank(job, now_s))
        taken: list[_ChangedJob] = []
        total_bytes = 0
        for job in jobs[:limit_count]:
            progress = job.progress(now_ms)
            if self.has_accounts:
                progress = progress._replace(account=job.account)
            sized = fit_into_row(progress, self._row_limit_bytes)
            total_bytes += sized.size_bytes
            if taken and total_bytes > PROGRESS_PER_COMMIT_BYTES:
                break
            taken.append(_ChangedJob(job, sized.progress))
            del self._dirty[job.id]
            self._begun.pop(job.id, None)
        return taken

    def _take_expired(
        self, count: int, jobs: Mapping[str, Job]
    ) -> Iterable[JobProgress]:
        """Leaves out jobs that were submitted again, whose rows must stay."""
        expired, self._expired = self._expired[:count], self._expired[count:]
        return [
            JobProgress(job_id, None, self._removed_rows.get(job_id))
            for job_id in expired
            if job_id not in jobs
        ]

    def _take_acknowledgements(self) -> tuple[Acknowledgement, ...]:
        """Returns none while jobs are left whose progress they may depend on."""
        if self._dirty:
            return ()
        acknowledgements = tuple(self._acknowledgements.values())
        self._acknowledgements = {}
        return acknowledgements
