"""Steps that send non-repeatable orders."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when

from features.steps.common import (
    dispatch,
    freeze,
    require,
    resume,
    send_one,
    set_backend_fault,
    unique_name,
)
from features.support.callers import NOT_RUN, RUN, UNKNOWN, send, send_all
from features.support.ledger_checks import outcome_counts, read_ledger, runs_by_key
from standins.site import wait_until

REPEAT_LIMIT_S = 12.0


def _unique_keys(context, count):
    return [f"{unique_name(context)}-{number}" for number in range(count)]


def _send_orders(context, orders):
    sent = send_all(context.site, orders, 64)
    context.sent += sent
    return sent


@given("the store loses all responses to writes for {seconds:d} s")
def _lose_responses(context, seconds):
    context.site.set_fault(
        {
            "service": "tables",
            "kind": "lost_response",
            "operation": "write",
            "duration_s": seconds,
        }
    )


@given("the store answers {delay_s:g} s late")
def _delay_store(context, delay_s):
    context.site.set_fault({"service": "tables", "kind": "delay", "delay_s": delay_s})


@given("all backend servers reset connections after the request has run")
def _reset_after_read(context):
    set_backend_fault(context.site, kind="reset_after_read")


@when("{count:d} orders are each sent concurrently through {hosts_count:d} entry hosts")
def _send_through_several(context, count, hosts_count):
    context.keys = _unique_keys(context, count)
    entries = context.site.entry_hosts[:hosts_count]
    _send_orders(context, [dispatch(k, e) for k in context.keys for e in entries])


@when("{count:d} orders are sent concurrently")
def _send_concurrently(context, count):
    context.keys = _unique_keys(context, count)
    entries = context.site.entry_hosts
    context.first_sent = _send_orders(
        context,
        [dispatch(k, entries[n % len(entries)]) for n, k in enumerate(context.keys)],
    )


@when("the same orders are sent again")
def _send_again(context):
    entry_host = context.site.entry_hosts[-1]
    context.repeated_sent = _send_orders(
        context, [dispatch(k, entry_host) for k in context.keys]
    )


@when("the orders that were not run are sent again until they are run")
def _send_until_run(context):
    entries = context.site.entry_hosts
    missing = [s.request.key for s in context.first_sent if s.outcome != RUN]
    deadline_s = time.monotonic() + REPEAT_LIMIT_S
    attempt = 0
    while missing:
        require(
            time.monotonic() < deadline_s, f"not run: {outcome_counts(context.sent)}"
        )
        attempt += 1
        entry_host = entries[attempt % len(entries)]
        sent = _send_orders(context, [dispatch(key, entry_host) for key in missing])
        missing = [s.request.key for s in sent if s.outcome != RUN]


@when(
    "an order is sent through an entry host that freezes after the claim is committed"
)
def _freeze_claimant(context):
    site = context.site
    context.keys = _unique_keys(context, 1)
    context.claimant = site.entry_hosts[0]
    executor = ThreadPoolExecutor(1)
    context.add_cleanup(executor.shutdown)
    order = dispatch(context.keys[0], context.claimant)
    previous = _claims_count(site)
    context.pending = executor.submit(send, site, order)
    # The claim is written after at most 0.1 s, and the store delays the write by 0.6 s,
    # so that the claimant is frozen while the write is in flight.
    time.sleep(0.4)
    freeze(context, context.claimant)
    wait_until(lambda: _claims_count(site) > previous, "the claim is committed", 5)
    site.clear_faults()


def _claims_count(site):
    answer = site.call(site.platform_address, "GET", "/tables/claims")
    return len(answer.json()["rows"])


@when("the same order is sent through another entry host")
def _send_elsewhere(context):
    send_one(context, dispatch(context.keys[0], context.site.entry_hosts[1]))


@when("the claimant is resumed")
def _resume_claimant(context):
    resume(context, context.claimant)
    context.sent.append(context.pending.result())
    require(context.sent[-1].outcome == RUN, context.sent[-1])


@then("the other entry host reports an unknown outcome")
def _is_unknown(context):
    sent = context.sent[-1]
    require(sent.outcome == UNKNOWN and sent.reason == "claim_pending", sent)


@then("all answers report an unknown outcome")
def _all_unknown(context):
    require(
        {s.outcome for s in context.sent} == {UNKNOWN}, outcome_counts(context.sent)
    )


@then("each order ran exactly once")
def _ran_once(context):
    runs = runs_by_key(read_ledger(context.site))
    mismatched = {key: runs[key] for key in context.keys if runs[key] != 1}
    require(
        not mismatched, f"runs by key: {mismatched}; {outcome_counts(context.sent)}"
    )


@then("the last answer to each order is the recorded one")
def _recorded_answers(context):
    mismatched = [
        s for s in context.repeated_sent if s.outcome != RUN or not s.is_recorded
    ]
    require(not mismatched, outcome_counts(context.repeated_sent))


@then("at least {count:d} order was run despite the fault")
def _ran_despite_fault(context, count):
    run_count = sum(sent.outcome == RUN for sent in context.first_sent)
    require(run_count >= count, outcome_counts(context.first_sent))


@then("all orders were refused as not run with reason {reason}")
def _all_refused(context, reason):
    outcomes = {(sent.outcome, sent.reason) for sent in context.first_sent}
    require(outcomes == {(NOT_RUN, reason)}, outcome_counts(context.first_sent))


@then("no order is in the ledger")
def _ledger_is_empty(context):
    entries = read_ledger(context.site)
    require(not entries, msgspec.json.encode(entries[:3]))
