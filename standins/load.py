"""Open-loop load generator for loopback addresses, following a plan with phases.

Run as ``python -m standins.load plan.json``; prints a JSON summary. Requests start at
the planned times whether or not earlier ones have completed, up to a limit of
concurrent requests.
"""

import argparse
import hashlib
import json
import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from standins.load_plan import Arrival, PlanBody, plan_arrivals, read_plan
from standins.load_summary import RunSummary, Sample, Verdict, summarise

REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"
OUTCOME_HEADER = "Sycamorecroft-Outcome"
REASON_HEADER = "Sycamorecroft-Reason"

# Additional time to wait after the timeout of a request, so that a late response is
# counted as late instead of lost.
RESPONSE_GRACE_S = 1.0


class _Result(NamedTuple):
    verdict: Verdict
    status: int | None
    reason: str
    request_id: str


class LoadRun:
    """Single run of a load plan."""

    def __init__(self, plan: PlanBody) -> None:
        self._plan = plan
        self._arrivals = plan_arrivals(plan)
        self._pool = urllib3.PoolManager(
            num_pools=len(plan["addresses"]),
            maxsize=plan["concurrency_count"],
            retries=False,
        )
        self._concurrency_slots = threading.Semaphore(plan["concurrency_count"])
        self._body_content = random.Random(f"{plan['seed']}/bodies").randbytes(1 << 16)

    def run(self) -> list[Sample]:
        """
        :returns: one sample for each planned request, in planned order.
        """
        start_s = time.monotonic()
        pending_samples: list[Sample | Future[Sample]] = []
        with ThreadPoolExecutor(self._plan["concurrency_count"]) as executor:
            for arrival in self._arrivals:
                wait_s = start_s + arrival.time_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                pending_samples.append(self._submit(executor, arrival, start_s))
        self._pool.clear()
        return [
            item.result() if isinstance(item, Future) else item
            for item in pending_samples
        ]

    def _submit(
        self, executor: ThreadPoolExecutor, arrival: Arrival, start_s: float
    ) -> Sample | Future[Sample]:
        if time.monotonic() - start_s >= self._plan["deadline_s"]:
            return _make_sample(arrival, _unsent_result(Verdict.NOT_STARTED), 0.0)
        if not self._concurrency_slots.acquire(blocking=False):
            return _make_sample(arrival, _unsent_result(Verdict.CAPPED), 0.0)
        return executor.submit(self._run_arrival, arrival, start_s + arrival.time_s)

    def _run_arrival(self, arrival: Arrival, scheduled_s: float) -> Sample:
        try:
            result = self._send_request(arrival, scheduled_s)
        finally:
            self._concurrency_slots.release()
        return _make_sample(arrival, result, time.monotonic() - scheduled_s)

    def _send_request(self, arrival: Arrival, scheduled_s: float) -> _Result:
        flow = arrival.flow
        body = self._make_body(arrival)
        headers = self._make_headers(arrival)
        timeout_s = flow["timeout_ms"] / 1000
        path = self._plan["path"].format(service=flow["service"])
        try:
            response = self._post(arrival, path, body, headers, timeout_s)
        except (NewConnectionError, ConnectTimeoutError):
            return _Result(Verdict.NOT_RUN, None, "connection_refused", "")
        except HTTPError as error:
            return _Result(Verdict.UNKNOWN, None, type(error).__name__, "")
        is_late = time.monotonic() - scheduled_s > timeout_s
        return _classify(response, headers[REQUEST_ID_HEADER], body, is_late)

    def _post(
        self,
        arrival: Arrival,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        # Like the platform's load balancer, retries at the next address when the
        # connection is refused.
        addresses = self._plan["addresses"]
        for attempt in range(len(addresses)):
            address = addresses[(arrival.number + attempt) % len(addresses)]
            try:
                return self._pool.request(
                    "POST",
                    f"http://{address}{path}",
                    body=body,
                    headers=headers,
                    timeout=urllib3.Timeout(total=timeout_s + RESPONSE_GRACE_S),
                    redirect=False,
                )
            except NewConnectionError:
                if attempt == len(addresses) - 1:
                    raise
        raise AssertionError("plan has no addresses; read_plan requires at least one")

    def _make_headers(self, arrival: Arrival) -> dict[str, str]:
        flow = arrival.flow
        name = f"load-{self._plan['seed']}-{arrival.number}"
        return {
            REQUEST_ID_HEADER: name,
            "Sycamorecroft-Account": self._plan["account"],
            "Sycamorecroft-Team": flow["team"],
            "Sycamorecroft-Urgency": flow["urgency"],
            "Sycamorecroft-Timeout-Ms": str(flow["timeout_ms"]),
            "Sycamorecroft-Repeatable": "yes" if flow["is_repeatable"] else "no",
            "Idempotency-Key": name,
        }

    def _make_body(self, arrival: Arrival) -> bytes:
        prefix = f"{arrival.number} ".encode()
        size_bytes = max(len(prefix), arrival.flow["body_bytes"])
        content = self._body_content
        copies_count = size_bytes // len(content) + 1
        return (prefix + content * copies_count)[:size_bytes]


def _classify(
    response: urllib3.BaseHTTPResponse, request_id: str, body: bytes, is_late: bool
) -> _Result:
    status = response.status
    response_request_id = response.headers.get(REQUEST_ID_HEADER, "")
    reason = response.headers.get(REASON_HEADER, "")
    outcome = response.headers.get(OUTCOME_HEADER, "run" if status == 200 else "")
    verdict = Verdict.REJECTED
    if outcome == "not-run":
        verdict = Verdict.NOT_RUN
    elif outcome == "unknown":
        verdict = Verdict.UNKNOWN
    elif status == 200 and not _matches_request(response.data, body):
        verdict = Verdict.MISMATCHED
    elif status == 200:
        verdict = Verdict.LATE if is_late else Verdict.GOOD
    return _Result(verdict, status, reason, response_request_id or request_id)


def _matches_request(response_body: bytes, body: bytes) -> bool:
    # The backend stand-in responds with the digest of the body it received.
    try:
        digest = json.loads(response_body)["digest"]
    except (ValueError, KeyError, TypeError):
        return False
    return digest == hashlib.sha256(body).hexdigest()


def _unsent_result(verdict: Verdict) -> _Result:
    return _Result(verdict, None, "", "")


def _make_sample(arrival: Arrival, result: _Result, latency_s: float) -> Sample:
    flow = arrival.flow
    return Sample(
        arrival.phase,
        flow["service"],
        flow["urgency"],
        flow["team"],
        result.request_id,
        result.verdict,
        result.status,
        result.reason,
        latency_s,
    )


def run_plan(plan: PlanBody) -> RunSummary:
    """
    :returns: summary of one run of the plan.
    """
    start_s = time.monotonic()
    samples = LoadRun(plan).run()
    durations_s = {phase["name"]: phase["duration_s"] for phase in plan["phases"]}
    return summarise(samples, durations_s, time.monotonic() - start_s)


def main() -> None:
    parser = argparse.ArgumentParser(
        description="open-loop load generator for loopback addresses"
    )
    parser.add_argument("plan", type=Path, help="JSON file with the load plan")
    plan = read_plan(parser.parse_args().plan.read_bytes())
    print(json.dumps(run_plan(plan), indent=2))


if __name__ == "__main__":
    main()
