"""Catalogue of the metrics of a daemon; ``docs/metrics.md`` is rendered from it."""

from enum import StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """Kinds of instruments."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(NamedTuple):
    """A metric. ``buckets`` are upper bounds of a histogram in its unit."""

    name: str
    kind: MetricKind
    description: str
    attributes: tuple[str, ...] = ()
    unit: str = ""
    buckets: tuple[float, ...] = ()

    @property
    def exported_name(self) -> str:
        """Name in the Prometheus text format."""
        name = self.name.replace(".", "_")
        if self.unit == "s":
            name += "_seconds"
        return name + ("_total" if self.kind is MetricKind.COUNTER else "")


# From a tenth of the latency between data centres to the longest time limit of a
# service; 1.3 s is the bound for the start of urgent work.
_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0,
    30.0, 60.0,
)  # fmt: skip

REQUESTS = Metric(
    "sycamorecroft.requests",
    MetricKind.COUNTER,
    "Requests of callers by outcome",
    ("service", "outcome"),
)
REFUSALS = Metric(
    "sycamorecroft.refusals",
    MetricKind.COUNTER,
    "Requests not run, by reason",
    ("service", "reason"),
)
RETRIES = Metric(
    "sycamorecroft.retries",
    MetricKind.COUNTER,
    "Attempts that were followed by another one, by reason",
    ("service", "reason"),
)
QUEUE_TIME = Metric(
    "sycamorecroft.queue.time",
    MetricKind.HISTOGRAM,
    "Wait for a slot, granted or not",
    ("service",),
    "s",
    _BUCKETS_S,
)
SERVICE_TIME = Metric(
    "sycamorecroft.service.time",
    MetricKind.HISTOGRAM,
    "One attempt at a worker",
    ("service",),
    "s",
    _BUCKETS_S,
)
STORE_CALLS = Metric(
    "sycamorecroft.store.calls",
    MetricKind.COUNTER,
    "Calls to the table service",
    ("purpose", "operation", "result"),
)


def _gauge(name: str, description: str, *attributes: str, unit: str = "") -> Metric:
    return Metric(
        f"sycamorecroft.{name}", MetricKind.GAUGE, description, attributes, unit
    )


SLOTS_IN_USE = _gauge(
    "slots.in_use", "Slots granted, by the queue's owner only", "service"
)
SLOTS_LIMIT = _gauge(
    "slots.limit", "Slots that the queue's owner may grant now", "service"
)
WAITING = _gauge(
    "queue.waiting",
    "Requests that wait for a slot, by the queue's owner only",
    "service",
    "urgency",
)
EJECTED = _gauge(
    "workers.ejected", "Workers that get no requests since they failed", "service"
)
HOSTS = _gauge("hosts", "Hosts by pool and lifecycle state", "pool", "state")
BUDGET_LEFT = _gauge(
    "pool.budget_left", "Hosts that may still go out for planned work", "pool"
)
HOSTS_MISSING = _gauge(
    "pool.hosts_missing", "Configured hosts that the pool lacks", "pool"
)
HOSTS_RESERVE = _gauge(
    "pool.hosts_reserve", "Active hosts beyond the configured ones", "pool"
)
STAGED_VERSION = _gauge(
    "configuration.staged_version", "Configuration version that is staged"
)
IN_FORCE_VERSION = _gauge(
    "configuration.in_force_version", "Configuration version in force"
)
VIEW_VERSION = _gauge("pool_view.version", "Commit number of the view of the hosts")
STORE_CONTACT_AGE = _gauge(
    "store.contact_age", "Age of the last answer of the table service", unit="s"
)
ENTRIES_REACHED = _gauge(
    "entries.reached", "Entry hosts that answer, this one included"
)
ENTRIES_EXPECTED = _gauge(
    "entries.expected", "Entry hosts that may be running, by membership"
)
ADMITTED = _gauge("requests.admitted", "Requests that this entry host holds now")
LEASES_HELD = _gauge(
    "leases.held", "1 for each controller that runs on this entry host", "controller"
)

METRICS = (
    REQUESTS, REFUSALS, RETRIES, QUEUE_TIME, SERVICE_TIME, SLOTS_IN_USE, SLOTS_LIMIT,
    WAITING, EJECTED, ADMITTED, HOSTS, BUDGET_LEFT, HOSTS_MISSING, HOSTS_RESERVE,
    STAGED_VERSION, IN_FORCE_VERSION, VIEW_VERSION, ENTRIES_REACHED, ENTRIES_EXPECTED,
    LEASES_HELD, STORE_CALLS, STORE_CONTACT_AGE,
)  # fmt: skip

SUBMISSIONS = Metric(
    "sycamorecroft.node.submissions",
    MetricKind.COUNTER,
    "Submissions of jobs by what is known of them",
    ("service", "outcome"),
)
SUBMISSION_REFUSALS = Metric(
    "sycamorecroft.node.refusals",
    MetricKind.COUNTER,
    "Requests of callers that were refused",
    ("reason",),
)
SUBMISSION_TIME = Metric(
    "sycamorecroft.node.submission.time",
    MetricKind.HISTOGRAM,
    "From the request to the stored job",
    ("service",),
    "s",
    _BUCKETS_S,
)
START_TIME = Metric(
    "sycamorecroft.node.start.time",
    MetricKind.HISTOGRAM,
    "From a task's turn to its start on a worker",
    ("service",),
    "s",
    _BUCKETS_S,
)
COMMIT_TIME = Metric(
    "sycamorecroft.node.commit.time",
    MetricKind.HISTOGRAM,
    "Storing the progress of a service's jobs",
    ("service",),
    "s",
    _BUCKETS_S,
)
RUN_ENDS = Metric(
    "sycamorecroft.node.run_ends",
    MetricKind.COUNTER,
    "Ends of runs; all but done are followed by another run or by the job's end",
    ("service", "end"),
)
START_RETRIES = Metric(
    "sycamorecroft.node.start_retries",
    MetricKind.COUNTER,
    "Starts that a worker didn't confirm, by its reason",
    ("service", "reason"),
)
JOB_ENDS = Metric(
    "sycamorecroft.node.job_ends",
    MetricKind.COUNTER,
    "Jobs that have ended, by state",
    ("service", "state"),
)
TAKEOVERS = Metric(
    "sycamorecroft.node.takeovers",
    MetricKind.COUNTER,
    "Services that this host has claimed or lost",
    ("change",),
)
SERVICES_OWNED = _gauge(
    "node.services_owned", "Epoch of each service that this host owns", "service"
)
NODE_CONFIGURATION = _gauge(
    "node.configuration_version", "Configuration version in force on this host"
)
NODE_CONTACT_AGE = _gauge(
    "node.store_contact_age", "Age of the last answer of the store", unit="s"
)
LOG_LINES_DROPPED = _gauge(
    "node.log_lines_dropped", "Log lines left out since the reader was too slow"
)

NODE_METRICS = (
    SUBMISSIONS, SUBMISSION_REFUSALS, SUBMISSION_TIME, START_TIME, COMMIT_TIME,
    RUN_ENDS, START_RETRIES, JOB_ENDS, TAKEOVERS, SERVICES_OWNED, NODE_CONFIGURATION,
    NODE_CONTACT_AGE, LOG_LINES_DROPPED,
)  # fmt: skip

_NODE_HEAD = """
## Node on the users' machines

