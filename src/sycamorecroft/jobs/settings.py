"""Settings of a job controller."""

from typing import NamedTuple


class JobSettings(NamedTuple):
    """Times, and limits of the work of one step.

    ``task_lease_s`` is also how long the platform keeps a task running while no
    controller renews it. A lease is renewed after half of its term, and the tasks of a
    worker are listed every ``observe_interval_s``, more often only when something is
    under way there: each takes a call, at 1,000 workers with 8 tasks each some 270 and
    500 calls a second over all daemons.
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
