from sycamorecroft.admission.entry_limit import EntryLimit
from sycamorecroft.admission.reasons import AdmissionRefusal


def fill(limit: EntryLimit, service: str, body_bytes: int = 0) -> int:
    count = 0
    while limit.admit(service, body_bytes) is None:
        count += 1
    return count


def test_flooded_service_leaves_the_last_places_to_services_below_their_share():
    # Guards against one service filling the entry host (head-of-line blocking).
    limit = EntryLimit(services_count=5)
    assert fill(limit, "hotline") == 400 - 64
    assert fill(limit, "rating") == 64
    assert limit.admit("rating", 0) is AdmissionRefusal.ENTRY_PLACES
    for _ in range(65):
        limit.leave("hotline", 0)
    # The flooding service is above its share and may not take kept places back.
    assert fill(limit, "hotline") == 1
    assert fill(limit, "dispatch") == 64


def test_large_bodies_of_one_service_leave_bytes_to_others():
    # Guards against memory exhaustion, and against bodies of one service that use up
    # the byte budget of all.
    limit = EntryLimit(5, body_budget_bytes=1000, kept_body_bytes=160)
    assert fill(limit, "hotline", 100) == 8
    assert limit.admit("hotline", 100) is AdmissionRefusal.ENTRY_BYTES
    assert limit.admit("rating", 150) is None
    limit.leave("rating", 150)
    for _ in range(8):
        limit.leave("hotline", 100)
    assert limit.admitted_count == 0
    assert fill(limit, "hotline", 100) == 8
