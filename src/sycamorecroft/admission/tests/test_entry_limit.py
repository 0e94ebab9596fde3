import pytest

from sycamorecroft.admission.entry_limit import EntryFlow, EntryLimit
from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency


def flows(service: str) -> list[EntryFlow]:
    teams = ("councils", "inspectors", "crews")
    return [EntryFlow(service, urgency, team) for urgency in Urgency for team in teams]


def fill(limit: EntryLimit, service: str, body_bytes: int = 0) -> int:
    """Floods the service with all teams and classes until none is admitted."""
    count = 0
    is_admitted = True
    while is_admitted:
        reasons = [limit.admit(flow, body_bytes) for flow in flows(service)]
        count += reasons.count(None)
        is_admitted = None in reasons
    return count


def test_flooded_service_leaves_the_last_places_to_services_below_their_share():
    # Guards against one service filling the entry host (head-of-line blocking).
    limit = EntryLimit(services_count=5)
    assert fill(limit, "hotline") == 400 - 64
    rating = flows("rating")[0]
    for _ in range(32):
        assert limit.admit(rating, 0) is None
    # The flooding service is above its share and may not take kept places.
    assert limit.admit(flows("hotline")[0], 0) is AdmissionRefusal.ENTRY_PLACES
    for flow in flows("dispatch"):
        assert limit.admit(flow, 0) is None


@pytest.mark.parametrize("urgency", Urgency)
def test_flooding_team_leaves_places_to_teams_and_classes_of_its_service(urgency):
    # Guards against bulk work that fills the places of a service and so refuses its
    # urgent work (seen in benchmarks/flood.py: half of other teams' work refused).
    limit = EntryLimit(services_count=5)
    flood = EntryFlow("hotline", urgency, "public")
    assert [limit.admit(flood, 0) for _ in range(400)].count(None) == 200
    assert limit.admit(flood, 0) is AdmissionRefusal.ENTRY_FLOW
    for flow in flows("hotline") * 5:
        assert limit.admit(flow, 0) is None


def test_large_bodies_of_one_service_leave_bytes_to_others():
    # Guards against memory exhaustion, and against bodies of one service that use up
    # the byte budget of all.
    limit = EntryLimit(5, body_budget_bytes=1000, kept_body_bytes=160)
    assert fill(limit, "hotline", 100) == 8
    hotline, rating = flows("hotline")[0], flows("rating")[0]
    assert limit.admit(hotline, 100) is AdmissionRefusal.ENTRY_BYTES
    assert limit.admit(rating, 100) is None
    limit.leave(rating, 100)
    # One of the flows had no room under its threshold, so each holds at most one.
    for flow in flows("hotline")[:8]:
        limit.leave(flow, 100)
    assert limit.admitted_count == 0
    assert fill(limit, "hotline", 100) == 8
