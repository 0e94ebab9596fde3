"""Runs a case and turns its outcome into an exit code."""

import os
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from review.rig_2.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

Case = Callable[[Record, bool], list[str]]


def run_case(folder: Path, case: Case) -> None:
    """Runs a case, prints what broke the rule, and exits.

    :param folder: folder of the case, in which ``record.txt`` is written.
    :param case: gets the record and whether the disruption is played, and returns one
        line for each violation.
    """
    record = Record(folder / "record.txt")
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = case(record, is_disturbed)
    except Exception:
        traceback.print_exc()
        record.add("not_run", error=traceback.format_exc(limit=1).splitlines()[-1])
        code = NOT_RUN
    else:
        for text in violations:
            record.add("violation", text=text)
            print(text)
        code = BROKEN if violations else HELD
        print("rule broken" if violations else "rule held")
    record.add("end", code=code)
    record.close()
    sys.stdout.flush()
    os._exit(code)
