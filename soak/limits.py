"""Limit of a client account, which changes during a run, and the check of its runs."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from soak.accounts import CONFIGURATION_BOUND_S

LIMITED_ACCOUNT = "south"
HIGH_LIMIT_CPU = 8000
LOW_LIMIT_CPU = 2000
# An account may run this much more than its limit, and one task.
OVERAGE_RATIO = 0.1


class _FormerLimit(NamedTuple):
    """Limit that may be in force until the monotonic time ``until_s``."""

    cpu: int
    until_s: float


class AccountLimit:
    """Limit of the processors of ``LIMITED_ACCOUNT``. Thread-safe.

    Limits and demands are in thousandths of a core.

    :ivar cpu: limit of the latest configuration.
    """

    def __init__(self, task_cpu: int) -> None:
        """
        :param task_cpu: demand of each task.
        """
        self.cpu = HIGH_LIMIT_CPU
        self._task_cpu = task_cpu
        self._former: list[_FormerLimit] = []
        self._lock = threading.Lock()

    def change(self, cpu: int, publish: Callable[[], None]) -> None:
        """Changes the limit.

        :param publish: stores the configuration with the limit; may raise an error,
            after which the limit is as before.
        """
        former_cpu = self.cpu
        with self._lock:
            self._former.append(_FormerLimit(former_cpu, float("inf")))
            self.cpu = cpu
        try:
            publish()
        except Exception:
            with self._lock:
                self.cpu = former_cpu
                self._former.pop()
            raise
        with self._lock:
            until_s = time.monotonic() + CONFIGURATION_BOUND_S
            self._former[-1] = _FormerLimit(former_cpu, until_s)

    def find_violation(
        self, account: str, running_count: int, now_s: float
    ) -> str | None:
        """
        :param running_count: number of the account's runs on all workers.
        :param now_s: monotonic time.
        :returns: by how much the runs exceed the highest limit that may be in force;
            ``None`` if they don't.
        """
        if account != LIMITED_ACCOUNT:
            return None
        with self._lock:
            former = [limit.cpu for limit in self._former if now_s < limit.until_s]
            limit_cpu = max(self.cpu, *former, 0)
        used_cpu = running_count * self._task_cpu
        if used_cpu <= (1 + OVERAGE_RATIO) * limit_cpu + self._task_cpu:
            return None
        return f"{account} runs {used_cpu} with a limit of {limit_cpu}"
