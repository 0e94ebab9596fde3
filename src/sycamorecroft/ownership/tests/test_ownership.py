"""Tests of heartbeats, and of claims and releases of services."""

from functools import partial

import pytest

from standins.hooked import HookedProxy, HookPoint
from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.ownership.capacity import CapacityRow
from sycamorecroft.ownership.committer import CommitOutcome, Committer
from sycamorecroft.ownership.confirmations import ClaimConfirmations
from sycamorecroft.ownership.heartbeats import EntryHost
from sycamorecroft.ownership.hosts import (
    ENTRY_HOSTS_TABLE,
    IDLE_INTERVAL_S,
    OWNER_INTERVAL_S,
)
from sycamorecroft.ownership.owner import Ownership
from sycamorecroft.ownership.rows import COMMITS_TABLE, OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.commit import Commit
from sycamorecroft.store.interfaces import Put, StorePurpose

UNCONFIRMED_LIMIT_S = 10.0
SERVICES = ("assessment", "dispatch", "hotline", "rating")
LARGE = CapacityRow(cores_count=2.0, link_mbps=100.0)
SMALL = CapacityRow(cores_count=0.5, link_mbps=5.0)


class _Cluster:
    """Entry hosts that share a store and a clock.

    :ivar confirmations: confirmations of the claims of all entry hosts.
    """

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.clock.advance(50.0)
        self.tables = MemoryPartitions()
        self.confirmations = ClaimConfirmations()
        self.entry_hosts = {f"h{n}": self.create(f"h{n}") for n in range(count)}

    def create(
        self, name: str, incarnation: str = "1", capacity: CapacityRow = LARGE
    ) -> Ownership:
        return Ownership(
            self.tables,
            self.clock,
            EntryHost(name, incarnation, capacity),
            UNCONFIRMED_LIMIT_S,
            self.confirmations,
        )

    def committer(self, name: str, service: str) -> Committer:
        claim = self.entry_hosts[name].owned[service].claim
        on_confirmed = partial(self.confirmations.record, claim)
        return Committer(
            self.tables, claim, self.clock, lambda result: None, on_confirmed
        )

    def confirmed_s(self, name: str, service: str) -> float:
        claim = self.entry_hosts[name].owned[service].claim
        return self.confirmations.confirmed_s(claim)

    def check_wait(self, service: str, former: str) -> None:
        """Checks that a new owner waits for all leases that a former one may grant."""
        (successor,) = (name for name in self.owners()[service] if name != former)
        claimed = self.entry_hosts[successor].owned[service]
        granted_end_s = self.confirmed_s(former, service) + UNCONFIRMED_LIMIT_S
        assert claimed.former_lease_end_s >= granted_end_s

    def run(self, duration_s: float, failed: tuple[str, ...] = ()) -> None:
        for _ in range(round(duration_s / 0.5)):
            self.clock.advance(0.5)
            self.tables.store_time_ms += 500
            for name, entry_host in self.entry_hosts.items():
                if name in failed:
                    continue
                try:
                    self.step(entry_host)
                except StoreUnavailableError:
                    continue

    def step(self, entry_host: Ownership) -> None:
        entry_host.send_heartbeat()
        self.read_owner_rows(entry_host)
        entry_host.remove_lost_services()
        entry_host.claim_unowned_services(SERVICES)
        service = entry_host.service_to_hand_over()
        if service is not None:
            entry_host.release(service)

    def read_owner_rows(self, entry_host: Ownership) -> None:
        sent_s = self.clock.monotonic_s()
        rows = self.tables.changes(OWNERS_TABLE, after_version=0, wait_s=0.0).rows
        entry_host.apply_owner_rows(rows)
        entry_host.confirm_claims(sent_s)

    def owners(self) -> dict[str, list[str]]:
        owned: dict[str, list[str]] = {}
        for name, entry_host in self.entry_hosts.items():
            for service in entry_host.owned:
                owned.setdefault(service, []).append(name)
        return owned

    def epochs(self) -> dict[str, int]:
        return {
            service: claimed.claim.epoch
            for entry_host in self.entry_hosts.values()
            for service, claimed in entry_host.owned.items()
        }


@pytest.fixture
def cluster():
    started = _Cluster(4)
    started.run(4.0)
    return started


def test_services_spread_over_entry_hosts(cluster):
    """Guards against one entry host that claims all services."""
    owners = cluster.owners()
    assert sorted(owners) == sorted(SERVICES)
    assert all(len(names) == 1 for names in owners.values())
    assert len({names[0] for names in owners.values()}) == 4


def test_live_owners_keep_their_services(cluster):
    """Guards against takeovers from live owners."""
    cluster.run(20.0)
    assert set(cluster.epochs().values()) == {1}


