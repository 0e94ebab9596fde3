"""Scripted failures of the version gate; properties/test_version_gate.py is random."""

import pytest

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import (
    STAGED_LIMIT_COUNT,
    PeerSnapshot,
    VersionGate,
)

ENTRIES = [f"entry-{n}" for n in range(1, 10)]


def _content(version):
    return FleetConfiguration(version, {}, {}, {})


def _gate(entry="entry-1", entries=ENTRIES):
    return VersionGate(entry, entries)


def _answer(gate, *peers, version):
    for peer in peers:
        gate.record_snapshot(PeerSnapshot(peer, version, _content(version)))


def _running_gate(entry="entry-1", entries=ENTRIES):
    gate = _gate(entry, entries)
    gate.record_head(_content(1))
    for peer in entries:
        gate.record_claim(peer, 1)
    assert gate.in_force_version == 1
    return gate


# Guards against a version in force that less than a majority holds.
def test_version_comes_into_force_by_the_majority():
    gate = _running_gate()
    gate.record_head(_content(2))
    for peer in ENTRIES[1:4]:
        assert gate.record_claim(peer, 2) is None
    assert gate.record_claim("entry-5", 2) == _content(2)


# Guards against a start with the head before a majority holds it: a second restart
# without the store could not find it again.
def test_start_from_the_store_waits_for_a_majority():
    gate = _gate()
    gate.record_head(_content(2))
    for peer in ENTRIES[1:]:
        gate.record_claim(peer, 1)
    assert not gate.is_ready
    for peer in ENTRIES[1:5]:
        gate.record_claim(peer, 2)
    assert gate.in_force_version == 2


# Guards against a restarted daemon that reverts by way of a stale peer.
def test_stale_peers_short_of_a_majority_do_not_start_a_daemon():
    gate = _gate()
    _answer(gate, *ENTRIES[1:5], version=1)
    _answer(gate, "entry-2", version=1)
    assert not gate.is_ready
    _answer(gate, "entry-6", version=2)
    assert not gate.is_ready
    _answer(gate, "entry-7", "entry-8", "entry-9", version=1)
    assert gate.in_force_version == 1


# Guards against the fall found in the rule as first written: entry-1 claims version 2,
# restarts with version 1 from peers, and counts on both sides.
def test_claim_of_an_earlier_process_does_not_count_twice():
    entries = ENTRIES[:3]
    second = _running_gate("entry-2", entries)
    restarted = _gate("entry-1", entries)
    _answer(restarted, "entry-2", "entry-3", version=1)
    assert restarted.in_force_version == 1
    second.record_head(_content(2))
    second.record_claim("entry-1", 2)
    assert second.in_force_version == 2
    second_again = _gate("entry-2", entries)
    snapshot = PeerSnapshot("entry-1", restarted.claimed_version, restarted.staged, 1)
    second_again.record_snapshot(snapshot)
    _answer(second_again, "entry-3", version=1)
    assert not second_again.is_ready


# Guards against a frozen daemon that wakes and drags others or itself back.
def test_old_claims_and_heads_change_nothing():
    gate = _running_gate()
    gate.record_head(_content(3))
    for peer in ENTRIES:
        gate.record_claim(peer, 3)
    assert gate.in_force_version == 3
    gate.record_head(_content(2))
    _answer(gate, *ENTRIES[1:], version=1)
    assert (gate.in_force_version, gate.claimed_version) == (3, 3)


# Guards against daemons that serve a version no entry host of the settings has.
def test_strangers_and_own_echo_do_not_count():
    gate = _gate()
    gate.record_head(_content(1))
    for n in range(9):
        gate.record_claim(f"stranger-{n}", 1)
        gate.record_claim("entry-1", 1)
    assert not gate.is_ready


@pytest.mark.parametrize("claimed", [0, 1])
def test_daemon_learns_which_version_to_fetch(claimed):
    gate = _gate()
    gate.record_claim("entry-2", claimed)
    assert gate.wanted_version == (claimed or None)


# Guards against memory that grows while a partition lasts.
def test_staged_versions_are_bounded():
    gate = _gate()
    for version in range(1, 100):
        gate.record_head(_content(version))
    assert len(gate._staged) == STAGED_LIMIT_COUNT
    assert gate.claimed_version == 99
