"""Reason codes of refusals by admission control."""

from enum import StrEnum


class AdmissionRefusal(StrEnum):
    """Reason for refusing a request before a slot was granted; it has not run."""

    EXPECTED_WAIT = "expected_wait"
    """The expected wait on arrival leaves too little time before the deadline."""

    URGENT_WAIT = "urgent_wait"
    """An urgent request can't start, or did not start, within its wait limit."""

    DEADLINE = "deadline"
    """The time left until the deadline is below the estimated service time."""

    ENTRY_PLACES = "entry_places"
    """The entry host has reached its limit of in-flight requests for the service."""

    ENTRY_BYTES = "entry_bytes"
    """The entry host has reached its limit of in-flight body bytes for the service."""

    ENTRY_FLOW = "entry_flow"
    """The team's requests of this urgency already hold as much as is free."""

    REQUESTER_DROPPED = "requester_dropped"
    """The requesting entry host was no longer live while the request waited."""

    TICKET_ENDED = "ticket_ended"
    """The ticket has already been used for a dispatch."""

    NOT_OWNER = "not_owner"
    """The queue has been transferred to another owner."""

    UNKNOWN_SERVICE = "unknown_service"
    """The configuration in force does not contain the service."""
