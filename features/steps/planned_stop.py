"""Steps that stop daemons as planned."""

import signal
import threading
import time

from behave import then, when
from urllib3.exceptions import HTTPError

from features.steps.common import owner_and_others, require, restart

STOP_LIMIT_S = 30.0


class _Stop(threading.Thread):
    """Stops a daemon and polls its readiness until its listener is closed."""

    def __init__(self, context, entry_host):
        super().__init__(daemon=True)
        self._site = context.site
        self.entry_host = entry_host
        self.has_reported_stopping = False
        self.exit_code = None
        context.killed.add(entry_host)

    def run(self):
        self._site.signal(self.entry_host, signal.SIGTERM)
        while self._poll_readiness():
            time.sleep(0.05)
        self.exit_code = self._site.stop_entry_host(self.entry_host, STOP_LIMIT_S)

    def _poll_readiness(self):
        address = self._site.http_address(self.entry_host)
        try:
            answer = self._site.call(address, "GET", "/readyz", timeout_s=2)
        except HTTPError:
            return False
        if answer.status == 503 and "stopping" in answer.json()["reasons"]:
            self.has_reported_stopping = True
        return True


@when("the owner of the rating queue and {count:d} more daemons stop one after another")
def _stop_one_after_another(context, count):
    context.stops = []
    for entry_host in owner_and_others(context.site, "rating", count):
        stop = _Stop(context, entry_host)
        context.stops.append(stop)
        stop.start()
        stop.join(STOP_LIMIT_S)
    time.sleep(0.5)


@when("the owner of the rating queue and {count:d} more daemons stop concurrently")
def _stop_concurrently(context, count):
    entry_hosts = owner_and_others(context.site, "rating", count)
    context.stops = [_Stop(context, entry_host) for entry_host in entry_hosts]
    for stop in context.stops:
        stop.start()
    for stop in context.stops:
        stop.join(STOP_LIMIT_S)
    time.sleep(0.5)


@then("each daemon reported that it stops before it closed its listener")
def _reported_stopping(context):
    unreported = [
        stop.entry_host for stop in context.stops if not stop.has_reported_stopping
    ]
    require(
        not unreported,
        f"closed their listener without reporting that they stop: {unreported}",
    )


@then("each daemon ended with exit code 0")
def _exited_with_0(context):
    codes = {stop.entry_host: stop.exit_code for stop in context.stops}
    require(set(codes.values()) == {0}, codes)
    restart(context, codes)
