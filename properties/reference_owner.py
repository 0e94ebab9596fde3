"""Reference model of a queue owner that checks each rule by scanning plain lists."""

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.pools.state import HostState
from sycamorecroft.routing.messages import SlotGrant, SlotRefusal
from sycamorecroft.routing.owner import RECLAIM_AFTER_S


class ReferenceOwner:
    """Checks decisions of a queue owner and applies them to its own state.

    :param view: hosts of the pools, as the owner sees them.
    :param membership: entry hosts that are registered and reached.
    """

    def __init__(self, pool, view, membership):
        self.pool = pool
        self.view = view
        self.membership = membership
        self.waiting = []
        self.grants = []
        self.ended_tickets = []
        self.lost_since_s = {}
        self.has_failures = False

    def reclaim_grants(self, now_s):
        """Reclaims grants past their deadline and those of lost requesters.

        A requester counts as lost after ``RECLAIM_AFTER_S`` without contact.
        """
        overdue = [
            requester
            for requester, lost_since_s in self.lost_since_s.items()
            if now_s - lost_since_s >= RECLAIM_AFTER_S
        ]
        self.grants = [
            grant
            for grant in self.grants
            if grant.deadline_s > now_s and grant.requester not in overdue
        ]
        for requester in overdue:
            del self.lost_since_s[requester]

    def request(self, request, now_s):
        self.lost_since_s.pop(request.requester, None)
        self.reclaim_grants(now_s)
        if not self.is_known(request.ticket):
            self.waiting.append(request)

    def is_known(self, ticket):
        known = [*self.waiting, *self.grants]
        return ticket in self.ended_tickets or any(
            item.ticket == ticket for item in known
        )

    def release(self, release, now_s):
        self.reclaim_grants(now_s)
        grant = next((g for g in self.grants if g.ticket == release.ticket), None)
        if grant is not None and grant.requester != release.requester:
            return
        self.has_failures = self.has_failures or release.host_failed
        self.grants = [g for g in self.grants if g.ticket != release.ticket]
        self.waiting = [w for w in self.waiting if w.ticket != release.ticket]
        if release.service_time_s is not None or release.host_failed:
            self.ended_tickets.append(release.ticket)

    def restore_grant(self, restored, now_s):
        self.lost_since_s.pop(restored.requester, None)
        self.reclaim_grants(now_s)
        is_granted = any(grant.ticket == restored.ticket for grant in self.grants)
        if (
            is_granted
            or restored.ticket in self.ended_tickets
            or restored.deadline_s <= now_s
        ):
            return
        self.waiting = [w for w in self.waiting if w.ticket != restored.ticket]
        self.grants.append(restored)

    def membership_changed(self, membership, now_s):
        self.membership = membership
        requesters = {grant.requester for grant in self.grants}
        lost = requesters - membership.reached
        self.lost_since_s = {r: self.lost_since_s.get(r, now_s) for r in lost}
        self.reclaim_grants(now_s)

    def active(self):
        return [
            record
            for record in self.view.hosts.values()
            if record["pool"] == self.pool and record["state"] is HostState.ACTIVE
        ]

    def occupied(self, host):
        return sum(1 for grant in self.grants if grant.host == host)

    def free_count(self):
        active = self.active()
        slots_count = sum(record["slots_count"] for record in active)
        reached_count = max(1, len(self.membership.reached))
        share = slots_count * reached_count // self.membership.registered_count
        limit = min(slots_count, max(1, share))
        return limit - sum(self.occupied(record["host"]) for record in active)

    def apply_decisions(self, decisions, granted_type):
        """Checks each decision against the rules and applies it.

        :raises AssertionError: if a decision breaks a rule.
        """
        for decision in decisions:
            if isinstance(decision, SlotRefusal):
                self._apply_refusal(decision)
            else:
                self._apply_grant(decision, granted_type)

    def _apply_refusal(self, refusal):
        if refusal.reason is AdmissionRefusal.TICKET_ENDED:
            assert refusal.ticket in self.ended_tickets
            return
        request = self._waiting_request(refusal.ticket)
        assert request.requester == refusal.requester
        self.waiting.remove(request)

    def _apply_grant(self, decision: SlotGrant, granted_type):
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
        assert self.free_count() > 0, "more grants than the owner's share"
        if decision.host in request.excluded_hosts:
            assert set(request.excluded_hosts) >= hosts.keys()
        queued = [w for w in self.waiting if self._queue(w) == self._queue(request)]
        if not any(w.excluded_hosts for w in queued):
            assert request in (queued[0], queued[-1]), (
                "the granted request is neither the oldest nor the newest"
            )
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
        assert len(matching) == 1, (
            f"{ticket} waits {len(matching)} times, expected once"
        )
        return matching[0]

    def check_no_request_left(self, now_s):
        """Checks that no request waits past its deadline or while a slot is free."""
        assert all(request.deadline_s > now_s for request in self.waiting)
        if self.has_failures or self.free_count() <= 0:
            return
        free_hosts = {
            record["host"]
            for record in self.active()
            if self.occupied(record["host"]) < record["slots_count"]
        }
        unrestricted = [
            request for request in self.waiting if not request.excluded_hosts
        ]
        assert not (free_hosts and unrestricted), (
            "a request waits although a slot is free"
        )
