"""Settings of the job controller."""

from typing import NamedTuple


class JobSettings(NamedTuple):
    """Intervals and time-outs in s, and limits on the work of one step.

    ``task_lease_s`` is also the time for which the platform keeps a task running while
    no controller renews it. A lease is renewed after half of its term. The tasks of a
    worker are listed every ``observe_interval_s``, and in each step only while a start,
    a cancellation or a drain is in progress there. Each renewal and listing is one
    call: with 1,000 workers and 8 tasks on each, about 270 renewals and 500 listings
    per second over all daemons.
    """

    task_lease_s: float = 60.0
    observe_interval_s: float = 2.0
    checkpoint_timeout_s: float = 10.0
    reserve_after_s: float = 60.0
    refusal_pause_s: float = 10.0
    starts_max_count: int = 100
    stops_max_count: int = 200
    rows_per_transaction_count: int = 250
    transactions_max_count: int = 4
    throttle_ratio: float = 0.5
