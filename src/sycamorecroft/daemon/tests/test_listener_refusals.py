"""Tests of the outcome headers of refusals by the listener."""

import pytest

from sycamorecroft.daemon.listener_refusals import refusal_fields
from sycamorecroft.entry.refusal import (
    NO_CONNECTION,
    NO_MEMORY,
    STOPPING,
    Refusal,
    parser_refusal,
)


@pytest.mark.parametrize(
    ("refusal", "reason"),
    (
        (NO_MEMORY, "entry_bytes"),
        (NO_CONNECTION, "entry_places"),
        (STOPPING, "entry_places"),
        (parser_refusal(413, ""), "bad_request"),
        (parser_refusal(400, ""), "bad_request"),
    ),
)
def test_refusal_tells_that_the_request_was_not_run(refusal: Refusal, reason: str):
    """Guards against refusals that callers have to treat as requests that may have
    run."""
    assert refusal_fields(refusal) == {
        "Sycamorecroft-Outcome": "not-run",
        "Sycamorecroft-Reason": reason,
    }
