from random import Random

from benchmarks.flood_load import site_configuration, site_view
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import HeldGrant, SlotRelease, SlotRequest
from sycamorecroft.routing.owner import QueueMembership, QueueOwner

MEMBERS = QueueMembership(frozenset({"e1"}), 1)


def new_owner(workers_count=4, **options):
    return QueueOwner(
        "rating", site_configuration(), site_view(workers_count), MEMBERS, 0.0,
        random=Random(1), **options,
    )  # fmt: skip


def request(number, now_s, excluded=()):
    deadline_s = now_s + 10.0
    return SlotRequest(
        f"t{number}", "e1", "rating", "crews", Urgency.NORMAL, deadline_s, excluded
    )


def serve_requests(owner, numbers, failing_host, now_s):
    """Serves the requests one at a time; returns how many the failing worker got."""
    failures_count = 0
    for number in numbers:
        (grant,) = owner.request(request(number, now_s), now_s)
        is_failure = grant.host == failing_host
        failures_count += is_failure
        owner.release(SlotRelease(grant.ticket, "e1", 0.01, is_failure), now_s)
    return failures_count


def test_failing_worker_gets_one_probe_per_ejection():
    """Guards against a failing worker that attracts most requests.

    It fails immediately and is therefore the least loaded one.
    """
    owner = new_owner()
    assert serve_requests(owner, range(200), "rating-0", 0.0) == 3
    assert owner.status().ejected_count == 1
    assert owner.status().ejected_hosts == ("rating-0",)
    assert serve_requests(owner, range(200, 400), "rating-0", 0.6) == 1
    assert serve_requests(owner, range(400, 600), "rating-0", 1.2) == 0
    assert serve_requests(owner, range(600, 800), "rating-0", 1.7) == 1
    assert serve_requests(owner, range(800, 1000), None, 3.8) == 0
    assert owner.status().ejected_count == 0
    assert owner.status().ejected_hosts == ()


def test_pool_recovers_soon_after_all_workers_failed():
    """Guards against a long ejection of a whole pool after its fault has ended."""
    owner = new_owner(2)
    now_s = 0.0
    number = 0
    while now_s < 20.0:
        number += 1
        for grant in owner.request(request(number, now_s), now_s):
            owner.release(SlotRelease(grant.ticket, "e1", None, True), now_s)
        now_s += 0.05
    owner.tick(now_s + 1.1)
    assert owner.status().ejected_count == 0


def test_grants_spread_over_workers_and_racks():
    owner = new_owner(8)
    grants = [owner.request(request(n, 0.0), 0.0)[0] for n in range(8)]
    assert len({grant.host for grant in grants}) == 8


def test_new_owner_waits_for_held_grants():
    """Guards against a new owner that grants occupied slots."""
    owner = new_owner(1, grant_from_s=0.3)
    assert owner.request(request(0, 0.0), 0.0) == []
    for number in range(8):
        held = HeldGrant(f"h{number}", "e1", "rating", "rating-0", 9.0)
        assert owner.restore_grant(held, 0.1) == []
    assert owner.start_granting(0.2) == []
    (grant,) = owner.release(SlotRelease("h0", "e1", 0.1, False), 0.2)
    assert grant.ticket == "t0"


def test_ticket_granted_again_after_reclaim_keeps_its_deadline():
    """Guards against a stale deadline that ends the second grant of a ticket."""
    owner = new_owner()
    owner.request(request(0, 0.0), 0.0)
    owner.membership_changed(QueueMembership(frozenset(), 1), 0.1)
    owner.tick(2.2)
    assert owner.status().granted_count == 0
    assert len(owner.request(request(0, 0.0), 2.3)) == 1
    owner.tick(10.1)
    assert owner.status().granted_count == 0


def test_ticket_withdrawn_and_sent_again_is_granted():
    """Guards against requests lost by two membership changes in a row.

    Requesters withdraw the ticket and send it to the same owner again.
    """
    owner = new_owner()
    owner.request(request(0, 0.0), 0.0)
    owner.release(SlotRelease("t0", "e1", None, False), 0.1)
    assert len(owner.request(request(0, 0.0), 0.2)) == 1
    owner.release(SlotRelease("t0", "e1", 0.1, False), 0.3)
    (refusal,) = owner.request(request(0, 0.0), 0.4)
    assert refusal.reason == "ticket_ended"
