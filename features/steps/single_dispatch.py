"""Steps of orders that must not be repeated."""

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
from features.support.judgement import counts, ledger, runs_by_key
from standins.site import wait_until

REPEAT_LIMIT_S = 12.0


def _names(context, count):
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
def _slow_store(context, delay_s):
    context.site.set_fault({"service": "tables", "kind": "delay", "delay_s": delay_s})


@given("all backend servers reset connections after the request has run")
def _reset_after_read(context):
    set_backend_fault(context.site, kind="reset_after_read")


@when("{count:d} orders are each sent at once through {hosts_count:d} entry hosts")
def _send_through_several(context, count, hosts_count):
    context.keys = _names(context, count)
    entries = context.site.entry_hosts[:hosts_count]
    _send_orders(context, [dispatch(k, e) for k in context.keys for e in entries])


@when("{count:d} orders are sent at once")
def _send_once(context, count):
    context.keys = _names(context, count)
    entries = context.site.entry_hosts
    context.first = _send_orders(
        context,
        [dispatch(k, entries[n % len(entries)]) for n, k in enumerate(context.keys)],
    )


@when("the same orders are sent again")
def _send_again(context):
    entry = context.site.entry_hosts[-1]
    context.again = _send_orders(context, [dispatch(k, entry) for k in context.keys])


@when("the orders that were not run are sent again until they are run")
def _send_until_run(context):
    entries = context.site.entry_hosts
    missing = [s.order.key for s in context.first if s.outcome != RUN]
    deadline_s = time.monotonic() + REPEAT_LIMIT_S
    turn = 0
    while missing:
        require(time.monotonic() < deadline_s, f"not run: {counts(context.sent)}")
        turn += 1
        entry = entries[turn % len(entries)]
        sent = _send_orders(context, [dispatch(key, entry) for key in missing])
        missing = [s.order.key for s in sent if s.outcome != RUN]


@when(
    "an order is sent through an entry host that freezes after the claim is committed"
)
def _freeze_claimant(context):
    site = context.site
    context.keys = _names(context, 1)
    context.claimant = site.entry_hosts[0]
    executor = ThreadPoolExecutor(1)
    context.add_cleanup(executor.shutdown)
    order = dispatch(context.keys[0], context.claimant)
    former = _claims_count(site)
    context.pending = executor.submit(send, site, order)
    # The write is sent after at most 0.1 s and takes effect after 0.6 s.
    time.sleep(0.4)
    freeze(context, context.claimant)
    wait_until(lambda: _claims_count(site) > former, "the claim is committed", 5)
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


@then("the other entry host tells that the outcome is unknown")
def _is_unknown(context):
    sent = context.sent[-1]
    require(sent.outcome == UNKNOWN and sent.reason == "claim_pending", sent)


@then("all answers tell that the outcome is unknown")
def _all_unknown(context):
    require({s.outcome for s in context.sent} == {UNKNOWN}, counts(context.sent))


@then("each order ran exactly once")
def _once(context):
    runs = runs_by_key(ledger(context.site))
    wrong = {key: runs[key] for key in context.keys if runs[key] != 1}
    require(not wrong, f"runs by key: {wrong}; {counts(context.sent)}")


@then("the last answer to each order is the recorded one")
def _recorded(context):
    wrong = [s for s in context.again if s.outcome != RUN or not s.is_recorded]
    require(not wrong, counts(context.again))


@then("at least {count:d} order was run in spite of the fault")
def _run_in_spite(context, count):
    run_count = sum(sent.outcome == RUN for sent in context.first)
    require(run_count >= count, counts(context.first))


@then("all orders were refused as not run with reason {reason}")
def _refused(context, reason):
    outcomes = {(sent.outcome, sent.reason) for sent in context.first}
    require(outcomes == {(NOT_RUN, reason)}, counts(context.first))


@then("no order is in the ledger")
def _empty_ledger(context):
    entries = ledger(context.site)
    require(not entries, msgspec.json.encode(entries[:3]))
