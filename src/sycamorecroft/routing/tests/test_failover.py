"""Failure tests of tickets that move between queue owners."""

import pytest

from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    ServiceConfiguration,
    Urgency,
)
from sycamorecroft.membership import owner_of
from sycamorecroft.pools.state import HostRecord, HostState, PoolView
from sycamorecroft.routing.interfaces import SlotDemand
from sycamorecroft.routing.messages import SlotGrant, SlotRefusal
from sycamorecroft.routing.owner import Membership, QueueOwner
from sycamorecroft.routing.requester import (
    Complete,
    Requester,
    SendRelease,
    SendRequest,
)

ENTRIES = ("e1", "e2", "e3")
OWNER = owner_of("rating", ENTRIES)
OTHERS = tuple(entry for entry in ENTRIES if entry != OWNER)
DEMAND = SlotDemand("rating", "default", Urgency.NORMAL, 10.0, ())


def new_owner():
    host = HostRecord(
        host="w1", address="127.0.0.1:1", data_centre="outapi", rack="r1",
        pool="rating", state=HostState.ACTIVE, epoch=1, slots_count=1,
        connections_count=64, target_pool=None, maintenance_id=None,
    )  # fmt: skip
    service = ServiceConfiguration(
        "rating", "trust", "rating", True, Urgency.NORMAL, 10.0, 1000, ()
    )
    account = AccountConfiguration("trust", ("outapi",), 0.99, {})
    configuration = FleetConfiguration(1, {"trust": account}, {}, {"rating": service})
    membership = Membership(frozenset(ENTRIES), len(ENTRIES))
    view = PoolView(1, {"w1": host})
    return QueueOwner("rating", configuration, view, membership, 0.0)


class Failover:
    """A requester whose view of the members changes, and one owner that stays."""

    def __init__(self):
        self.queue = new_owner()
        self.requester = Requester(OTHERS[0])
        self.requester.set_live(ENTRIES, 0.0)
        self.results = {}

    def pass_on(self, decisions, now_s):
        """Releases come first, as in a batch that was merged in the outbox."""
        own = [d for d in decisions if getattr(d, "owner", None) == OWNER]
        for decision in (d for d in own if isinstance(d, SendRelease)):
            self.answer(self.queue.release(decision.release, now_s), now_s)
        for decision in (d for d in own if isinstance(d, SendRequest)):
            self.answer(self.queue.request(decision.request, now_s), now_s)
        for decision in (d for d in decisions if isinstance(d, Complete)):
            self.results[decision.ticket] = decision.result

    def answer(self, decisions, now_s):
        grants = [d for d in decisions if isinstance(d, SlotGrant)]
        refusals = [d for d in decisions if isinstance(d, SlotRefusal)]
        self.pass_on(
            self.requester.receive(OWNER, now_s, grants=grants, refusals=refusals),
            now_s,
        )

    def acquire(self, ticket, now_s):
        self.pass_on(self.requester.acquire(ticket, DEMAND, now_s), now_s)


@pytest.mark.parametrize("is_merged", [False, True])
def test_a_ticket_that_returns_to_its_former_owner_is_served(is_merged):
    """Guards against an owner that ignores a ticket which was withdrawn from it and
    then sent to it again: the ticket waited until its deadline."""
    run = Failover()
    run.acquire("rating/first", 0.0)
    run.acquire("rating/second", 0.0)
    left = run.requester.set_live(OTHERS, 1.0)
    returned = run.requester.set_live(ENTRIES, 1.2)
    if is_merged:
        run.pass_on(left + returned, 1.2)
    else:
        run.pass_on(left, 1.0)
        run.pass_on(returned, 1.2)
    run.pass_on(run.requester.release("rating/first", 0.1, False), 2.0)
    assert isinstance(run.results.get("rating/second"), SlotGrant)


def test_a_refusal_that_was_lost_is_followed_by_a_new_answer():
    """Guards against a ticket whose refusal was lost with the stream: sent again under
    it got no answer until its deadline."""
    run = Failover()
    run.acquire("rating/first", 0.0)
    second = run.requester.acquire("rating/second", DEMAND, 0.0)
    request = next(d.request for d in second if isinstance(d, SendRequest))
    run.queue.request(request._replace(deadline_s=0.5), 0.0)
    assert run.queue.tick(1.0), "the owner refuses, and the refusal is lost"
    run.pass_on(run.requester.resync(OWNER, 1.1), 1.1)
    run.pass_on(run.requester.release("rating/first", 0.1, False), 2.0)
    assert isinstance(run.results.get("rating/second"), SlotGrant)
