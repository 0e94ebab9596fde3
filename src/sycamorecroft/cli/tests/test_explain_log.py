"""Tests of the way from a job's id to its cause, by log lines alone."""

import json

from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.log_history import explain_job_by_lines, parse_lines
from sycamorecroft.cli.main import main

JOB = "42cb9610a0dfe807"


def _line(second, event, host="h1", **fields):
    timestamp = f"2026-12-04T10:00:{second:06.3f}Z"
    return json.dumps(fields | {"event": event, "host": host, "timestamp": timestamp})


LATE = (
    _line(4.0, "run_ended", task=f"{JOB}.0.0.0", worker="w1", end="done"),
    _line(1.0, "job_submitted", host="h2", job=JOB, outcome="stored"),
    _line(1.1, "job_taken_in", job=JOB),
    _line(3.5, "task_started", task=f"{JOB}.0.0.0", worker="w1", waited_s=2.4),
    _line(4.1, "job_ended", job=JOB, state="complete"),
    _line(2.0, "worker_quarantined", worker="w1"),
    _line(2.0, "worker_quarantined", worker="w9"),
    _line(3.0, "service_claimed", service="rating", epoch=2),
    _line(9.0, "service_claimed", service="rating", epoch=3),
    _line(1.0, "job_submitted", job="ffffffffffffffff", outcome="stored"),
    "not a line of a node",
    '{"event": "without a time"}',
)


def _explain(lines):
    return explain_job_by_lines(JOB, parse_lines(lines))


def test_accepted_and_late():
    """Guards against a late job whose wait can't be told from its run."""
    history = _explain(LATE)
    assert [line.event for line in history.lines] == [
        "job_submitted",
        "job_taken_in",
        "task_started",
        "run_ended",
        "job_ended",
    ]
    assert [line.event for line in history.related] == [
        "worker_quarantined",
        "service_claimed",
    ]
    assert "from taken in to first started: 2.400 s" in history.findings
    assert history.findings[-1] == f"{JOB}.0.0.0 waited longest: 2.4 s"


def test_refused_since_the_store_was_away():
    """Guards against a refusal that doesn't tell which dependency was lost."""
    history = _explain(
        (
            _line(1.0, "job_submitted", job=JOB, outcome="not_stored", duration_s=0.0),
            _line(1.5, "table_lost", table="owners", reason="reset"),
            _line(1.6, "table_lost", host="h9", table="owners", reason="other"),
            _line(2.0, "job_submitted", job=JOB, outcome="stored", duration_s=0.1),
        )
    )
    assert "h1 answered not_stored after 0.0 s" in history.findings
    assert "h1 lost the store: reset" in history.findings


def test_shown_as_failed():
    """Guards against a failed job that doesn't tell where its runs failed."""
    task = f"{JOB}.0.0.0"
    history = _explain(
        (
            _line(1.0, "run_ended", task=task, worker="w2", end="failed"),
            _line(2.0, "run_ended", task=task, worker="w1", end="failed"),
            _line(2.0, "job_ended", job=JOB, state="failed"),
        )
    )
    assert "2 runs failed, on w1, w2" in history.findings


def test_command_reads_files_of_several_hosts(tmp_path, capsys):
    """Guards against a command that needs the lines in one sorted file."""
    files = [tmp_path / "a.log", tmp_path / "b.log"]
    files[0].write_text("\n".join(f"  3.1 frontend-1 {line}" for line in LATE[:3]))
    files[1].write_text("\n".join(LATE[3:]))
    names = [str(path) for path in files]
    assert main(["explain", "log", JOB, *names]) == ExitCode.SUCCESS
    printed = capsys.readouterr().out
    assert "from taken in to first started: 2.400 s" in printed
    assert "waited_s=2.4" in printed
    assert main(["explain", "log", JOB, *names, "--json"]) == ExitCode.SUCCESS
    assert json.loads(capsys.readouterr().out)["job_id"] == JOB


def test_unknown_job_and_missing_file_are_told(tmp_path, capsys):
    """Guards against an empty answer that looks like a job without problems."""
    path = tmp_path / "a.log"
    path.write_text("\n".join(LATE))
    assert main(["explain", "log", "0" * 16, str(path)]) == ExitCode.NOT_FOUND
    assert "pass the files of all hosts" in capsys.readouterr().err
    missing = str(tmp_path / "none.log")
    assert main(["explain", "log", JOB, missing]) == ExitCode.NOT_FOUND