def test_service_of_failed_entry_host_is_claimed(cluster):
    """Guards against a service that stays unowned after its entry host failed."""
    owner = cluster.owners()["rating"][0]
    cluster.run(4.5, failed=(owner,))
    others = [name for name in cluster.owners()["rating"] if name != owner]
    assert len(others) == 1
    assert cluster.entry_hosts[others[0]].owned["rating"].claim.epoch == 2


def test_service_of_failed_entry_host_is_claimed_within_two_seconds(cluster):
    """Guards against a takeover so slow that a queue's scheduled turn is missed.

    In a large deployment the fleet had no controller for 2.7 s during a queue's turn.
    """
    owner = cluster.owners()["rating"][0]
    cluster.run(2.0, failed=(owner,))
    assert [name for name in cluster.owners()["rating"] if name != owner]


def test_idle_entry_host_claims_service_of_failed_owner():
    """Guards against claims by owners while other entry hosts own nothing."""
    cluster = _Cluster(5)
    cluster.run(4.0)
    owner = cluster.owners()["rating"][0]
    idle = next(
        name for name, entry_host in cluster.entry_hosts.items() if not entry_host.owned
    )
    cluster.run(2.5, failed=(owner,))
    assert idle in cluster.owners()["rating"]


def test_new_owner_waits_for_leases_of_revoked_owner(cluster):
    """Guards against a second run while the former owner still reaches a worker."""
    owner = cluster.owners()["rating"][0]
    failed_s = cluster.clock.monotonic_s()
    observer = next(
        entry_host for name, entry_host in cluster.entry_hosts.items() if name != owner
    )
    cluster.run(2.5, failed=(owner,))
    record = observer.owners["rating"]
    assert record.row.entry_host != owner
    successor = next(name for name in cluster.owners()["rating"] if name != owner)
    claimed = cluster.entry_hosts[successor].owned["rating"]
    assert claimed.former_lease_end_s >= failed_s + UNCONFIRMED_LIMIT_S - 0.5


def test_starting_entry_hosts_use_the_short_heartbeat_interval():
    """Guards against slow claims after all entry hosts were restarted."""
    cluster = _Cluster(2)
    entry_host = cluster.entry_hosts["h0"]
    assert entry_host.heartbeat_interval_s == OWNER_INTERVAL_S
    cluster.run(4.0)
    idle = cluster.create("h9")
    idle.send_heartbeat()
    cluster.clock.advance(1.0)
    assert idle.heartbeat_interval_s == IDLE_INTERVAL_S


def test_store_outage_changes_no_owner(cluster):
    """Guards against takeovers from live owners whose rows are old after an outage."""
    cluster.tables.is_unavailable = True
    cluster.run(6.0)
    cluster.tables.is_unavailable = False
    cluster.run(4.0)
    assert set(cluster.epochs().values()) == {1}


def test_released_service_is_claimed_at_once(cluster):
    """Guards against a service that stays unowned for seconds after a planned stop."""
    owner = cluster.owners()["rating"][0]
    stopping = cluster.entry_hosts.pop(owner)
    stopping.release("rating")
    cluster.run(0.5)
    assert len(cluster.owners()["rating"]) == 1


def test_restarted_entry_host_loses_services_of_its_former_process(cluster):
    """Guards against a service owned by an ended process of a live entry host."""
    owner = cluster.owners()["rating"][0]
    cluster.entry_hosts[owner] = cluster.create(owner, incarnation="2")
    cluster.run(3.0)
    assert len(cluster.owners()["rating"]) == 1
    assert cluster.epochs()["rating"] == 2


def test_paused_owner_removes_lost_service(cluster):
    """Guards against two owners that both continue after a pause of one."""
    owner = cluster.owners()["rating"][0]
    cluster.run(5.0, failed=(owner,))
    cluster.run(1.0)
    assert len(cluster.owners()["rating"]) == 1


def test_new_owner_waits_for_leases_of_failed_owner(cluster):
    """Guards against a second run on a worker that only the former owner reaches."""
    owner = cluster.owners()["rating"][0]
    failed_s = cluster.clock.monotonic_s()
    cluster.run(4.5, failed=(owner,))
    successor = next(name for name in cluster.owners()["rating"] if name != owner)
    claimed = cluster.entry_hosts[successor].owned["rating"]
    assert claimed.former_lease_end_s >= failed_s + UNCONFIRMED_LIMIT_S - 0.5


