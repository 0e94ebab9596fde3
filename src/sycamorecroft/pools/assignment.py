"""Assignment of hosts to pools in parts, each at minimal cost.

The split into parts, each of which sees the load that the earlier ones left, is
inspired by S. Shah, K. Ramamritham and C. Ravishankar, "Client Assignment in Content
Dissemination Networks for Dynamic Data", VLDB 2005.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.pools.planning import Move
from sycamorecroft.pools.state import HostRecord

_SOURCE = "source"
_SINK = "sink"


class _Edge:
    def __init__(self, start: str, end: str, capacity: int, cost: float) -> None:
        self.start = start
        self.end = end
        self.capacity = capacity
        self.cost = cost
        self.reverse: _Edge | None = None


class _Graph:
    """Flow of minimal cost by successive shortest paths (Bellman-Ford)."""

    def __init__(self) -> None:
        self.edges: list[_Edge] = []

    def add(self, start: str, end: str, capacity: int, cost: float) -> _Edge:
        edge = _Edge(start, end, capacity, cost)
        back = _Edge(end, start, 0, -cost)
        edge.reverse, back.reverse = back, edge
        self.edges += [edge, back]
        return edge

    def saturate(self) -> None:
        while path := self._shortest_path():
            for edge in path:
                edge.capacity -= 1
                edge.reverse.capacity += 1

    def _shortest_path(self) -> list[_Edge]:
        distance = {_SOURCE: 0.0}
        last: dict[str, _Edge] = {}
        changed = True
        while changed:
            changed = False
            for edge in self.edges:
                reach = distance.get(edge.start, math.inf) + edge.cost
                if edge.capacity and reach < distance.get(edge.end, math.inf) - 1e-9:
                    distance[edge.end] = reach
                    last[edge.end] = edge
                    changed = True
        path: list[_Edge] = []
        node = _SINK
        while node in last:
            path.append(last[node])
            node = last[node].start
        return path


class AssignmentRequest(NamedTuple):
    """Hosts in service, what pools lack and what pools may give."""

    hosts: Sequence[HostRecord]
    lacking: Mapping[str, int]
    giving: Mapping[str, int]


def assign_in_parts(request: AssignmentRequest) -> tuple[Move, ...]:
    """Gives each lacking pool one host in each part, at minimal total cost."""
    hosts = list(request.hosts)
    missing, spare = Counter(request.lacking), Counter(request.giving)
    loads = Counter((host["pool"], host["rack"]) for host in hosts)
    moves: list[Move] = []
    while part := _assign_part(hosts, missing, spare, loads):
        for host, target in part:
            loads[host["pool"], host["rack"]] -= 1
            loads[target, host["rack"]] += 1
            missing[target] -= 1
            spare[host["pool"]] -= 1
            hosts.remove(host)
            moves.append(Move(host["host"], host["pool"], target))
    return tuple(moves)


def _assign_part(
    hosts: Sequence[HostRecord],
    missing: Counter[str],
    spare: Counter[str],
    loads: Counter[tuple[str, str]],
) -> list[tuple[HostRecord, str]]:
    graph = _Graph()
    choices: list[tuple[_Edge, HostRecord, str]] = []
    targets = [pool for pool in missing if missing[pool] > 0]
    givers = [pool for pool in spare if spare[pool] > 0]
    for pool in targets:
        graph.add(_SOURCE, f"t/{pool}", 1, 0.0)
    for pool in givers:
        graph.add(f"p/{pool}", _SINK, spare[pool], 0.0)
    for host in hosts:
        if host["pool"] not in givers:
            continue
        graph.add(f"h/{host['host']}", f"p/{host['pool']}", 1, 0.0)
        for target in targets:
            rack = host["rack"]
            cost = loads[target, rack] - loads[host["pool"], rack]
            edge = graph.add(f"t/{target}", f"h/{host['host']}", 1, cost)
            choices.append((edge, host, target))
    graph.saturate()
    return [(host, target) for edge, host, target in choices if edge.capacity == 0]
