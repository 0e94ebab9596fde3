"""Combines the status replies of all daemons and derives problems; performs no I/O."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.cli.operator_client import DaemonReply
from sycamorecroft.cli.operator_messages import (
    EntryHostReply,
    FailureCountReply,
    PoolReply,
    QueueReply,
    StatusReply,
)
from sycamorecroft.maintenance import WaveState
from sycamorecroft.maintenance.records import WaveRecord, deadline_of

# Three registration intervals; registration is the least frequent regular call to the
# table service.
STORE_CONTACT_LIMIT_MS = 6000
_OPEN_WAVE_STATES = (WaveState.RUNNING, WaveState.PAUSED)
_PAGES_BY_REASON = {
    "expected_wait": "flood",
    "urgent_wait": "flood",
    "deadline": "flood",
    "entry_places": "flood",
    "entry_bytes": "flood",
    "entry_flow": "flood",
    "not_ready": "not-in-force",
    "store_unavailable": "store-down",
    "connect_failed": "worker-failing",
    "refused_by_worker": "worker-failing",
    "response_broken": "worker-failing",
    "response_mismatch": "worker-failing",
    "response_timeout": "worker-failing",
}


class Problem(NamedTuple):
    """A detected problem and the recommended next step."""

    problem: str
    next_step: str


class OwnedQueue(NamedTuple):
    """A service's queue and its owner.

    ``owner`` is empty and ``figures`` is ``None`` if no answering daemon owns the
    queue.
    """

    service: str
    owner: str
    figures: QueueReply | None


class FleetStatus(NamedTuple):
    """State of the fleet, combined from the status of all answering daemons."""

    in_force_version: int
    staged_version: int
    view_version: int
    answering_count: int
    daemons_count: int
    pools: tuple[PoolReply, ...]
    queues: tuple[OwnedQueue, ...]
    entries: tuple[EntryHostReply, ...]
    leases: Mapping[str, str]
    failures: tuple[FailureCountReply, ...]
    waves: tuple[WaveRecord, ...]
    problems: tuple[Problem, ...]


def combine_statuses(
    replies: Sequence[DaemonReply],
    waves: Sequence[WaveRecord] | None,
    now: datetime,
) -> FleetStatus:
    """
    :param replies: one per daemon; at least one has a status.
    :param waves: all maintenance waves, ``None`` if they could not be read.
    :param now: current time, compared with the deadlines of the waves.
    :returns: the combined status. Configuration, pools, services and entry hosts are
        those of the daemon with the newest host view.
    """
    statuses = [item.reply for item in replies if item.reply is not None]
    newest = max(statuses, key=lambda status: status.view_version)
    queues = _owned_queues(newest.services, statuses)
    failures = _failure_counts(statuses)
    open_waves = tuple(
        wave for wave in waves or () if wave["state"] in _OPEN_WAVE_STATES
    )
    problems = (
        *_daemon_problems(replies),
        *_entry_host_problems(newest),
        *_version_problems(newest),
        *_pool_problems(newest.pool_counts),
        *_queue_problems(queues),
        *_failure_problems(failures),
        *_wave_problems(waves, now),
    )
    return FleetStatus(
        newest.in_force_version,
        newest.staged_version,
        newest.view_version,
        len(statuses),
        len(replies),
        newest.pool_counts,
        queues,
        newest.entries,
        {lease: str(item.entry) for item in statuses for lease in item.held_leases},
        failures,
        open_waves,
        problems,
    )


def _owned_queues(
    services: Iterable[str], statuses: Sequence[StatusReply]
) -> tuple[OwnedQueue, ...]:
    queues = []
    for service in services:
        owners = [status for status in statuses if service in status.queues]
        if not owners:
            queues.append(OwnedQueue(service, "", None))
        for status in owners:
            figures = status.queues[service]
            queues.append(OwnedQueue(service, str(status.entry), figures))
    return tuple(queues)


def _failure_counts(statuses: Sequence[StatusReply]) -> tuple[FailureCountReply, ...]:
    counts: Counter[tuple[str, str, str]] = Counter()
    for status in statuses:
        for item in status.recent_failures:
            counts[item.service or "", item.outcome, item.reason] += item.count
    return tuple(FailureCountReply(*key, count) for key, count in counts.most_common())


def _daemon_problems(replies: Sequence[DaemonReply]) -> Iterable[Problem]:
    for item in replies:
        if item.reply is None:
            yield Problem(
                f"daemon at {item.url} doesn't answer: {item.problem}",
                "see docs/operators/entry-host-lost.md",
            )


def _entry_host_problems(status: StatusReply) -> Iterable[Problem]:
    known = {item.entry for item in status.entries}
    unreachable = sorted(item.entry for item in status.entries if not item.is_reached)
    for entry_host in unreachable:
        yield Problem(
            f"entry host {entry_host} is not reached by its peers",
            "see docs/operators/entry-host-lost.md",
        )
    if len(known) < status.expected_entries_count:
        yield Problem(
            f"{status.expected_entries_count - len(known)} expected entry hosts have "
            "never joined",
            "see docs/operators/replace-an-entry-host.md",
        )
    without_store_contact = sorted(
        item.entry
        for item in status.entries
        if item.is_reached and item.store_contact_age_ms > STORE_CONTACT_LIMIT_MS
    )
    if without_store_contact:
        yield Problem(
            f"no recent answer of the table service on "
            f"{', '.join(without_store_contact)}",
            "see docs/operators/store-down.md",
        )


def _version_problems(status: StatusReply) -> Iterable[Problem]:
    if not status.in_force_version:
        yield Problem(
            "no configuration is in force", "see docs/operators/not-in-force.md"
        )
    outdated = sorted(
        item.entry
        for item in status.entries
        if item.is_reached and item.in_force_version < status.staged_version
    )
    if outdated:
        yield Problem(
            f"configuration version {status.staged_version} is not in force on "
            f"{', '.join(outdated)}",
            "repeat status after 10 s; then see docs/operators/not-in-force.md",
        )


def _pool_problems(pools: Iterable[PoolReply]) -> Iterable[Problem]:
    for pool in pools:
        hosts_count = pool.active_count + pool.planned_out_count + pool.failed_out_count
        if pool.failed_out_count:
            yield Problem(
                f"pool {pool.pool} has {pool.failed_out_count} failed hosts",
                f"sycamorecroft hosts list --pool {pool.pool} --state out",
            )
        if hosts_count < pool.configured_count:
            yield Problem(
                f"pool {pool.pool} has {hosts_count} of {pool.configured_count} "
                "configured hosts",
                f"sycamorecroft hosts list --pool {pool.pool}",
            )


def _queue_problems(queues: Iterable[OwnedQueue]) -> Iterable[Problem]:
    for queue in queues:
        figures = queue.figures
        if figures is None:
            yield Problem(
                f"no daemon that answers owns the queue of service {queue.service}",
                "list all daemons in the tool's daemon_urls; repeat status after 5 s",
            )
            continue
        waiting_count = sum(figures.waiting_counts.values())
        if waiting_count and figures.granted_count >= figures.limit_count:
            yield Problem(
                f"service {queue.service}: {waiting_count} requests wait, all "
                f"{figures.limit_count} slots are in use",
                "see docs/operators/flood.md",
            )
        if figures.limit_count < figures.slots_count:
            yield Problem(
                f"service {queue.service} may use {figures.limit_count} of "
                f"{figures.slots_count} slots, since its owner reaches only a part of "
                "the entry hosts",
                "see docs/operators/entry-host-lost.md",
            )
        if figures.ejected_count:
            yield Problem(
                f"service {queue.service}: {', '.join(figures.ejected_hosts)} get no "
                "requests for a while since they failed",
                "see docs/operators/worker-failing.md",
            )


def _failure_problems(failures: Iterable[FailureCountReply]) -> Iterable[Problem]:
    for item in failures:
        service = f"service {item.service}" if item.service else "no known service"
        page = _PAGES_BY_REASON.get(item.reason, "read-a-refusal")
        yield Problem(
            f"{service}: {item.count} requests {item.outcome} in the last minute, "
            f"reason {item.reason}",
            f"see docs/operators/{page}.md",
        )


def _wave_problems(
    waves: Sequence[WaveRecord] | None, now: datetime
) -> Iterable[Problem]:
    if waves is None:
        yield Problem(
            "maintenance waves can't be read", "see docs/operators/store-down.md"
        )
    for wave in waves or ():
        if wave["state"] == WaveState.PAUSED:
            yield Problem(
                f"maintenance wave {wave['id']} is paused",
                f"sycamorecroft maintenance resume {wave['id']}",
            )
        if wave["state"] in _OPEN_WAVE_STATES and deadline_of(wave) < now:
            yield Problem(
                f"maintenance wave {wave['id']} is past its deadline",
                f"sycamorecroft maintenance explain {wave['id']}",
            )
