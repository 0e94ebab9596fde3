"""The command that explains where a job would be placed now."""

from collections.abc import Iterable, Iterator, Sequence
from http import HTTPStatus
from pathlib import Path

import msgspec

from sycamorecroft.cli.common import JsonFlag, SettingsPath, load_given_settings
from sycamorecroft.cli.exit_codes import (
    NotFoundError,
    OperatorTokenRefusedError,
    UnsuccessfulError,
)
from sycamorecroft.cli.node_client import NodeAnswer, NodeClient
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.errors import (
    RequestError,
    SettingsError,
    StoreUnavailableError,
    SycamorecroftError,
)
from sycamorecroft.explanations.messages import (
    ExplainOutcome,
    ExplainReply,
    ExplainRequest,
    ServiceOwner,
)
from sycamorecroft.scheduling.placement_explanation import (
    JobExplanation,
    NearWait,
    PlacementExplanation,
    RankExplanation,
    StepExplanation,
)
from sycamorecroft.settings import ToolSettings

NODES_LIMIT_COUNT = 99


def explain_placement(
    file: Path | None = None,
    /,
    *,
    host: str = "",
    path: str = "",
    account: str = "",
    id: str = "",
    node: list[str] | None = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Show where a job would be placed now and why, without sending it.

    Asks the nodes until the owner of the job's service has answered. The answer holds
    for the moment at which it is made.

    :param file: File with the JSON body of the submission. Without one, a stored job is
        explained by its id.
    :param host: Host name of the submission's route.
    :param path: Path prefix of the route, or whole path of the submission.
    :param account: Name of the client account, not its key.
    :param id: Id of the job, 16 hexadecimal digits.
    :param node: Base URL of a node's listen address for metrics; may be repeated.
        node_urls of the settings by default.
    """
    loaded = load_given_settings(settings)
    request = _create_request(file, host, path, account, id)
    client = _create_client(loaded, node or list(loaded.node_urls))
    answers = client.ask(request)
    reply = answers[-1].reply
    if reply is not None:
        if json:
            print_json(reply)
        else:
            _print_reply(reply)
    error = _error(answers)
    if error is not None:
        raise error


def _create_request(
    file: Path | None, host: str, path: str, account: str, job_id: str
) -> ExplainRequest:
    if file is None:
        if not job_id:
            raise RequestError("name a file with a job, or a stored job with --id")
        return ExplainRequest(job_id, host, path)
    if not (host and path):
        raise RequestError("a job that isn't stored needs --host and --path")
    try:
        body = file.read_bytes()
        # Malformed texts would make the whole question malformed.
        msgspec.json.decode(body)
    except OSError as error:
        raise NotFoundError(f"{file} can't be read: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(f"{file} is not valid JSON: {error}") from error
    return ExplainRequest(job_id, host, path, account, msgspec.Raw(body))


def _create_client(settings: ToolSettings, urls: Sequence[str]) -> NodeClient:
    if not urls:
        raise SettingsError("no node to ask; use --node or set node_urls")
    if len(urls) > NODES_LIMIT_COUNT:
        raise SettingsError(f"at most {NODES_LIMIT_COUNT} nodes, got {len(urls)}")
    if settings.operator_token is None:
        raise SettingsError("operator_token is missing; set that of the nodes")
    return NodeClient(urls, settings.operator_token, settings.timeout_s)


def _error(answers: Sequence[NodeAnswer]) -> SycamorecroftError | None:
    """Returns what the command ends with, ``None`` if the placement is explained."""
    reply = answers[-1].reply
    if reply is None:
        return _silence_error(answers)
    match reply.outcome:
        case ExplainOutcome.EXPLAINED:
            return None
        case ExplainOutcome.REFUSED:
            assert reply.admission is not None
            return UnsuccessfulError(
                f"the job would be refused with {reply.admission.status} "
                f"{reply.admission.reason}"
            )
    missing = list(_unasked_owners(answers))
    if not missing:
        return NotFoundError("no owner of a service has an active job with this id")
    owners = "; ".join(map(_describe_owner, missing))
    problems = _describe_problems(answers)
    return StoreUnavailableError(f"the owner was not reached: {owners}{problems}")


def _silence_error(answers: Sequence[NodeAnswer]) -> SycamorecroftError:
    statuses = {answer.status for answer in answers}
    if statuses == {HTTPStatus.UNAUTHORIZED}:
        return OperatorTokenRefusedError(answers[0].problem)
    if HTTPStatus.BAD_REQUEST in statuses:
        return RequestError(
            next(a.problem for a in answers if a.status == HTTPStatus.BAD_REQUEST)
        )
    return StoreUnavailableError(f"no node has answered{_describe_problems(answers)}")


def _unasked_owners(answers: Sequence[NodeAnswer]) -> Iterator[ServiceOwner]:
    """Yields the owners that haven't answered, as the last answer names them."""
    asked = {
        owner.service
        for answer in answers
        if answer.reply is not None
        for owner in answer.reply.owners
        if owner.is_answering
    }
    last = answers[-1].reply
    assert last is not None
    for owner in last.owners:
        if owner.service not in asked:
            yield owner


def _describe_owner(owner: ServiceOwner) -> str:
    if not owner.host:
        return f"service {owner.service} has no owner"
    return (
        f"service {owner.service} is owned by {owner.host} (epoch {owner.epoch}), as "
        f"known for {owner.known_for_s} s"
    )


def _describe_problems(answers: Iterable[NodeAnswer]) -> str:
    problems = [f"{a.url} ({a.problem})" for a in answers if a.reply is None]
    return f"; without an answer: {', '.join(problems)}" if problems else ""


def _print_reply(reply: ExplainReply) -> None:
    node = reply.node
    print_line(
        f"answered by {node.host}: configuration version {node.configuration_version}, "
        f"known until {node.configuration_age_s} s ago; store answered "
        f"{node.store_contact_age_s} s ago"
    )
    if reply.route is not None:
        kind = "public" if reply.route.is_public else "with keys"
        print_line(
            f"queue {reply.route.queue} of service {reply.route.service}, {kind}"
        )
    if reply.admission is not None:
        _print_admission(reply)
    for owner in reply.owners:
        print_line(_describe_owner(owner))
    if reply.placement is not None:
        _print_placement(reply, reply.placement)


def _print_admission(reply: ExplainReply) -> None:
    admission = reply.admission
    assert admission is not None
    known = {None: "not needed", True: "known", False: "not known"}
    print_line(f"client account: {known[admission.is_account_known]}")
    verdict = "admitted" if admission.is_admitted else "refused"
    reasons = " ".join(filter(None, (admission.reason, admission.text)))
    print_line(f"{verdict}: {admission.status} {reasons}".rstrip())


def _print_placement(reply: ExplainReply, placement: PlacementExplanation) -> None:
    print_line(
        f"state of {placement.service} (epoch {placement.epoch}, "
        f"{placement.workers_count} workers) is {reply.state_age_s} s old; its claim "
        f"was known to hold {reply.claim_confirmed_age_s} s ago"
    )
    _print_job(placement.job)
    if placement.rank is not None:
        _print_rank(placement.rank)
    if placement.share is not None:
        share = placement.share
        print_line(
            f"share of the account: {share.due_ratio:.2%} due, "
            f"{share.in_use_ratio:.2%} in use"
        )
    for step in placement.steps:
        _print_step(step)


def _print_job(job: JobExplanation) -> None:
    stored = "stored" if job.is_stored else "not stored"
    print_line(
        f"job {job.id} ({stored}, {job.state}): {job.runs_count} runs, "
        f"{job.steps_waiting_count} steps could start, {job.steps_later_count} later"
    )
    if job.next_due_ms is not None:
        print_line(f"next occurrence due at {job.next_due_ms} ms of Unix time")
    if job.runs:
        rows = [(r.task, r.worker, r.phase, _distance(r.is_far)) for r in job.runs]
        print_table("Runs", ("task", "worker", "phase", ""), rows)


def _print_rank(rank: RankExplanation) -> None:
    late = "late" if rank.is_late else "in time"
    excess = ", beyond the account's rate" if rank.is_excess else ""
    print_line(
        f"place {rank.position} of {rank.waiting_jobs_count} waiting jobs: priority "
        f"{rank.priority}, {late} (needs {rank.needed_s} s, objective in "
        f"{rank.objective_in_s} s){excess}"
    )
    if rank.before:
        print_table(
            "Before it",
            ("reason", "jobs", "first"),
            ((b.reason, b.jobs_count, ", ".join(b.jobs)) for b in rank.before),
        )


def _print_step(step: StepExplanation) -> None:
    demand = step.demand
    wishes = [
        f"{name} {value}"
        for name, value in (
            ("requires", step.required_label),
            ("prefers", step.preferred_rack),
        )
        if value
    ]
    beyond = ["its account has reached its share"] if step.is_beyond_share else []
    print_line(
        f"step {step.occurrence}.{step.step}: "
        + ", ".join(
            [
                f"{step.waiting_count} of {step.tasks_count} tasks wait",
                f"{demand.cpu_millicores} mcores {demand.memory_mb} MB "
                f"{demand.gpu_count} accelerators each",
                *wishes,
                *beyond,
            ]
        )
    )
    print_table(
        "Next placement",
        ("tasks", "outcome", "worker", "rack", "", "run list"),
        _outcome_rows(step),
    )
    if step.near_wait is not None:
        print_line(_describe_wait(step.near_wait))
    near = f", {step.near_candidates_count} near" if step.preferred_rack else ""
    print_table(
        f"Workers with room: {step.candidates_count}{near}; the first",
        ("worker", "rack", "", "free mcores", "free MB", "accelerators", "run list"),
        (
            (
                c.worker,
                c.rack,
                "" if c.is_near is None else _distance(not c.is_near),
                *(c.free.cpu_millicores, c.free.memory_mb, c.free.gpu_count),
                _age(c.list_age_s),
            )
            for c in step.candidates
        ),
    )
    if step.excluded:
        print_table(
            "Excluded workers",
            ("reason", "workers", "first"),
            ((e.reason, e.workers_count, ", ".join(e.workers)) for e in step.excluded),
        )


def _outcome_rows(step: StepExplanation) -> Iterator[tuple[object, ...]]:
    for start in step.starts:
        yield (
            start.task,
            "starts",
            start.worker,
            start.rack,
            _distance(start.is_far),
            _age(start.list_age_s),
        )
    for left in step.left:
        yield f"{left.tasks_count} ({left.tasks[0]} ...)", left.reason, "", "", "", ""


def _describe_wait(wait: NearWait) -> str:
    verdict = "waits for" if wait.is_waiting else "doesn't wait for"
    parts = [f"{verdict} rack {wait.rack}", f"has waited {wait.waited_s} s"]
    if wait.reason:
        parts.append(f"reason {wait.reason}")
    if wait.limit_in_s is not None:
        parts.append(f"at the latest until {wait.limit_in_s} s from now")
    if wait.near_start_in_s is not None:
        parts.append(f"expected start there in {wait.near_start_in_s} s")
    if wait.far_extra_s is not None:
        parts.append(f"a far run takes {wait.far_extra_s} s longer")
    return ", ".join(parts)


def _distance(is_far: bool) -> str:
    return "far" if is_far else "near"


def _age(age_s: float | None) -> str:
    return "none" if age_s is None else f"{age_s} s ago"
