"""Routing of requests to queues by host name and path prefix."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import FleetSnapshot, Queue
from sycamorecroft.serving.account_keys import AccountKeys


class RouteMatch(NamedTuple):
    """Queue of a request, and the path after the queue's prefix."""

    queue: Queue
    path_suffix: str


class Router:
    """Routing table of one version of the configuration. Immutable.

    :ivar keys: API keys of the client accounts, ``None`` if the configuration has no
        accounts.
    """

    def __init__(self, fleet: FleetSnapshot) -> None:
        self.fleet = fleet
        self.keys = None if fleet.accounts is None else AccountKeys(fleet.accounts)
        self._queues: dict[str, list[Queue]] = {}
        for queue in fleet.queues:
            self._queues.setdefault(queue.host_name, []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)

    def find(self, host_name: str, path: str) -> RouteMatch | None:
        """
        :param host_name: value of the ``Host`` header, with or without a port.
        :param path: path of the request.
        :returns: match of the longest prefix, ``None`` if no queue matches.
        """
        name = host_name.partition(":")[0].lower()
        for queue in self._queues.get(name, ()):
            if path.startswith(queue.path_prefix):
                return RouteMatch(queue, path[len(queue.path_prefix) :])
        return None


class RouteTarget(NamedTuple):
    """Route of a request in one version of the configuration."""

    router: Router
    route: RouteMatch

    @property
    def queue(self) -> Queue:
        """Queue of the request."""
        return self.route.queue

    @property
    def is_public(self) -> bool:
        """Whether calls of the queue need no API key."""
        return self.queue.name in self.router.fleet.public_queues
