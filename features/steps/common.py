"""Steps that several features share."""

import signal
import time
import zlib

import msgspec
from behave import given, then, when

from features.support.callers import CUT_OFF, REFUSED, RUN, Callers, Order, send
from features.support.judgement import contradictions, counts, ledger, slots_in_use
from standins.site import wait_until
from sycamorecroft.membership import owner_of

SLOTS_COUNT = 8


def require(holds, message):
    """Fails the step with ``message``."""
    assert holds, message


def unique_name(context):
    """
    :returns: a short name of the scenario; claims of former ones stay in the store.
    """
    return f"{zlib.crc32(context.scenario.name.encode()):08x}"


def set_backend_fault(site, **fault):
    answer = site.call(
        site.backend_control_address, "POST", "/faults", msgspec.json.encode(fault)
    )
    require(answer.status == 200, answer.body)


def rating(name, entry):
    return Order("rating", f"reading {name}".encode(), entry)


def dispatch(name, entry):
    return Order("dispatch", f"order {name}".encode(), entry, key=name)


def owner_and_more(site, service, count):
    """
    :returns: the owner of a queue first, then ``count`` other entry hosts.
    """
    owner = owner_of(service, site.entry_hosts)
    others = [entry for entry in site.entry_hosts if entry != owner]
    return [owner, *others[:count]]


def start_callers(context, name, count, make_order, **options):
    """Callers end with the scenario at the latest."""
    callers = Callers(context.site, name, count, make_order, **options)
    context.add_cleanup(callers.stop)
    return callers


@given("{count:d} callers send ratings over kept-alive connections")
def _start_ratings(context, count):
    context.callers = start_callers(context, context.scenario.name, count, rating)
    time.sleep(1.0)


@given("backend servers take {delay_s:d} s longer for {count:d} requests each")
def _slow_requests(context, delay_s, count):
    set_backend_fault(context.site, kind="slow", delay_s=delay_s, count=count)


@when("{seconds:d} s pass")
def _wait(context, seconds):
    time.sleep(seconds)


@when("the store is down for {seconds:d} s")
def _store_down(context, seconds):
    context.site.set_fault({"kind": "down", "duration_s": seconds})


@when("the store answers again")
def _store_up(context):
    context.site.clear_faults()


@then("all daemons reach the store within 5 s")
def _reach_store(context):
    site = context.site
    wait_until(
        lambda: all(_store_age_s(site, e) < 2.0 for e in site.entry_hosts),
        "all daemons reach the store",
        5,
    )


def _store_age_s(site, entry):
    store = site.status(entry)["store"]
    is_open = store["contact_age_s"] is None or store["state"] != "closed"
    return float("inf") if is_open else store["contact_age_s"]


@then("no request of a caller was cut off, refused or left without its own answer")
def _all_answered(context):
    sents = context.callers.stop()
    bad = [s for s in sents if s.outcome != RUN and s.outcome != REFUSED]
    require(len(sents) > 100, f"only {len(sents)} requests were sent")
    require(not bad, f"{counts(sents)}; {bad[:5]}")
    # The load balancer is allowed to find a listener closed, if it moves on.
    refused = [s for s in sents if s.outcome == REFUSED]
    require(not refused, f"{len(refused)} connections were refused: {refused[:3]}")
    found = contradictions(sents, ledger(context.site))
    require(not found, found[:5])


@then("what callers were told agrees with the ledger")
def _agrees(context):
    found = contradictions(context.sent, ledger(context.site))
    require(not found, f"{found[:5]}; {counts(context.sent)}")


@then("all slots return to 0 in use")
def _slots_free(context):
    wait_until(lambda: not slots_in_use(context.site), "slots are free", 10)


def cut_off_elsewhere(sents, entries):
    """
    :returns: requests without a response through entry hosts other than ``entries``.
    """
    return [
        sent
        for sent in sents
        if sent.outcome in (CUT_OFF, REFUSED) and sent.order.entry not in entries
    ]


def restart(context, entries):
    """Starts daemons again and waits until all are ready."""
    for entry in entries:
        context.site.start_entry_host(entry)
        context.killed.discard(entry)
    context.site.wait_for_listeners()
    context.site.wait_until_ready()


def kill(context, entry):
    context.killed.add(entry)
    context.site.signal(entry, signal.SIGKILL)


def freeze(context, entry):
    context.site.signal(entry, signal.SIGSTOP)


def resume(context, entry):
    context.site.signal(entry, signal.SIGCONT)


def send_one(context, order):
    sent = send(context.site, order)
    context.sent.append(sent)
    return sent
