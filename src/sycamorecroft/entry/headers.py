"""Names of the HTTP headers of the caller interface."""

ACCOUNT_HEADER = "Sycamorecroft-Account"
TEAM_HEADER = "Sycamorecroft-Team"
URGENCY_HEADER = "Sycamorecroft-Urgency"
TIMEOUT_HEADER = "Sycamorecroft-Timeout-Ms"
REPEATABLE_HEADER = "Sycamorecroft-Repeatable"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Sycamorecroft-Outcome"
REASON_HEADER = "Sycamorecroft-Reason"
REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"

# Headers with this prefix are reserved for the entry host. Of these, a backend server
# receives only the request id, and those that it sets are removed from its response.
RESERVED_PREFIX = "sycamorecroft-"

DEFAULT_TEAM = "default"
