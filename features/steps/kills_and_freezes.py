"""Steps of kills and freezes."""

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.steps.common import (
    SLOTS_COUNT,
    freeze,
    kill,
    owner_and_more,
    rating,
    require,
    restart,
    resume,
    set_backend_fault,
    start_callers,
)
from features.support.callers import RUN, send
from features.support.judgement import (
    contradictions,
    counts,
    late_starts,
    ledger,
    most_at_once,
)
from standins.site import wait_until

FAILING_COUNT = 2


@given("{count:d} callers send ratings through entry hosts that will not fail")
def _start_callers(context, count):
    context.failing = owner_and_more(context.site, "rating", FAILING_COUNT - 1)
    avoided = frozenset(context.failing)
    context.callers = start_callers(context, "others", count, rating, avoided=avoided)
    time.sleep(1.0)


@given("{count:d} long ratings are in flight through the owner of the rating queue")
def _long_requests(context, count):
    site, owner = context.site, context.failing[0]
    executor = ThreadPoolExecutor(count)
    context.add_cleanup(executor.shutdown)
    set_backend_fault(site, kind="slow", delay_s=1.0, duration_s=0.4)
    orders = [rating(f"long-{number}", owner) for number in range(count)]
    context.long = [executor.submit(send, site, order) for order in orders]
    time.sleep(0.2)


@when("the owner of the rating queue and {count:d} more daemons are killed")
def _kill(context, count):
    for entry in context.failing[: 1 + count]:
        kill(context, entry)


@when("the owner of the rating queue is frozen for {seconds:d} s")
def _freeze(context, seconds):
    owner = context.failing[0]
    freeze(context, owner)
    time.sleep(seconds)
    resume(context, owner)


@then("every rating was run, and started within 1.3 s")
def _all_run(context):
    sents = context.callers.stop()
    long = [future.result() for future in getattr(context, "long", [])]
    context.ledger = ledger(context.site)
    bad = [sent for sent in sents if sent.outcome != RUN]
    require(len(sents) > 100 and not bad, f"{counts(sents)}; {bad[:3]}")
    late = late_starts(sents, context.ledger)
    require(not late, f"{len(late)} of {len(sents)}: {late[:5]}")
    found = contradictions([*sents, *long], context.ledger)
    require(not found, found[:5])


@then("no backend server was asked for more slots than it has")
def _no_refusals(context):
    refusals = context.site.call(
        context.site.backend_control_address, "GET", "/refusals"
    ).json()
    refused = {server: count for server, count in refusals.items() if count}
    require(not refused, f"requests beyond the slots by server: {refused}")
    most = most_at_once(context.ledger)
    require(max(most.values()) <= SLOTS_COUNT, most)


@then("no rating ran twice")
def _no_second_run(context):
    runs = Counter(entry["request_id"] for entry in context.ledger)
    repeated = [name for name, count in runs.items() if count > 1]
    require(not repeated, f"ran more than once: {repeated}")


@then("all entry hosts count the frozen daemon as live")
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
            len(site.status(entry)["live_entries"]) == len(site.entry_hosts)
            for entry in site.entry_hosts
        ),
        "all entry hosts are live everywhere",
        15,
    )
