"""Tests of failure detection and of the assignment of service queues."""

import pytest

from sycamorecroft.membership import (
    FailureEvidence,
    MemberDigest,
    MembershipState,
    owner_of,
    rank_owners,
)

ENTRY_HOSTS = tuple(f"entry-{number}" for number in range(1, 10))
KEYS = tuple(f"service-{number}" for number in range(200))


def make_digest(entry, counter=1, incarnation="a", may_own=True):
    return MemberDigest(entry, incarnation, counter, 1, 1, 1, 0, may_own)


@pytest.fixture
def state():
    state = MembershipState(make_digest("entry-1"), ENTRY_HOSTS)
    state.merge([make_digest(entry) for entry in ENTRY_HOSTS[1:]], 0.0)
    return state


def test_unreachable_member_loses_its_queues_but_is_still_expected(state):
    """Guards against two owners, one on each side of a partition, that both use all
    slots of a pool."""
    state.suspect("entry-2", FailureEvidence.UNREACHABLE)
    view = state.view(0.1)
    assert "entry-2" not in view.live
    assert (len(view.reached), view.expected_count) == (8, 9)


def test_stopped_member_is_not_expected(state):
    """Guards against slots left unused after a daemon was killed."""
    state.suspect("entry-2", FailureEvidence.REFUSED)
    view = state.view(0.1)
    assert (len(view.reached), view.expected_count) == (8, 8)


def test_relayed_digest_does_not_restore_a_stopped_member(state):
    """Guards against queues assigned to a killed daemon by digests that peers relay."""
    state.suspect("entry-2", FailureEvidence.REFUSED)
    state.merge([make_digest("entry-2", counter=9)], 0.1)
    assert "entry-2" not in state.view(0.1).live
    state.merge([make_digest("entry-2", incarnation="b")], 0.2)
    assert "entry-2" in state.view(0.2).live


def test_member_without_counter_progress_is_suspected(state):
    """Guards against a frozen daemon that counts as live because peers relay its old
    digest."""
    state.merge([make_digest("entry-2", counter=2)], 2.0)
    state.merge([make_digest("entry-3", counter=1)], 2.0)
    live = state.view(3.5).live
    assert "entry-2" in live
    assert "entry-3" not in live


def test_member_with_expired_registration_is_not_expected(state):
    """Guards against a permanently reduced share of slots after an entry host was
    removed."""
    state.suspect("entry-2", FailureEvidence.UNREACHABLE)
    state.set_registered(frozenset(ENTRY_HOSTS) - {"entry-2"})
    assert state.view(0.1).expected_count == 8


def test_restarted_daemon_supersedes_a_later_incarnation_of_itself():
    """Guards against peers that ignore a replaced entry host whose clock is slow."""
    state = MembershipState(make_digest("entry-1", incarnation="a"), ENTRY_HOSTS)
    state.merge([make_digest("entry-1", counter=50, incarnation="c")], 0.0)
    assert state.own.incarnation > "c"


def test_unregistered_entry_hosts_own_queues_only_if_none_is_registered(state):
    """Guards against a queue owner whose grants a host move does not check, and against
    a site without owners after all entry hosts were replaced in one store outage."""
    state.merge([make_digest("entry-2", counter=2, may_own=False)], 0.0)
    assert "entry-2" not in state.view(0.1).live
    newer = [make_digest(entry, counter=3, may_own=False) for entry in ENTRY_HOSTS[1:]]
    state.merge(newer, 0.1)
    state.start_round(make_digest("entry-1", may_own=False))
    assert state.view(0.2).live == ENTRY_HOSTS


def test_only_the_queues_of_a_failed_entry_host_change_owner():
    """Guards against a takeover of all queues whenever one entry host stops."""
    remaining = ENTRY_HOSTS[:-1]
    for key in KEYS:
        previous, current = owner_of(key, ENTRY_HOSTS), owner_of(key, remaining)
        assert current == previous or previous == ENTRY_HOSTS[-1]
        assert rank_owners(key, ENTRY_HOSTS)[0] == previous
    counts = [
        sum(owner_of(key, ENTRY_HOSTS) == entry for key in KEYS)
        for entry in ENTRY_HOSTS
    ]
    assert min(counts) >= len(KEYS) / len(ENTRY_HOSTS) / 3
    assert owner_of("rating", ()) is None
