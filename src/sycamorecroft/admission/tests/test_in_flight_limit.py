import pytest

from sycamorecroft.admission.in_flight_limit import InFlightLimit, RequestFlow
from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.configuration.fleet import Urgency


def flows(service: str) -> list[RequestFlow]:
    teams = ("councils", "inspectors", "crews")
    return [
        RequestFlow(service, urgency, team) for urgency in Urgency for team in teams
    ]


def fill(limit: InFlightLimit, service: str, body_bytes: int = 0) -> int:
    """Adds requests of all teams and classes until none is admitted; counts them."""
    count = 0
    is_admitted = True
    while is_admitted:
        reasons = [limit.admit(flow, body_bytes) for flow in flows(service)]
        count += reasons.count(None)
        is_admitted = None in reasons
    return count


def test_flooded_service_leaves_the_reserve_to_services_below_their_share():
    """Guards against one service that uses up the whole limit of an entry host."""
    limit = InFlightLimit(services_count=5)
    assert fill(limit, "hotline") == 400 - 64
    rating = flows("rating")[0]
    for _ in range(32):
        assert limit.admit(rating, 0) is None
    # The flooding service is above its share and may not use the reserve.
    assert limit.admit(flows("hotline")[0], 0) is AdmissionRefusal.ENTRY_PLACES
    for flow in flows("dispatch"):
        assert limit.admit(flow, 0) is None


@pytest.mark.parametrize("urgency", Urgency)
def test_flooding_team_leaves_capacity_to_teams_and_classes_of_its_service(urgency):
    """Guards against bulk requests that use up the share of a service.

    The urgent requests of the service were then refused. In ``benchmarks/flood.py``
    half of the other teams' requests were.
    """
    limit = InFlightLimit(services_count=5)
    flood = RequestFlow("hotline", urgency, "public")
    assert [limit.admit(flood, 0) for _ in range(400)].count(None) == 200
    assert limit.admit(flood, 0) is AdmissionRefusal.ENTRY_FLOW
    for flow in flows("hotline") * 5:
        assert limit.admit(flow, 0) is None


def test_large_bodies_of_one_service_leave_bytes_to_others():
    """Guards against memory exhaustion and one service using up the byte limit."""
    limit = InFlightLimit(5, body_limit_bytes=1000, reserved_body_bytes=160)
    assert fill(limit, "hotline", 100) == 8
    hotline, rating = flows("hotline")[0], flows("rating")[0]
    assert limit.admit(hotline, 100) is AdmissionRefusal.ENTRY_BYTES
    assert limit.admit(rating, 100) is None
    limit.release(rating, 100)
    # One of the flows was above its threshold, so each holds at most one body.
    for flow in flows("hotline")[:8]:
        limit.release(flow, 100)
    assert limit.admitted_count == 0
    assert fill(limit, "hotline", 100) == 8
