"""Finds the queue of a request by host name and path."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import FleetSnapshot, Queue


class Target(NamedTuple):
    """Queue of a request, and what follows its prefix in the path."""

    queue: Queue
    rest: str


class Router:
    """Queues of one version of the configuration. Immutable."""

    def __init__(self, fleet: FleetSnapshot) -> None:
        self.fleet = fleet
        self._queues: dict[str, list[Queue]] = {}
        for queue in fleet.queues:
            self._queues.setdefault(queue.host_name, []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)

    def find(self, host_name: str, path: str) -> Target | None:
        """
        :param host_name: name that the caller asked for, with or without a port.
        :returns: the queue with the longest matching prefix.
        """
        name = host_name.partition(":")[0].lower()
        for queue in self._queues.get(name, ()):
            if path.startswith(queue.path_prefix):
                return Target(queue, path[len(queue.path_prefix) :])
        return None
