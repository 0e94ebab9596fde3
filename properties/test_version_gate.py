"""Randomised runs of the version gates of a fleet: no version in force decreases (I8).

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
    """Snapshot in flight to one incarnation of a daemon."""

    requester: str
    incarnation: int
    snapshot: PeerSnapshot


class GatedFleet:
    """Version gates of a fleet whose store, claims and snapshots may lag or fail."""

    def __init__(self, entry_hosts_count, random):
        self.random = random
        self.entry_hosts = [f"entry-{n}" for n in range(entry_hosts_count)]
        self.gates = {}
        self.incarnations = defaultdict(int)
        self.versions_in_force = defaultdict(int)
        self.claims = []
        self.snapshots = []
        self.disconnected_from_store = set()
        self.disconnected_links = set()
        self.accounts_count = 0
        self.store = ConfigurationStore(MemoryTables(), ManualClock())
        self.publish()
        for entry_host in self.entry_hosts:
            self.restart(entry_host)
            self.poll(entry_host)

    def random_entry_hosts(self):
        max_count = self.random.randint(1, len(self.entry_hosts))
        count = self.random.randint(1, max_count)
        return self.random.sample(self.entry_hosts, count)

    def publish(self):
        base = self.store.head_version()
        for _ in range(self.random.randint(1, 2)):
            self.accounts_count += 1
            name = f"account-{self.accounts_count}"
            account = AccountConfiguration(name, ("here",), 0.9, {})
            content = FleetConfiguration(0, {name: account}, {}, {})
            try:
                self.store.publish(content, base_version=base, author="operator")
            except ConfigurationConflictError:
                assert self.store.head_version() == base + 1

    def poll_random(self):
        self.poll(self.random.choice(self.entry_hosts))

    def poll(self, entry_host):
        if entry_host not in self.disconnected_from_store:
            self.gates[entry_host].record_head(self.store.read_head())
            self.check_version(entry_host)

    def gossip_claim(self):
        sender = self.random.choice(self.entry_hosts)
        for receiver in self.random_entry_hosts():
            if frozenset((sender, receiver)) not in self.disconnected_links:
                gate = self.gates[sender]
                claim = (sender, gate.claimed_version, gate.in_force_version)
                self.claims.append(claim)
                self.gates[receiver].record_claim(*claim)
                self.check_version(receiver)

    def deliver_late_claim(self):
        # A claim may arrive late, twice, or through other daemons.
        if self.claims:
            claim = self.random.choice(self.claims[-RECENT_CLAIMS_COUNT:])
            for entry_host in self.random_entry_hosts():
                self.gates[entry_host].record_claim(*claim)
                self.check_version(entry_host)

    def request_random_snapshots(self):
        self.request_snapshots(self.random.choice(self.entry_hosts))

    def request_snapshots(self, entry_host):
        for peer in self.entry_hosts:
            if (
                entry_host == peer
                or frozenset((entry_host, peer)) in self.disconnected_links
            ):
                continue
            gate = self.gates[peer]
            snapshot = PeerSnapshot(
                peer, gate.claimed_version, gate.staged, gate.in_force_version
            )
            late = LateSnapshot(entry_host, self.incarnations[entry_host], snapshot)
            if self.random.random() < 0.8:
                self.deliver(late)
            else:
                self.snapshots.append(late)

    def deliver_late_snapshot(self):
        if self.snapshots:
            index = self.random.randrange(len(self.snapshots))
            self.deliver(self.snapshots.pop(index))

    def deliver(self, late):
        if self.incarnations[late.requester] == late.incarnation:
            self.gates[late.requester].record_snapshot(late.snapshot)
            self.check_version(late.requester)

    def restart_random(self):
        self.restart(self.random.choice(self.entry_hosts))

    def start_random(self):
        # The store or the peers answer first, at random.
        waiting = [name for name in self.entry_hosts if not self.gates[name].is_ready]
        if waiting:
            start = self.random.choice(
                (self.poll, self.request_snapshots, self.request_snapshots)
            )
            start(self.random.choice(waiting))

    def restart_several(self):
        for entry_host in self.random_entry_hosts():
            self.restart(entry_host)

    def restart(self, entry_host):
        self.incarnations[entry_host] += 1
        self.gates[entry_host] = VersionGate(entry_host, self.entry_hosts)

    def disconnect_store(self):
        self.disconnected_from_store = set(self.random_entry_hosts())

    def disconnect_store_after_publish(self):
        # Only a few daemons learn of the version before most lose the store.
        self.publish()
        self.poll(self.random.choice(self.entry_hosts))
        self.gossip_claim()
        self.disconnected_from_store = set(self.entry_hosts) - {
            self.random.choice(self.entry_hosts)
        }

    def reconnect_store(self):
        self.disconnected_from_store = set()

    def partition_network(self):
        partition = set(self.random_entry_hosts())
        others = set(self.entry_hosts) - partition
        self.disconnected_links = {frozenset((a, b)) for a in partition for b in others}

    def heal_network(self):
        self.disconnected_links = set()

    def check_version(self, entry_host):
        gate = self.gates[entry_host]
        if gate.in_force is not None:
            before = self.versions_in_force[entry_host]
            check_version_never_falls(before, gate.in_force_version)
            self.versions_in_force[entry_host] = gate.in_force_version

    def end_faults(self):
        self.reconnect_store()
        self.heal_network()
        for entry_host in self.entry_hosts:
            self.poll(entry_host)
        for sender in self.entry_hosts:
            gate = self.gates[sender]
            for receiver in self.entry_hosts:
                self.gates[receiver].record_claim(sender, gate.claimed_version)
                self.check_version(receiver)


# Actions and their mean weights: those that most often detected gates with parts of the
# rule removed. Many polls, publishes or restarts at the same time leave few versions
# from which a gate could fall back.
ACTIONS = {
    GatedFleet.publish: 0.1,
    GatedFleet.poll_random: 0.5,
    GatedFleet.gossip_claim: 6.0,
    GatedFleet.deliver_late_claim: 2.0,
    GatedFleet.request_random_snapshots: 0.05,
    GatedFleet.deliver_late_snapshot: 0.2,
    GatedFleet.restart_random: 1.0,
    GatedFleet.restart_several: 0.02,
    GatedFleet.start_random: 4.0,
    GatedFleet.disconnect_store: 0.7,
    GatedFleet.disconnect_store_after_publish: 0.3,
    GatedFleet.reconnect_store: 0.05,
    GatedFleet.partition_network: 0.1,
    GatedFleet.heal_network: 0.5,
}


def run_fleet(entry_hosts_count, run_seed):
    random = Random(run_seed)
    fleet = GatedFleet(entry_hosts_count, random)
    # Weights differ between runs, so that some have few partitions and some few
    # restarts.
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
@given(entry_hosts_count=st.sampled_from([3, 5, 9]), run_seed=st.integers(0, 2**32))
def test_no_version_in_force_decreases_in_randomised_runs(entry_hosts_count, run_seed):
    """Guards against versions in force that decrease after faults or restarts (I8)."""
    print(f"SYCAMORECROFT_SEED={SEED} entries={entry_hosts_count} run_seed={run_seed}")
    fleet = run_fleet(entry_hosts_count, run_seed)
    # Guards against a gate that is safe only because it puts no version in force.
    fleet.end_faults()
    versions = {gate.in_force_version for gate in fleet.gates.values()}
    assert versions == {fleet.store.head_version()}
