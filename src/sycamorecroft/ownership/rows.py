"""Rows that store the owner of a service, each in the part of its service."""

from typing import NamedTuple

OWNERS_TABLE = "owners"
COMMITS_TABLE = "commits"
# Number of jobs of which no task has started, one row for each queue.
PENDING_TABLE = "pending"
ROW_KEY = "row"


class OwnerRow(NamedTuple):
    """Owner of a service; ``entry_host`` is empty after a release or a revocation.

    ``epoch`` is a fencing token that rises with each claim; workers reject orders with
    a lower one. ``released_by`` is the former owner, which either released the service
    because it is about to stop, or had it revoked after contact was lost
    (``is_forced``); ``incarnation`` is then that of the former owner. A former owner
    may still reach workers.
    """

    entry_host: str
    incarnation: str
    epoch: int
    released_by: str = ""
    is_forced: bool = False


class CommitsRow(NamedTuple):
    """Number of transactions of a service, and the epoch of its last writer."""

    epoch: int
    commits_count: int
