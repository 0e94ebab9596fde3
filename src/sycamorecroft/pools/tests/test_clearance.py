"""Tests of the clearance rule (section 5.2 of docs/design.md)."""

from datetime import UTC, datetime, timedelta

from sycamorecroft.pools.clearance import (
    Acknowledgements,
    BlockReason,
    DrainingHost,
    evaluate_clearance,
)
from sycamorecroft.pools.state import EntryHostRecord

NOW = datetime(2026, 1, 1, tzinfo=UTC)
DRAINING = DrainingHost("worker", 10, 5.0)


def _registration(
    view_version: int, *granted: str, expires_in_s: float = 8.0
) -> EntryHostRecord:
    return EntryHostRecord(
        entry="entry0",
        incarnation="1",
        view_version=view_version,
        staged_version=0,
        granted_hosts=list(granted),
        expires_at=(NOW + timedelta(seconds=expires_in_s)).isoformat(),
    )


def _reasons(
    registration: EntryHostRecord,
    *,
    listed: frozenset[str] | None = frozenset({"entry0"}),
    as_of: datetime = NOW,
    draining: DrainingHost = DRAINING,
) -> list[BlockReason]:
    acknowledgements = Acknowledgements((registration,), listed, as_of, NOW)
    blockers = evaluate_clearance(draining, acknowledgements).blockers
    return [blocker.reason for blocker in blockers]


def test_acknowledged_host_without_grants_is_clear() -> None:
    """Guards against moves that never complete."""
    assert _reasons(_registration(10)) == []


def test_old_view_blocks() -> None:
    """Guards against a move past an entry host that still grants on the old pool."""
    assert _reasons(_registration(9)) == [BlockReason.VIEW_TOO_OLD]


def test_grant_blocks() -> None:
    """Guards against a move while a request to the host is in flight."""
    assert _reasons(_registration(10, "worker")) == [BlockReason.GRANT_HELD]
    assert _reasons(_registration(10, "other")) == []


def test_wait_after_drain_blocks() -> None:
    """Guards against a move before a new queue owner knows the grants that are held."""
    draining = DRAINING._replace(observed_for_s=4.9)
    assert _reasons(_registration(10), draining=draining) == [
        BlockReason.WAIT_AFTER_DRAIN
    ]


def test_only_a_removed_entry_host_is_ignored() -> None:
    """Guards against treating a partitioned or frozen entry host as removed."""
    expired = _registration(9, expires_in_s=-1.0)
    blocked = [BlockReason.VIEW_TOO_OLD]
    assert _reasons(expired) == blocked
    assert _reasons(_registration(9), listed=frozenset()) == blocked
    assert _reasons(expired, listed=None) == blocked
    assert _reasons(expired, listed=frozenset()) == []


def test_list_older_than_the_expiry_proves_nothing() -> None:
    """Guards against a lagging list that predates a new entry host."""
    expired = _registration(9, expires_in_s=-1.0)
    as_of = NOW - timedelta(seconds=2)
    reasons = _reasons(expired, listed=frozenset(), as_of=as_of)
    assert reasons == [BlockReason.VIEW_TOO_OLD]
