"""Catalogue of all metrics, from which ``docs/metrics.md`` is rendered."""

from enum import StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """Kind of instrument that records a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(NamedTuple):
    """A metric; ``buckets`` are upper bounds of a histogram's buckets in ``unit``."""

    name: str
    kind: MetricKind
    description: str
    attributes: tuple[str, ...] = ()
    unit: str = ""
    buckets: tuple[float, ...] = ()

    @property
    def exported_name(self) -> str:
        """Name of the metric in the Prometheus text format."""
        name = self.name.replace(".", "_")
        if self.unit == "s":
            name += "_seconds"
        return name + ("_total" if self.kind is MetricKind.COUNTER else "")


# From a tenth of the latency between data centres to the longest timeout of a service;
# 1.3 s is the limit for the start of urgent work.
_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0,
    30.0, 60.0,
)  # fmt: skip

REQUESTS = Metric(
    "sycamorecroft.requests",
    MetricKind.COUNTER,
    "Caller requests, by outcome",
    ("service", "outcome"),
)
REFUSALS = Metric(
    "sycamorecroft.refusals",
    MetricKind.COUNTER,
    "Requests refused without being run, by reason",
    ("service", "reason"),
)
RETRIES = Metric(
    "sycamorecroft.retries",
    MetricKind.COUNTER,
    "Attempts that were retried, by reason",
    ("service", "reason"),
)
QUEUE_TIME = Metric(
    "sycamorecroft.queue.time",
    MetricKind.HISTOGRAM,
    "Time that a request waited for a slot, whether granted or not",
    ("service",),
    "s",
    _BUCKETS_S,
)
SERVICE_TIME = Metric(
    "sycamorecroft.service.time",
    MetricKind.HISTOGRAM,
    "Duration of one attempt at a worker",
    ("service",),
    "s",
    _BUCKETS_S,
)
STORE_CALLS = Metric(
    "sycamorecroft.store.calls",
    MetricKind.COUNTER,
    "Calls to the table service, by purpose, operation and result",
    ("purpose", "operation", "result"),
)


def _gauge(name: str, description: str, *attributes: str, unit: str = "") -> Metric:
    return Metric(
        f"sycamorecroft.{name}", MetricKind.GAUGE, description, attributes, unit
    )


SLOTS_IN_USE = _gauge(
    "slots.in_use", "Granted slots, exported by the queue's owner only", "service"
)
SLOTS_LIMIT = _gauge(
    "slots.limit", "Slots that the queue's owner may grant at present", "service"
)
REQUESTS_WAITING = _gauge(
    "queue.waiting",
    "Requests waiting for a slot, exported by the queue's owner only",
    "service",
    "urgency",
)
WORKERS_EJECTED = _gauge(
    "workers.ejected", "Workers excluded from routing after failures", "service"
)
HOSTS = _gauge("hosts", "Hosts by pool and lifecycle state", "pool", "state")
BUDGET_LEFT = _gauge(
    "pool.budget_left",
    "Further hosts that planned work may take out of service",
    "pool",
)
HOSTS_MISSING = _gauge(
    "pool.hosts_missing",
    "Hosts that the pool lacks compared with its configuration",
    "pool",
)
HOSTS_RESERVE = _gauge(
    "pool.hosts_reserve", "Active hosts beyond the configured number", "pool"
)
STAGED_VERSION = _gauge("configuration.staged_version", "Staged configuration version")
IN_FORCE_VERSION = _gauge(
    "configuration.in_force_version", "Configuration version in force"
)
VIEW_VERSION = _gauge(
    "pool_view.version", "Commit number of this daemon's view of the hosts"
)
STORE_CONTACT_AGE = _gauge(
    "store.contact_age", "Time since the last response of the table service", unit="s"
)
ENTRY_HOSTS_REACHED = _gauge(
    "entries.reached", "Entry hosts that respond, including this one"
)
ENTRY_HOSTS_EXPECTED = _gauge(
    "entries.expected", "Entry hosts that may be running, according to membership"
)
REQUESTS_ADMITTED = _gauge(
    "requests.admitted", "Requests in progress on this entry host"
)
LEASES_HELD = _gauge(
    "leases.held",
    "1 for each controller whose lease this entry host holds",
    "controller",
)

METRICS = (
    REQUESTS, REFUSALS, RETRIES, QUEUE_TIME, SERVICE_TIME, SLOTS_IN_USE, SLOTS_LIMIT,
    REQUESTS_WAITING, WORKERS_EJECTED, REQUESTS_ADMITTED, HOSTS, BUDGET_LEFT,
    HOSTS_MISSING, HOSTS_RESERVE, STAGED_VERSION, IN_FORCE_VERSION, VIEW_VERSION,
    ENTRY_HOSTS_REACHED, ENTRY_HOSTS_EXPECTED, LEASES_HELD, STORE_CALLS,
    STORE_CONTACT_AGE,
)  # fmt: skip

