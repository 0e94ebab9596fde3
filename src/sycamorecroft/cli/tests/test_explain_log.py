"""Tests that a job's history is reconstructed from log lines alone."""

import json

from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.log_history import build_job_history, parse_log_lines
from sycamorecroft.cli.main import main

JOB = "42cb9610a0dfe807"


def _line(second, event, host="h1", **fields):
    timestamp = f"2026-12-04T10:00:{second:06.3f}Z"
    return json.dumps(fields | {"event": event, "host": host, "timestamp": timestamp})


LATE_JOB_LINES = (
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
    return build_job_history(JOB, parse_log_lines(lines))


def test_late_job_has_duration_of_each_phase():
    """Guards against a late job whose waiting and run times can't be distinguished."""
    history = _explain(LATE_JOB_LINES)
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
    assert "from queued to first started: 2.400 s" in history.findings
    assert history.findings[-1] == f"{JOB}.0.0.0 waited longest: 2.4 s"


def test_refusal_names_unavailable_store():
    """Guards against a refused submission whose lost dependency is not reported."""
    history = _explain(
        (
            _line(1.0, "job_submitted", job=JOB, outcome="not_stored", duration_s=0.0),
            _line(1.5, "table_lost", table="owners", reason="reset"),
            _line(1.6, "table_lost", host="h9", table="owners", reason="other"),
            _line(2.0, "job_submitted", job=JOB, outcome="stored", duration_s=0.1),
        )
    )
    assert "h1 answered not_stored after 0.0 s" in history.findings
    assert "h1 lost contact with the store: reset" in history.findings


def test_failed_job_names_workers():
    """Guards against a failed job whose history omits the workers of failed runs."""
    task = f"{JOB}.0.0.0"
    history = _explain(
        (
            _line(1.0, "run_ended", task=task, worker="w2", end="failed"),
            _line(2.0, "run_ended", task=task, worker="w1", end="failed"),
            _line(2.0, "job_ended", job=JOB, state="failed"),
        )
    )
    assert "2 runs failed, on w1, w2" in history.findings


def test_command_reads_files_of_several_entry_hosts(tmp_path, capsys):
    """Guards against a command that requires one file sorted by time."""
    files = [tmp_path / "a.log", tmp_path / "b.log"]
    files[0].write_text(
        "\n".join(f"  3.1 frontend-1 {line}" for line in LATE_JOB_LINES[:3])
    )
    files[1].write_text("\n".join(LATE_JOB_LINES[3:]))
    names = [str(path) for path in files]
    assert main(["explain", "log", JOB, *names]) == ExitCode.SUCCESS
    output = capsys.readouterr().out
    assert "from queued to first started: 2.400 s" in output
    assert "waited_s=2.4" in output
    assert main(["explain", "log", JOB, *names, "--json"]) == ExitCode.SUCCESS
    assert json.loads(capsys.readouterr().out)["job_id"] == JOB


def test_unknown_job_and_missing_file_are_errors(tmp_path, capsys):
    """Guards against an empty report that looks like a job without problems."""
    path = tmp_path / "a.log"
    path.write_text("\n".join(LATE_JOB_LINES))
    assert main(["explain", "log", "0" * 16, str(path)]) == ExitCode.NOT_FOUND
    assert "pass the files of all hosts" in capsys.readouterr().err
    missing_file = str(tmp_path / "none.log")
    assert main(["explain", "log", JOB, missing_file]) == ExitCode.NOT_FOUND
