"""Commands that explain the state of a host or job and the outcome of a request."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from cyclopts import App

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    quote_path_segment,
    register_commands,
)
from sycamorecroft.cli.exit_codes import NotFoundError
from sycamorecroft.cli.log_history import LogLine, build_job_history, parse_log_lines
from sycamorecroft.cli.operator_client import DaemonReply, Method
from sycamorecroft.cli.operator_messages import (
    EXPLAIN_PATH,
    FindingReply,
    HostFindingsReply,
    JobFindingsReply,
    RequestRecordReply,
    RequestReply,
)
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.cli.placement_commands import explain_placement
from sycamorecroft.errors import StoreUnavailableError


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    explain = App(
        name="explain",
        help="Explain hosts, jobs, requests and placements by the decisions on them.",
    )
    register_commands(
        explain,
        Command("host", explain_host, ("explain host rating-1",)),
        Command("job", explain_job, ("explain job safety:rating:0c5e0bd1f6b4a3c2",)),
        Command(
            "request",
            explain_request,
            ("explain request 5f0c2ab89d7e4f1b8a6c3d2e1f0a9b8c",),
        ),
        Command(
            "placement",
            explain_placement,
            (
                "explain placement job.json --host jobs.example --path /a/ "
                "--account cugo130",
                "explain placement --id 00112233445566aa",
            ),
        ),
        Command("log", explain_log, ("explain log 42cb9610a0dfe807 logs/*.log",)),
    )
    app.command(explain)


def explain_host(
    host: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show the decisions made on a host and what it waits for.

    :param host: Name of the host.
    """
    path = f"{EXPLAIN_PATH}/hosts/{quote_path_segment(host)}"
    reply = create_operator_client(settings).call(Method.GET, path, HostFindingsReply)
    _show_findings(f"Host {host}", reply, as_json=json)


def explain_job(
    job: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show the decisions made on a job and what it waits for.

    :param job: Id of the job.
    """
    path = f"{EXPLAIN_PATH}/jobs/{quote_path_segment(job)}"
    reply = create_operator_client(settings).call(Method.GET, path, JobFindingsReply)
    _show_findings(f"Job {job}", reply, as_json=json)


def explain_request(
    request: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show why a request was not run, or why its outcome is unknown.

    Queries all daemons. Each keeps its last 2,000 failed requests in memory.

    :param request: Value of the response header Sycamorecroft-Request-Id.
    """
    path = f"{EXPLAIN_PATH}/requests/{quote_path_segment(request)}"
    replies = create_operator_client(settings).call_each(path, RequestReply)
    matches = [item.reply for item in replies if item.reply and item.reply.record]
    if not matches:
        raise _create_not_found_error(request, replies)
    reply = matches[0]
    if json:
        print_json(reply)
        return
    _print_request(str(reply.entry), reply.record)


def explain_log(job: str, files: list[Path], /, *, json: JsonFlag = False) -> None:
    """Reconstruct the history of a job from the log files of the nodes.

    Includes the dependencies that its hosts and workers lost or regained meanwhile.

    :param job: Id of the job, 16 hexadecimal digits.
    :param files: Log files of all entry hosts, in any order.
    """
    history = build_job_history(job, parse_log_lines(_read_lines(files)))
    if not history.lines:
        names = ", ".join(map(str, files))
        message = f"no log line of job {job!r} in {names}; pass the files of all hosts"
        raise NotFoundError(message)
    if json:
        print_json(history)
        return
    _print_log_lines(f"Job {job}", history.lines)
    _print_log_lines("Related events of its hosts and workers", history.related)
    for finding in history.findings:
        print_line(finding)


def _read_lines(files: Sequence[Path]) -> Iterator[str]:
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise NotFoundError(f"{path} can't be read: {error}") from error


def _print_log_lines(title: str, lines: Sequence[LogLine]) -> None:
    print_table(
        title,
        ("time", "host", "event", "task", ""),
        (
            (
                line.told_at.strftime("%H:%M:%S.%f")[:-3],
                line.host,
                line.event,
                line.subject.partition(".")[2],
                " ".join(f"{name}={value}" for name, value in line.fields.items()),
            )
            for line in lines
        ),
    )


def _create_not_found_error(
    request: str, replies: Sequence[DaemonReply]
) -> NotFoundError | StoreUnavailableError:
    unanswered = [item for item in replies if item.reply is None]
    if len(unanswered) == len(replies):
        problems = "; ".join(f"{item.url} ({item.problem})" for item in unanswered)
        return StoreUnavailableError(f"no daemon could be reached: {problems}")
    message = (
        f"no record of request {request!r}: it was run, came in through an entry host "
        "that isn't asked or was restarted since, or is too old"
    )
    if unanswered:
        urls = ", ".join(item.url for item in unanswered)
        message += f"; these daemons didn't answer: {urls}"
    return NotFoundError(message)


def _show_findings(
    title: str, reply: HostFindingsReply | JobFindingsReply, *, as_json: bool
) -> None:
    if as_json:
        print_json(reply)
        return
    findings: Sequence[FindingReply] = reply.findings
    print_table(
        title,
        ("step", "finding", ""),
        (
            (item.step, item.detail, "<- waits for this" if item.holds_up else "")
            for item in findings
        ),
    )
    if not any(item.holds_up for item in findings):
        print_line("it waits for nothing")


def _print_request(entry_host: str, record: RequestRecordReply | None) -> None:
    assert record is not None
    print_line(
        f"request {record.request_id} came in through {entry_host} and ended at "
        f"{record.ended_at}: {record.outcome}, reason {record.reason}"
    )
    print_line(
        f"service {record.service or 'unknown'}, team {record.team or 'unknown'}, "
        f"urgency {record.urgency or 'unknown'}, {record.body_bytes} bytes, "
        f"{record.duration_ms} ms"
    )
    print_line(record.message)
    print_table(
        "Steps",
        ("step", "result", "worker", "duration"),
        (
            (item.step, item.result, item.host or "", f"{item.duration_ms} ms")
            for item in record.steps
        ),
    )
