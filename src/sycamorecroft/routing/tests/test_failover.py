"""Tests of tickets whose queue is transferred between owners."""

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
from sycamorecroft.routing.owner import QueueMembership, QueueOwner
from sycamorecroft.routing.requester import (
    CompleteTicket,
    Requester,
    SendRelease,
    SendRequest,
)

ENTRY_HOSTS = ("e1", "e2", "e3")
OWNER = owner_of("rating", ENTRY_HOSTS)
OTHER_ENTRY_HOSTS = tuple(name for name in ENTRY_HOSTS if name != OWNER)
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
    membership = QueueMembership(frozenset(ENTRY_HOSTS), len(ENTRY_HOSTS))
    view = PoolView(1, {"w1": host})
    return QueueOwner("rating", configuration, view, membership, 0.0)


class Failover:
    """A requester with a changing view of the entry hosts, and one queue owner."""

    def __init__(self):
        self.queue = new_owner()
        self.requester = Requester(OTHER_ENTRY_HOSTS[0])
        self.requester.set_live_entry_hosts(ENTRY_HOSTS, 0.0)
        self.results = {}

    def deliver(self, decisions, now_s):
        """Delivers releases first, as in a batch that the outbox has merged."""
        own = [d for d in decisions if getattr(d, "owner", None) == OWNER]
        for decision in (d for d in own if isinstance(d, SendRelease)):
            self.reply(self.queue.release(decision.release, now_s), now_s)
        for decision in (d for d in own if isinstance(d, SendRequest)):
            self.reply(self.queue.request(decision.request, now_s), now_s)
        for decision in (d for d in decisions if isinstance(d, CompleteTicket)):
            self.results[decision.ticket] = decision.result

    def reply(self, decisions, now_s):
        grants = [d for d in decisions if isinstance(d, SlotGrant)]
        refusals = [d for d in decisions if isinstance(d, SlotRefusal)]
        self.deliver(
            self.requester.receive(OWNER, now_s, grants=grants, refusals=refusals),
            now_s,
        )

    def acquire(self, ticket, now_s):
        self.deliver(self.requester.acquire(ticket, DEMAND, now_s), now_s)


@pytest.mark.parametrize("is_merged", [False, True])
def test_ticket_that_returns_to_its_former_owner_is_served(is_merged):
    """Guards against an owner that ignores a ticket that was withdrawn and sent again.

    The ticket then waited until its deadline.
    """
    failover = Failover()
    failover.acquire("rating/first", 0.0)
    failover.acquire("rating/second", 0.0)
    moved_away = failover.requester.set_live_entry_hosts(OTHER_ENTRY_HOSTS, 1.0)
    moved_back = failover.requester.set_live_entry_hosts(ENTRY_HOSTS, 1.2)
    if is_merged:
        failover.deliver(moved_away + moved_back, 1.2)
    else:
        failover.deliver(moved_away, 1.0)
        failover.deliver(moved_back, 1.2)
    failover.deliver(failover.requester.release("rating/first", 0.1, False), 2.0)
    assert isinstance(failover.results.get("rating/second"), SlotGrant)


def test_ticket_whose_refusal_was_lost_is_answered_again():
    """Guards against a ticket without an answer after its refusal was lost.

    The refusal was lost with the stream, and the owner ignored the resent ticket until
    its deadline.
    """
    failover = Failover()
    failover.acquire("rating/first", 0.0)
    second = failover.requester.acquire("rating/second", DEMAND, 0.0)
    request = next(d.request for d in second if isinstance(d, SendRequest))
    failover.queue.request(request._replace(deadline_s=0.5), 0.0)
    assert failover.queue.tick(1.0), (
        "the owner refuses the request, and the refusal is lost"
    )
    failover.deliver(failover.requester.resync(OWNER, 1.1), 1.1)
    failover.deliver(failover.requester.release("rating/first", 0.1, False), 2.0)
    assert isinstance(failover.results.get("rating/second"), SlotGrant)
