"""Tests of a node's answers about placements, on tables in memory."""

import json

import msgspec
import pytest
from structlog.testing import capture_logs

from standins.entry_driver import (
    JOB,
    JOB_ID,
    KEY,
    SERVICE,
    EntryDriver,
    make_fleet,
)
from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.errors import RequestError, StoreUnavailableError
from sycamorecroft.explanations.explainer import NodeAges, PlacementAnswers
from sycamorecroft.explanations.messages import (
    ExplainOutcome,
    ExplainRequest,
    ServiceOwner,
)
from sycamorecroft.explanations.services import CopiedService, ServiceDirectory
from sycamorecroft.platform import decode_fleet
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE, QuotaEntry, QuotaRow
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.placement_question import CopyRefusal, copy_placement
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import Put, StorePurpose

HOST = "jobs.example"


class _Directory(ServiceDirectory):
    """Services of a node that owns one, or none.

    :ivar scheduler: scheduler of the service that it owns, ``None`` for none.
    :ivar refusal: answer of its actor in place of a copy; ``None`` to copy.
    """

    def __init__(self, site):
        self.site = site
        self.scheduler = None
        self.refusal = None

    def owned(self):
        return [SERVICE] if self.scheduler is not None else []

    def owner(self, service):
        return ServiceOwner(service, "h2", 7, 1.5, service in self.owned())

    def copy_placement(self, service, question, timeout_s):
        if self.refusal is not None:
            return CopiedService(self.refusal, 0.1)
        answer = copy_placement(self.scheduler, question, self.site.clock)
        return None if answer is None else CopiedService(answer, 0.1)


class _Node:
    """Node whose entry host and service are stepped by a test."""

    def __init__(self, fleet=None, workers_count=2):
        fleet = make_fleet() if fleet is None else fleet
        self.site = Site(workers_count)
        self.entry = EntryDriver()
        self.entry.publish(fleet)
        self.entry.poll_feed()
        encoded = json.dumps(fleet).encode()
        self.owner = ServiceDriver(self.site, 7, fleet=decode_fleet(encoded))
        self.services = _Directory(self.site)
        self.services.scheduler = self.owner.scheduler
        self.answers = PlacementAnswers(
            "h1",
            self.entry.configuration.router,
            self.entry.application,
            self.services,
            NodeAges(lambda: 0.7, lambda: self.entry.contact_age_s),
            self.site.clock,
        )

    def ask(self, job=JOB, **fields):
        defaults = {"host": HOST, "path": "/a/", "account": "north"}
        body = msgspec.UNSET if job is None else msgspec.Raw(json.dumps(job).encode())
        return self.answers.answer(ExplainRequest(**defaults | fields, job=body))


@pytest.fixture
def node():
    node = _Node()
    # As of a former owner that ran the account.
    row = QuotaRow(1, {SERVICE: QuotaEntry(1, None)})
    put = Put(QUOTAS_TABLE, "north", encode_row(row), QUOTAS_PART)
    node.site.tables.transact((), (put,), purpose=StorePurpose.JOBS)
    node.owner.run_steps(2)
    return node


def test_job_that_is_not_stored_is_explained_and_stays_unknown(node):
    """Guards against an explanation that submits the job."""
    reply = node.ask()
    assert reply.outcome is ExplainOutcome.EXPLAINED
    assert reply.admission.is_admitted
    (step,) = reply.placement.steps
    assert [start.worker for start in step.starts] == ["w0"]
    assert reply.placement.rank.position == 1
    assert not node.owner.scheduler.jobs
    assert not node.owner.scheduler.workers["w0"].runs


def test_ages_are_told(node):
    """Guards against answers of which nobody knows how old they are."""
    node.site.advance(0.4)
    reply = node.ask()
    assert (reply.node.host, reply.node.configuration_version) == ("h1", 1)
    assert reply.node.configuration_age_s == 0.7
    assert reply.claim_confirmed_age_s == 0.1
    assert reply.state_age_s == 0.0
    assert reply.placement.steps[0].starts[0].list_age_s == pytest.approx(0.6)


@pytest.mark.parametrize(
    "fields, status, reason",
    [
        ({"host": "else.example"}, 404, "not_found"),
        ({"path": "/b/"}, 404, "not_found"),
        ({"account": ""}, 401, "key_missing"),
        ({"account": "nobody"}, 401, "key_unknown"),
        ({"path": "/open/", "account": "nobody"}, 401, "key_unknown"),
        ({"job": {"phases": 1}}, 400, "bad_request"),
        ({"job": {"phases": []}}, 400, "bad_request"),
        ({"job": {"spec": "x" * 5000}}, 413, "request_entity_too_large"),
    ],
)
def test_refusal_of_a_submission_is_foreseen(node, fields, status, reason):
    """Guards against an explanation of jobs that would never be stored."""
    reply = node.ask(**fields)
    assert reply.outcome is ExplainOutcome.REFUSED
    admission = reply.admission
    assert (admission.status, admission.reason) == (status, reason)
    assert reply.placement is None
    key = KEY if fields.get("account", "north") == "north" else None
    if "nobody" in fields.values():
        key = "nobody's"
    path = fields.get("path", "/a/") + JOB_ID
    if "host" not in fields:
        answer = node.entry.call("POST", path, key, fields.get("job"))
        assert answer.status == status


