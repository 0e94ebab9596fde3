"""Polls the state of an operation on the daemons until it ends."""

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
    """Polls a value and prints its description whenever that changes.

    A read that fails because a daemon or the store is unavailable is retried, since
    such outages are temporary.

    :param read: reads the current value.
    :param describe: returns the line to print for a value.
    :param is_ended: whether a value is final.
    :param limit_s: time limit in seconds, ``None`` for no limit.
    :returns: the final value.
    :raises UnsuccessfulError: if no final value was read within ``limit_s``.
    """
    started_s = time.monotonic()
    printed = ""
    while True:
        try:
            value = read()
        except StoreUnavailableError as error:
            sys.stderr.write(f"no answer, retrying: {error}\n")
        else:
            text = describe(value)
            if text != printed:
                print_line(text)
                printed = text
            if is_ended(value):
                return value
        if limit_s is not None and time.monotonic() - started_s >= limit_s:
            message = (
                f"not ended after {limit_s:g} s; it continues, repeat the same command "
                "to watch it again"
            )
            raise UnsuccessfulError(message)
        time.sleep(POLL_INTERVAL_S)
