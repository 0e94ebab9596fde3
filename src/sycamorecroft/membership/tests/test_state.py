"""Decisions on who is live, from digests and direct evidence."""

import pytest

from sycamorecroft.membership import (
    FailureEvidence,
    MemberDigest,
    MembershipState,
    owner_of,
    rank_owners,
)

ENTRIES = tuple(f"entry-{number}" for number in range(1, 10))
KEYS = tuple(f"service-{number}" for number in range(200))


def digest(entry, counter=1, incarnation="a", may_own=True):
    return MemberDigest(entry, incarnation, counter, 1, 1, 1, 0, may_own)


@pytest.fixture
def state():
    state = MembershipState(digest("entry-1"), ENTRIES)
    state.merge([digest(entry) for entry in ENTRIES[1:]], 0.0)
    return state


def test_silent_member_loses_its_queues_but_still_counts(state):
    # Guards against two owners that both use all slots on both sides of a partition.
    state.suspect("entry-2", FailureEvidence.UNREACHABLE)
    view = state.view(0.1)
    assert "entry-2" not in view.live
    assert (len(view.reached), view.expected_count) == (8, 9)


def test_stopped_member_no_longer_counts(state):
    # Guards against slots left idle after a daemon was killed.
    state.suspect("entry-2", FailureEvidence.REFUSED)
    view = state.view(0.1)
    assert (len(view.reached), view.expected_count) == (8, 8)


def test_late_digest_of_a_stopped_process_does_not_revive_it(state):
    # Guards against queues assigned to a killed daemon by gossip that is still relayed.
    state.suspect("entry-2", FailureEvidence.REFUSED)
    state.merge([digest("entry-2", counter=9)], 0.1)
    assert "entry-2" not in state.view(0.1).live
    state.merge([digest("entry-2", incarnation="b")], 0.2)
    assert "entry-2" in state.view(0.2).live


def test_member_whose_counter_stands_still_is_suspected(state):
    # Guards against a frozen daemon kept alive by peers that relay its old digest.
    state.merge([digest("entry-2", counter=2)], 2.0)
    state.merge([digest("entry-3", counter=1)], 2.0)
    live = state.view(3.5).live
    assert "entry-2" in live
    assert "entry-3" not in live


def test_registration_that_expired_frees_the_share_of_slots(state):
    # Guards against a share that stays reduced after a host is gone for good.
    state.suspect("entry-2", FailureEvidence.UNREACHABLE)
    state.set_registered(frozenset(ENTRIES) - {"entry-2"})
    assert state.view(0.1).expected_count == 8


def test_restarted_daemon_outlives_a_later_incarnation_of_itself():
    # Guards against a replaced entry host with a slow clock that peers ignore.
    state = MembershipState(digest("entry-1", incarnation="a"), ENTRIES)
    state.merge([digest("entry-1", counter=50, incarnation="c")], 0.0)
    assert state.own.incarnation > "c"


def test_unregistered_hosts_own_queues_only_if_none_is_registered(state):
    # Guards against an owner that a move doesn't ask, and against a site without any
    # owner after all entry hosts were replaced during one store outage.
    state.merge([digest("entry-2", counter=2, may_own=False)], 0.0)
    assert "entry-2" not in state.view(0.1).live
    newer = [digest(entry, counter=3, may_own=False) for entry in ENTRIES[1:]]
    state.merge(newer, 0.1)
    state.start_round(digest("entry-1", may_own=False))
    assert state.view(0.2).live == ENTRIES


def test_only_the_queues_of_a_lost_host_move():
    # Guards against takeovers of all queues whenever one entry host stops.
    left = ENTRIES[:-1]
    for key in KEYS:
        former, now = owner_of(key, ENTRIES), owner_of(key, left)
        assert now == former or former == ENTRIES[-1]
        assert rank_owners(key, ENTRIES)[0] == former
    counts = [sum(owner_of(k, ENTRIES) == e for k in KEYS) for e in ENTRIES]
    assert min(counts) >= len(KEYS) / len(ENTRIES) / 3
    assert owner_of("rating", ()) is None
