"""Judges which jobs client accounts send beyond their rates."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.scheduling.model import ClientAccount, JobSpec
from sycamorecroft.scheduling.shallow_copy import shallow_copy

# Jobs of accounts that aren't configured share the bucket of this name.
OTHER_ACCOUNTS = ""
# A bucket is full after this time without jobs.
BURST_S = 1.0
# An account with a weight of 0 or less would be served nothing for ever.
WEIGHT_MIN = 0.001
# Refilling in several steps may lack this part of a token by rounding.
ROUNDING_TOKENS = 1e-6


class Submission(NamedTuple):
    """An accepted job as its rate is judged.

    ``version``: version of the job's row, by which submissions are ordered.
    ``accepted_ms`` is Unix time.
    """

    version: int
    job_id: str
    account: str
    accepted_ms: int


def is_rated(spec: JobSpec) -> bool:
    """
    :returns: whether the job counts towards its account's rate.
    """
    return not (spec.is_scheduled or spec.is_long_running)


def account_weights(accounts: Mapping[str, ClientAccount]) -> dict[str, float]:
    """
    :returns: positive weight by account, and by :data:`OTHER_ACCOUNTS` the smallest one
        for jobs without a configured account.
    """
    weights = {
        name: max(WEIGHT_MIN, account.weight) for name, account in accounts.items()
    }
    weights[OTHER_ACCOUNTS] = min(weights.values(), default=1.0)
    return weights


class _Bucket:
    """Token bucket of an account; time is that of the account's jobs."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = self._burst
        self._at_ms = 0

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def change_rate(self, rate_per_s: float) -> None:
        """Applies another rate to later jobs."""
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._burst)

    def take(self, at_ms: int) -> bool:
        """
        :returns: whether a token was left.
        """
        if at_ms > self._at_ms:
            refill = self._rate_per_s * (at_ms - self._at_ms) / 1000
            self._tokens = min(self._burst, self._tokens + refill)
            self._at_ms = at_ms
        if self._tokens < 1 - ROUNDING_TOKENS:
            return False
        self._tokens -= 1
        return True


class AccountRates:
    """Token buckets of the accounts of a service. Not thread-safe."""

    def __init__(self) -> None:
        self._weights: dict[str, float] | None = None
        self._buckets: dict[str, _Bucket] = {}

    def apply_accounts(self, accounts: Mapping[str, ClientAccount] | None) -> None:
        """Applies the accounts of the configuration in force, if it has any."""
        self._weights = None if accounts is None else account_weights(accounts)
        weights = self._weights or {}
        for name in [name for name in self._buckets if name not in weights]:
            del self._buckets[name]
        for name, bucket in self._buckets.items():
            bucket.change_rate(weights[name])

    def take(self, submission: Submission, now_ms: int) -> bool:
        """Judges a job, whose submissions must be passed in the order of their rows.

        :param now_ms: Unix time. Acceptance times later than that are those of a clock
            that is ahead, until which the bucket wouldn't be refilled.
        :returns: whether the job is excess; never without accounts.
        """
        weights = self._weights
        if weights is None:
            return False
        name = submission.account if submission.account in weights else OTHER_ACCOUNTS
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(weights[name])
        return not bucket.take(min(submission.accepted_ms, now_ms))

    def would_exceed(self, submission: Submission, now_ms: int) -> bool:
        """
        :returns: what :meth:`take` would return, without taking a token.
        """
        twin = shallow_copy(self)
        twin._buckets = {
            name: shallow_copy(bucket) for name, bucket in self._buckets.items()
        }
        return twin.take(submission, now_ms)

    def replay(self, submissions: Iterable[Submission], now_ms: int) -> frozenset[str]:
        """Judges all stored submissions anew, from full buckets.

        :returns: ids of the jobs that are excess.
        """
        self._buckets.clear()
        ordered = sorted(submissions)
        return frozenset(item.job_id for item in ordered if self.take(item, now_ms))
