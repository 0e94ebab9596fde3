"""Rule that decides when no entry host can send requests to a draining host."""

from collections.abc import Sequence
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.pools.state import EntryRecord

# A new queue owner receives the grants that requesters hold within this time.
HELD_GRANTS_WAIT_S = 5.0


class BlockReason(StrEnum):
    """Why a draining host isn't clear yet."""

    VIEW_TOO_OLD = "view_too_old"
    GRANT_HELD = "grant_held"
    WAIT_AFTER_DRAIN = "wait_after_drain"


class Blocker(NamedTuple):
    """What keeps a host from being clear; ``entry`` is empty for the wait."""

    entry: str
    reason: BlockReason
    detail: str


class Acknowledgements(NamedTuple):
    """Registrations of entry hosts beside the platform's list.

    ``listed_entries`` is ``None`` when the list couldn't be had; then no entry host
    counts as gone.
    """

    entries: tuple[EntryRecord, ...]
    listed_entries: frozenset[str] | None
    listed_as_of: datetime | None
    now: datetime


class DrainingHost(NamedTuple):
    """A draining host: its row version and for how long the controller saw it."""

    host: str
    row_version: int
    seen_for_s: float


class Clearance(NamedTuple):
    """Result of the rule; clear when nothing blocks."""

    blockers: tuple[Blocker, ...]

    @property
    def is_clear(self) -> bool:
        """Whether the host can be moved, rebooted or removed."""
        return not self.blockers


def evaluate_clearance(
    draining: DrainingHost, acknowledgements: Acknowledgements
) -> Clearance:
    """Applies the rule of section 5.2 of docs/design.md to one host.

    :returns: the entry hosts that block, each with its reason.
    """
    blockers = list(_entry_blockers(draining, acknowledgements))
    if draining.seen_for_s < HELD_GRANTS_WAIT_S:
        detail = f"seen for {draining.seen_for_s:.1f} s of {HELD_GRANTS_WAIT_S:.1f} s"
        blockers.append(Blocker("", BlockReason.WAIT_AFTER_DRAIN, detail))
    return Clearance(tuple(blockers))


def _entry_blockers(
    draining: DrainingHost, acknowledgements: Acknowledgements
) -> Sequence[Blocker]:
    return [
        blocker
        for entry in acknowledgements.entries
        if not is_gone(entry, acknowledgements)
        for blocker in [_entry_blocker(draining, entry)]
        if blocker is not None
    ]


def _entry_blocker(draining: DrainingHost, entry: EntryRecord) -> Blocker | None:
    if entry["view_version"] < draining.row_version:
        detail = (
            f"acknowledged view {entry['view_version']}, needs {draining.row_version}"
        )
        return Blocker(entry["entry"], BlockReason.VIEW_TOO_OLD, detail)
    if draining.host in entry["granted_hosts"]:
        detail = f"reports a grant on {draining.host}"
        return Blocker(entry["entry"], BlockReason.GRANT_HELD, detail)
    return None


def is_gone(entry: EntryRecord, acknowledgements: Acknowledgements) -> bool:
    """
    :returns: whether the registration expired and a list that is newer than its
        expiry doesn't name the host. An older list may predate the host.
    """
    listed = acknowledgements.listed_entries
    if listed is None or acknowledgements.listed_as_of is None:
        return False
    expires_at = datetime.fromisoformat(entry["expires_at"])
    return (
        entry["entry"] not in listed
        and expires_at < acknowledgements.now
        and expires_at < acknowledgements.listed_as_of
    )
