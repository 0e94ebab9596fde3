"""Headers of the caller interface."""

ACCOUNT_HEADER = "Sycamorecroft-Account"
TEAM_HEADER = "Sycamorecroft-Team"
URGENCY_HEADER = "Sycamorecroft-Urgency"
TIMEOUT_HEADER = "Sycamorecroft-Timeout-Ms"
REPEATABLE_HEADER = "Sycamorecroft-Repeatable"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Sycamorecroft-Outcome"
REASON_HEADER = "Sycamorecroft-Reason"
REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"

# Headers with this prefix belong to the entry host; a backend server sees only the
# request id and sets none of them.
RESERVED_PREFIX = "sycamorecroft-"

DEFAULT_TEAM = "default"
