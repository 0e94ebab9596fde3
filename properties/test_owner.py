"""Randomised run of the queue owner against a model with plain lists."""

from random import Random

from hypothesis import given, seed, settings, strategies

from properties.reference_owner import ReferenceOwner
from properties.seeds import run_seed
from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
    Urgency,
)
from sycamorecroft.pools.state import HostRecord, HostState, PoolView
from sycamorecroft.routing.messages import (
    HeldGrant,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from sycamorecroft.routing.owner import QueueMembership, QueueOwner

ENTRIES = ("e1", "e2", "e3")
HOSTS = ("w1", "w2", "w3", "w4")
TEAMS = ("councils", "inspectors", "public")
POOLS = ("rating", "spare")

INDEX = strategies.integers(0, 59)
OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("request"),
        strategies.sampled_from(ENTRIES),
        strategies.sampled_from(TEAMS),
        strategies.sampled_from(tuple(Urgency)),
        strategies.sampled_from((0.05, 0.5, 2.0, 10.0)),
        strategies.sampled_from(((), (), (), ("w1",), ("w1", "w2"), HOSTS)),
    ),
    strategies.tuples(
        strategies.just("release"),
        INDEX,
        strategies.sampled_from(ENTRIES),
        strategies.sampled_from((None, 0.01, 0.2, 3.0)),
        strategies.integers(0, 9),
    ),
    strategies.tuples(strategies.just("finish"), INDEX),
    strategies.tuples(strategies.just("repeat"), INDEX),
    strategies.tuples(
        strategies.just("held"), INDEX, strategies.sampled_from((*HOSTS, "w9"))
    ),
    strategies.tuples(
        strategies.just("wait"), strategies.sampled_from((0.0, 0.01, 0.3, 1.0, 2.0))
    ),
    strategies.tuples(
        strategies.just("host"),
        strategies.sampled_from(HOSTS),
        strategies.sampled_from((*POOLS, "rating")),
        strategies.sampled_from((HostState.ACTIVE, *HostState)),
        strategies.integers(0, 2),
    ),
    strategies.tuples(
        strategies.just("members"), strategies.sets(strategies.sampled_from(ENTRIES))
    ),
    strategies.tuples(strategies.just("service_pool"), strategies.sampled_from(POOLS)),
    strategies.tuples(strategies.just("hand_over")),
)


def record(host, pool="rating", state=HostState.ACTIVE, slots_count=2):
    return HostRecord(
        host=host,
        address=f"127.0.0.1:{host[1:]}",
        data_centre="outapi",
        rack=f"r{int(host[1:]) % 2}",
        pool=pool,
        state=state,
        epoch=1,
        slots_count=slots_count,
        connections_count=64,
        target_pool=None,
        maintenance_id=None,
    )


def configuration(version, pool):
    service = ServiceConfiguration(
        "rating", "ondangwa", pool, True, Urgency.NORMAL, 10.0, 1000, ()
    )
    teams = {name: TeamConfiguration(name, 1.0, 1) for name in TEAMS[:2]}
    account = AccountConfiguration("ondangwa", ("outapi",), 0.99, teams)
    return FleetConfiguration(version, {"ondangwa": account}, {}, {"rating": service})


