"""Tests of ``explain placement`` against nodes whose answers are given."""

import json
import threading
import time

import msgspec
import pytest
import structlog
from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.main import main
from sycamorecroft.explanations.messages import (
    Admission,
    ExplainOutcome,
    ExplainReply,
    NodeKnowledge,
    RouteFound,
    ServiceOwner,
)
from sycamorecroft.scheduling.placement_question import (
    CopyPlacement,
    copy_placement,
    explain,
)

JOB_ID = "00112233445566aa"
TOKEN = "0123456789abcdef"
NODE = NodeKnowledge("h1", 3, 0.5, 0.1)
ROUTE = RouteFound("r-1", "rating", "/a/", False)


class _Nodes:
    """Nodes on loopback, each of which gives the answers that a test sets.

    :ivar questions: bodies of all questions.
    """

    def __init__(self):
        self.urls = []
        self.questions = []
        self._servers = []

    def add(self, *answers, delay_s=0.0):
        """
        :param answers: status and body of each answer; the last one is repeated.
        """
        left = list(answers)

        def application(environ, start_response):
            request = Request(environ)
            assert request.headers["Authorization"] == f"Bearer {TOKEN}"
            self.questions.append(json.loads(request.get_data()))
            time.sleep(delay_s)
            status, body = left.pop(0) if len(left) > 1 else left[0]
            if not isinstance(body, bytes):
                body = msgspec.json.encode(body)
            return Response(body, status)(environ, start_response)

        server = make_server("127.0.0.1", 0, application, threaded=True)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)
        self.urls.append(f"http://127.0.0.1:{server.server_port}")

    def stop(self):
        for server in self._servers:
            server.shutdown()
            server.server_close()


@pytest.fixture(autouse=True)
def lines():
    """Log lines of the stand-ins, which would be mixed with the command's output."""
    with structlog.testing.capture_logs() as captured:
        yield captured


@pytest.fixture
def nodes():
    nodes = _Nodes()
    yield nodes
    nodes.stop()


@pytest.fixture
def run(nodes, tmp_path, capsys):
    def run(*arguments, timeout_s=5.0):
        path = tmp_path / "tool.jsonc"
        settings = {
            "node_urls": nodes.urls,
            "operator_token": TOKEN,
            "timeout_s": timeout_s,
        }
        path.write_text(json.dumps(settings), encoding="utf-8")
        arguments = arguments or ("--id", JOB_ID)
        code = main(["explain", "placement", *arguments, "--settings", str(path)])
        return code, *capsys.readouterr()

    return run


def _explained(epoch=1):
    """Returns the answer of an owner about a job that waits and one that starts."""
    site = Site(2)
    owner = ServiceDriver(site, epoch, slowdown_ratio=3.0)
    site.submit("fill", make_step(10, preferred_rack="r0"))
    owner.run_steps(2)
    site.submit(JOB_ID, make_step(9, preferred_rack="r0"), make_step(1))
    owner._read_jobs()
    question = CopyPlacement(JOB_ID, None, float("inf"))
    placement = explain(
        copy_placement(owner.scheduler, question, site.clock), lambda: False
    )
    owners = (ServiceOwner("rating", f"h{epoch}", epoch, 0.5, True),)
    return ExplainReply(
        ExplainOutcome.EXPLAINED, NODE, ROUTE, None, owners, 0.1, 0.0, placement
    )


def _not_owner(*owners):
    return ExplainReply(ExplainOutcome.NOT_OWNER, NODE, owners=owners)


def _no_such_job(*owners):
    return ExplainReply(ExplainOutcome.NO_SUCH_JOB, NODE, owners=owners)


def test_answer_of_the_latest_owner_is_shown(nodes, run):
    """Guards against an explanation by an owner that has lost the service."""
    nodes.add((200, _explained(4)), delay_s=0.1)
    nodes.add((200, _explained(2)))
    nodes.add((200, _not_owner(ServiceOwner("rating", "h2", 2, 9.0))))
    code, output, _ = run("--id", JOB_ID, "--json")
    assert code == ExitCode.SUCCESS
    assert json.loads(output)["placement"]["epoch"] == 4


