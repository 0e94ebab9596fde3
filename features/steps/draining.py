"""Steps of maintenance under load."""

import time
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta

import msgspec
from behave import given, then, when

from features.steps.common import require, unique_name
from features.support.judgement import ledger
from features.support.watchers import HostRowWatcher
from standins.site import wait_until

NO_GRANT_AFTER_S = 5.0
MAINTENANCE_TIMEOUT_S = 60.0
# A request granted before the limit starts on the backend server a moment later.
START_DELAY_S = 0.2
RACK_HOSTS = ("rating-1", "rating-2", "rating-3", "rating-4")


@given("the platform's host list lags by {seconds:d} s")
def _lag(context, seconds):
    content = msgspec.json.encode({"host_list_lag_s": seconds})
    context.site.call(context.site.platform_address, "POST", "/settings", content)
    _watch(context)


@given("all host rows are watched")
def _watch(context):
    context.watcher = HostRowWatcher(context.site)
    context.add_cleanup(context.watcher.stop)
    context.watcher.start()


def _declare(context, entry, kind, names):
    body = {
        "idempotency_key": f"{unique_name(context)}-{kind}-{names[0]}",
        "kind": kind,
        "names": names,
        "deadline": (datetime.now(UTC) + timedelta(hours=1)).isoformat(),
    }
    answer = context.site.call_operator(entry, "POST", "maintenance", body)
    require(answer.status == 200, answer.body)
    return answer.json()["wave"]["id"]


@when("an operator declares maintenance of hosts {names}")
def _declare_hosts(context, names):
    context.declared_s = time.monotonic()
    entry = context.site.entry_hosts[1]
    context.waves = [_declare(context, entry, "hosts", names.split(","))]


@when("two operators at once declare rack {rack} and hosts {names}")
def _declare_twice(context, rack, names):
    entries = context.site.entry_hosts
    with ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(_declare, context, entries[1], "rack", [rack]),
            executor.submit(_declare, context, entries[2], "hosts", names.split(",")),
        ]
        context.waves = [future.result() for future in futures]


@when("the first {count:d} hosts of the rack are out of service")
def _half_way(context, count):
    watcher = context.watcher
    wait_until(lambda: len(_draining(watcher)) >= count, "hosts drain", 20)


def _draining(watcher):
    return [
        (at_s, host) for at_s, host, state in watcher.changes if state == "draining"
    ]


@then("no host leaves service during the outage")
def _none_drains(context):
    down_s = time.monotonic()
    before = len(_draining(context.watcher))
    wait_until(lambda: _table_answers(context.site), "the store answers", 10)
    require(time.monotonic() - down_s > 4, "the store was not down")
    require(len(_draining(context.watcher)) == before, context.watcher.changes)


def _table_answers(site):
    return site.call(site.platform_address, "GET", "/tables/hosts").status == 200


@when("the maintenance has finished")
def _finished(context):
    for wave in context.waves:
        wait_until(
            lambda wave=wave: _state(context.site, wave) == "finished",
            f"wave {wave} finished",
            MAINTENANCE_TIMEOUT_S,
        )


def _state(site, wave):
    answer = site.call_operator(site.entry_hosts[3], "GET", f"maintenance/{wave}")
    return answer.json()["wave"]["state"] if answer.status == 200 else None


@then(
    "{host} got requests before, and none from 5 s after the declaration until it was "
    "active again"
)
def _no_work(context, host):
    workers = [worker.name for worker in context.site.inventory.workers]
    server = f"w{workers.index(host)}"
    starts_s = [e["start_s"] for e in ledger(context.site) if e["server"] == server]
    active_s = context.watcher.times_of(host, "active")[-1]
    first_s = context.declared_s + NO_GRANT_AFTER_S + START_DELAY_S
    require(active_s - first_s > 1, f"out of service until {active_s - first_s:.1f} s")
    require(any(s < context.declared_s for s in starts_s), "no request before")
    late = [s - context.declared_s for s in starts_s if first_s < s < active_s]
    require(not late, f"started after the declaration: {late[:5]} s")


@then("each host of the rack was rebooted once")
def _rebooted(context):
    counts = {h: len(context.watcher.times_of(h, "rebooting")) for h in RACK_HOSTS}
    require(set(counts.values()) == {1}, counts)


@then("never more than {count:d} hosts of the pool {pool} were out of service")
def _budget(context, count, pool):
    most = context.watcher.most_out[pool]
    require(0 < most <= count, f"{most} hosts were out of service at once")
