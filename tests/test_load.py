"""Tests of the load generator: reproducible load and truthful summaries."""

import socket
import threading

import msgspec
import pytest

from standins.backend import BackendFleet
from standins.backend_state import BackendFault, BackendFaultKind, BackendSettings
from standins.load import run_plan
from standins.load_plan import FlowBody, PhaseBody, PlanBody, plan_arrivals, read_plan
from standins.load_summary import Sample, Verdict, summarise

RATING = FlowBody(
    service="rating",
    team="council",
    urgency="urgent",
    rate_per_s=100.0,
    timeout_ms=2000,
    body_bytes=2000,
    is_repeatable=True,
)
HOTLINE = FlowBody(**RATING | {"service": "hotline", "rate_per_s": 40.0})


def _plan(*addresses: str, **changes) -> PlanBody:
    phases = [
        PhaseBody(name="base", duration_s=0.5, flows=[RATING, HOTLINE]),
        PhaseBody(name="peak", duration_s=0.5, flows=[RATING]),
    ]
    plan = PlanBody(
        addresses=list(addresses) or ["127.0.0.1:1"],
        path="/{service}",
        account="ondangwa",
        seed=11,
        concurrency_count=50,
        deadline_s=10.0,
        phases=phases,
    )
    return PlanBody(**plan | changes)


@pytest.fixture
def fleet():
    fleet = BackendFleet(["w0"], BackendSettings(slots_count=50, service_time_s=0.005))
    threading.Thread(target=fleet.run, daemon=True).start()
    yield fleet
    fleet.close()


def test_arrivals_depend_on_the_seed_only():
    """Guards against arrivals that don't follow the seed or lie outside their phase."""
    arrivals = plan_arrivals(_plan())
    assert arrivals == plan_arrivals(_plan())
    assert arrivals != plan_arrivals(_plan(seed=12))
    assert [item.number for item in arrivals] == list(range(len(arrivals)))
    peak = [item for item in arrivals if item.phase == "peak"]
    assert all(0.5 <= item.time_s < 1.0 for item in peak)


def test_arrival_rate_is_as_planned():
    """Guards against an arrival rate that differs from the planned one."""
    phase = PhaseBody(name="long", duration_s=200.0, flows=[RATING])
    count = len(plan_arrivals(_plan(phases=[phase])))
    # Four standard deviations of a Poisson count with a mean of 20,000.
    assert abs(count - 20_000) < 4 * 20_000**0.5


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"addresses": ["10.0.0.1:80"]}, "loopback"),
        ({"addresses": []}, "at least one"),
        ({"concurrency_count": 401}, "from 1 to 400"),
    ],
)
def test_plan_outside_the_limits_is_refused(changes, message):
    """Guards against load on other hosts, without addresses or above the limit."""
    with pytest.raises(ValueError, match=message):
        read_plan(msgspec.json.encode(_plan(**changes)))


def test_each_sent_request_ran_and_is_counted(fleet):
    """Guards against a summary that omits requests or counts those that did not run."""
    plan = _plan(fleet.addresses()["w0"])
    summary = run_plan(plan)["by_service"]
    assert set(summary) == {"base/rating", "base/hotline", "peak/rating"}
    sent_count = sum(group["sent_count"] for group in summary.values())
    assert sent_count == len(fleet.servers["w0"].ledger())
    for group in summary.values():
        assert group["verdicts"] == {"good": group["sent_count"]}
        assert group["goodput_per_s"] == group["sent_count"] / 0.5


def test_wrong_bodies_and_resets_are_not_good(fleet):
    """Guards against wrong or missing responses that are counted as good."""
    server = fleet.servers["w0"]
    server.set_fault(BackendFault(BackendFaultKind.WRONG_BODY, count=3))
    server.set_fault(BackendFault(BackendFaultKind.RESET_AFTER_READ, count=2))
    verdicts: dict[str, int] = {}
    for group in run_plan(_plan(fleet.addresses()["w0"]))["by_service"].values():
        for name, count in group["verdicts"].items():
            verdicts[name] = verdicts.get(name, 0) + count
    assert (verdicts["mismatched"], verdicts["unknown"]) == (3, 2)


def test_refused_address_is_skipped(fleet):
    """Guards against requests that fail although another address accepts them."""
    with socket.create_server(("127.0.0.1", 0)) as unused:
        refused = f"127.0.0.1:{unused.getsockname()[1]}"
    summary = run_plan(_plan(refused, fleet.addresses()["w0"]))["by_service"]
    assert {name for group in summary.values() for name in group["verdicts"]} == {
        "good"
    }


def test_requests_beyond_concurrency_and_deadline_are_not_sent(fleet):
    """Guards against load beyond the plan, and unsent requests counted as sent."""
    fleet.servers["w0"].set_fault(BackendFault(BackendFaultKind.SLOW, delay_s=0.3))
    plan = _plan(fleet.addresses()["w0"], concurrency_count=2, deadline_s=0.5)
    summary = run_plan(plan)["by_service"]
    assert summary["base/rating"]["verdicts"]["capped"] > 0
    peak = summary["peak/rating"]
    assert peak["verdicts"] == {"not_started": sum(peak["verdicts"].values())}
    assert peak["sent_count"] == 0 and peak["latencies"] is None


def test_summary_quantiles_and_goodput():
    """Guards against latencies that omit late requests, and goodput with them."""
    samples = [
        Sample("p", "s", "urgent", "t", str(n), Verdict.GOOD, 200, "", n / 1000)
        for n in range(1, 101)
    ]
    samples.append(samples[0]._replace(verdict=Verdict.LATE, latency_s=5.0))
    samples.append(samples[0]._replace(verdict=Verdict.NOT_RUN, reason="shed"))
    group = summarise(samples, {"p": 10.0}, 10.0)["by_service"]["p/s"]
    assert group["goodput_per_s"] == 10.0
    assert group["latencies"] == pytest.approx(
        {"p50_ms": 51, "p90_ms": 91, "p99_ms": 100, "max_ms": 5000}
    )
    assert group["reasons"] == {"shed": 1}
