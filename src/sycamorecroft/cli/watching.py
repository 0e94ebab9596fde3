"""Watches something on the daemons until it ends."""

import sys
import time
from collections.abc import Callable
from typing import Annotated, TypeVar

from cyclopts import Parameter

from sycamorecroft.cli.exit_codes import UnsuccessfulError
from sycamorecroft.cli.output import print_line
from sycamorecroft.errors import StoreUnavailableError

POLL_INTERVAL_S = 0.5

WaitLimit = Annotated[
    float | None,
    Parameter(help="Seconds after which to stop watching; no limit by default."),
]

Value = TypeVar("Value")


def watch_until(
    read: Callable[[], Value],
    describe: Callable[[Value], str],
    is_ended: Callable[[Value], bool],
    limit_s: float | None,
) -> Value:
    """Reads again and again, and prints each description that differs from the last.

    A read that fails is repeated, since a store or daemon that is down comes back.

    :returns: the value that ended it.
    :raises UnsuccessfulError: when the time is over first.
    """
    started_s = time.monotonic()
    shown = ""
    while True:
        try:
            value = read()
        except StoreUnavailableError as error:
            sys.stderr.write(f"no answer, trying again: {error}\n")
        else:
            text = describe(value)
            if text != shown:
                print_line(text)
                shown = text
            if is_ended(value):
                return value
        if limit_s is not None and time.monotonic() - started_s >= limit_s:
            message = (
                f"not ended after {limit_s:g} s; it goes on, and the same command "
                "watches it again"
            )
            raise UnsuccessfulError(message)
        time.sleep(POLL_INTERVAL_S)
