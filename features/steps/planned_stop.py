"""Steps of planned stops."""

import signal
import threading
import time

from behave import then, when
from urllib3.exceptions import HTTPError

from features.steps.common import owner_and_more, require, restart

STOP_LIMIT_S = 30.0


class _Stop(threading.Thread):
    """Stops a daemon, and notes what it reports until its listener is closed."""

    def __init__(self, context, entry):
        super().__init__(daemon=True)
        self._site = context.site
        self.entry = entry
        self.was_not_ready = False
        self.exit_code = None
        context.killed.add(entry)

    def run(self):
        self._site.signal(self.entry, signal.SIGTERM)
        while self._reports():
            time.sleep(0.05)
        self.exit_code = self._site.stop_entry_host(self.entry, STOP_LIMIT_S)

    def _reports(self):
        address = self._site.http_address(self.entry)
        try:
            answer = self._site.call(address, "GET", "/readyz", timeout_s=2)
        except HTTPError:
            return False
        if answer.status == 503 and "stopping" in answer.json()["reasons"]:
            self.was_not_ready = True
        return True


@when("the owner of the rating queue and {count:d} more daemons stop one after another")
def _stop_in_turn(context, count):
    context.stops = []
    for entry in owner_and_more(context.site, "rating", count):
        stop = _Stop(context, entry)
        context.stops.append(stop)
        stop.start()
        stop.join(STOP_LIMIT_S)
    time.sleep(0.5)


@when("the owner of the rating queue and {count:d} more daemons stop at once")
def _stop_at_once(context, count):
    entries = owner_and_more(context.site, "rating", count)
    context.stops = [_Stop(context, entry) for entry in entries]
    for stop in context.stops:
        stop.start()
    for stop in context.stops:
        stop.join(STOP_LIMIT_S)
    time.sleep(0.5)


@then("each daemon reported that it stops before it closed its listener")
def _readiness_fell(context):
    silent = [stop.entry for stop in context.stops if not stop.was_not_ready]
    require(not silent, f"never reported to be stopping: {silent}")


@then("each daemon ended with exit code 0")
def _exit_codes(context):
    codes = {stop.entry: stop.exit_code for stop in context.stops}
    require(set(codes.values()) == {0}, codes)
    restart(context, codes)
