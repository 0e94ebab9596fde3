"""Reconstructs the history of one job from the log lines of nodes."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.scheduling.rows import JobState

# Events that report a lost or regained dependency of an entry host.
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
_COMMON_FIELDS = frozenset(("event", "host", "level", "timestamp", "job", "task"))


class LogLine(NamedTuple):
    """A log line of a node; ``fields`` are those that are specific to its event."""

    told_at: datetime
    host: str
    event: str
    subject: str
    fields: dict[str, object]


class JobHistory(NamedTuple):
    """Log lines of one job, related lines of its dependencies, and derived findings."""

    job_id: str
    lines: tuple[LogLine, ...]
    related: tuple[LogLine, ...]
    findings: tuple[str, ...]


def parse_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """
    :param texts: lines of log files; text before the JSON object is skipped.
    :returns: the lines written by a node; all others are skipped.
    """
    for text in texts:
        json_start = text.find("{")
        if json_start < 0:
            continue
        try:
            fields = json.loads(text[json_start:])
            told_at = datetime.fromisoformat(fields["timestamp"])
            line = LogLine(
                told_at,
                str(fields.get("host", "")),
                str(fields["event"]),
                str(fields.get("task") or fields.get("job") or ""),
                {k: v for k, v in fields.items() if k not in _COMMON_FIELDS},
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            # The log file may contain lines of other programs.
            continue
        yield line


def build_job_history(job_id: str, lines: Iterable[LogLine]) -> JobHistory:
    """
    :param lines: log lines of all entry hosts, in any order.
    :returns: the history of ``job_id``, with lines in order of time.
    """
    sorted_lines = sorted(lines, key=lambda line: line.told_at)
    job_lines = tuple(
        line for line in sorted_lines if line.subject.partition(".")[0] == job_id
    )
    if not job_lines:
        return JobHistory(job_id, (), (), ("no log line mentions this job",))
    related = tuple(_related_lines(job_lines, sorted_lines))
    return JobHistory(job_id, job_lines, related, tuple(_findings(job_lines, related)))


def _related_lines(
    job_lines: tuple[LogLine, ...], sorted_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yields lines on the job's dependencies between its first and its last line.

    Dependencies are the entry hosts and the workers that the job's own lines name.
    """
    first_at, last_at = job_lines[0].told_at, job_lines[-1].told_at
    hosts = {line.host for line in job_lines}
    workers = {line.fields.get("worker") for line in job_lines} - {None}
    for line in sorted_lines:
        if line.subject or not first_at <= line.told_at <= last_at:
            continue
        is_dependency = line.event in _DEPENDENCY_EVENTS and line.host in hosts
        if is_dependency or line.fields.get("worker") in workers:
            yield line


def _findings(
    job_lines: tuple[LogLine, ...], related: tuple[LogLine, ...]
) -> Iterator[str]:
    yield from _submission_findings(job_lines, related)
    endings = [line for line in job_lines if line.event == "job_ended"]
    if endings and endings[-1].fields.get("state") == JobState.FAILED:
        yield from _failure_findings(job_lines)
    yield from _duration_findings(job_lines)


def _submission_findings(
    job_lines: tuple[LogLine, ...], related: tuple[LogLine, ...]
) -> Iterator[str]:
    submissions = [line for line in job_lines if line.event == "job_submitted"]
    for line in submissions:
        if line.fields.get("outcome") not in ("not_stored", "unknown"):
            continue
        yield (
            f"{line.host} answered {line.fields['outcome']} after "
            f"{line.fields.get('duration_s')} s"
        )
    for line in related:
        if line.event == "table_lost":
            yield (
                f"{line.host} lost contact with the store: {line.fields.get('reason')}"
            )
            return


def _failure_findings(job_lines: tuple[LogLine, ...]) -> Iterator[str]:
    failed_runs = [line for line in job_lines if line.fields.get("end") == "failed"]
    workers = sorted({str(line.fields.get("worker")) for line in failed_runs})
    yield f"{len(failed_runs)} runs failed, on {', '.join(workers)}"


def _duration_findings(job_lines: tuple[LogLine, ...]) -> Iterator[str]:
    """Yields the duration of each phase of the job, the longest one last."""
    milestones = [
        ("accepted", _first_line(job_lines, "job_submitted")),
        ("queued", _first_line(job_lines, "job_taken_in")),
        ("first started", _first_line(job_lines, "task_started")),
        ("ended", _first_line(job_lines, "job_ended")),
    ]
    reached = [(name, line.told_at) for name, line in milestones if line is not None]
    phases = [
        ((later - earlier).total_seconds(), f"from {start} to {end}")
        for (start, earlier), (end, later) in zip(reached, reached[1:], strict=False)
    ]
    for duration_s, phase in sorted(phases):
        yield f"{phase}: {duration_s:.3f} s"
    starts = [line for line in job_lines if line.event == "task_started"]
    if starts:
        longest = max(starts, key=lambda line: line.fields.get("waited_s") or 0)
        yield f"{longest.subject} waited longest: {longest.fields.get('waited_s')} s"


def _first_line(job_lines: tuple[LogLine, ...], event: str) -> LogLine | None:
    return next((line for line in job_lines if line.event == event), None)
