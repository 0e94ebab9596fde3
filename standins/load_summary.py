"""Summary of a load run: outcomes, latencies and goodput by group of requests."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Verdict(StrEnum):
    """Outcome of a request from the caller's perspective.

    ``GOOD``: status 200 within the timeout, with a body that matches the request.
    ``LATE``: like ``GOOD``, but after the timeout. ``MISMATCHED``: status 200 with a
    body that belongs to another request. ``NOT_RUN`` and ``UNKNOWN``: as stated by the
    outcome header of the response, or after a connection error before or after sending.
    ``REJECTED``: any other status. ``CAPPED``: not sent because the limit of concurrent
    requests was reached. ``NOT_STARTED``: not sent because the deadline of the run had
    passed.
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
    """Outcome of one request. ``latency_s`` is measured from the planned arrival."""

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
    """Latency quantiles of ``GOOD`` and ``LATE`` requests, in milliseconds."""

    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class GroupSummary(TypedDict):
    """Summary of a group. Goodput is ``GOOD`` requests per second of the phase."""

    sent_count: int
    verdicts: dict[str, int]
    reasons: dict[str, int]
    latencies: Latencies | None
    goodput_per_s: float


class RunSummary(TypedDict):
    """Groups by phase and service, and additionally by urgency or team.

    Keys join the parts with ``/``, as in ``phase/service/urgency``.
    """

    duration_s: float
    by_service: dict[str, GroupSummary]
    by_urgency: dict[str, GroupSummary]
    by_team: dict[str, GroupSummary]


def quantile(sorted_values: Sequence[float], ratio: float) -> float:
    """
    :param ordered: values in ascending order, at least one.
    :returns: smallest value such that at least ``ratio`` of all values don't exceed
        it.
    """
    return sorted_values[max(0, math.ceil(ratio * len(sorted_values)) - 1)]


def summarise(
    samples: Iterable[Sample],
    phase_durations_s: Mapping[str, float],
    duration_s: float,
) -> RunSummary:
    """
    :param phase_durations_s: planned duration by name of the phase.
    :param duration_s: measured duration of the whole run.
    :returns: summary of all samples.
    """
    samples = list(samples)

    def summarise_by(*fields: str) -> dict[str, GroupSummary]:
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
        by_service=summarise_by("phase", "service"),
        by_urgency=summarise_by("phase", "service", "urgency"),
        by_team=summarise_by("phase", "service", "team"),
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
    completed_verdicts = (Verdict.GOOD, Verdict.LATE)
    sorted_values = sorted(
        item.latency_s for item in samples if item.verdict in completed_verdicts
    )
    if not sorted_values:
        return None
    return Latencies(
        p50_ms=quantile(sorted_values, 0.5) * 1000,
        p90_ms=quantile(sorted_values, 0.9) * 1000,
        p99_ms=quantile(sorted_values, 0.99) * 1000,
        max_ms=sorted_values[-1] * 1000,
    )
