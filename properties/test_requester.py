"""Random runs of a requester against owners whose messages are lost and late."""

from hypothesis import given, seed, settings, strategies as st

from properties.seeds import run_seed
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.interfaces import SlotDemand
from sycamorecroft.routing.messages import SlotGrant
from sycamorecroft.routing.requester import (
    CompleteTicket,
    Requester,
    SendHeldGrants,
    SendRelease,
    SendRequest,
)

OWNERS = ("e1", "e2", "e3")
DEADLINE_S = 30.0
STEP_S = 0.1
EXAMPLES_COUNT = 300

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("acquire", "grant", "repeat", "release", "live", "tick")),
        st.integers(0, 50),
    ),
    min_size=20,
    max_size=120,
)


class Site:
    """A requester and owners that keep plain sets of tickets."""

    def __init__(self):
        self.now_s = 0.0
        self.requester = Requester("e1")
        self.requester.set_live_entry_hosts(OWNERS, 0.0)
        self.requester.set_services(("rating",))
        self.waiting = {owner: set() for owner in OWNERS}
        self.granted = {owner: set() for owner in OWNERS}
        self.completed = {}
        self.in_use = set()
        self.count = 0

    def apply(self, decisions):
        for decision in decisions:
            match decision:
                case SendRequest(owner, request):
                    self.waiting[owner].add(request.ticket)
                case SendRelease(owner, release):
                    self.waiting[owner].discard(release.ticket)
                    self.granted[owner].discard(release.ticket)
                case SendHeldGrants(owner, _, held):
                    self.granted[owner] |= {grant.ticket for grant in held}
                    self.waiting[owner] -= {grant.ticket for grant in held}
                case CompleteTicket(ticket, result):
                    assert ticket not in self.completed, "a ticket ended twice"
                    self.completed[ticket] = result
                    if isinstance(result, SlotGrant):
                        self.in_use.add(ticket)

    def act(self, name, number):
        self.now_s += STEP_S
        getattr(self, name)(number)

    def acquire(self, number):
        self.count += 1
        demand = SlotDemand("rating", "t", Urgency.NORMAL, DEADLINE_S, ())
        ticket = f"rating/{self.count}"
        self.apply(self.requester.acquire(ticket, demand, self.now_s))

    def grant(self, number):
        owner = OWNERS[number % len(OWNERS)]
        for ticket in sorted(self.waiting[owner])[:1]:
            self.waiting[owner].discard(ticket)
            self.granted[owner].add(ticket)
            self.deliver(owner, ticket)

    def repeat(self, number):
        owner = OWNERS[number % len(OWNERS)]
        for ticket in sorted(self.granted[owner])[:1]:
            self.deliver(owner, ticket)

    def deliver(self, owner, ticket):
        grant = SlotGrant(ticket, "e1", "w1", "127.0.0.1:1")
        decisions = self.requester.receive(owner, self.now_s, grants=[grant])
        self.apply(decisions)

    def release(self, number):
        for ticket in sorted(self.in_use)[:1]:
            self.in_use.discard(ticket)
            self.apply(self.requester.release(ticket, 0.1, False))

    def live(self, number):
        live = [o for bit, o in enumerate(OWNERS) if number >> bit & 1]
        self.apply(self.requester.set_live_entry_hosts(live or OWNERS, self.now_s))

    def tick(self, number):
        self.apply(self.requester.tick(self.now_s))


@seed(run_seed())
@settings(max_examples=EXAMPLES_COUNT, deadline=None)
@given(ACTIONS)
def test_each_ticket_ends_once_and_no_owner_keeps_a_grant(actions):
    """Guards against a request on two slots, and against slots that stay occupied."""
    site = Site()
    for name, number in actions:
        site.act(name, number)
    while site.in_use:
        site.act("release", 0)
    site.now_s = DEADLINE_S + 1
    site.tick(0)
    assert len(site.completed) == site.count
    assert site.requester.granted_hosts() == frozenset()
    assert site.granted == {owner: set() for owner in OWNERS}
    assert site.waiting == {owner: set() for owner in OWNERS}