def test_silent_node_does_not_hold_up_the_answer(nodes, run):
    """Guards against a command that takes as long as the slowest node."""
    nodes.add((200, _explained()))
    nodes.add((200, _explained()), delay_s=4.0)
    started_s = time.monotonic()
    code, output, _ = run(timeout_s=20.0)
    assert code == ExitCode.SUCCESS
    assert time.monotonic() - started_s < 3.0
    main_thread = threading.main_thread()
    assert all(t.daemon for t in threading.enumerate() if t is not main_thread)
    assert "place 2 of 2 waiting jobs" in output
    assert "waits for rack r0" in output


def test_owner_that_was_not_asked_is_not_taken_for_a_missing_job(nodes, run):
    """Guards against 'no such job' while the job's owner was never reached."""
    here = ServiceOwner("rating", "h1", 1, 0.5, True)
    other = ServiceOwner("hotline", "h9", 7, 12.5)
    nodes.add((200, _no_such_job(here, other)))
    code, _, error = run()
    assert code == ExitCode.UNAVAILABLE
    assert "hotline is owned by h9 (epoch 7), as known for 12.5 s" in error
    nodes.add((200, _no_such_job(msgspec.structs.replace(other, is_answering=True))))
    assert run()[0] == ExitCode.NOT_FOUND


def test_service_without_an_owner_is_told(nodes, run):
    """Guards against an operator who looks for an owner that there isn't."""
    nodes.add((200, _not_owner(ServiceOwner("rating", "", 3, 0.5))))
    code, _, error = run()
    assert code == ExitCode.UNAVAILABLE
    assert "service rating has no owner" in error


def test_busy_node_is_asked_again(nodes, run):
    """Guards against a command that fails since somebody else asks, too."""
    busy = {"error": "too_often", "message": "two a second"}
    nodes.add((429, busy), (200, _explained()))
    assert run()[0] == ExitCode.SUCCESS
    assert len(nodes.questions) == 2


@pytest.mark.parametrize(
    "status, body, code",
    [
        (200, b"{", ExitCode.UNAVAILABLE),
        (200, b"x" * 2_000_000, ExitCode.UNAVAILABLE),
        (413, b"too large", ExitCode.UNAVAILABLE),
        (404, {"error": "not_found", "message": "no"}, ExitCode.UNAVAILABLE),
        (503, {"error": "unavailable", "message": "no"}, ExitCode.UNAVAILABLE),
        (500, {"error": "error", "message": "no"}, ExitCode.UNAVAILABLE),
        (401, {"error": "unauthorised", "message": "no"}, ExitCode.REFUSED),
        (400, {"error": "invalid", "message": "no"}, ExitCode.INVALID),
    ],
)
def test_answer_without_an_explanation_has_its_exit_code(
    nodes, run, status, body, code
):
    """Guards against a failed question that looks like an explanation."""
    nodes.add((status, body))
    result, output, error = run()
    assert (result, output) == (code, "")
    assert error


def test_refused_job_is_told_with_its_ground(nodes, run, tmp_path):
    """Guards against programs that take a job for admitted which would be refused."""
    admission = Admission(False, 401, "key_unknown", "", False)
    nodes.add((200, ExplainReply(ExplainOutcome.REFUSED, NODE, ROUTE, admission)))
    file = tmp_path / "job.json"
    file.write_text('{"phases": [{"count": 1}]}', encoding="utf-8")
    code, output, error = run(str(file), "--host", "h", "--path", "/a/")
    assert code == ExitCode.UNSUCCESSFUL
    assert "client account: not known" in output
    assert "key_unknown" in error
    assert nodes.questions[0]["job"] == {"phases": [{"count": 1}]}


@pytest.mark.parametrize(
    "arguments, code",
    [
        (("absent.json", "--host", "h", "--path", "/a/"), ExitCode.NOT_FOUND),
        (("absent.json",), ExitCode.INVALID),
        (("--host", "h", "--path", "/a/"), ExitCode.INVALID),
        (("--nothing",), ExitCode.USAGE),
    ],
)
def test_incomplete_command_asks_nobody(nodes, run, arguments, code):
    """Guards against questions that no node can answer."""
    nodes.add((200, _explained()))
    assert run(*arguments)[0] == code
    assert not nodes.questions


def test_file_that_is_not_json_is_refused(nodes, run, tmp_path):
    """Guards against a malformed question that every node refuses."""
    nodes.add((200, _explained()))
    file = tmp_path / "job.json"
    file.write_text("{", encoding="utf-8")
    code, _, error = run(str(file), "--host", "h", "--path", "/a/")
    assert code == ExitCode.INVALID
    assert "not valid JSON" in error
