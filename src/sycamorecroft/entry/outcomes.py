"""Headers and outcomes of the caller interface."""

from enum import StrEnum

ACCOUNT_HEADER = "Sycamorecroft-Account"
TEAM_HEADER = "Sycamorecroft-Team"
URGENCY_HEADER = "Sycamorecroft-Urgency"
TIMEOUT_HEADER = "Sycamorecroft-Timeout-Ms"
REPEATABLE_HEADER = "Sycamorecroft-Repeatable"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Sycamorecroft-Outcome"
REASON_HEADER = "Sycamorecroft-Reason"
REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"

DEFAULT_TEAM = "default"


class Outcome(StrEnum):
    """What is known of a caller's request."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