def test_job_of_a_public_queue_needs_no_account(node):
    """Guards against a refusal that callers of the queue don't get."""
    reply = node.ask(path="/open/", account="")
    assert reply.admission.is_admitted
    assert reply.placement.job.account == ""


def test_site_without_accounts_ignores_the_account():
    """Guards against refusals where no keys are needed."""
    fleet = make_fleet()
    del fleet["tenants"]
    node = _Node(fleet)
    node.owner.run_steps(2)
    reply = node.ask(account="nobody")
    assert reply.admission.is_admitted
    assert reply.admission.is_account_known is None
    assert reply.placement.share is None


def test_submission_during_an_outage_is_refused(node):
    """Guards against an explanation that ignores that nothing can be stored."""
    node.entry.contact_age_s = 5.0
    reply = node.ask()
    assert (reply.outcome, reply.admission.status) == (ExplainOutcome.REFUSED, 503)


def test_unknown_account_is_neither_logged_nor_answered(node):
    """Guards against a key that an operator types in place of the account's name."""
    with capture_logs() as lines:
        reply = node.ask(account=KEY)
    assert lines and KEY not in repr(lines)
    assert KEY.encode() not in msgspec.json.encode(reply)


def test_no_answer_shows_keys_or_digests(node):
    """Guards against answers that hold the keys of the configuration."""
    node.site.submit(JOB_ID, make_step(4), account="north")
    node.owner.run_steps(1)
    for reply in (node.ask(), node.ask(None, id=JOB_ID), node.ask(account="")):
        text = msgspec.json.encode(reply)
        assert b"key-of" not in text
        assert b"digest" not in text


def test_node_that_does_not_own_the_service_names_the_owner(node):
    """Guards against an operator who doesn't learn whom to ask."""
    node.services.scheduler = None
    for job in (JOB, None):
        reply = node.ask(job, id=JOB_ID)
        assert reply.outcome is ExplainOutcome.NOT_OWNER
        assert reply.owners == (ServiceOwner(SERVICE, "h2", 7, 1.5),)


def test_stored_job_is_explained_by_its_id_alone(node):
    """Guards against a question that needs a route which the operator doesn't know."""
    node.site.submit(JOB_ID, make_step(20), account="north")
    node.owner.run_steps(3)
    next(iter(node.site.workers.values())).finish_all(RunOutcome.DONE)
    reply = node.ask(None, host="", path="", id=JOB_ID)
    assert reply.outcome is ExplainOutcome.EXPLAINED
    job = reply.placement.job
    assert (job.is_stored, job.state, job.runs_count) == (True, "running", 16)
    assert job.account == "north"


def test_given_job_whose_id_is_stored_is_the_stored_one(node):
    """Guards against an explanation of a second job, where a submission repeats one."""
    node.site.submit(JOB_ID, make_step(20), account="north")
    node.owner.run_steps(3)
    reply = node.ask(path=f"/a/{JOB_ID}")
    assert reply.placement.job.is_stored
    assert reply.placement.job.runs_count == 16


def test_unknown_job_is_told_from_an_unknown_owner(node):
    """Guards against a lost job that is taken for one of another owner."""
    reply = node.ask(None, id=JOB_ID)
    assert reply.outcome is ExplainOutcome.NO_SUCH_JOB
    assert reply.owners[0].is_answering


@pytest.mark.parametrize("refusal", [CopyRefusal.EXPIRED, CopyRefusal.TOO_LARGE])
def test_busy_owner_is_told_from_a_missing_one(node, refusal):
    """Guards against an operator who waits for an owner that can't answer."""
    node.services.refusal = refusal
    with pytest.raises(StoreUnavailableError, match=SERVICE):
        node.ask()


@pytest.mark.parametrize(
    "fields",
    [{"job": None}, {"job": None, "id": "x"}, {"id": "x"}, {"path": "/a/x"}],
)
def test_question_without_a_usable_id_is_invalid(node, fields):
    """Guards against ids that no submission has."""
    with pytest.raises(RequestError, match="16 hex"):
        node.ask(**fields)


def test_node_without_a_configuration_answers_nothing():
    """Guards against answers by an empty routing table."""
    node = _Node()
    answers = PlacementAnswers(
        "h1",
        lambda: None,
        node.entry.application,
        node.services,
        NodeAges(lambda: 0.0, lambda: 0.0),
        node.site.clock,
    )
    with pytest.raises(StoreUnavailableError, match="configuration"):
        answers.answer(ExplainRequest(JOB_ID))
