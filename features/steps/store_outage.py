"""Steps of a long store outage."""

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
from features.support.judgement import contradictions, counts, ledger
from features.support.watchers import StoreCallWatcher
from standins.site import wait_until

OUTAGE_TIMEOUT_S = 60.0
FULL_RATE_RATIO = 0.95


@given("the store's calls are counted each second")
def _count_calls(context):
    context.version = head_version(context.site)
    context.calls = StoreCallWatcher(context.site)
    context.add_cleanup(context.calls.stop)
    context.calls.start()


@given("{count:d} callers send {rate:d} ratings a second each")
def _paced_callers(context, count, rate):
    context.callers = start_callers(
        context, unique_name(context), count, rating, pause_s=1 / rate
    )
    time.sleep(1.0)


@given("{seconds:d} s pass")
def _wait(context, seconds):
    context.calm_s = time.monotonic()
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
def _orders(context):
    name = unique_name(context)
    for entry in context.site.entry_hosts:
        sent = send_one(context, dispatch(f"{name}-{entry}", entry))
        require(sent.outcome == RUN, sent)


@then("all daemons own queues again")
def _registered(context):
    site = context.site
    wait_until(
        lambda: all(
            set(site.status(entry)["live_entries"]) == set(site.entry_hosts)
            and all(e["may_own_queues"] for e in site.status(entry)["entries"])
            for entry in site.entry_hosts
        ),
        "all daemons are registered",
        15,
    )


@then("callers had the full rate during the outage")
def _full_rate(context):
    sents = context.callers.stop()
    started_s, ended_s = context.outage_started_s, context.outage_ended_s
    before = _rate(sents, context.calm_s, started_s)
    rate = _rate(sents, started_s, ended_s)
    print(f"ratings a second: {before:.1f} before, {rate:.1f} during the outage")
    require(rate >= FULL_RATE_RATIO * before, f"{before:.1f} before, {rate:.1f} during")
    # Connections to the killed daemon break; all others go on.
    require(not cut_off_elsewhere(sents, {"entry-6"}), counts(sents))
    found = contradictions(sents, ledger(context.site))
    require(not found, found[:5])


def _rate(sents, from_s, until_s):
    count = sum(s.outcome == RUN and from_s <= s.ended_s < until_s for s in sents)
    return count / (until_s - from_s)


@then("the store had at most {writes:d} writes and {reads:d} reads in each second")
def _calls_within_budget(context, writes, reads):
    calls = context.calls
    calls.stop()
    highest = calls.highest("write"), calls.highest("read")
    print(f"most writes and reads in a second: {highest[0]:.0f}, {highest[1]:.0f}")
    require(highest[0] <= writes and highest[1] <= reads, highest)
