"""Rate limits of table service calls by purpose (section 5.5 of docs/design.md)."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.interfaces import StorePurpose

# A bucket holds at most the tokens of this many seconds. All daemons together can then
# make at most twice the budgeted calls in any one second, after a second without calls.
BURST_S = 1.0

# A bucket with a rate below one call per second must still be able to hold one token.
MIN_BURST_COUNT = 1.0


class StoreRate(NamedTuple):
    """Calls per second of the whole system; a transaction counts as one write."""

    writes_per_s: float
    reads_per_s: float


SYSTEM_RATES: Mapping[StorePurpose, StoreRate] = MappingProxyType(
    {
        StorePurpose.CLAIMS: StoreRate(150, 100),
        StorePurpose.JOBS: StoreRate(60, 60),
        StorePurpose.REGISTRATION: StoreRate(5, 0),
        StorePurpose.LEASES: StoreRate(5, 10),
        StorePurpose.POOLS: StoreRate(20, 50),
        StorePurpose.CONFIGURATION: StoreRate(5, 20),
        StorePurpose.VIEW: StoreRate(0, 60),
        StorePurpose.OPERATORS: StoreRate(10, 100),
    }
)


class TokenBucket:
    """Token bucket that starts full. Not thread-safe.

    :param rate_per_s: tokens added per second; a rate of 0 never allows a call.
    :param burst_count: capacity of the bucket in tokens.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, rate_per_s: float, burst_count: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst_count = burst_count if rate_per_s > 0 else 0.0
        self._tokens_count = self._burst_count
        self._updated_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """
        :param now_s: monotonic time in seconds.
        :returns: whether a token was available; it has then been consumed.
        """
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s += elapsed_s
        self._tokens_count = min(
            self._burst_count, self._tokens_count + elapsed_s * self._rate_per_s
        )
        if self._tokens_count < 1.0:
            return False
        self._tokens_count -= 1.0
        return True


class StoreBudget:
    """A daemon's share of the store budget. Not thread-safe.

    :param share_ratio: the daemon's share of each purpose, e.g. 1/9.
    :param shares: shares of purposes that differ from ``share_ratio``, e.g. 1.0 for a
        purpose whose calls are all made by the daemon that holds a controller lease.
    :param rates: rates of the whole system.
    :param now_s: monotonic time in seconds.
    """

    def __init__(
        self,
        share_ratio: float,
        now_s: float,
        *,
        shares: Mapping[StorePurpose, float] = MappingProxyType({}),
        rates: Mapping[StorePurpose, StoreRate] = SYSTEM_RATES,
    ) -> None:
        self._buckets: dict[tuple[StorePurpose, StoreOperation], TokenBucket] = {}
        for purpose, rate in rates.items():
            ratio = shares.get(purpose, share_ratio)
            writes = _create_bucket(rate.writes_per_s * ratio, now_s)
            reads = _create_bucket(rate.reads_per_s * ratio, now_s)
            self._buckets[purpose, StoreOperation.WRITE] = writes
            self._buckets[purpose, StoreOperation.READ] = reads

    def try_acquire(
        self, purpose: StorePurpose, operation: StoreOperation, now_s: float
    ) -> bool:
        """
        :param now_s: monotonic time in seconds.
        :returns: whether the call is within the budget; it has then been counted
            against it.
        """
        return self._buckets[purpose, operation].try_acquire(now_s)


def _create_bucket(rate_per_s: float, now_s: float) -> TokenBucket:
    burst_count = max(MIN_BURST_COUNT, rate_per_s * BURST_S)
    return TokenBucket(rate_per_s, burst_count, now_s)
