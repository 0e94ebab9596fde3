"""Scripted failure scenarios of the version gate.

properties/test_version_gate.py has the randomised ones.
"""

import pytest

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import (
    STAGED_LIMIT_COUNT,
    PeerSnapshot,
    VersionGate,
)

ENTRY_HOSTS = [f"entry-{n}" for n in range(1, 10)]


def _configuration(version):
    return FleetConfiguration(version, {}, {}, {})


def _gate(entry_host="entry-1", entry_hosts=ENTRY_HOSTS):
    return VersionGate(entry_host, entry_hosts)


def _record_snapshots(gate, *peers, version):
    for peer in peers:
        gate.record_snapshot(PeerSnapshot(peer, version, _configuration(version)))


def _running_gate(entry_host="entry-1", entry_hosts=ENTRY_HOSTS):
    gate = _gate(entry_host, entry_hosts)
    gate.record_head(_configuration(1))
    for peer in entry_hosts:
        gate.record_claim(peer, 1)
    assert gate.in_force_version == 1
    return gate


def test_version_comes_into_force_once_a_majority_claims_it():
    """Guards against a version that comes into force before a majority holds it."""
    gate = _running_gate()
    gate.record_head(_configuration(2))
    for peer in ENTRY_HOSTS[1:4]:
        assert gate.record_claim(peer, 2) is None
    assert gate.record_claim("entry-5", 2) == _configuration(2)


def test_start_from_the_store_waits_for_a_majority():
    """Guards against putting the head in force at start before a majority holds it:
    after another restart during a store outage, no majority of peers would know this
    version.
    """
    gate = _gate()
    gate.record_head(_configuration(2))
    for peer in ENTRY_HOSTS[1:]:
        gate.record_claim(peer, 1)
    assert not gate.is_ready
    for peer in ENTRY_HOSTS[1:5]:
        gate.record_claim(peer, 2)
    assert gate.in_force_version == 2


def test_stale_peers_without_a_majority_do_not_start_a_daemon():
    """Guards against a restarted daemon that reverts to the version of a stale peer."""
    gate = _gate()
    _record_snapshots(gate, *ENTRY_HOSTS[1:5], version=1)
    _record_snapshots(gate, "entry-2", version=1)
    assert not gate.is_ready
    _record_snapshots(gate, "entry-6", version=2)
    assert not gate.is_ready
    _record_snapshots(gate, "entry-7", "entry-8", "entry-9", version=1)
    assert gate.in_force_version == 1


def test_claim_of_a_previous_incarnation_is_not_counted_twice():
    """Guards against a decrease of the version in force that an earlier form of the
    rule allowed: entry-1 claims version 2, restarts with version 1 from peers, and is
    counted for both versions.
    """
    entry_hosts = ENTRY_HOSTS[:3]
    second_gate = _running_gate("entry-2", entry_hosts)
    restarted_gate = _gate("entry-1", entry_hosts)
    _record_snapshots(restarted_gate, "entry-2", "entry-3", version=1)
    assert restarted_gate.in_force_version == 1
    second_gate.record_head(_configuration(2))
    second_gate.record_claim("entry-1", 2)
    assert second_gate.in_force_version == 2
    second_restarted = _gate("entry-2", entry_hosts)
    snapshot = PeerSnapshot(
        "entry-1", restarted_gate.claimed_version, restarted_gate.staged, 1
    )
    second_restarted.record_snapshot(snapshot)
    _record_snapshots(second_restarted, "entry-3", version=1)
    assert not second_restarted.is_ready


def test_stale_claims_and_heads_are_ignored():
    """Guards against a daemon that reverts itself or others after a freeze."""
    gate = _running_gate()
    gate.record_head(_configuration(3))
    for peer in ENTRY_HOSTS:
        gate.record_claim(peer, 3)
    assert gate.in_force_version == 3
    gate.record_head(_configuration(2))
    _record_snapshots(gate, *ENTRY_HOSTS[1:], version=1)
    assert (gate.in_force_version, gate.claimed_version) == (3, 3)


def test_claims_of_unknown_hosts_and_own_echoes_are_ignored():
    """Guards against a version in force that no entry host has claimed."""
    gate = _gate()
    gate.record_head(_configuration(1))
    for n in range(9):
        gate.record_claim(f"stranger-{n}", 1)
        gate.record_claim("entry-1", 1)
    assert not gate.is_ready


@pytest.mark.parametrize("claimed", [0, 1])
def test_missing_version_is_the_highest_claim_not_held(claimed):
    """Guards against a daemon that does not fetch a version claimed by a peer."""
    gate = _gate()
    gate.record_claim("entry-2", claimed)
    assert gate.missing_version == (claimed or None)


def test_staged_versions_are_bounded():
    """Guards against unbounded memory use during a network partition."""
    gate = _gate()
    for version in range(1, 100):
        gate.record_head(_configuration(version))
    assert len(gate._staged) == STAGED_LIMIT_COUNT
    assert gate.claimed_version == 99
