"""Tests of the responses to callers."""

import io
import json

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import SERVICE
from sycamorecroft.clock import SystemClock
from sycamorecroft.ownership.rows import PENDING_TABLE
from sycamorecroft.platform import decode_fleet, decode_job, read_key_digest
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.rows import jobs_part
from sycamorecroft.serving.application import JobApplication, ServingSettings
from sycamorecroft.serving.authentication import Authentication
from sycamorecroft.serving.configuration_lookup import ConfigurationLookup
from sycamorecroft.serving.job_store import JobStore
from sycamorecroft.serving.router import Router
from sycamorecroft.store.interfaces import Put, StorePurpose

JOB_ID = "00112233445566aa"
FLEET = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "Jobs.example",
            "prefix": "/a/",
            "service": SERVICE,
            "attempts": 2,
        },
        {"name": "r-2", "host": "jobs.example", "prefix": "/a/b/", "service": "other"},
    ],
    "services": [{"name": SERVICE}, {"name": "other"}],
    "limits": {"max-body-bytes": 5000},
}
JOB = {"spec": "text", "phases": [{"count": 2, "cpu": 500, "mem-mb": 10}]}


class _Caller:
    def __init__(self, row_limit_bytes=65536):
        self.tables = MemoryPartitions()
        self.router = Router(decode_fleet(json.dumps(FLEET).encode()))
        self.contact_age_s = 0.0
        self.host_sizes: tuple[Resources, ...] = ()
        clock = SystemClock()
        store = JobStore(self.tables, clock, lambda: self.contact_age_s)
        lookup = ConfigurationLookup(lambda: None, clock, waiting_limit_count=1)
        self.application = JobApplication(
            lambda: self.router,
            decode_job,
            store,
            Authentication(read_key_digest, lookup, clock, lambda: self.contact_age_s),
            clock,
            ServingSettings(row_limit_bytes),
            host_sizes=lambda: self.host_sizes,
        )

    def call(self, method, path, body=b"", host="jobs.example", timeout_ms="500"):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": host,
            "HTTP_X_DEADLINE_MS": timeout_ms,
            "wsgi.input": io.BytesIO(body),
        }
        self.headers = {}

        def start_response(status, headers):
            self.status = int(status.split()[0])
            self.headers = dict(headers)

        response = b"".join(self.application(environ, start_response))
        return self.status, json.loads(response)


@pytest.fixture
def caller():
    return _Caller()


def _job(**changes):
    return json.dumps(JOB | changes).encode()


def test_job_is_submitted_reported_and_cancelled(caller):
    """Guards against responses that differ from what is stored."""
    path = f"/a/{JOB_ID}"
    assert caller.call("GET", path)[0] == 410
    assert caller.call("POST", path, _job())[0] == 200
    assert caller.call("GET", path) == (200, {"state": "queued"})
    assert caller.call("DELETE", path)[0] == 200
    assert caller.call("GET", path) == (200, {"state": "cancelled"})
    assert caller.call("GET", "/a/") == (200, {"pending": 0})


def test_malformed_count_is_reported_as_such(caller):
    """Guards against a count that can't be read and is taken for an outage or an
    internal error.
    """
    put = Put(PENDING_TABLE, "r-1", b"x", SERVICE)
    caller.tables.transact((), (put,), purpose=StorePurpose.JOBS)
    status, body = caller.call("GET", "/a/")
    assert (status, body["reason"]) == (503, "the queue's count can't be read")


def test_longest_prefix_selects_the_queue(caller):
    """Guards against a job that runs on the workers of another service."""
    caller.call("POST", f"/a/b/{JOB_ID}", _job())
    assert caller.tables.row("jobs.other", JOB_ID, jobs_part(JOB_ID))


@pytest.mark.parametrize("path", ["/x/" + JOB_ID, "/a/short", "/a/" + "G" * 16])
def test_unknown_paths_are_not_found(caller, path):
    """Guards against jobs submitted under paths that match no queue."""
    assert caller.call("POST", path, _job())[0] == 404


def test_capital_digits_of_an_id_are_accepted_as_written(caller):
    """Guards against jobs refused, or taken for another job, for the spelling of their
    id.
    """
    job_id = "00112233445566Aa"
    assert caller.call("POST", f"/a/{job_id}", _job())[0] == 200
    assert caller.tables.row(f"jobs.{SERVICE}", job_id, jobs_part(job_id))
    assert caller.call("GET", f"/a/{job_id}") == (200, {"state": "queued"})
    assert caller.call("GET", f"/a/{job_id.lower()}")[0] == 410
    assert caller.call("DELETE", f"/a/{job_id}")[0] == 200
    assert caller.call("GET", f"/a/{job_id}") == (200, {"state": "cancelled"})


@pytest.mark.parametrize("end", ["\n", "a", "\u00e9"])
def test_id_with_further_characters_is_not_found(caller, end):
    """Guards against a job whose id, with a line feed at its end, is no id."""
    assert caller.call("POST", f"/a/{JOB_ID}{end}", _job())[0] == 404


