"""Measures what client accounts add to rows of the store and to calls.

Run ``python -m benchmarks.account_rows``. Prints the bytes of the configuration row, of
the calls by which it is read, and of the rows of a job.
"""

import json
import random
from collections.abc import Sequence

from standins.platform_http import StoreServer
from standins.ports import reserve_port
from sycamorecroft.platform import PlatformTables, decode_fleet, decode_job
from sycamorecroft.platform.names import CONFIGURATION_KEY, OPERATOR_TABLE
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    ProgressRow,
    TaskProgress,
    encode_row,
)
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.traffic import TrafficMeter

ACCOUNTS_COUNTS = (0, 20, 290)
QUEUES_COUNT = 4
KEY_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
ACCOUNT_NAME = "cugo130"
TASKS_COUNT = 8
JOB_TEXT_SIZES_BYTES = (0, 200, 4000)


def _make_fleet(accounts_count: int, rng: random.Random) -> dict[str, object]:
    services = [f"pule{number:02d}c" for number in range(QUEUES_COUNT)]
    routes = [
        {
            "name": f"q-{service}",
            "host": f"{service}.jobs.example",
            "prefix": "/v1/jobs/",
            "service": service,
            "priority": 1,
            "attempts": 3,
            "stretch": 1.6,
            "objective-ms": 600,
            "timeout-ms": 30000,
        }
        for service in services
    ]
    accounts = [
        {
            "name": f"cugo{number:03d}",
            "keys": ["".join(rng.choices(KEY_LETTERS, k=20))],
            "priority": 1,
            "weight": rng.randrange(1, 100),
            "max-count": {
                "cpu": rng.randrange(10**6, 10**7),
                "mem-mb": rng.randrange(10**6, 10**7),
                "gpu": 0,
            },
        }
        for number in range(accounts_count)
    ]
    fleet = {
        "version": 7,
        "routes": routes,
        "services": [{"name": service} for service in services],
        "limits": {"max-body-bytes": 262144, "max-header-bytes": 16384},
    }
    return fleet | ({"tenants": accounts} if accounts else {})


def _encode_fleet(fleet: dict[str, object]) -> bytes:
    return json.dumps(fleet, separators=(",", ":")).encode()


def _measure_call(fleet: dict[str, object], *, is_feed: bool) -> tuple[int, int]:
    """
    :returns: bytes sent and received by a call that reads the configuration, with the
        headers that the traffic meter counts.
    """
    store = StoreServer(reserve_port())
    try:
        put = Put(OPERATOR_TABLE, CONFIGURATION_KEY, _encode_fleet(fleet))
        store.tables.transact((), (put,), purpose=StorePurpose.CONFIGURATION)
        meter = TrafficMeter()
        connection = PlatformConnection(store.address, traffic=meter)
        tables = PlatformTables(connection, connection)
        if is_feed:
            version = store.tables.version
            tables.changes(OPERATOR_TABLE, after_version=version, wait_s=0.0)
        else:
            purpose = StorePurpose.CONFIGURATION
            tables.read(OPERATOR_TABLE, CONFIGURATION_KEY, purpose=purpose)
        (traffic,) = meter.totals().values()
        return traffic.sent_bytes, traffic.received_bytes
    finally:
        store.stop()


def _print_configuration() -> None:
    print("accounts  row  read sent  received  feed without change sent  received")
    for accounts_count in ACCOUNTS_COUNTS:
        fleet = _make_fleet(accounts_count, random.Random(1))
        row = len(_encode_fleet(fleet))
        read = _measure_call(fleet, is_feed=False)
        feed = _measure_call(fleet, is_feed=True)
        print(accounts_count, row, *read, *feed, sep="  ")


def _print_sizes(name: str, rows: Sequence[JobRow] | Sequence[ProgressRow]) -> None:
    """Prints the sizes of a row with each account."""
    print(f"{name}:", *(len(encode_row(row)) for row in rows))


def _print_job_rows() -> None:
    print(f"bytes without account, with {ACCOUNT_NAME!r}, and explicitly without one")
    fleet = decode_fleet(_encode_fleet(_make_fleet(0, random.Random(1))))
    queue = fleet.queues[0]
    for steps_count in (1, 2):
        for size_bytes in JOB_TEXT_SIZES_BYTES:
            spec = decode_job(_make_body(steps_count, "x" * size_bytes))
            row = JobRow(queue, spec, 1_796_612_345_678)
            rows = (row, row._replace(account=ACCOUNT_NAME))
            _print_sizes(f"job, {steps_count} steps, spec of {size_bytes} bytes", rows)
    tasks = {
        JobState.RUNNING: tuple(
            TaskProgress(0, 0, n, 1, 0, False, f"i-62de74e0{n:02x}", 1_796_612_000_000)
            for n in range(TASKS_COUNT)
        ),
        JobState.COMPLETE: (),
    }
    for state, progress in tasks.items():
        row = ProgressRow(state, 1_796_612_345_678, progress)
        rows = (row, row._replace(account=ACCOUNT_NAME), row._replace(account=""))
        _print_sizes(f"progress, {state}, {len(progress)} tasks", rows)


def _make_body(steps_count: int, text: str) -> bytes:
    steps = [
        {
            "count": TASKS_COUNT,
            "cpu": 1000,
            "mem-mb": 512,
            "estimate-ms": 900,
            "after": list(range(number)),
        }
        for number in range(steps_count)
    ]
    return json.dumps({"spec": text, "phases": steps}).encode()


def main() -> None:
    """Prints all sizes."""
    _print_configuration()
    _print_job_rows()


if __name__ == "__main__":
    main()
