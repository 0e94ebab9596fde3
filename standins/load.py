"""Bounded load on loopback addresses, by a plan with phases.

Run as ``python -m standins.load plan.json``; prints a JSON summary. Requests start at
the planned times whether or not earlier ones were answered, up to a concurrency cap.
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

# A caller waits this much longer than the timeout it names, so that a late answer is
# seen as late instead of lost.
ANSWER_GRACE_S = 1.0


class _Answer(NamedTuple):
    verdict: Verdict
    status: int | None
    reason: str
    request_id: str


class LoadRun:
    """Runs one plan once."""

    def __init__(self, plan: PlanBody) -> None:
        self._plan = plan
        self._arrivals = plan_arrivals(plan)
        self._pool = urllib3.PoolManager(
            num_pools=len(plan["addresses"]),
            maxsize=plan["concurrency_count"],
            retries=False,
        )
        self._places = threading.Semaphore(plan["concurrency_count"])
        self._body_source = random.Random(f"{plan['seed']}/bodies").randbytes(1 << 16)

    def run(self) -> list[Sample]:
        """
        :returns: one sample for each planned request, in planned order.
        """
        start_s = time.monotonic()
        outcomes: list[Sample | Future[Sample]] = []
        with ThreadPoolExecutor(self._plan["concurrency_count"]) as executor:
            for arrival in self._arrivals:
                wait_s = start_s + arrival.time_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                outcomes.append(self._start(executor, arrival, start_s))
        self._pool.clear()
        return [
            item.result() if isinstance(item, Future) else item for item in outcomes
        ]

    def _start(
        self, executor: ThreadPoolExecutor, arrival: Arrival, start_s: float
    ) -> Sample | Future[Sample]:
        if time.monotonic() - start_s >= self._plan["deadline_s"]:
            return _sample(arrival, _unsent(Verdict.NOT_STARTED), 0.0)
        if not self._places.acquire(blocking=False):
            return _sample(arrival, _unsent(Verdict.CAPPED), 0.0)
        return executor.submit(self._send, arrival, start_s + arrival.time_s)

    def _send(self, arrival: Arrival, planned_s: float) -> Sample:
        try:
            answer = self._request(arrival, planned_s)
        finally:
            self._places.release()
        return _sample(arrival, answer, time.monotonic() - planned_s)

    def _request(self, arrival: Arrival, planned_s: float) -> _Answer:
        flow = arrival.flow
        body = self._body(arrival)
        headers = self._headers(arrival)
        timeout_s = flow["timeout_ms"] / 1000
        path = self._plan["path"].format(service=flow["service"])
        try:
            response = self._post(arrival, path, body, headers, timeout_s)
        except (NewConnectionError, ConnectTimeoutError):
            return _Answer(Verdict.NOT_RUN, None, "connection_refused", "")
        except HTTPError as error:
            return _Answer(Verdict.UNKNOWN, None, type(error).__name__, "")
        is_late = time.monotonic() - planned_s > timeout_s
        return _judge(response, headers[REQUEST_ID_HEADER], body, is_late)

    def _post(
        self,
        arrival: Arrival,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        # As the platform's load balancer: a request whose connection is refused goes to
        # the next address.
        addresses = self._plan["addresses"]
        for attempt in range(len(addresses)):
            address = addresses[(arrival.number + attempt) % len(addresses)]
            try:
                return self._pool.request(
                    "POST",
                    f"http://{address}{path}",
                    body=body,
                    headers=headers,
                    timeout=urllib3.Timeout(total=timeout_s + ANSWER_GRACE_S),
                    redirect=False,
                )
            except NewConnectionError:
                if attempt == len(addresses) - 1:
                    raise
        raise AssertionError("a plan has at least one address")

    def _headers(self, arrival: Arrival) -> dict[str, str]:
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

    def _body(self, arrival: Arrival) -> bytes:
        head = f"{arrival.number} ".encode()
        size_bytes = max(len(head), arrival.flow["body_bytes"])
        source = self._body_source
        repeats_count = size_bytes // len(source) + 1
        return (head + source * repeats_count)[:size_bytes]


def _judge(
    response: urllib3.BaseHTTPResponse, request_id: str, body: bytes, is_late: bool
) -> _Answer:
    status = response.status
    echoed_id = response.headers.get(REQUEST_ID_HEADER, "")
    reason = response.headers.get(REASON_HEADER, "")
    outcome = response.headers.get(OUTCOME_HEADER, "run" if status == 200 else "")
    verdict = Verdict.REJECTED
    if outcome == "not-run":
        verdict = Verdict.NOT_RUN
    elif outcome == "unknown":
        verdict = Verdict.UNKNOWN
    elif status == 200 and not _is_own(response.data, body):
        verdict = Verdict.MISMATCHED
    elif status == 200:
        verdict = Verdict.LATE if is_late else Verdict.GOOD
    return _Answer(verdict, status, reason, echoed_id or request_id)


def _is_own(answer: bytes, body: bytes) -> bool:
    # The backend stand-in answers with the digest of the body it got.
    try:
        digest = json.loads(answer)["digest"]
    except (ValueError, KeyError, TypeError):
        return False
    return digest == hashlib.sha256(body).hexdigest()


def _unsent(verdict: Verdict) -> _Answer:
    return _Answer(verdict, None, "", "")


def _sample(arrival: Arrival, answer: _Answer, latency_s: float) -> Sample:
    flow = arrival.flow
    return Sample(
        arrival.phase,
        flow["service"],
        flow["urgency"],
        flow["team"],
        answer.request_id,
        answer.verdict,
        answer.status,
        answer.reason,
        latency_s,
    )


def run_plan(plan: PlanBody) -> RunSummary:
    """
    :returns: summary of a run of the plan.
    """
    start_s = time.monotonic()
    samples = LoadRun(plan).run()
    durations_s = {phase["name"]: phase["duration_s"] for phase in plan["phases"]}
    return summarise(samples, durations_s, time.monotonic() - start_s)


def main() -> None:
    parser = argparse.ArgumentParser(description="bounded load on loopback")
    parser.add_argument("plan", type=Path, help="JSON file with the plan")
    plan = read_plan(parser.parse_args().plan.read_bytes())
    print(json.dumps(run_plan(plan), indent=2))


if __name__ == "__main__":
    main()
