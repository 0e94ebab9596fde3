"""Membership of the entry hosts and assignment of service queues to them."""

from sycamorecroft.membership.ownership import owner_of, rank_owners
from sycamorecroft.membership.state import (
    FailureEvidence,
    MemberDigest,
    MembershipState,
    MembershipView,
    ServiceDemand,
)

__all__ = [
    "FailureEvidence",
    "MemberDigest",
    "MembershipState",
    "MembershipView",
    "ServiceDemand",
    "owner_of",
    "rank_owners",
]
