"""Steps in which entry hosts are killed or frozen."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.steps.common import (
    SLOTS_COUNT,
    freeze,
    kill,
    owner_and_others,
    rating,
    require,
    restart,
    resume,
    set_backend_fault,
    start_callers,
)
from features.support.callers import RUN, send
from features.support.ledger_checks import (
    contradictions,
    late_starts,
    outcome_counts,
    peak_concurrency,
    read_ledger,
)
from standins.site import wait_until

FAILING_COUNT = 2


@given("{count:d} callers send ratings through entry hosts that will not fail")
def _start_callers(context, count):
    context.failing = owner_and_others(context.site, "rating", FAILING_COUNT - 1)
    excluded = frozenset(context.failing)
    context.callers = start_callers(
        context, "unaffected", count, rating, excluded=excluded
    )
    time.sleep(1.0)


@given("{count:d} long ratings are in flight through the owner of the rating queue")
def _long_requests(context, count):
    site, owner = context.site, context.failing[0]
    executor = ThreadPoolExecutor(count)
    context.add_cleanup(executor.shutdown)
    set_backend_fault(site, kind="slow", delay_s=1.0, duration_s=0.4)
    orders = [rating(f"long-{number}", owner) for number in range(count)]
    context.long_requests = [executor.submit(send, site, order) for order in orders]
    time.sleep(0.2)


@when("the owner of the rating queue and {count:d} more daemons are killed")
def _kill(context, count):
    for entry_host in context.failing[: 1 + count]:
        kill(context, entry_host)


@when("the owner of the rating queue is frozen for {seconds:d} s")
def _freeze(context, seconds):
    owner = context.failing[0]
    freeze(context, owner)
    time.sleep(seconds)
    resume(context, owner)


@then("every rating was run, and started within 1.3 s")
def _all_run(context):
    sent_requests = context.callers.stop()
    long_requests = [
        future.result() for future in getattr(context, "long_requests", [])
    ]
    context.ledger = read_ledger(context.site)
    failed = [sent for sent in sent_requests if sent.outcome != RUN]
    require(
        len(sent_requests) > 100 and not failed,
        f"{outcome_counts(sent_requests)}; {failed[:3]}",
    )
    late = late_starts(sent_requests, context.ledger)
    require(not late, f"{len(late)} of {len(sent_requests)}: {late[:5]}")
    contradicted = contradictions([*sent_requests, *long_requests], context.ledger)
    require(not contradicted, contradicted[:5])


@then("no backend server received more requests at a time than it has slots")
def _no_excess_requests(context):
    refusals = context.site.call(
        context.site.backend_control_address, "GET", "/refusals"
    ).json()
    refused = {server: count for server, count in refusals.items() if count}
    require(not refused, f"requests refused for lack of a slot, by server: {refused}")
    peak = peak_concurrency(context.ledger)
    require(max(peak.values()) <= SLOTS_COUNT, peak)


@then("no rating ran twice")
def _no_second_run(context):
    runs = Counter(entry["request_id"] for entry in context.ledger)
    repeated = [name for name, count in runs.items() if count > 1]
    require(not repeated, f"ran more than once: {repeated}")


@then("all entry hosts list the frozen daemon as live")
def _rejoined(context):
    site, owner = context.site, context.failing[0]
    wait_until(
        lambda: all(owner in site.status(e)["live_entries"] for e in site.entry_hosts),
        f"{owner} is live everywhere",
        10,
    )


@then("the killed daemons rejoin after they are started again")
def _restart(context):
    site = context.site
    restart(context, sorted(context.killed))
    wait_until(
        lambda: all(
            len(site.status(entry_host)["live_entries"]) == len(site.entry_hosts)
            for entry_host in site.entry_hosts
        ),
        "all entry hosts are live everywhere",
        15,
    )
