"""Commands that tell why a host, a job or a request is where it is."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from cyclopts import App

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    operator_client,
    path_part,
    register_commands,
)
from sycamorecroft.cli.exit_codes import UnknownNameError
from sycamorecroft.cli.log_history import LogLine, explain_job_by_lines, parse_lines
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
from sycamorecroft.errors import StoreUnavailableError


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    explain = App(name="explain", help="Tell the reasons in the order of decisions.")
    register_commands(
        explain,
        Command("host", explain_host, ("explain host rating-1",)),
        Command("job", explain_job, ("explain job safety:rating:0c5e0bd1f6b4a3c2",)),
        Command(
            "request",
            explain_request,
            ("explain request 5f0c2ab89d7e4f1b8a6c3d2e1f0a9b8c",),
        ),
        Command("log", explain_log, ("explain log 42cb9610a0dfe807 logs/*.log",)),
    )
    app.command(explain)


def explain_host(
    host: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Tell what was decided on a host and what it waits for.

    :param host: Name of the host.
    """
    path = f"{EXPLAIN_PATH}/hosts/{path_part(host)}"
    reply = operator_client(settings).call(Method.GET, path, HostFindingsReply)
    _show_findings(f"Host {host}", reply, as_json=json)


def explain_job(
    job: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Tell what was decided on a job and what it waits for.

    :param job: Id of the job.
    """
    path = f"{EXPLAIN_PATH}/jobs/{path_part(job)}"
    reply = operator_client(settings).call(Method.GET, path, JobFindingsReply)
    _show_findings(f"Job {job}", reply, as_json=json)


def explain_request(
    request: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Tell why a request was not run, or why its outcome is unknown.

    Asks all daemons. Each keeps its last 2,000 failed requests in memory.

    :param request: Value of the header Sycamorecroft-Request-Id of the answer.
    """
    path = f"{EXPLAIN_PATH}/requests/{path_part(request)}"
    replies = operator_client(settings).call_each(path, RequestReply)
    found = [item.reply for item in replies if item.reply and item.reply.record]
    if not found:
        raise _not_found(request, replies)
    reply = found[0]
    if json:
        print_json(reply)
        return
    _print_request(str(reply.entry), reply.record)


def explain_log(job: str, files: list[Path], /, *, json: JsonFlag = False) -> None:
    """Tell what became of a job on the users' machines, from the nodes' log files.

    Also tells what its hosts and workers lost or regained meanwhile.

    :param job: Id of the job, 16 hexadecimal digits.
    :param files: Log files of all hosts, in any order.
    """
    history = explain_job_by_lines(job, parse_lines(_read_lines(files)))
    if not history.lines:
        names = ", ".join(map(str, files))
        message = f"no line on job {job!r} in {names}; pass the files of all hosts"
        raise UnknownNameError(message)
    if json:
        print_json(history)
        return
    _print_log_lines(f"Job {job}", history.lines)
    _print_log_lines("Its hosts and workers meanwhile", history.related)
    for finding in history.findings:
        print_line(finding)


def _read_lines(files: Sequence[Path]) -> Iterator[str]:
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise UnknownNameError(f"{path} can't be read: {error}") from error


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


def _not_found(
    request: str, replies: Sequence[DaemonReply]
) -> UnknownNameError | StoreUnavailableError:
    silent = [item for item in replies if item.reply is None]
    if len(silent) == len(replies):
        problems = "; ".join(f"{item.url} ({item.problem})" for item in silent)
        return StoreUnavailableError(f"no daemon could be reached: {problems}")
    message = (
        f"no record of request {request!r}: it was run, came in through an entry host "
        "that isn't asked or was restarted since, or is too old"
    )
    if silent:
        urls = ", ".join(item.url for item in silent)
        message += f"; these daemons didn't answer: {urls}"
    return UnknownNameError(message)


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


def _print_request(entry: str, record: RequestRecordReply | None) -> None:
    assert record is not None
    print_line(
        f"request {record.request_id} came in through {entry} and ended at "
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