def test_task_that_fits_on_no_host_is_refused_at_once(caller):
    """Guards against jobs that can never be placed and against premature refusals."""
    large_job = _job(phases=[{"count": 1, "cpu": 65000, "mem-mb": 10}])
    assert caller.call("POST", f"/a/{JOB_ID}", large_job)[0] == 200
    caller.host_sizes = (Resources(64000, 1000), Resources(8000, 9000))
    other_job_id = "f" * 16
    status, response = caller.call("POST", f"/a/{other_job_id}", large_job)
    assert status == 400
    assert "split the task" in response["reason"]
    fitting_job = _job(phases=[{"count": 9, "cpu": 64000, "mem-mb": 1000}])
    assert caller.call("POST", f"/a/{other_job_id}", fitting_job)[0] == 200
    whole_host_job = _job(
        phases=[{"count": 1, "cpu": 99000, "mem-mb": 10, "fills": True}]
    )
    assert caller.call("POST", f"/a/{'e' * 16}", whole_host_job)[0] == 200


def test_unknown_host_is_not_found(caller):
    """Guards against jobs for a host name that isn't configured."""
    assert caller.call("POST", f"/a/{JOB_ID}", _job(), host="else.example")[0] == 404


def test_no_configuration_is_unavailable(caller):
    """Guards against a permanent refusal while the entry host is still starting."""
    caller.router = None
    status, _ = caller.call("POST", f"/a/{JOB_ID}", _job())
    assert status == 503
    assert caller.headers["Retry-After"] == "1"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"spec": 5}',
        _job(phases=[]),
        _job(phases=[{"count": 0}]),
        _job(phases=[{"count": -1}]),
        _job(phases=[{"count": 1, "cpu": -5}]),
        _job(phases=[{"count": 1, "after": [0]}]),
        _job(phases=[{"count": 1, "after": [7]}]),
        _job(phases=[{"count": 100000}]),
        _job(spec="x" * 4001),
        _job(times=-1),
    ],
)
def test_invalid_jobs_are_refused(caller, body):
    """Guards against jobs that can't run and against input that crashes a process."""
    status, response = caller.call("POST", f"/a/{JOB_ID}", body)
    assert status == 400
    assert response["reason"]
    assert caller.call("GET", f"/a/{JOB_ID}")[0] == 410


def test_body_over_the_limit_is_refused(caller):
    """Guards against bodies over the limit of the configuration."""
    body = _job(phases=[JOB["phases"][0]] * 200)
    assert caller.call("POST", f"/a/{JOB_ID}", body)[0] == 413


def test_job_that_no_row_can_hold_is_refused_at_once(caller):
    """Guards against a job that is tried until the deadline and fails others.

    Empty fields are left out of a body and not of a row. The store refuses the whole
    transaction, with the jobs that other callers have submitted at the same time.
    """
    caller.router = Router(decode_fleet(json.dumps(FLEET | {"limits": {}}).encode()))
    body = _job(phases=[{"count": 1, "cpu": 1}] * 1000)
    assert len(body) < ServingSettings(65536).row_limit_bytes / 2
    status, response = caller.call("POST", f"/a/{JOB_ID}", body)
    assert status == 400
    assert "65536 bytes" in response["reason"]
    assert caller.call("GET", f"/a/{JOB_ID}")[0] == 410
    fitting = _job(phases=[{"count": 1, "cpu": 1}] * 700)
    assert caller.call("POST", f"/a/{JOB_ID}", fitting)[0] == 200


def test_job_whose_progress_no_row_can_hold_is_refused_at_once():
    """Guards against a job whose progress the store refuses once its tasks are done."""
    caller = _Caller(row_limit_bytes=16_384)
    large = _job(phases=[{"count": 400, "cpu": 1}])
    assert caller.call("POST", f"/a/{JOB_ID}", large)[0] == 400
    assert caller.call("GET", f"/a/{JOB_ID}")[0] == 410
    fitting = _job(phases=[{"count": 200, "cpu": 1}])
    assert caller.call("POST", f"/a/{JOB_ID}", fitting)[0] == 200


def test_store_outage_refuses_with_retry_after(caller):
    """Guards against a job that is reported as accepted but can't be stored."""
    caller.tables.is_unavailable = True
    caller.contact_age_s = 3.2
    assert caller.call("POST", f"/a/{JOB_ID}", _job())[0] == 503
    assert caller.headers["Retry-After"] == "3"
    caller.contact_age_s = 600.0
    assert caller.call("POST", f"/a/{JOB_ID}", _job())[0] == 503
    assert caller.headers["Retry-After"] == "5"
    assert caller.call("GET", f"/a/{JOB_ID}")[0] == 503


def test_unknown_outcome_is_no_refusal(caller):
    """Guards against a refusal of a job that is stored seconds later."""
    caller.tables.faulty_table = f"jobs.{SERVICE}"
    caller.tables.delayed_count = 99
    assert caller.call("POST", f"/a/{JOB_ID}", _job())[0] == 504
