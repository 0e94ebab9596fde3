"""Compares what callers were told with the ledger of the backend servers."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from features.support.callers import NOT_RUN, RUN, Sent, ready_entries
from standins.site import Site

URGENT_START_LIMIT_S = 1.3


def ledger(site: Site) -> list[dict[str, Any]]:
    """
    :returns: what the backend servers ran.
    """
    return site.call(site.backend_control_address, "GET", "/ledger").json()


def runs_by_key(entries: Iterable[dict[str, Any]]) -> Counter[str]:
    """
    :returns: number of runs by idempotency key.
    """
    return Counter(e["idempotency_key"] for e in entries if e["idempotency_key"])


def contradictions(sents: Iterable[Sent], entries: list[dict[str, Any]]) -> list[str]:
    """
    :returns: statements to callers that the ledger disproves, I3 to I5.
    """
    runs = Counter(entry["request_id"] for entry in entries)
    found = []
    for sent in sents:
        name = f"{sent.order.service} {sent.order.key or sent.request_id}"
        if sent.outcome == RUN and sent.digest != sent.order.digest:
            found.append(f"{name}: answer to another body")
        if sent.outcome == NOT_RUN and runs[sent.request_id]:
            found.append(f"{name}: ran although told not-run ({sent.reason})")
        if sent.outcome == RUN and not sent.is_recorded and not runs[sent.request_id]:
            found.append(f"{name}: told run, and is not in the ledger")
    repeated = {key: count for key, count in runs_by_key(entries).items() if count > 1}
    found += [f"key {key} ran {count} times" for key, count in repeated.items()]
    return found


def counts(sents: Iterable[Sent]) -> Counter[str]:
    """
    :returns: number of requests by outcome and reason, for messages.
    """
    return Counter(f"{s.status} {s.outcome} {s.reason}".strip() for s in sents)


def late_starts(sents: Iterable[Sent], entries: list[dict[str, Any]]) -> list[str]:
    """
    :returns: requests that started later than urgent work may.
    """
    starts_s: dict[str, float] = {}
    for entry in entries:
        known_s = starts_s.get(entry["request_id"], entry["start_s"])
        starts_s[entry["request_id"]] = min(known_s, entry["start_s"])
    started = [sent for sent in sents if sent.request_id in starts_s]
    waits = [(starts_s[sent.request_id] - sent.started_s, sent) for sent in started]
    return [
        f"{sent.request_id} through {sent.order.entry} started after {wait_s:.2f} s"
        for wait_s, sent in waits
        if wait_s > URGENT_START_LIMIT_S
    ]


def most_at_once(entries: Iterable[dict[str, Any]]) -> Counter[str]:
    """
    :returns: largest number of requests that ran at once on each server.
    """
    events = []
    for entry in entries:
        events.append((entry["start_s"], 1, entry["server"]))
        events.append((entry["end_s"] or float("inf"), -1, entry["server"]))
    running: Counter[str] = Counter()
    most: Counter[str] = Counter()
    for _, change, server in sorted(events):
        running[server] += change
        most[server] = max(most[server], running[server])
    return most


def slots_in_use(site: Site) -> dict[str, int]:
    """
    :returns: granted slots by queue and owner that is ready, where there are any.
    """
    found = {}
    for entry in ready_entries(site):
        for service, queue in site.status(entry)["queues"].items():
            if queue["granted_count"]:
                found[f"{service} at {entry}"] = queue["granted_count"]
    return found
