"""What log lines of nodes say of one job."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.scheduling.rows import JobState

# Lines that tell of a lost or regained dependency of a host.
_DEPENDENCY_EVENTS = frozenset(
    (
        "table_lost",
        "table_regained",
        "history_lost",
        "service_claimed",
        "service_released",
        "service_taken_away",
        "service_lost",
        "node_started",
        "node_stopping",
    )
)
_OWN_FIELDS = frozenset(("event", "host", "level", "timestamp", "job", "task"))


class LogLine(NamedTuple):
    """A line of a node's log; ``fields`` are those that only this event has."""

    told_at: datetime
    host: str
    event: str
    subject: str
    fields: dict[str, object]


class JobHistory(NamedTuple):
    """Lines of one job, lines that bear on it, and what they add up to."""

    job_id: str
    lines: tuple[LogLine, ...]
    related: tuple[LogLine, ...]
    findings: tuple[str, ...]


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """
    :param texts: lines of log files; anything before the JSON object is skipped.
    :returns: the lines that a node wrote.
    """
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
            told_at = datetime.fromisoformat(fields["timestamp"])
            line = LogLine(
                told_at,
                str(fields.get("host", "")),
                str(fields["event"]),
                str(fields.get("task") or fields.get("job") or ""),
                {k: v for k, v in fields.items() if k not in _OWN_FIELDS},
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            # Other programs may write to the same file.
            continue
        yield line


def explain_job_by_lines(job_id: str, lines: Iterable[LogLine]) -> JobHistory:
    """
    :param lines: lines of all hosts, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.told_at)
    own = tuple(line for line in ordered if line.subject.partition(".")[0] == job_id)
    if not own:
        return JobHistory(job_id, (), (), ("no line tells of this job",))
    related = tuple(_related(own, ordered))
    return JobHistory(job_id, own, related, tuple(_findings(own, related)))


def _related(own: tuple[LogLine, ...], ordered: list[LogLine]) -> Iterator[LogLine]:
    """Lines between the first and the last one of the job on what it depended on."""
    begin, end = own[0].told_at, own[-1].told_at
    hosts = {line.host for line in own}
    workers = {line.fields.get("worker") for line in own} - {None}
    for line in ordered:
        if line.subject or not begin <= line.told_at <= end:
            continue
        is_dependency = line.event in _DEPENDENCY_EVENTS and line.host in hosts
        if is_dependency or line.fields.get("worker") in workers:
            yield line


def _findings(own: tuple[LogLine, ...], related: tuple[LogLine, ...]) -> Iterator[str]:
    yield from _submission_findings(own, related)
    states = [line for line in own if line.event == "job_ended"]
    if states and states[-1].fields.get("state") == JobState.FAILED:
        yield from _failure_findings(own)
    yield from _time_findings(own)


def _submission_findings(
    own: tuple[LogLine, ...], related: tuple[LogLine, ...]
) -> Iterator[str]:
    outcomes = [line for line in own if line.event == "job_submitted"]
    for line in outcomes:
        if line.fields.get("outcome") not in ("not_stored", "unknown"):
            continue
        yield (
            f"{line.host} answered {line.fields['outcome']} after "
            f"{line.fields.get('duration_s')} s"
        )
    for line in related:
        if line.event == "table_lost":
            yield f"{line.host} lost the store: {line.fields.get('reason')}"
            return


def _failure_findings(own: tuple[LogLine, ...]) -> Iterator[str]:
    failed = [line for line in own if line.fields.get("end") == "failed"]
    workers = sorted({str(line.fields.get("worker")) for line in failed})
    yield f"{len(failed)} runs failed, on {', '.join(workers)}"


def _time_findings(own: tuple[LogLine, ...]) -> Iterator[str]:
    """Tells how long each part of the way took, the longest one last."""
    marks = [
        ("accepted", _first(own, "job_submitted")),
        ("taken in", _first(own, "job_taken_in")),
        ("first started", _first(own, "task_started")),
        ("ended", _first(own, "job_ended")),
    ]
    known = [(name, line.told_at) for name, line in marks if line is not None]
    parts = [
        ((later - earlier).total_seconds(), f"from {begin} to {end}")
        for (begin, earlier), (end, later) in zip(known, known[1:], strict=False)
    ]
    for duration_s, part in sorted(parts):
        yield f"{part}: {duration_s:.3f} s"
    waits = [line for line in own if line.event == "task_started"]
    if waits:
        longest = max(waits, key=lambda line: line.fields.get("waited_s") or 0)
        yield f"{longest.subject} waited longest: {longest.fields.get('waited_s')} s"


def _first(own: tuple[LogLine, ...], event: str) -> LogLine | None:
    return next((line for line in own if line.event == event), None)
