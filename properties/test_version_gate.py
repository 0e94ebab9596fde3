"""Randomised run of the version gates of a fleet: no entry host's version falls (I8).

``SYCAMORECROFT_SEED`` sets the seed and ``SYCAMORECROFT_EXAMPLES`` the number of runs.
"""

import os
from collections import defaultdict
from random import Random
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, given, seed, settings, strategies as st

from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration.fleet import AccountConfiguration, FleetConfiguration
from sycamorecroft.configuration.gate import PeerSnapshot, VersionGate
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.errors import ConfigurationConflictError
from sycamorecroft.invariants import check_version_never_falls

SEED = int(os.environ.get("SYCAMORECROFT_SEED", "20261204"))
EXAMPLES_COUNT = int(os.environ.get("SYCAMORECROFT_EXAMPLES", "300"))
STEPS_COUNT = 300
RECENT_CLAIMS_COUNT = 20


class LateSnapshot(NamedTuple):
    """A snapshot on its way to one incarnation of a daemon."""

    requester: str
    incarnation: int
    snapshot: PeerSnapshot


class Fleet:
    """Gates of a fleet with a store, peers, and claims and snapshots that lag."""

    def __init__(self, entries_count, random):
        self.random = random
        self.entries = [f"entry-{n}" for n in range(entries_count)]
        self.gates = {}
        self.incarnations = defaultdict(int)
        self.versions_in_force = defaultdict(int)
        self.claims = []
        self.snapshots = []
        self.cut_from_store = set()
        self.cut_links = set()
        self.contents_count = 0
        self.store = ConfigurationStore(MemoryTables(), ManualClock())
        self.publish()
        for entry in self.entries:
            self.restart(entry)
            self.poll(entry)

    def some(self):
        most = self.random.randint(1, len(self.entries))
        count = self.random.randint(1, most)
        return self.random.sample(self.entries, count)

    def publish(self):
        base = self.store.head_version()
        for _ in range(self.random.randint(1, 2)):
            self.contents_count += 1
            name = f"account-{self.contents_count}"
            account = AccountConfiguration(name, ("here",), 0.9, {})
            content = FleetConfiguration(0, {name: account}, {}, {})
            try:
                self.store.publish(content, base_version=base, author="operator")
            except ConfigurationConflictError:
                assert self.store.head_version() == base + 1

    def poll_some(self):
        for entry in self.some():
            self.poll(entry)

    def poll(self, entry):
        if entry not in self.cut_from_store:
            self.gates[entry].record_head(self.store.read_head())
            self.observe(entry)

    def gossip_some(self):
        sender = self.random.choice(self.entries)
        for receiver in self.some():
            if frozenset((sender, receiver)) not in self.cut_links:
                gate = self.gates[sender]
                claim = (sender, gate.claimed_version, gate.in_force_version)
                self.claims.append(claim)
                self.gates[receiver].record_claim(*claim)
                self.observe(receiver)

    def late_claim_arrives(self):
        # A claim may arrive late, twice, or by way of other daemons.
        if self.claims:
            claim = self.random.choice(self.claims[-RECENT_CLAIMS_COUNT:])
            for entry in self.some():
                self.gates[entry].record_claim(*claim)
                self.observe(entry)

    def ask_some(self):
        self.ask(self.random.choice(self.entries))

    def ask(self, entry):
        is_late = self.random.random() < 0.2
        for peer in self.some():
            if entry == peer or frozenset((entry, peer)) in self.cut_links:
                continue
            gate = self.gates[peer]
            snapshot = PeerSnapshot(
                peer, gate.claimed_version, gate.staged, gate.in_force_version
            )
            self.snapshots.append(
                LateSnapshot(entry, self.incarnations[entry], snapshot)
            )
            if not is_late:
                self.deliver(self.snapshots.pop())

    def late_snapshot_arrives(self):
        if self.snapshots:
            index = self.random.randrange(len(self.snapshots))
            self.deliver(self.snapshots.pop(index))

    def deliver(self, late):
        if self.incarnations[late.requester] == late.incarnation:
            self.gates[late.requester].record_snapshot(late.snapshot)
            self.observe(late.requester)

    def restart_one(self):
        self.restart(self.random.choice(self.entries))

    def start_some(self):
        # Whether the store or the peers answer first is left to chance.
        for entry in self.some():
            if not self.gates[entry].is_ready:
                self.random.choice((self.poll, self.ask))(entry)

    def restart_some(self):
        for entry in self.some():
            self.restart(entry)

    def restart(self, entry):
        self.incarnations[entry] += 1
        self.gates[entry] = VersionGate(entry, self.entries)

    def cut_store(self):
        self.cut_from_store = set(self.some())

    def cut_store_after_publish(self):
        # Few daemons learn of the version before most lose the store.
        self.publish()
        self.poll(self.random.choice(self.entries))
        self.gossip_some()
        self.cut_from_store = set(self.entries) - {self.random.choice(self.entries)}

    def restore_store(self):
        self.cut_from_store = set()

    def cut_network(self):
        inside = set(self.some())
        outside = set(self.entries) - inside
        self.cut_links = {frozenset((a, b)) for a in inside for b in outside}

    def restore_network(self):
        self.cut_links = set()

    def observe(self, entry):
        gate = self.gates[entry]
        if gate.in_force is not None:
            before = self.versions_in_force[entry]
            check_version_never_falls(before, gate.in_force_version)
            self.versions_in_force[entry] = gate.in_force_version

    def heal(self):
        self.restore_store()
        self.restore_network()
        for entry in self.entries:
            self.poll(entry)
        for sender in self.entries:
            gate = self.gates[sender]
            for receiver in self.entries:
                self.gates[receiver].record_claim(sender, gate.claimed_version)
                self.observe(receiver)


# Actions and their mean weights. Restarts of many at once are rare, since they leave
# little to fall from.
ACTIONS = {
    Fleet.publish: 1.0,
    Fleet.poll_some: 1.5,
    Fleet.gossip_some: 4.0,
    Fleet.late_claim_arrives: 4.0,
    Fleet.ask_some: 1.0,
    Fleet.late_snapshot_arrives: 1.0,
    Fleet.restart_one: 1.5,
    Fleet.start_some: 4.0,
    Fleet.restart_some: 0.05,
    Fleet.cut_store: 1.0,
    Fleet.cut_store_after_publish: 1.0,
    Fleet.restore_store: 0.3,
    Fleet.cut_network: 0.3,
    Fleet.restore_network: 0.6,
}


def run_fleet(entries_count, run_seed):
    random = Random(run_seed)
    fleet = Fleet(entries_count, random)
    # Weights differ between runs, so that some have few cuts and some few restarts.
    weights = [random.uniform(0.1, 1.9) * weight for weight in ACTIONS.values()]
    for action in random.choices(list(ACTIONS), weights, k=STEPS_COUNT):
        action(fleet)
    return fleet


@seed(SEED)
@settings(
    max_examples=EXAMPLES_COUNT,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(entries_count=st.sampled_from([3, 5, 9]), run_seed=st.integers(0, 2**32))
def test_no_version_falls_in_randomised_runs(entries_count, run_seed):
    print(f"SYCAMORECROFT_SEED={SEED} entries={entries_count} run_seed={run_seed}")
    fleet = run_fleet(entries_count, run_seed)
    # Guards against a gate that is safe because it puts nothing in force.
    fleet.heal()
    versions = {gate.in_force_version for gate in fleet.gates.values()}
    assert versions == {fleet.store.head_version()}
