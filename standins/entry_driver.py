"""Calls the application of an entry host in one process, on tables in memory."""

import io
import json
from collections.abc import Iterable
from typing import NamedTuple

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.metrics import Metric
from sycamorecroft.node.configuration_cache import ConfigurationCache
from sycamorecroft.platform import decode_job, read_key_digest
from sycamorecroft.platform.names import CONFIGURATION_KEY, OPERATOR_TABLE
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.serving.admission import Admission
from sycamorecroft.serving.application import JobApplication, ServingSettings
from sycamorecroft.serving.authentication import Authentication
from sycamorecroft.serving.configuration_lookup import ConfigurationLookup
from sycamorecroft.serving.job_store import JobStore
from sycamorecroft.store.interfaces import Put, StorePurpose

JOB = {"spec": "text", "phases": [{"count": 1, "cpu": 500, "mem-mb": 10}]}
ROW_LIMIT_BYTES = 65_536
SERVICE = "rating"
JOB_ID = "00112233445566aa"
KEY, OTHER_KEY, NEW_KEY = "key-of-north", "key-of-south", "new-key-of-north"


def make_fleet(version: int = 1, keys: Iterable[str] = (KEY,), **changes) -> dict:
    """
    :param keys: keys of the account ``north``.
    :param changes: fields that replace those of the configuration.
    :returns: configuration with two accounts, a private and a public route.
    """
    accounts = [
        {"name": "north", "keys": list(keys), "weight": 84, "priority": 1},
        {"name": "south", "keys": [OTHER_KEY], "weight": 1, "priority": 1},
    ]
    route = {"host": "jobs.example", "service": SERVICE}
    return {
        "version": version,
        "routes": [
            route | {"name": "r-1", "prefix": "/a/"},
            route | {"name": "r-2", "prefix": "/open/", "public": True},
        ],
        "services": [{"name": SERVICE}],
        "limits": {"max-body-bytes": 5000},
        "tenants": accounts,
    } | changes


class SteppedClock(SystemClock):
    """System clock that can skip time.

    The threads of a job store wait for real time to pass, so that a clock that stands
    still would hold them.
    """

    skipped_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.skipped_s


class CountingTables(MemoryPartitions):
    """Tables in memory that count the reads of each table.

    :ivar reads: table of each read so far, in order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reads: list[str] = []

    def read(self, table, key, *, purpose):
        self.reads.append(table)
        return super().read(table, key, purpose=purpose)

    def scan_part(self, table, part, *, purpose, first_key="", end_key=""):
        self.reads.append(table)
        return super().scan_part(
            table, part, purpose=purpose, first_key=first_key, end_key=end_key
        )


class CountingRecorder(NullRecorder):
    """Recorder that keeps the attributes of counters.

    :ivar counts: name and attribute values of each increment, in order.
    """

    def __init__(self) -> None:
        self.counts: list[tuple[str, ...]] = []

    def count(self, metric: Metric, **attributes: str) -> None:
        self.counts.append((metric.name.rpartition(".")[2], *attributes.values()))


class Answer(NamedTuple):
    """Response to a call."""

    status: int
    body: dict[str, object]
    headers: dict[str, str]


class EntryDriver:
    """Entry host without listeners and watchers.

    :ivar admission: reports of the services' owners.
    :ivar store: storage of submissions.
    :ivar contact_age_s: time in seconds since the store's last answer.
    """

    def __init__(self, tables: MemoryPartitions | None = None) -> None:
        """
        :param tables: tables of the store, which several entry hosts may share.
        """
        self.tables = CountingTables() if tables is None else tables
        self.clock = SteppedClock()
        self.recorder = CountingRecorder()
        self.contact_age_s = 0.0
        self.configuration = ConfigurationCache(lambda: None)
        self.lookup = ConfigurationLookup(
            self.read_configuration, self.clock, 8, self.recorder
        )
        self.admission = Admission(self.clock)
        self.store = JobStore(self.tables, self.clock, lambda: self.contact_age_s)
        self.application = JobApplication(
            self.configuration.router,
            decode_job,
            self.store,
            Authentication(
                read_key_digest, self.lookup, self.clock, lambda: self.contact_age_s
            ),
            self.clock,
            ServingSettings(ROW_LIMIT_BYTES),
            self.recorder,
            admission=self.admission,
        )

    def publish(self, fleet: dict) -> None:
        """Stores a configuration, which isn't in force until it is read."""
        value = json.dumps(fleet).encode()
        put = Put(OPERATOR_TABLE, CONFIGURATION_KEY, value)
        self.tables.transact((), (put,), purpose=StorePurpose.CONFIGURATION)

    def read_configuration(self) -> None:
        """Reads the configuration and puts it in force, as the feed does.

        :raises StoreUnavailableError: when the store can't be read.
        """
        purpose = StorePurpose.CONFIGURATION
        row = self.tables.read(OPERATOR_TABLE, CONFIGURATION_KEY, purpose=purpose)
        if row is not None:
            self.configuration.apply_rows((row,))

    def poll_feed(self) -> None:
        """Reads the configuration by the feed, unless the store is unavailable."""
        sent_s = self.clock.monotonic_s()
        try:
            self.read_configuration()
        except StoreUnavailableError:
            return
        self.lookup.record_read(sent_s)

    def call(
        self,
        method: str,
        path: str,
        key: str | None = None,
        body: dict | None = None,
        timeout_ms: int = 500,
    ) -> Answer:
        """
        :param key: value of the header with the API key, ``None`` to leave it out.
        :param body: JSON body; that of a valid job for a submission without one.
        """
        if body is None and method == "POST":
            body = JOB
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "jobs.example",
            "HTTP_X_DEADLINE_MS": str(timeout_ms),
            "wsgi.input": io.BytesIO(json.dumps(body or {}).encode()),
        }
        if key is not None:
            environ["HTTP_API_KEY"] = key.encode().decode("latin-1")
        started: list = []
        chunks = self.application(
            environ, lambda status, headers: started.append((status, dict(headers)))
        )
        ((status, headers),) = started
        return Answer(int(status.split()[0]), json.loads(b"".join(chunks)), headers)

    def call_all(self, key: str | None, path: str) -> list[int]:
        """
        :param path: path of a job.
        :returns: statuses of a submission, a query of the state, one of the number of
            pending jobs, and a cancellation.
        """
        queue_path = path.rpartition("/")[0] + "/"
        calls = (("POST", path), ("GET", path), ("GET", queue_path), ("DELETE", path))
        return [self.call(method, target, key).status for method, target in calls]
