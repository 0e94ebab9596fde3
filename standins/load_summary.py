"""Summary of a load run."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Verdict(StrEnum):
    """Outcome of a request as its caller sees it.

    ``GOOD``: answered with status 200 within the deadline, by its own answer.
    ``LATE``: as good, after the deadline. ``MISMATCHED``: the answer was of another
    request or body. ``NOT_RUN`` and ``UNKNOWN``: by the answer's outcome header, or by
    a connection error before or after sending. ``REJECTED``: another status.
    ``CAPPED``: not sent because the concurrency cap was reached. ``NOT_STARTED``: not
    sent because the run's deadline had passed.
    """

    GOOD = "good"
    LATE = "late"
    MISMATCHED = "mismatched"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    CAPPED = "capped"
    NOT_STARTED = "not_started"


class Sample(NamedTuple):
    """One request. ``latency_s`` counts from the planned arrival."""

    phase: str
    service: str
    urgency: str
    team: str
    request_id: str
    verdict: Verdict
    status: int | None
    reason: str
    latency_s: float


class Latencies(TypedDict):
    """Quantiles of the latency of good and late requests, in milliseconds."""

    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class GroupSummary(TypedDict):
    """Requests of one group. Goodput counts good requests per second of the phase."""

    sent_count: int
    verdicts: dict[str, int]
    reasons: dict[str, int]
    latencies: Latencies | None
    goodput_per_s: float


class RunSummary(TypedDict):
    """Groups by phase and service, and by phase, service and urgency."""

    duration_s: float
    by_service: dict[str, GroupSummary]
    by_urgency: dict[str, GroupSummary]
    by_team: dict[str, GroupSummary]


def quantile(ordered: Sequence[float], ratio: float) -> float:
    """
    :param ordered: values in ascending order, at least one.
    :returns: smallest value that at least ``ratio`` of all don't exceed.
    """
    return ordered[max(0, math.ceil(ratio * len(ordered)) - 1)]


def summarise(
    samples: Iterable[Sample],
    phase_durations_s: Mapping[str, float],
    duration_s: float,
) -> RunSummary:
    """
    :param phase_durations_s: planned duration by the phase's name.
    :param duration_s: duration of the whole run.
    """
    samples = list(samples)

    def grouped(*fields: str) -> dict[str, GroupSummary]:
        groups: defaultdict[str, list[Sample]] = defaultdict(list)
        for sample in samples:
            names = (getattr(sample, field) for field in fields)
            groups["/".join(names)].append(sample)
        return {
            name: _summarise_group(group, phase_durations_s[group[0].phase])
            for name, group in sorted(groups.items())
        }

    return RunSummary(
        duration_s=duration_s,
        by_service=grouped("phase", "service"),
        by_urgency=grouped("phase", "service", "urgency"),
        by_team=grouped("phase", "service", "team"),
    )


def _summarise_group(samples: list[Sample], duration_s: float) -> GroupSummary:
    verdicts = Counter(str(sample.verdict) for sample in samples)
    unsent_count = verdicts[Verdict.CAPPED] + verdicts[Verdict.NOT_STARTED]
    return GroupSummary(
        sent_count=len(samples) - unsent_count,
        verdicts=dict(verdicts),
        reasons=dict(Counter(item.reason for item in samples if item.reason)),
        latencies=_latencies(samples),
        goodput_per_s=verdicts[Verdict.GOOD] / duration_s,
    )


def _latencies(samples: list[Sample]) -> Latencies | None:
    answered = (Verdict.GOOD, Verdict.LATE)
    ordered = sorted(item.latency_s for item in samples if item.verdict in answered)
    if not ordered:
        return None
    return Latencies(
        p50_ms=quantile(ordered, 0.5) * 1000,
        p90_ms=quantile(ordered, 0.9) * 1000,
        p99_ms=quantile(ordered, 0.99) * 1000,
        max_ms=ordered[-1] * 1000,
    )
