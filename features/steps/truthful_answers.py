"""Steps of answers and outcomes under faults of the backend servers."""

import random

from behave import given, then, when

from features.steps.common import (
    dispatch,
    rating,
    require,
    set_backend_fault,
    unique_name,
)
from features.support.callers import CUT_OFF, REFUSED, RUN, UNKNOWN, Order, send_all
from features.support.judgement import counts

# Servers w0 to w7 are the pool of ratings, w16 to w23 and w24 to w31 those of hotline
# calls and orders.
SOME_SERVERS = ("w0", "w3", "w17", "w25")


@given("{servers} backend servers have the fault {kind} for {count:d} requests each")
def _fault(context, servers, kind, count):
    for server in SOME_SERVERS if servers == "some" else ("all",):
        set_backend_fault(context.site, server=server, kind=kind, count=count)


@when(
    "{ratings:d} ratings, {calls:d} hotline calls and {orders:d} orders are sent, "
    "{concurrency:d} at a time"
)
def _send_mixed(context, ratings, calls, orders, concurrency):
    entries = context.site.entry_hosts
    name = unique_name(context)
    mixed = [rating(f"{name}-{n}", "") for n in range(ratings)]
    mixed += [Order("hotline", f"call {name}-{n}".encode(), "") for n in range(calls)]
    mixed += [dispatch(f"{name}-{n}", "") for n in range(orders)]
    random.Random(7).shuffle(mixed)
    placed = [
        order._replace(entry=entries[n % len(entries)]) for n, order in enumerate(mixed)
    ]
    context.sent += send_all(context.site, placed, concurrency)


@when("{count:d} ratings of 4 MB are sent, {concurrency:d} at a time")
def _send_large(context, count, concurrency):
    entries = context.site.entry_hosts
    orders = [
        Order(
            "rating", random.Random(n).randbytes(4_000_000), entries[n % len(entries)]
        )
        for n in range(count)
    ]
    context.sent += send_all(context.site, orders, concurrency)


@then("no request was cut off")
def _none_cut_off(context):
    cut = [s for s in context.sent if s.outcome in (CUT_OFF, REFUSED)]
    require(not cut, f"{counts(context.sent)}; {cut[:3]}")


@then("every caller got the answer to its own body")
def _all_run(context):
    require({s.outcome for s in context.sent} == {RUN}, counts(context.sent))


@then("at least {share:d} of 100 requests got the answer to their own body")
def _share_run(context, share):
    run_count = sum(sent.outcome == RUN for sent in context.sent)
    print(dict(counts(context.sent)))
    require(100 * run_count >= share * len(context.sent), counts(context.sent))


@then("at least {count:d} orders are told to have an unknown outcome")
def _unknown_orders(context, count):
    """Guards against a broken or foreign answer passed on as the order's own."""
    orders = [sent for sent in context.sent if sent.order.service == "dispatch"]
    unknown_count = sum(sent.outcome == UNKNOWN for sent in orders)
    require(unknown_count >= count, counts(orders))