Served at `metrics_address` of the settings.

| Metric | Kind | Attributes | Meaning |
|---|---|---|---|
"""

_PAGE_HEAD = """# Metrics

Each daemon serves its metrics at `GET /metrics` in the Prometheus text format. The
values are those of this daemon: sum counters over all entry hosts. A queue and its
slots are told only by the entry host that owns the queue, so sum these gauges too.
Versions, hosts and pools are told by every entry host as it sees them: take the
lowest version, and look at an entry host that differs from the others.

This page is rendered from `sycamorecroft.metrics`; a test compares them. To write it
anew: `python -m sycamorecroft.metrics > docs/metrics.md`.

| Metric | Kind | Attributes | Meaning |
|---|---|---|---|
"""


def render_page() -> str:
    """
    :returns: text of ``docs/metrics.md``.
    """
    buckets = ", ".join(f"{bound:g}" for bound in _BUCKETS_S)
    return (
        f"{_PAGE_HEAD}{_render_rows(METRICS)}\n{_NODE_HEAD}"
        f"{_render_rows(NODE_METRICS)}\n\nBuckets of histograms: {buckets} s.\n"
    )


def _render_rows(metrics: tuple[Metric, ...]) -> str:
    rows = []
    for metric in metrics:
        attributes = ", ".join(f"`{name}`" for name in metric.attributes) or "none"
        rows.append(
            f"| `{metric.exported_name}` | {metric.kind} | {attributes} | "
            f"{metric.description} |"
        )
    return "\n".join(rows)


if __name__ == "__main__":
    print(render_page(), end="")
