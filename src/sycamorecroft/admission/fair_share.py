"""Fair share of a service's slots for each team, across all urgency classes."""

from collections import Counter
from collections.abc import Mapping

DEFAULT_WEIGHT = 1.0


class FairShares:
    """Counts the requests of each team that wait for a slot or hold one.

    :param weights: weight of each team; others get ``DEFAULT_WEIGHT``.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._request_counts: Counter[str] = Counter()
        self._in_service_counts: Counter[str] = Counter()
        self._active_weight = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """
        :param weights: weight of each team; others get ``DEFAULT_WEIGHT``.
        """
        self._weights = dict(weights)
        self._active_weight = sum(self.weight_of(team) for team in self._request_counts)

    def weight_of(self, team: str) -> float:
        return self._weights.get(team, DEFAULT_WEIGHT)

    def add(self, team: str) -> None:
        """Counts a request of the team that starts to wait."""
        if not self._request_counts[team]:
            self._active_weight += self.weight_of(team)
        self._request_counts[team] += 1

    def start(self, team: str) -> None:
        """Counts a waiting request of the team as holding a slot."""
        self._in_service_counts[team] += 1

    def finish(self, team: str) -> None:
        """Removes a request of the team that has released its slot."""
        self._in_service_counts[team] -= 1
        if not self._in_service_counts[team]:
            del self._in_service_counts[team]
        self.remove(team)

    def remove(self, team: str) -> None:
        """Removes a request of the team that holds no slot."""
        self._request_counts[team] -= 1
        if not self._request_counts[team]:
            del self._request_counts[team]
            self._active_weight -= self.weight_of(team)

    def is_below_share(self, team: str, slots_count: int) -> bool:
        """
        :param slots_count: slots that the queue owner may use.
        :returns: whether the team holds fewer slots than its share among the teams
            with requests.
        """
        if not self._active_weight:
            return True
        share_count = slots_count * self.weight_of(team) / self._active_weight
        return self._in_service_counts[team] < share_count
