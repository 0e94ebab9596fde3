"""Ownership of services by entry hosts, stored as rows of the platform's store."""

from sycamorecroft.ownership.committer import CommitOutcome, Committer
from sycamorecroft.ownership.hosts import EntryHostRow, EntryHostTable
from sycamorecroft.ownership.owner import Ownership, OwnershipRecord

__all__ = [
    "CommitOutcome",
    "Committer",
    "EntryHostRow",
    "EntryHostTable",
    "Ownership",
    "OwnershipRecord",
]