class OwnerRun:
    """Applies operations to the owner and to the model, and compares them."""

    def __init__(self, random_seed):
        view = PoolView(1, {host: record(host) for host in HOSTS})
        membership = QueueMembership(frozenset(ENTRIES), len(ENTRIES))
        self.now_s = 0.0
        self.requests = []
        self.version = 1
        self.model = ReferenceOwner("rating", view, membership)
        self.owner = QueueOwner(
            "rating",
            configuration(1, "rating"),
            view,
            membership,
            0.0,
            random=Random(random_seed),
        )

    def apply(self, operation):
        name, *arguments = operation
        decisions = getattr(self, name)(*arguments)
        self.model.follow(decisions, HeldGrant)
        self.model.check_settled(self.now_s)
        self.compare()

    def compare(self):
        model, status = self.model, self.owner.status()
        waiting_count = sum(status.waiting_counts.values()) + status.parked_count
        assert waiting_count == len(model.waiting)
        assert status.granted_count == len(model.grants)
        hosts = {grant.host for grant in model.grants}
        assert self.owner.granted_hosts() == hosts
        assert self.owner._slots.free_count == max(0, model.free_total())
        assert self.owner._slots.occupied_counts(HOSTS) == {
            host: model.occupied(host) for host in HOSTS
        }

    def request(self, entry, team, urgency, timeout_s, excluded):
        ticket = f"t{len(self.requests)}"
        request = SlotRequest(
            ticket, entry, "rating", team, urgency, self.now_s + timeout_s, excluded
        )
        self.requests.append(request)
        return self._send(request)

    def _send(self, request):
        self.model.request(request, self.now_s)
        return self.owner.request(request, self.now_s)

    def repeat(self, index):
        if not self.requests:
            return []
        request = self.requests[index % len(self.requests)]
        decisions = self._send(request)
        for decision in decisions:
            is_grant = isinstance(decision, SlotGrant)
            assert not (is_grant and decision.requester != request.requester) or (
                decision.ticket != request.ticket
            )
        return decisions

    def release(self, index, entry, service_time_s, failure):
        if not self.requests:
            return []
        ticket = self.requests[index % len(self.requests)].ticket
        return self._release(SlotRelease(ticket, entry, service_time_s, failure == 0))

    def finish(self, index):
        if not self.model.grants:
            return []
        grant = self.model.grants[index % len(self.model.grants)]
        return self._release(SlotRelease(grant.ticket, grant.requester, 0.1, False))

    def _release(self, release):
        self.model.release(release, self.now_s)
        return self.owner.release(release, self.now_s)

    def held(self, index, host):
        if index % 2 and self.requests:
            request = self.requests[index % len(self.requests)]
        else:
            request = SlotRequest(
                f"t{len(self.requests)}",
                "e1",
                "rating",
                "public",
                Urgency.BULK,
                self.now_s + 5.0,
                (),
            )
            self.requests.append(request)
        held = HeldGrant(
            request.ticket, request.requester, "rating", host, request.deadline_s
        )
        self.model.held(held, self.now_s)
        return self.owner.restore_grant(held, self.now_s)

    def wait(self, duration_s):
        self.now_s += duration_s
        self.model.begin(self.now_s)
        return self.owner.tick(self.now_s)

    def host(self, host, pool, state, slots_count):
        view = self.model.view
        changed = {host: record(host, pool, state, slots_count)}
        self.model.view = PoolView(view.version + 1, {**view.hosts, **changed})
        self.model.begin(self.now_s)
        decisions = self.owner.view_changed(self.model.view, self.now_s)
        return decisions + self.owner.view_changed(view, self.now_s)

    def members(self, reached):
        membership = QueueMembership(frozenset(reached), len(ENTRIES))
        self.model.membership_changed(membership, self.now_s)
        return self.owner.membership_changed(membership, self.now_s)

    def service_pool(self, pool):
        self.version += 1
        self.model.pool = pool
        self.model.begin(self.now_s)
        changed = configuration(self.version, pool)
        return self.owner.configuration_changed(changed, self.now_s)

    def hand_over(self):
        decisions = self.owner.transfer(self.now_s)
        assert len(decisions) == len(self.model.waiting)
        return decisions

    def drain(self):
        """All slots are free again once all deadlines have passed."""
        self.apply(("wait", 60.0))
        status = self.owner.status()
        assert (status.granted_count, sum(status.waiting_counts.values())) == (0, 0)


@seed(run_seed())
@settings(max_examples=400, deadline=None, database=None, print_blob=True)
@given(
    strategies.lists(OPERATIONS, min_size=20, max_size=120),
    strategies.integers(0, 2**32),
)
def test_owner_follows_the_model(operations, random_seed):
    # Guards against grants beyond slots or share (I10), on draining hosts (I6), and
    # against slots lost or counted twice by late, repeated or foreign messages.
    run = OwnerRun(random_seed)
    for operation in operations:
        run.apply(operation)
    run.drain()
