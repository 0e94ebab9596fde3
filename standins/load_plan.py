"""Load plans, and the arrivals that follow deterministically from a plan's seed."""

import random
from typing import NamedTuple, TypedDict

import msgspec

LOOPBACK_PREFIX = "127."
MAX_CONCURRENCY_COUNT = 400
MAX_REQUESTS_COUNT = 200_000


class FlowBody(TypedDict):
    """Stream of requests of one service, team and urgency with Poisson arrivals."""

    service: str
    team: str
    urgency: str
    rate_per_s: float
    timeout_ms: int
    body_bytes: int
    is_repeatable: bool


class PhaseBody(TypedDict):
    """Flows that run concurrently for ``duration_s``."""

    name: str
    duration_s: float
    flows: list[FlowBody]


class PlanBody(TypedDict):
    """Load plan.

    ``path`` is a template that contains ``{service}``. ``deadline_s`` is the time from
    the start of the run after which no request is started; the remaining requests count
    as ``not_started``.
    """

    addresses: list[str]
    path: str
    account: str
    seed: int
    concurrency_count: int
    deadline_s: float
    phases: list[PhaseBody]


class Arrival(NamedTuple):
    """Planned request, with its time since the start of the run."""

    time_s: float
    phase: str
    flow: FlowBody
    number: int


def read_plan(text: bytes) -> PlanBody:
    """
    :param text: JSON text.
    :raises ValueError: when the plan is malformed or exceeds a limit.
    """
    plan = msgspec.json.decode(text, type=PlanBody)
    for address in plan["addresses"]:
        if not address.startswith(LOOPBACK_PREFIX):
            raise ValueError(f"address must be on loopback (127.*), got {address!r}")
    if not plan["addresses"]:
        raise ValueError("addresses must name at least one 'ip:port', got none")
    concurrency_count = plan["concurrency_count"]
    if not 1 <= concurrency_count <= MAX_CONCURRENCY_COUNT:
        message = (
            f"concurrency_count must be from 1 to {MAX_CONCURRENCY_COUNT}, "
            f"got {concurrency_count}"
        )
        raise ValueError(message)
    return plan


def plan_arrivals(plan: PlanBody) -> list[Arrival]:
    """
    :returns: all arrivals, ordered by time and numbered from 0.
    :raises ValueError: when the plan has too many requests.
    """
    arrivals: list[Arrival] = []
    start_s = 0.0
    for phase in plan["phases"]:
        for index, flow in enumerate(phase["flows"]):
            generator = random.Random(f"{plan['seed']}/{phase['name']}/{index}")
            times = _poisson_times(generator, flow["rate_per_s"], phase["duration_s"])
            arrivals += [
                Arrival(start_s + time_s, phase["name"], flow, 0) for time_s in times
            ]
        start_s += phase["duration_s"]
    if len(arrivals) > MAX_REQUESTS_COUNT:
        message = (
            f"rates or durations are too high: plan has {len(arrivals)} requests, the "
            f"limit is {MAX_REQUESTS_COUNT}"
        )
        raise ValueError(message)
    arrivals.sort(key=lambda arrival: arrival.time_s)
    return [arrival._replace(number=number) for number, arrival in enumerate(arrivals)]


def _poisson_times(
    generator: random.Random, rate_per_s: float, duration_s: float
) -> list[float]:
    times: list[float] = []
    if rate_per_s <= 0:
        return times
    time_s = generator.expovariate(rate_per_s)
    while time_s < duration_s:
        times.append(time_s)
        time_s += generator.expovariate(rate_per_s)
    return times
