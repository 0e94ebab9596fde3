"""Fair share of slots that each team of a service has over all urgency classes."""

from collections import Counter
from collections.abc import Mapping

DEFAULT_WEIGHT = 1.0


class FairShares:
    """Counts the requests of each team that wait or hold a slot.

    :param weights: weight of each team; others get ``DEFAULT_WEIGHT``.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._active_counts: Counter[str] = Counter()
        self._in_service_counts: Counter[str] = Counter()
        self._active_weight = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Applies new weights."""
        self._weights = dict(weights)
        self._active_weight = sum(self.weight_of(team) for team in self._active_counts)

    def weight_of(self, team: str) -> float:
        """
        :returns: weight of the team.
        """
        return self._weights.get(team, DEFAULT_WEIGHT)

    def arrive(self, team: str) -> None:
        """A request of the team waits."""
        if not self._active_counts[team]:
            self._active_weight += self.weight_of(team)
        self._active_counts[team] += 1

    def start(self, team: str) -> None:
        """A waiting request of the team got a slot."""
        self._in_service_counts[team] += 1

    def end(self, team: str) -> None:
        """A request of the team gave its slot back."""
        self._in_service_counts[team] -= 1
        if not self._in_service_counts[team]:
            del self._in_service_counts[team]
        self.leave(team)

    def leave(self, team: str) -> None:
        """A request of the team no longer waits and holds no slot."""
        self._active_counts[team] -= 1
        if not self._active_counts[team]:
            del self._active_counts[team]
            self._active_weight -= self.weight_of(team)

    def is_below(self, team: str, slots_count: int) -> bool:
        """
        :param slots_count: slots that the owner may use.
        :returns: whether the team holds less than its share among the active teams.
        """
        if not self._active_weight:
            return True
        share_count = slots_count * self.weight_of(team) / self._active_weight
        return self._in_service_counts[team] < share_count
