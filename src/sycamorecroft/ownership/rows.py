"""Rows that say who owns a service. Each lies in the part of its service."""

from typing import NamedTuple

OWNERS_TABLE = "owners"
COMMITS_TABLE = "commits"
# Counts of jobs without a start, a row for each queue.
PENDING_TABLE = "pending"
ROW_KEY = "row"


class OwnerRow(NamedTuple):
    """Owner of a service; ``host`` is empty when it was given up.

    ``epoch`` rises with each claim. Workers do nothing for a lower one.
    ``released_by`` is the host that gave the service up, which is about to stop, or
    from which it was taken since it fell silent (``is_forced``); ``incarnation`` is
    then that host's. Such a host may still reach workers.
    """

    host: str
    incarnation: str
    epoch: int
    released_by: str = ""
    is_forced: bool = False


class CommitsRow(NamedTuple):
    """Count of an owner's transactions."""

    epoch: int
    commits_count: int
