"""Steps of a long outage of the store."""

import time

from behave import given, then, when

from features.steps.common import (
    cut_off_elsewhere,
    dispatch,
    rating,
    require,
    send_one,
    start_callers,
    unique_name,
)
from features.steps.configuration import head_version
from features.support.callers import RUN
from features.support.ledger_checks import contradictions, outcome_counts, read_ledger
from features.support.watchers import StoreCallWatcher
from standins.site import wait_until

OUTAGE_TIMEOUT_S = 60.0
FULL_RATE_RATIO = 0.95


@given("the store's calls are counted each second")
def _count_calls(context):
    context.version = head_version(context.site)
    context.call_watcher = StoreCallWatcher(context.site)
    context.add_cleanup(context.call_watcher.stop)
    context.call_watcher.start()


@given("{count:d} callers send {rate:d} ratings a second each")
def _start_rate_limited_callers(context, count, rate):
    context.callers = start_callers(
        context, unique_name(context), count, rating, pause_s=1 / rate
    )
    time.sleep(1.0)


@given("{seconds:d} s pass")
def _wait(context, seconds):
    context.baseline_started_s = time.monotonic()
    time.sleep(seconds)
    context.outage_started_s = time.monotonic()


@when("the store has answered again")
def _wait_for_store(context):
    site = context.site
    wait_until(lambda: _table_answers(site), "the store answers", OUTAGE_TIMEOUT_S)
    context.outage_ended_s = time.monotonic()
    outage_s = context.outage_ended_s - context.outage_started_s
    require(outage_s > 29, f"the outage lasted {outage_s:.1f} s")


def _table_answers(site):
    address = site.platform_address
    return site.call(address, "GET", "/tables/configuration/head").status == 200


@then("an order is run through each entry host")
def _run_orders(context):
    name = unique_name(context)
    for entry_host in context.site.entry_hosts:
        sent = send_one(context, dispatch(f"{name}-{entry_host}", entry_host))
        require(sent.outcome == RUN, sent)


@then("all daemons may own queues again")
def _queues_ownable(context):
    site = context.site
    wait_until(
        lambda: all(
            set(site.status(entry_host)["live_entries"]) == set(site.entry_hosts)
            and all(e["may_own_queues"] for e in site.status(entry_host)["entries"])
            for entry_host in site.entry_hosts
        ),
        "all daemons may own queues",
        15,
    )


@then("callers had the full rate during the outage")
def _full_rate(context):
    sent_requests = context.callers.stop()
    started_s, ended_s = context.outage_started_s, context.outage_ended_s
    before = _rate(sent_requests, context.baseline_started_s, started_s)
    rate = _rate(sent_requests, started_s, ended_s)
    print(f"ratings per second: {before:.1f} before, {rate:.1f} during the outage")
    require(rate >= FULL_RATE_RATIO * before, f"{before:.1f} before, {rate:.1f} during")
    # Only connections to the killed daemon may break.
    require(
        not cut_off_elsewhere(sent_requests, {"entry-6"}), outcome_counts(sent_requests)
    )
    contradicted = contradictions(sent_requests, read_ledger(context.site))
    require(not contradicted, contradicted[:5])


def _rate(sent_requests, from_s, until_s):
    count = sum(
        s.outcome == RUN and from_s <= s.ended_s < until_s for s in sent_requests
    )
    return count / (until_s - from_s)


@then("the store had at most {writes:d} writes and {reads:d} reads in each second")
def _calls_within_budget(context, writes, reads):
    watcher = context.call_watcher
    watcher.stop()
    peak_rates = watcher.peak_rate("write"), watcher.peak_rate("read")
    print(f"peak writes and reads per second: {peak_rates[0]:.0f}, {peak_rates[1]:.0f}")
    require(peak_rates[0] <= writes and peak_rates[1] <= reads, peak_rates)
