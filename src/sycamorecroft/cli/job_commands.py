"""Commands that submit, show, list, cancel and follow jobs."""

from hashlib import sha256
from typing import Annotated
from urllib.parse import urlencode

import msgspec
from cyclopts import App, Parameter

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    quote_path_segment,
    register_commands,
)
from sycamorecroft.cli.exit_codes import UnsuccessfulError
from sycamorecroft.cli.operator_client import Method
from sycamorecroft.cli.operator_messages import (
    JOBS_PATH,
    JobSizeBody,
    JobsReply,
    JobSubmission,
)
from sycamorecroft.cli.output import json_line, print_json, print_line, print_table
from sycamorecroft.cli.watching import WaitLimit, watch_until
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.jobs import JobRecord, JobState

_KEY_LENGTH_DIGITS = 32
_ENDED_STATES = (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    jobs = App(name="jobs", help="Submit and follow jobs.")
    job = "safety:rating:0c5e0bd1f6b4a3c2"
    register_commands(
        jobs,
        Command(
            "submit",
            submit,
            (
                "jobs submit 'rate --day 2026-12-01' --service rating --team council "
                "--processors 4",
            ),
        ),
        Command("show", show_job, (f"jobs show {job}",)),
        Command("list", list_jobs, ("jobs list --account safety --service rating",)),
        Command("cancel", cancel, (f"jobs cancel {job}",)),
        Command("follow", follow, (f"jobs follow {job}",)),
    )
    app.command(jobs)


def submit(
    command: str,
    *,
    service: Annotated[str, Parameter(help="Service whose pool runs the job.")],
    team: Annotated[str, Parameter(help="Team whose quota the job counts against.")],
    urgency: Annotated[Urgency, Parameter(help="Urgency class.")] = Urgency.NORMAL,
    processors: Annotated[
        float, Parameter(help="Number of processors that the job needs.")
    ] = 1.0,
    memory_bytes: Annotated[
        int, Parameter(help="Memory that the job needs, in bytes.")
    ] = 0,
    accelerators: Annotated[
        int, Parameter(help="Number of accelerators that the job needs.")
    ] = 0,
    key: Annotated[
        str | None,
        Parameter(help="Idempotency key; derived from the submission by default."),
    ] = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Submit a job; it is stored durably once this command succeeds.

    Repeating a submission returns the same job; give another --key to run the same
    command once more.

    :param command: Command that the worker runs.
    """
    size = JobSizeBody(processors, memory_bytes, accelerators)
    submission = JobSubmission(service, command, team, urgency, size)
    derived_key = sha256(msgspec.json.encode(submission)).hexdigest()[
        :_KEY_LENGTH_DIGITS
    ]
    record = create_operator_client(settings).call(
        Method.POST,
        JOBS_PATH,
        JobRecord,
        body=submission,
        idempotency_key=key or derived_key,
    )
    _print_job(record, json)
    if not json:
        print_line(f"to follow it: sycamorecroft jobs follow {record['job_id']}")


def show_job(
    job: str, *, settings: SettingsPath = None, json: JsonFlag = False
) -> None:
    """Show all fields of a job.

    :param job: Id of the job.
    """
    record = create_operator_client(settings).call(
        Method.GET, _job_path(job), JobRecord
    )
    if json:
        print_json(record)
        return
    rows = ((name, "" if value is None else value) for name, value in record.items())
    print_table(f"Job {job}", ("field", "value"), rows)


def list_jobs(
    *,
    account: Annotated[str, Parameter(help="Client account.")],
    service: Annotated[str | None, Parameter(help="Only jobs of this service.")] = None,
    ended: Annotated[
        bool, Parameter(negative="", help="Include jobs that have ended.")
    ] = False,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """List the jobs of a client account."""
    query = {"account": account}
    if service is not None:
        query["service"] = service
    if ended:
        query["ended"] = "yes"
    path = f"{JOBS_PATH}?{urlencode(query)}"
    reply = create_operator_client(settings).call(Method.GET, path, JobsReply)
    if json:
        print_json(reply)
        return
    print_table(
        f"Jobs of {account}, {len(reply.jobs)} of {reply.jobs_count}",
        ("job", "state", "team", "urgency", "attempts", "worker", "reason"),
        (
            (
                job["job_id"],
                job["state"].value,
                job["team"],
                job["urgency"].value,
                job["attempt"],
                job["worker"] or "",
                job["reason"],
            )
            for job in reply.jobs
        ),
    )


def cancel(job: str, *, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """Request the cancellation of a job; a job that has ended is not changed.

    :param job: Id of the job.
    """
    record = create_operator_client(settings).call(
        Method.DELETE, _job_path(job), JobRecord
    )
    _print_job(record, json)


def follow(
    job: str,
    *,
    limit_s: WaitLimit = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Print each change of a job until it ends.

    Interrupting the command does not cancel the job.

    :param job: Id of the job.
    """
    client = create_operator_client(settings)
    record = watch_until(
        lambda: client.call(Method.GET, _job_path(job), JobRecord),
        json_line if json else _describe_job,
        lambda value: value["state"] in _ENDED_STATES,
        limit_s,
    )
    if record["state"] is not JobState.SUCCEEDED:
        message = (
            f"job {job} {record['state'].value}: {record['reason'] or 'no reason'}"
        )
        raise UnsuccessfulError(message)


def _job_path(job: str) -> str:
    return f"{JOBS_PATH}/{quote_path_segment(job)}"


def _print_job(record: JobRecord, as_json: bool) -> None:
    print_line(json_line(record) if as_json else _describe_job(record))


def _describe_job(record: JobRecord) -> str:
    text = f"job {record['job_id']} is {record['state'].value}"
    if record["worker"]:
        text += f", attempt {record['attempt']} on {record['worker']}"
    if record["is_cancel_requested"]:
        text += ", cancellation requested"
    if record["reason"]:
        text += f": {record['reason']}"
    return text