SUBMISSIONS = Metric(
    "sycamorecroft.node.submissions",
    MetricKind.COUNTER,
    "Job submissions, by outcome",
    ("service", "outcome"),
)
SUBMISSION_REFUSALS = Metric(
    "sycamorecroft.node.refusals",
    MetricKind.COUNTER,
    "Caller requests that were refused, by reason",
    ("reason",),
)
ADMISSION_REFUSALS = Metric(
    "sycamorecroft.node.admission_refusals",
    MetricKind.COUNTER,
    "Submissions of client accounts that were refused by the report of the service's "
    "owner",
    ("service", "reason"),
)
CONFIGURATION_LOOKUPS = Metric(
    "sycamorecroft.node.configuration_lookups",
    MetricKind.COUNTER,
    "Calls for which the configuration had to be recent, by what a look-up could tell",
    ("outcome",),
)
SUBMISSION_TIME = Metric(
    "sycamorecroft.node.submission.time",
    MetricKind.HISTOGRAM,
    "Time from the request until the job is stored",
    ("service",),
    "s",
    _BUCKETS_S,
)
START_TIME = Metric(
    "sycamorecroft.node.start.time",
    MetricKind.HISTOGRAM,
    "Time that a task waited until its start on a worker",
    ("service",),
    "s",
    _BUCKETS_S,
)
RACK_START_TIME = Metric(
    "sycamorecroft.node.rack_start.time",
    MetricKind.HISTOGRAM,
    "Time that a task which prefers a rack waited until its start there (near) or on "
    "another rack (far); its count is the number of such starts",
    ("service", "distance"),
    "s",
    _BUCKETS_S,
)
COMMIT_TIME = Metric(
    "sycamorecroft.node.commit.time",
    MetricKind.HISTOGRAM,
    "Duration of storing the progress of a service's jobs",
    ("service",),
    "s",
    _BUCKETS_S,
)
RUN_OUTCOMES = Metric(
    "sycamorecroft.node.run_ends",
    MetricKind.COUNTER,
    "Finished runs, by outcome; all but done lead to another run or end the job",
    ("service", "end"),
)
JOB_RATES = Metric(
    "sycamorecroft.node.job_rates",
    MetricKind.COUNTER,
    "New jobs of client accounts, by whether they are within their account's rate",
    ("service", "rate"),
)
SHARE_DEFERRALS = Metric(
    "sycamorecroft.node.share_deferrals",
    MetricKind.COUNTER,
    "Placements in which jobs were deferred since their account had reached its share",
    ("service",),
)
CAPACITY_HOLDS = Metric(
    "sycamorecroft.node.capacity_holds",
    MetricKind.COUNTER,
    "Steps for which workers were held since smaller tasks had passed them over",
    ("service",),
)
QUOTA_REFUSALS = Metric(
    "sycamorecroft.node.quota_refusals",
    MetricKind.COUNTER,
    "Placements that left out tasks since the limit of their account was reached",
    ("service",),
)
QUOTA_WRITES = Metric(
    "sycamorecroft.node.quota_writes",
    MetricKind.COUNTER,
    "Attempts to write grants of the accounts' limits, by outcome (stored, conflict, "
    "repeated, refused, failed)",
    ("service", "outcome"),
)
PREEMPTED_RUNS = Metric(
    "sycamorecroft.node.preempted_runs",
    MetricKind.COUNTER,
    "Runs that were stopped for jobs of more urgent queues",
    ("service",),
)
RUN_EXPIRIES = Metric(
    "sycamorecroft.node.run_expiries",
    MetricKind.COUNTER,
    "Runs that the owner considered over without a report of their end, by reason",
    ("service", "reason"),
)
START_RETRIES = Metric(
    "sycamorecroft.node.start_retries",
    MetricKind.COUNTER,
    "Starts that a worker did not confirm, by its reason",
    ("service", "reason"),
)
STOP_RETRIES = Metric(
    "sycamorecroft.node.stop_retries",
    MetricKind.COUNTER,
    "Orders to stop a run that a worker did not confirm, by its reason",
    ("service", "reason"),
)
JOB_OUTCOMES = Metric(
    "sycamorecroft.node.job_ends",
    MetricKind.COUNTER,
    "Finished jobs, by final state",
    ("service", "state"),
)
OWNERSHIP_CHANGES = Metric(
    "sycamorecroft.node.takeovers",
    MetricKind.COUNTER,
    "Services that this entry host has claimed, lost or handed over",
    ("change",),
)
EXPLANATIONS = Metric(
    "sycamorecroft.node.explanations",
    MetricKind.COUNTER,
    "Questions of operators about placements, by outcome",
    ("outcome",),
)
SERVICES_OWNED = _gauge(
    "node.services_owned", "Epoch of each service that this entry host owns", "service"
)
NODE_CONFIGURATION_VERSION = _gauge(
    "node.configuration_version", "Configuration version in force on this entry host"
)
NODE_CONFIGURATION_AGE = _gauge(
    "node.configuration_age",
    "Time for which changes of the configuration may not be in force here",
    unit="s",
)
NODE_STORE_CONTACT_AGE = _gauge(
    "node.store_contact_age", "Time since the last response of the store", unit="s"
)
SENT_RATE = _gauge(
    "node.sent_bytes_per_s", "Bytes sent per second over HTTP, by use", "use"
)
RECEIVED_RATE = _gauge(
    "node.received_bytes_per_s", "Bytes received per second over HTTP, by use", "use"
)
LINK_RATIO = _gauge(
    "node.link_ratio", "Share of the link's bandwidth in use, of the busier direction"
)
PROCESSOR_RATIO = _gauge(
    "node.processor_ratio", "Share of the available processor time in use"
)
FORECASTS = Metric(
    "sycamorecroft.node.forecasts",
    MetricKind.COUNTER,
    "Forecasts of a pool's demand, by outcome (right, early, late, not_come)",
    ("service", "outcome"),
)
BYTES_HELD = _gauge(
    "node.bytes_held", "Bytes held for requests and responses beyond small ones"
)
BYTES_HELD_LIMIT = _gauge(
    "node.bytes_held_limit", "Bytes that may be held; from the memory of the host"
)
CONNECTIONS = _gauge(
    "node.connections",
    "Open connections of clients, by what they are doing",
    "listener",
    "state",
)
CONNECTION_REFUSALS = Metric(
    "sycamorecroft.node.connection_refusals",
    MetricKind.COUNTER,
    "Requests refused before they ran, by reason",
    ("listener", "reason"),
)
CONNECTION_CLOSES = Metric(
    "sycamorecroft.node.connection_closes",
    MetricKind.COUNTER,
    "Connections closed without a response, by reason",
    ("listener", "reason"),
)
LOG_LINES_DROPPED = _gauge(
    "node.log_lines_dropped", "Log lines dropped because the reader was too slow"
)

