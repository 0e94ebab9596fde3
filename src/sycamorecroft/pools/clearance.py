"""Clearance of draining hosts.

A draining host is clear once no entry host can send it requests any more.
"""

from collections.abc import Sequence
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.pools.state import EntryHostRecord

# Requesters report the grants they hold to a new queue owner within this time.
HELD_GRANTS_WAIT_S = 5.0


class BlockReason(StrEnum):
    """Reason why a draining host isn't clear yet."""

    VIEW_TOO_OLD = "view_too_old"
    GRANT_HELD = "grant_held"
    WAIT_AFTER_DRAIN = "wait_after_drain"


class Blocker(NamedTuple):
    """Obstacle to a host's clearance.

    ``entry`` names the entry host that blocks; it is empty for the wait after the
    drain, which no entry host causes.
    """

    entry: str
    reason: BlockReason
    detail: str


class Acknowledgements(NamedTuple):
    """Registrations of entry hosts and the platform's list of entry hosts.

    ``listed_entry_hosts`` and ``listed_as_of`` are ``None`` when the list was
    unavailable; no entry host then counts as removed.
    """

    registrations: tuple[EntryHostRecord, ...]
    listed_entry_hosts: frozenset[str] | None
    listed_as_of: datetime | None
    now: datetime


class DrainingHost(NamedTuple):
    """A draining host.

    ``observed_for_s`` is the time since the controller first read ``row_version``.
    """

    host: str
    row_version: int
    observed_for_s: float


class Clearance(NamedTuple):
    """Obstacles that remain; the host is clear when there are none."""

    blockers: tuple[Blocker, ...]

    @property
    def is_clear(self) -> bool:
        """Whether the host can be moved, rebooted or removed."""
        return not self.blockers


def evaluate_clearance(
    draining: DrainingHost, acknowledgements: Acknowledgements
) -> Clearance:
    """Applies the clearance rule of section 5.2 of docs/design.md to one host.

    :returns: the obstacles: entry hosts that block, and the wait after the drain.
    """
    blockers = list(_entry_host_blockers(draining, acknowledgements))
    if draining.observed_for_s < HELD_GRANTS_WAIT_S:
        detail = (
            f"observed for {draining.observed_for_s:.1f} s "
            f"of {HELD_GRANTS_WAIT_S:.1f} s"
        )
        blockers.append(Blocker("", BlockReason.WAIT_AFTER_DRAIN, detail))
    return Clearance(tuple(blockers))


def _entry_host_blockers(
    draining: DrainingHost, acknowledgements: Acknowledgements
) -> Sequence[Blocker]:
    return [
        blocker
        for registration in acknowledgements.registrations
        if not is_removed(registration, acknowledgements)
        for blocker in [_entry_host_blocker(draining, registration)]
        if blocker is not None
    ]


def _entry_host_blocker(
    draining: DrainingHost, registration: EntryHostRecord
) -> Blocker | None:
    if registration["view_version"] < draining.row_version:
        detail = (
            f"acknowledged view {registration['view_version']}, "
            f"needs {draining.row_version}"
        )
        return Blocker(registration["entry"], BlockReason.VIEW_TOO_OLD, detail)
    if draining.host in registration["granted_hosts"]:
        detail = f"reports a grant on {draining.host}"
        return Blocker(registration["entry"], BlockReason.GRANT_HELD, detail)
    return None


def is_removed(
    registration: EntryHostRecord, acknowledgements: Acknowledgements
) -> bool:
    """
    :returns: whether the entry host was removed from the fleet: its registration has
        expired, and a platform list that is newer than the expiry doesn't name it. An
        older list may predate the entry host.
    """
    listed = acknowledgements.listed_entry_hosts
    if listed is None or acknowledgements.listed_as_of is None:
        return False
    expires_at = datetime.fromisoformat(registration["expires_at"])
    return (
        registration["entry"] not in listed
        and expires_at < acknowledgements.now
        and expires_at < acknowledgements.listed_as_of
    )
