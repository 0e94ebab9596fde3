"""Steps and helpers shared by several features."""

import signal
import time
import zlib

import msgspec
from behave import given, then, when

from features.support.callers import CUT_OFF, REFUSED, RUN, CallerRequest, Callers, send
from features.support.ledger_checks import (
    contradictions,
    outcome_counts,
    read_ledger,
    slots_in_use,
)
from standins.site import wait_until
from sycamorecroft.membership import owner_of

SLOTS_COUNT = 8


def require(condition, message):
    """Fails the step with ``message``."""
    assert condition, message


def unique_name(context):
    """
    :returns: a short name that is unique to the scenario. Keys must differ between
        scenarios, as the claims of earlier ones stay in the store.
    """
    return f"{zlib.crc32(context.scenario.name.encode()):08x}"


def set_backend_fault(site, **fault):
    answer = site.call(
        site.backend_control_address, "POST", "/faults", msgspec.json.encode(fault)
    )
    require(answer.status == 200, answer.body)


def rating(name, entry_host):
    return CallerRequest("rating", f"reading {name}".encode(), entry_host)


def dispatch(name, entry_host):
    return CallerRequest("dispatch", f"order {name}".encode(), entry_host, key=name)


def owner_and_others(site, service, count):
    """
    :returns: the owner of a queue first, then ``count`` other entry hosts.
    """
    owner = owner_of(service, site.entry_hosts)
    others = [entry_host for entry_host in site.entry_hosts if entry_host != owner]
    return [owner, *others[:count]]


def start_callers(context, name, count, make_request, **options):
    """Starts callers that are stopped with the scenario at the latest."""
    callers = Callers(context.site, name, count, make_request, **options)
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
def _store_unavailable(context, seconds):
    context.site.set_fault({"kind": "down", "duration_s": seconds})


@when("the store answers again")
def _restore_store(context):
    context.site.clear_faults()


@then("all daemons reach the store within 5 s")
def _reach_store(context):
    context.site.wait_until_store_reached(timeout_s=5)


@then("no request of a caller was cut off, refused or left without its own answer")
def _all_answered(context):
    sent_requests = context.callers.stop()
    failed = [s for s in sent_requests if s.outcome != RUN and s.outcome != REFUSED]
    require(len(sent_requests) > 100, f"only {len(sent_requests)} requests were sent")
    require(not failed, f"{outcome_counts(sent_requests)}; {failed[:5]}")
    # A load balancer could retry a refused connection elsewhere, but none is expected.
    refused = [s for s in sent_requests if s.outcome == REFUSED]
    require(not refused, f"{len(refused)} connections were refused: {refused[:3]}")
    contradicted = contradictions(sent_requests, read_ledger(context.site))
    require(not contradicted, contradicted[:5])


@then("the reported outcomes agree with the ledger")
def _outcomes_agree(context):
    contradicted = contradictions(context.sent, read_ledger(context.site))
    require(not contradicted, f"{contradicted[:5]}; {outcome_counts(context.sent)}")


@then("all slots return to 0 in use")
def _slots_free(context):
    wait_until(lambda: not slots_in_use(context.site), "slots are free", 10)


def cut_off_elsewhere(sent_requests, excluded_entry_hosts):
    """
    :returns: requests without a response that were not sent through
        ``excluded_entry_hosts``.
    """
    return [
        sent
        for sent in sent_requests
        if sent.outcome in (CUT_OFF, REFUSED)
        and sent.request.entry_host not in excluded_entry_hosts
    ]


def restart(context, entry_hosts):
    """Starts stopped daemons and waits until all are ready."""
    for entry_host in entry_hosts:
        context.site.start_entry_host(entry_host)
        context.killed.discard(entry_host)
    context.site.wait_for_listeners()
    context.site.wait_until_ready()


def kill(context, entry_host):
    context.killed.add(entry_host)
    context.site.signal(entry_host, signal.SIGKILL)


def freeze(context, entry_host):
    context.site.signal(entry_host, signal.SIGSTOP)


def resume(context, entry_host):
    context.site.signal(entry_host, signal.SIGCONT)


def send_one(context, request):
    sent = send(context.site, request)
    context.sent.append(sent)
    return sent