def test_new_owner_waits_for_leases_granted_after_the_last_heartbeat(cluster):
    """Guards against a second run when only the heartbeats of an owner fail.

    Each commit confirms the ownership, too.
    """
    owner = cluster.owners()["rating"][0]
    committer = cluster.committer(owner, "rating")
    while committer.store(Commit((), (), ())) is CommitOutcome.STORED:
        cluster.run(0.5, failed=(owner,))
    cluster.run(1.0, failed=(owner,))
    cluster.check_wait("rating", owner)


def test_new_owner_waits_for_leases_of_an_owner_that_resumes_before_the_claim():
    """Guards against a second run when a paused owner wakes right before the claim."""
    cluster = _Cluster(2)
    cluster.run(4.0)
    owner = cluster.owners()["rating"][0]
    (other,) = (host for name, host in cluster.entry_hosts.items() if name != owner)
    cluster.run(1.0, failed=(owner,))
    cluster.clock.advance(0.5)
    cluster.tables.store_time_ms += 500
    other.send_heartbeat()
    cluster.step(cluster.entry_hosts[owner])
    other.claim_unowned_services(SERVICES)
    cluster.check_wait("rating", owner)


def test_new_owner_waits_for_leases_of_an_owner_with_slow_answers(cluster):
    """Guards against a second run after an owner whose store answers arrived late.

    Such an owner underestimates the store's time in its heartbeats.
    """
    owner = cluster.owners()["rating"][0]

    def delay_answer(call, point):
        if call == "changes" and point is HookPoint.AFTER:
            cluster.clock.advance(1.0)
            cluster.tables.store_time_ms += 1000

    exchange = cluster.entry_hosts[owner]._heartbeats
    exchange._tables = HookedProxy(cluster.tables, delay_answer)
    for _ in range(3):
        exchange.exchange(1.2)
        cluster.read_owner_rows(cluster.entry_hosts[owner])
    cluster.run(6.0, failed=(owner,))
    cluster.check_wait("rating", owner)


def test_new_owner_waits_for_leases_of_the_owner_before_a_released_claim(cluster):
    """Guards against a second run when two ownerships end shortly after each other."""
    owner = cluster.owners()["rating"][0]
    cluster.run(2.0, failed=(owner,))
    (second,) = (name for name in cluster.owners()["rating"] if name != owner)
    cluster.entry_hosts[second].release("rating")
    cluster.run(1.0, failed=(owner, second))
    del cluster.entry_hosts[second]
    cluster.check_wait("rating", owner)


def test_heartbeat_after_a_takeover_confirms_no_claim(cluster):
    """Guards against leases that a superseded owner extends without end.

    Its heartbeats are accepted again, and its feed of the owners' rows is broken off.
    """
    owner = cluster.owners()["rating"][0]
    cluster.run(3.0, failed=(owner,))
    claimed_s = cluster.clock.monotonic_s()
    for _ in range(20):
        cluster.clock.advance(0.5)
        cluster.entry_hosts[owner].send_heartbeat()
    assert cluster.confirmed_s(owner, "rating") < claimed_s


def test_read_that_shows_another_owner_confirms_no_claim(cluster):
    """Guards against leases that are granted until a lost service has stopped."""
    owner = cluster.owners()["rating"][0]
    cluster.run(3.0, failed=(owner,))
    claimed_s = cluster.clock.monotonic_s()
    cluster.clock.advance(0.5)
    host = cluster.entry_hosts[owner]
    claim = host.owned["rating"].claim
    cluster.read_owner_rows(host)
    assert cluster.confirmed_s(owner, "rating") < claimed_s
    host.remove_lost_services()
    cluster.confirmations.record(claim, cluster.clock.monotonic_s())
    assert cluster.confirmations.confirmed_s(claim) is None


def test_confirmation_of_one_service_is_none_of_another():
    """Guards against leases of a lost service that commits of another one extend."""
    cluster = _Cluster(1)
    cluster.run(2.0)
    confirmed_s = cluster.confirmed_s("h0", "rating")
    cluster.clock.advance(1.0)
    committer = cluster.committer("h0", "hotline")
    assert committer.store(Commit((), (), ())) is CommitOutcome.STORED
    assert cluster.confirmed_s("h0", "hotline") > confirmed_s
    assert cluster.confirmed_s("h0", "rating") == confirmed_s


def test_claim_with_lost_answer_is_repeated():
    """Guards against a service whose owner isn't aware of its claim."""
    cluster = _Cluster(1)
    cluster.tables.faulty_table = OWNERS_TABLE
    cluster.tables.lost_responses_count = 2
    cluster.run(4.0)
    assert sorted(cluster.owners()) == sorted(SERVICES)


