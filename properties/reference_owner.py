"""Naive model of a queue owner: plain lists, every rule checked by scanning."""

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.pools.state import HostState
from sycamorecroft.routing.messages import SlotGrant, SlotRefusal
from sycamorecroft.routing.owner import RECLAIM_AFTER_S


class ReferenceOwner:
    """Knows which decisions of the owner are legal, and what they lead to."""

    def __init__(self, pool, view, membership):
        self.pool = pool
        self.view = view
        self.membership = membership
        self.waiting = []
        self.grants = []
        self.ended = []
        self.dropped_s = {}
        self.has_failures = False

    def begin(self, now_s):
        """Reclaims grants: deadline passed, or requester dropped long enough ago."""
        due = [
            requester
            for requester, dropped_s in self.dropped_s.items()
            if now_s - dropped_s >= RECLAIM_AFTER_S
        ]
        self.grants = [
            grant
            for grant in self.grants
            if grant.deadline_s > now_s and grant.requester not in due
        ]
        for requester in due:
            del self.dropped_s[requester]

    def request(self, request, now_s):
        self.dropped_s.pop(request.requester, None)
        self.begin(now_s)
        if not self.knows(request.ticket):
            self.waiting.append(request)

    def knows(self, ticket):
        known = [*self.waiting, *self.grants]
        return ticket in self.ended or any(item.ticket == ticket for item in known)

    def release(self, release, now_s):
        self.begin(now_s)
        grant = next((g for g in self.grants if g.ticket == release.ticket), None)
        if grant is not None and grant.requester != release.requester:
            return
        self.has_failures = self.has_failures or release.host_failed
        self.grants = [g for g in self.grants if g.ticket != release.ticket]
        self.waiting = [w for w in self.waiting if w.ticket != release.ticket]
        if release.service_time_s is not None or release.host_failed:
            self.ended.append(release.ticket)

    def held(self, held, now_s):
        self.dropped_s.pop(held.requester, None)
        self.begin(now_s)
        granted = any(grant.ticket == held.ticket for grant in self.grants)
        if granted or held.ticket in self.ended or held.deadline_s <= now_s:
            return
        self.waiting = [w for w in self.waiting if w.ticket != held.ticket]
        self.grants.append(held)

    def membership_changed(self, membership, now_s):
        self.membership = membership
        holders = {grant.requester for grant in self.grants}
        lost = holders - membership.reached
        self.dropped_s = {r: self.dropped_s.get(r, now_s) for r in lost}
        self.begin(now_s)

    def active(self):
        return [
            record
            for record in self.view.hosts.values()
            if record["pool"] == self.pool and record["state"] is HostState.ACTIVE
        ]

    def occupied(self, host):
        return sum(1 for grant in self.grants if grant.host == host)

    def free_total(self):
        active = self.active()
        slots_count = sum(record["slots_count"] for record in active)
        reached_count = max(1, len(self.membership.reached))
        share = slots_count * reached_count // self.membership.registered_count
        limit = min(slots_count, max(1, share))
        return limit - sum(self.occupied(record["host"]) for record in active)

    def follow(self, decisions, granted_type):
        """Checks each decision against the rules and applies it."""
        for decision in decisions:
            if isinstance(decision, SlotRefusal):
                self._follow_refusal(decision)
            else:
                self._follow_grant(decision, granted_type)

    def _follow_refusal(self, refusal):
        if refusal.reason is AdmissionRefusal.TICKET_ENDED:
            assert refusal.ticket in self.ended
            return
        request = self._waiting_request(refusal.ticket)
        assert request.requester == refusal.requester
        self.waiting.remove(request)

    def _follow_grant(self, decision: SlotGrant, granted_type):
        repeated = [g for g in self.grants if g.ticket == decision.ticket]
        if repeated:
            assert repeated[0].host == decision.host
            return
        request = self._waiting_request(decision.ticket)
        hosts = {record["host"]: record for record in self.active()}
        assert decision.host in hosts, "grant on a host that is not active"
        record = hosts[decision.host]
        assert decision.address == record["address"]
        assert self.occupied(decision.host) < record["slots_count"]
        assert self.free_total() > 0, "more grants than the owner's share"
        if decision.host in request.excluded_hosts:
            assert set(request.excluded_hosts) >= hosts.keys()
        same = [w for w in self.waiting if self._queue(w) == self._queue(request)]
        if not any(w.excluded_hosts for w in same):
            assert request in (same[0], same[-1]), "neither oldest nor newest"
        self.waiting.remove(request)
        self.grants.append(
            granted_type(
                request.ticket,
                request.requester,
                request.service,
                decision.host,
                request.deadline_s,
            )
        )

    def _queue(self, request):
        return request.team, request.urgency

    def _waiting_request(self, ticket):
        matching = [request for request in self.waiting if request.ticket == ticket]
        assert len(matching) == 1, f"{ticket} waits {len(matching)} times"
        return matching[0]

    def check_settled(self, now_s):
        """After a decision no request waits past its deadline or beside a free slot."""
        assert all(request.deadline_s > now_s for request in self.waiting)
        if self.has_failures or self.free_total() <= 0:
            return
        free = {
            record["host"]
            for record in self.active()
            if self.occupied(record["host"]) < record["slots_count"]
        }
        plain = [request for request in self.waiting if not request.excluded_hosts]
        assert not (free and plain), "a request waits beside a free slot"
