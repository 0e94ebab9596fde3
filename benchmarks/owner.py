"""Processor time of a queue owner per request, grant and release.

Run ``python -m benchmarks.owner --seed 1``. Each request is offered, granted and
released once. In the busy run all slots are occupied and requests wait.
"""

import argparse
import time
from random import Random
from typing import NamedTuple

from benchmarks.flood_load import SERVICES, TEAM_SHARES, site_configuration, site_view
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotGrant, SlotRelease, SlotRequest
from sycamorecroft.routing.owner import QueueMembership, QueueOwner

WORKERS_COUNTS = (40, 200, 1000)
SERVICE_TIME_S = 0.08


class Cost(NamedTuple):
    """Mean processor time in microseconds of each step of a request."""

    request_us: float
    release_us: float


class OwnerLoad:
    """Keeps a fixed number of requests at an owner, on virtual time."""

    def __init__(self, workers_count: int, outstanding_count: int, seed: int) -> None:
        self._random = Random(seed)
        members = QueueMembership(frozenset({"e0"}), 1)
        self._owner = QueueOwner(
            SERVICES[0],
            site_configuration(),
            site_view(workers_count),
            members,
            0.0,
            random=Random(seed),
        )
        self._now_s = 0.0
        self._step_s = SERVICE_TIME_S / outstanding_count
        self._number = 0
        self._granted: list[str] = []
        self.request_ns = 0
        self.release_ns = 0
        for _ in range(outstanding_count):
            self._request()

    def run(self, requests_count: int) -> Cost:
        """
        :returns: mean costs over ``requests_count`` requests.
        """
        self.request_ns = self.release_ns = 0
        for _ in range(requests_count):
            self._release()
            self._request()
        scale = 1000 * requests_count
        return Cost(self.request_ns / scale, self.release_ns / scale)

    def _request(self) -> None:
        self._now_s += self._step_s
        self._number += 1
        request = SlotRequest(
            f"t{self._number}",
            "e0",
            SERVICES[0],
            self._random.choice(list(TEAM_SHARES)),
            self._random.choice(list(Urgency)),
            self._now_s + 1000.0,
            (),
        )
        started_ns = time.process_time_ns()
        decisions = self._owner.request(request, self._now_s)
        self.request_ns += time.process_time_ns() - started_ns
        self._keep(decisions)

    def _release(self) -> None:
        index = self._random.randrange(len(self._granted))
        self._granted[index], self._granted[-1] = (
            self._granted[-1],
            self._granted[index],
        )
        release = SlotRelease(self._granted.pop(), "e0", SERVICE_TIME_S, False)
        started_ns = time.process_time_ns()
        decisions = self._owner.release(release, self._now_s)
        self.release_ns += time.process_time_ns() - started_ns
        self._keep(decisions)

    def _keep(self, decisions: list) -> None:
        for decision in decisions:
            if isinstance(decision, SlotGrant):
                self._granted.append(decision.ticket)


def main() -> None:
    """Prints the cost for each number of workers, idle and busy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests-count", type=int, default=50_000)
    options = parser.parse_args()
    for workers_count in WORKERS_COUNTS:
        slots_count = workers_count * 8
        for name, outstanding_count in (
            ("half of the slots used", slots_count // 2),
            ("all slots used, half as many waiting", slots_count * 3 // 2),
        ):
            load = OwnerLoad(workers_count, outstanding_count, options.seed)
            cost = load.run(options.requests_count)
            print(
                f"{workers_count} workers, {name}: request {cost.request_us:.1f} us, "
                f"release {cost.release_us:.1f} us, "
                f"sum {cost.request_us + cost.release_us:.1f} us"
            )


if __name__ == "__main__":
    main()