NODE_METRICS = (
    SUBMISSIONS, SUBMISSION_REFUSALS, ADMISSION_REFUSALS,
    CONFIGURATION_LOOKUPS, SUBMISSION_TIME,
    START_TIME, RACK_START_TIME, COMMIT_TIME, RUN_OUTCOMES, RUN_EXPIRIES,
    START_RETRIES, STOP_RETRIES,
    JOB_OUTCOMES, OWNERSHIP_CHANGES, SERVICES_OWNED, NODE_CONFIGURATION_VERSION,
    NODE_CONFIGURATION_AGE, NODE_STORE_CONTACT_AGE, SENT_RATE, RECEIVED_RATE,
    LINK_RATIO, PROCESSOR_RATIO, LOG_LINES_DROPPED,
    JOB_RATES, SHARE_DEFERRALS, CAPACITY_HOLDS, QUOTA_REFUSALS, QUOTA_WRITES,
    PREEMPTED_RUNS, EXPLANATIONS, FORECASTS,
    BYTES_HELD, BYTES_HELD_LIMIT, CONNECTIONS, CONNECTION_REFUSALS, CONNECTION_CLOSES,
)  # fmt: skip

_NODE_HEAD = """
## Node on an entry host

Served at `metrics_address` of the settings.

| Metric | Kind | Attributes | Meaning |
|---|---|---|---|
"""

_PAGE_HEAD = """# Metrics

Each daemon serves its metrics at `GET /metrics` in the Prometheus text format. The
values are those of one daemon: sum counters over all entry hosts. The gauges of a queue
and its slots are exported only by the entry host that owns the queue, so sum these too.
Gauges of versions, hosts and pools are exported by every entry host and show its own
view: use the lowest version, and investigate an entry host that differs from the
others.

This page is rendered from `sycamorecroft.metrics`, and a test compares the two. To
regenerate it: `python -m sycamorecroft.metrics > docs/metrics.md`.

| Metric | Kind | Attributes | Meaning |
|---|---|---|---|
"""


def render_page() -> str:
    """
    :returns: Markdown text of ``docs/metrics.md``.
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
