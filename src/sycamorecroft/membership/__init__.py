"""Membership of the entry hosts and ownership of service queues."""

from sycamorecroft.membership.ownership import owner_of, owners_of
from sycamorecroft.membership.state import (
    Evidence,
    MemberDigest,
    MembershipState,
    MembershipView,
    ServiceDemand,
)

__all__ = [
    "Evidence",
    "MemberDigest",
    "MembershipState",
    "MembershipView",
    "ServiceDemand",
    "owner_of",
    "owners_of",
]
