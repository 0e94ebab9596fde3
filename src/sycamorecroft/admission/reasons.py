"""Reason codes of refusals by admission control."""

from enum import StrEnum


class AdmissionRefusal(StrEnum):
    """Why a request was refused before a slot was granted; nothing was run."""

    EXPECTED_WAIT = "expected_wait"
    """On arrival: the expected wait leaves too little time before the deadline."""

    URGENT_WAIT = "urgent_wait"
    """Urgent work that can't start, or didn't start, within the bound for its class."""

    DEADLINE = "deadline"
    """The remaining time is less than the estimated service time."""

    ENTRY_PLACES = "entry_places"
    """The entry host has no place for a further request of this service."""

    ENTRY_BYTES = "entry_bytes"
    """The entry host has no room for a further body of this service."""

    ENTRY_FLOW = "entry_flow"
    """The team's requests of this urgency hold as much of the entry host as is idle."""

    REQUESTER_DROPPED = "requester_dropped"
    """Membership dropped the requesting entry host while the request waited."""

    TICKET_ENDED = "ticket_ended"
    """The ticket was already used for a dispatch."""

    NOT_OWNER = "not_owner"
    """The queue has moved to another owner."""

    UNKNOWN_SERVICE = "unknown_service"
    """The configuration in force has no such service."""
