"""Tests of heartbeats, claims and releases of services."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.ownership.entry_hosts import HOST_INTERVAL_S, OWNER_INTERVAL_S
from sycamorecroft.ownership.owner import Ownership, OwnershipTimes
from sycamorecroft.ownership.rows import OWNERS_TABLE

TIMES = OwnershipTimes(lease_s=6.0, unconfirmed_s=10.0)
SERVICES = ("assessment", "dispatch", "hotline", "rating")


class _Hosts:
    """Hosts that share a store and a clock."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.clock.advance(50.0)
        self.tables = MemoryPartitions()
        self.hosts = {f"h{n}": self.create(f"h{n}") for n in range(count)}

    def create(self, name: str, incarnation: str = "1") -> Ownership:
        return Ownership(
            self.tables, self.clock, name, incarnation, TIMES, lambda sent_s: None
        )

    def run(self, duration_s: float, silent: tuple[str, ...] = ()) -> None:
        for _ in range(round(duration_s / 0.5)):
            self.clock.advance(0.5)
            self.tables.store_time_ms += 500
            for name, host in self.hosts.items():
                if name in silent:
                    continue
                try:
                    self.step(host)
                except StoreUnavailableError:
                    continue

    def step(self, host: Ownership) -> None:
        host.send_heartbeat()
        rows = self.tables.changes(OWNERS_TABLE, after_version=0, wait_s=0.0).rows
        host.apply_owner_rows(rows)
        host.lost_services()
        host.claim_unowned_services(SERVICES)

    def owners(self) -> dict[str, list[str]]:
        owned: dict[str, list[str]] = {}
        for name, host in self.hosts.items():
            for service in host.owned:
                owned.setdefault(service, []).append(name)
        return owned

    def epochs(self) -> dict[str, int]:
        return {
            service: claimed.claim.epoch
            for host in self.hosts.values()
            for service, claimed in host.owned.items()
        }


@pytest.fixture
def hosts():
    found = _Hosts(4)
    found.run(4.0)
    return found


def test_services_spread_over_hosts(hosts):
    """Guards against one host that owns all services."""
    owners = hosts.owners()
    assert sorted(owners) == sorted(SERVICES)
    assert all(len(names) == 1 for names in owners.values())
    assert len({names[0] for names in owners.values()}) == 4


def test_live_owners_keep_their_services(hosts):
    """Guards against services that change hands without a reason."""
    hosts.run(20.0)
    assert set(hosts.epochs().values()) == {1}


def test_service_of_a_silent_host_is_claimed(hosts):
    """Guards against a service without an owner after its host was lost."""
    owner = hosts.owners()["rating"][0]
    hosts.run(4.5, silent=(owner,))
    others = [name for name in hosts.owners()["rating"] if name != owner]
    assert len(others) == 1
    assert hosts.hosts[others[0]].owned["rating"].claim.epoch == 2


def test_service_of_a_silent_host_has_an_owner_again_soon(hosts):
    """Guards against a turn of a queue that passes while its service has no owner.

    On a grown site the machines had no owner for 2.7 s in the turn of a queue.
    """
    owner = hosts.owners()["rating"][0]
    hosts.run(2.0, silent=(owner,))
    assert [name for name in hosts.owners()["rating"] if name != owner]


def test_hosts_that_own_nothing_are_told_of_a_silent_owner():
    """Guards against one more service for an owner while other hosts have none."""
    hosts = _Hosts(5)
    hosts.run(4.0)
    owner = hosts.owners()["rating"][0]
    idle = next(name for name, host in hosts.hosts.items() if not host.owned)
    hosts.run(2.5, silent=(owner,))
    assert idle in hosts.owners()["rating"]


def test_new_owner_waits_for_leases_of_one_that_was_taken_away(hosts):
    """Guards against a second run while the former owner still reaches a worker."""
    owner = hosts.owners()["rating"][0]
    silent_s = hosts.clock.monotonic_s()
    watcher = next(host for name, host in hosts.hosts.items() if name != owner)
    hosts.run(2.5, silent=(owner,))
    record = watcher.owners["rating"]
    assert record.row.host != owner
    successor = next(name for name in hosts.owners()["rating"] if name != owner)
    claimed = hosts.hosts[successor].owned["rating"]
    assert claimed.former_lease_end_s >= silent_s + TIMES.unconfirmed_s - 0.5


def test_hosts_that_all_started_again_look_at_each_other_closely():
    """Guards against services that wait for a second look after a loss of all hosts."""
    hosts = _Hosts(2)
    host = hosts.hosts["h0"]
    assert host.heartbeat_interval_s == OWNER_INTERVAL_S
    hosts.run(4.0)
    idle = hosts.create("h9")
    idle.send_heartbeat()
    hosts.clock.advance(1.0)
    assert idle.heartbeat_interval_s == HOST_INTERVAL_S


def test_outage_of_the_store_changes_no_owner(hosts):
    """Guards against takeovers from live hosts whose rows are old after an outage."""
    hosts.tables.is_dark = True
    hosts.run(6.0)
    hosts.tables.is_dark = False
    hosts.run(4.0)
    assert set(hosts.epochs().values()) == {1}


def test_released_service_is_claimed_at_once(hosts):
    """Guards against a planned stop that leaves a service alone for seconds."""
    owner = hosts.owners()["rating"][0]
    leaving = hosts.hosts.pop(owner)
    leaving.release("rating")
    hosts.run(0.5)
    assert len(hosts.owners()["rating"]) == 1


def test_restarted_host_loses_the_services_of_its_former_process(hosts):
    """Guards against a service whose owner's process is gone and its host is not."""
    owner = hosts.owners()["rating"][0]
    hosts.hosts[owner] = hosts.create(owner, incarnation="2")
    hosts.run(3.0)
    assert len(hosts.owners()["rating"]) == 1
    assert hosts.epochs()["rating"] == 2


def test_paused_owner_learns_that_it_was_replaced(hosts):
    """Guards against two owners that both go on for long."""
    owner = hosts.owners()["rating"][0]
    hosts.run(5.0, silent=(owner,))
    hosts.run(1.0)
    assert len(hosts.owners()["rating"]) == 1


def test_new_owner_waits_for_leases_of_a_silent_one(hosts):
    """Guards against a second run on a worker that only the former owner reaches."""
    owner = hosts.owners()["rating"][0]
    silent_s = hosts.clock.monotonic_s()
    hosts.run(4.5, silent=(owner,))
    successor = next(name for name in hosts.owners()["rating"] if name != owner)
    claimed = hosts.hosts[successor].owned["rating"]
    assert claimed.former_lease_end_s >= silent_s + TIMES.unconfirmed_s - 0.5


def test_lost_answer_to_a_claim_leaves_no_service_alone():
    """Guards against a service that its owner doesn't know it owns."""
    hosts = _Hosts(1)
    hosts.tables.faulty_table = OWNERS_TABLE
    hosts.tables.lost_answers_count = 2
    hosts.run(4.0)
    assert sorted(hosts.owners()) == sorted(SERVICES)
