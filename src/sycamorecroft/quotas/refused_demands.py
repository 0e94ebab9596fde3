"""Demands of tasks that were refused a short time ago because of a limit."""

from sycamorecroft.scheduling.model import Resources

# Refused demands are forgotten if they aren't refused again for one to two times this.
REFUSAL_MEMORY_S = 1.0


class RefusedDemands:
    """Smallest refused demand of each account. Not thread-safe.

    Demands are compared by cores, then memory, then accelerators.
    """

    def __init__(self) -> None:
        self._latest: dict[str, Resources] = {}
        self._former: dict[str, Resources] = {}
        self._next_forget_s = 0.0

    def note(self, account: str, demand: Resources) -> None:
        """Notes that a task, or a gang, of this demand was refused."""
        self._latest[account] = min(self._latest.get(account, demand), demand)

    def smallest(self, account: str) -> Resources | None:
        """
        :returns: smallest demand that was refused, ``None`` if none was.
        """
        demands = [
            refused[account]
            for refused in (self._latest, self._former)
            if account in refused
        ]
        return min(demands, default=None)

    def forget(self, now_s: float) -> None:
        """Forgets demands that weren't refused again for some time."""
        if now_s >= self._next_forget_s:
            self._former, self._latest = self._latest, {}
            self._next_forget_s = now_s + REFUSAL_MEMORY_S

    def copy(self) -> "RefusedDemands":
        """
        :returns: an independent copy.
        """
        twin = RefusedDemands()
        twin._latest = self._latest.copy()
        twin._former = self._former.copy()
        twin._next_forget_s = self._next_forget_s
        return twin