def test_services_are_claimed_by_entry_hosts_that_can_carry_them():
    """Guards against a busy service that starves on the link of a small owner."""
    cluster = _Cluster(0)
    for number in range(12):
        name = f"h{number}"
        capacity = LARGE if number % 6 == 5 else SMALL
        cluster.entry_hosts[name] = cluster.create(name, capacity=capacity)
    cluster.run(4.0)
    owners = cluster.owners()
    assert sorted(owners) == sorted(SERVICES)
    assert {names[0] for names in owners.values()} == {"h5", "h11"}


def test_small_owner_hands_its_services_over_to_a_large_entry_host():
    """Guards against small owners that keep their services for good."""
    cluster = _Cluster(0)
    for name in ("h0", "h1"):
        cluster.entry_hosts[name] = cluster.create(name, capacity=SMALL)
    cluster.run(4.0)
    for name in ("h2", "h3"):
        cluster.entry_hosts[name] = cluster.create(name, capacity=LARGE)
    cluster.run(20.0)
    owners = cluster.owners()
    assert all(len(names) == 1 for names in owners.values())
    assert {names[0] for names in owners.values()} == {"h2", "h3"}
    assert set(cluster.epochs().values()) == {2}


def test_small_entry_host_takes_over_when_no_large_one_is_left():
    """Guards against services without an owner after all large hosts have failed."""
    cluster = _Cluster(2)
    cluster.entry_hosts["h9"] = cluster.create("h9", capacity=SMALL)
    cluster.run(4.0)
    cluster.run(8.0, failed=("h0", "h1"))
    assert sorted(cluster.entry_hosts["h9"].owned) == sorted(SERVICES)


def test_service_is_not_left_to_an_entry_host_that_stops():
    """Guards against a service without an owner while others wait for a stopping host.

    The host that stops first owns nothing and would be preferred for the service that
    the second one releases.
    """
    cluster = _Cluster(5)
    cluster.run(4.0)
    idle = next(name for name, host in cluster.entry_hosts.items() if not host.owned)
    owner = cluster.owners()["rating"][0]
    cluster.entry_hosts.pop(idle).withdraw()
    stopping = cluster.entry_hosts.pop(owner)
    stopping.release("rating")
    stopping.withdraw()
    cluster.run(0.5)
    assert len(cluster.owners()["rating"]) == 1


def test_restarted_entry_host_is_a_candidate_again():
    """Guards against a host that others count as stopped after its restart."""
    cluster = _Cluster(0)
    for name in ("h0", "h2"):
        capacity = SMALL if name == "h2" else LARGE
        cluster.entry_hosts[name] = cluster.create(name, capacity=capacity)
    cluster.run(4.0)
    stopping = cluster.entry_hosts.pop("h0")
    for service in list(stopping.owned):
        stopping.release(service)
    stopping.withdraw()
    cluster.run(2.0)
    cluster.entry_hosts["h0"] = cluster.create("h0", incarnation="2")
    cluster.run(30.0)
    assert sorted(cluster.entry_hosts["h0"].owned) == sorted(SERVICES)


def test_service_with_a_malformed_row_of_commits_is_claimed(cluster):
    """Guards against a service that each entry host claims and none runs."""
    owner = cluster.owners()["rating"][0]
    put = Put(COMMITS_TABLE, ROW_KEY, b"\xff[", "rating")
    cluster.tables.transact((), (put,), purpose=StorePurpose.LEASES)
    cluster.run(4.5, failed=(owner,))
    (successor,) = (name for name in cluster.owners()["rating"] if name != owner)
    commit = Commit((), (), ())
    committer = cluster.committer(successor, "rating")
    assert committer.store(commit) is CommitOutcome.STORED


def test_late_heartbeat_of_a_former_incarnation_takes_no_service(cluster):
    """Guards against a live owner that loses its services after its restart.

    The store may perform a call without a response seconds later, here a heartbeat of
    the process that ran on the entry host before.
    """
    former_row = cluster.tables.row(ENTRY_HOSTS_TABLE, "h0", "h0")
    cluster.run(4.5, failed=("h0",))
    cluster.entry_hosts["h0"] = cluster.create("h0", "2")
    others = tuple(name for name in cluster.entry_hosts if name != "h0")
    cluster.run(4.0, failed=others)
    cluster.run(4.0)
    assert cluster.entry_hosts["h0"].owned
    late = Put(ENTRY_HOSTS_TABLE, "h0", former_row.value, "h0")
    cluster.tables.transact((), (late,), purpose=StorePurpose.REGISTRATION)
    for name in others:
        cluster.step(cluster.entry_hosts[name])
    cluster.read_owner_rows(cluster.entry_hosts["h0"])
    assert not cluster.entry_hosts["h0"].remove_lost_services()
