"""Compares the outcomes reported to callers with the ledger of the backend servers."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from features.support.callers import NOT_RUN, RUN, SentRequest, ready_entry_hosts
from standins.site import Site

URGENT_START_LIMIT_S = 1.3


def read_ledger(site: Site) -> list[dict[str, Any]]:
    """
    :returns: requests that the backend servers ran.
    """
    return site.call(site.backend_control_address, "GET", "/ledger").json()


def runs_by_key(entries: Iterable[dict[str, Any]]) -> Counter[str]:
    """
    :returns: number of runs by idempotency key.
    """
    return Counter(e["idempotency_key"] for e in entries if e["idempotency_key"])


def contradictions(
    sent_requests: Iterable[SentRequest], entries: list[dict[str, Any]]
) -> list[str]:
    """
    :returns: outcomes reported to callers that the ledger contradicts (invariants I3 to
        I5).
    """
    runs = Counter(entry["request_id"] for entry in entries)
    contradicted = []
    for sent in sent_requests:
        name = f"{sent.request.service} {sent.request.key or sent.request_id}"
        if sent.outcome == RUN and sent.digest != sent.request.digest:
            contradicted.append(f"{name}: answer to another body")
        if sent.outcome == NOT_RUN and runs[sent.request_id]:
            contradicted.append(
                f"{name}: ran although reported as not-run ({sent.reason})"
            )
        if sent.outcome == RUN and not sent.is_recorded and not runs[sent.request_id]:
            contradicted.append(f"{name}: reported as run, but not in the ledger")
    repeated = {key: count for key, count in runs_by_key(entries).items() if count > 1}
    contradicted += [f"key {key} ran {count} times" for key, count in repeated.items()]
    return contradicted


def outcome_counts(sent_requests: Iterable[SentRequest]) -> Counter[str]:
    """
    :returns: number of requests by status, outcome and reason, for messages.
    """
    return Counter(f"{s.status} {s.outcome} {s.reason}".strip() for s in sent_requests)


def late_starts(
    sent_requests: Iterable[SentRequest], entries: list[dict[str, Any]]
) -> list[str]:
    """
    :returns: requests that started later than ``URGENT_START_LIMIT_S`` after they were
        sent.
    """
    starts_s: dict[str, float] = {}
    for entry in entries:
        earliest_s = starts_s.get(entry["request_id"], entry["start_s"])
        starts_s[entry["request_id"]] = min(earliest_s, entry["start_s"])
    started = [sent for sent in sent_requests if sent.request_id in starts_s]
    waits = [(starts_s[sent.request_id] - sent.started_s, sent) for sent in started]
    return [
        f"{sent.request_id} through {sent.request.entry_host} "
        f"started after {wait_s:.2f} s"
        for wait_s, sent in waits
        if wait_s > URGENT_START_LIMIT_S
    ]


def peak_concurrency(entries: Iterable[dict[str, Any]]) -> Counter[str]:
    """
    :returns: largest number of requests that ran concurrently, by server.
    """
    events = []
    for entry in entries:
        events.append((entry["start_s"], 1, entry["server"]))
        events.append((entry["end_s"] or float("inf"), -1, entry["server"]))
    running: Counter[str] = Counter()
    peak: Counter[str] = Counter()
    for _, change, server in sorted(events):
        running[server] += change
        peak[server] = max(peak[server], running[server])
    return peak


def slots_in_use(site: Site) -> dict[str, int]:
    """
    :returns: number of granted slots by queue and ready owner, without zeros.
    """
    granted_counts = {}
    for entry_host in ready_entry_hosts(site):
        for service, queue in site.status(entry_host)["queues"].items():
            if queue["granted_count"]:
                granted_counts[f"{service} at {entry_host}"] = queue["granted_count"]
    return granted_counts
