"""Settings of a job controller."""

from typing import NamedTuple


class JobSettings(NamedTuple):
    """Times, and limits of the work of one step.

    ``task_lease_s`` is also how long the platform keeps a task running while no
    controller renews it.
    """

    task_lease_s: float = 30.0
    checkpoint_timeout_s: float = 10.0
    reserve_after_s: float = 60.0
    refusal_pause_s: float = 10.0
    starts_max_count: int = 100
    stops_max_count: int = 200
    rows_per_transaction_count: int = 250
    transactions_max_count: int = 4
    throttle_ratio: float = 0.5
