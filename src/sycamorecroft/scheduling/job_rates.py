"""Judges the jobs of a service by the rates of their client accounts."""

from collections.abc import Collection, Iterable, Mapping

import structlog

from sycamorecroft.metrics import JOB_RATES
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.account_rates import AccountRates, Submission, is_rated
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import ClientAccount
from sycamorecroft.scheduling.stored_jobs import StoredJob, ended_submissions

_log = structlog.get_logger(__name__)

# Clocks of entry hosts differ by less than this. Ended jobs that ended longer than
# this before the oldest active job was accepted didn't compete with it.
RATE_MARGIN_MS = 5000


class JobRates:
    """Tells which jobs are beyond their account's rate. Not thread-safe."""

    def __init__(self, service: str, epoch: int, recorder: Recorder) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._recorder = recorder
        self._rates = AccountRates()
        self._has_accounts = False

    def apply_accounts(self, accounts: Mapping[str, ClientAccount] | None) -> None:
        """Applies the accounts of the configuration in force, if it has any."""
        self._has_accounts = accounts is not None
        self._rates.apply_accounts(accounts)

    def judge(self, job: Job, now_ms: int) -> None:
        """Judges whether a new job is beyond its account's rate.

        :param now_ms: Unix time.
        """
        if not self._has_accounts or not is_rated(job.spec):
            return
        job.is_excess = self._rates.take(_submission(job), now_ms)
        rate = "beyond" if job.is_excess else "within"
        self._recorder.count(JOB_RATES, service=self._service, rate=rate)

    def judge_stored(
        self, jobs: Collection[Job], stored: Iterable[StoredJob], now_ms: int
    ) -> None:
        """Judges jobs as a former owner did, by all that competed for their rate.

        :param stored: all stored jobs, of which those that have ended count as well.
        :param now_ms: Unix time.
        """
        if not self._has_accounts:
            return
        rated = [job for job in jobs if is_rated(job.spec)]
        active = [_submission(job) for job in rated if job.is_active]
        oldest_ms = min((item.accepted_ms for item in active), default=now_ms)
        ended = list(ended_submissions(stored, oldest_ms - RATE_MARGIN_MS))
        excess = self._rates.replay([*active, *ended], now_ms)
        for job in rated:
            job.is_excess = job.id in excess
        _log.info(
            "stored_jobs_judged",
            service=self._service,
            epoch=self._epoch,
            active_jobs_count=len(active),
            ended_jobs_count=len(ended),
            excess_jobs_count=sum(job.is_excess for job in rated),
        )

    def would_exceed(self, job: Job, now_ms: int) -> bool:
        """
        :param now_ms: Unix time.
        :returns: whether a new job would be beyond its account's rate.
        """
        if not self._has_accounts or not is_rated(job.spec):
            return False
        return self._rates.would_exceed(_submission(job), now_ms)


def _submission(job: Job) -> Submission:
    return Submission(job.stored_row.version, job.id, job.account, job.accepted_ms)
