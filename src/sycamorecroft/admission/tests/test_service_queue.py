from collections import Counter

from sycamorecroft.admission import AdmissionRefusal, ServiceQueue
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.routing.messages import SlotRequest

SLOTS_COUNT = 4


def request(number, team="councils", urgency=Urgency.NORMAL, deadline_s=100.0):
    return SlotRequest(f"{number}", "e1", "rating", team, urgency, deadline_s, ())


def offer(queue, request_, now_s=0.0):
    return queue.offer(request_, now_s, SLOTS_COUNT, 0)


def record_service_times(queue, service_time_s, now_s=0.0):
    """Records 20 completed requests with the given service time."""
    for number in range(20):
        offer(queue, request(f"learn-{number}"), now_s)
        queue.finish(queue.take(now_s, SLOTS_COUNT), service_time_s, now_s)


def flood(queue, count, **fields):
    for number in range(count):
        name = f"{fields.get('team')}-{fields.get('urgency')}-{number}"
        offer(queue, request(name, **fields))


def test_teams_share_slot_time_by_weight_whatever_they_queue():
    """Guards against a team that gains slot time by more or longer requests."""
    queue = ServiceQueue({"councils": 2.0, "inspectors": 1.0})
    flood(queue, 300, team="councils")
    flood(queue, 900, team="inspectors")
    slot_time_s = Counter()
    for _ in range(200):
        taken = queue.take(0.0, SLOTS_COUNT)
        service_time_s = 0.2 if taken.request.team == "inspectors" else 0.1
        queue.finish(taken, service_time_s, 0.0)
        slot_time_s[taken.request.team] += service_time_s
    assert 1.8 < slot_time_s["councils"] / slot_time_s["inspectors"] < 2.2


def test_lower_classes_keep_their_minimum_share_of_slot_time():
    """Guards against starvation of normal and bulk requests by urgent ones."""
    queue = ServiceQueue({})
    for urgency in Urgency:
        flood(queue, 1000, urgency=urgency)
    served = Counter()
    for _ in range(1000):
        taken = queue.take(0.0, SLOTS_COUNT)
        served[taken.request.urgency] += 1
        queue.finish(taken, 0.1, 0.0)
    assert 90 <= served[Urgency.NORMAL] <= 110
    assert 90 <= served[Urgency.BULK] <= 110


def test_newest_request_goes_first_once_a_team_is_overloaded():
    """Guards against a queue in which every request waits almost until its deadline."""
    queue = ServiceQueue({})
    for number in range(10):
        offer(queue, request(number))
    assert queue.take(0.05, SLOTS_COUNT).request.ticket == "0"
    assert queue.take(0.2, SLOTS_COUNT).request.ticket == "1"
    assert queue.take(0.6, SLOTS_COUNT).request.ticket == "2"
    assert queue.take(0.75, SLOTS_COUNT).request.ticket == "9"


def test_arrival_is_refused_when_the_wait_exceeds_the_remaining_time():
    queue = ServiceQueue({})
    record_service_times(queue, 0.1)
    reasons = [offer(queue, request(n, deadline_s=1.0)) for n in range(100)]
    # 4 slots and 0.1 s: about 36 requests can start within 0.9 s.
    assert 30 <= reasons.count(None) <= 40
    assert set(reasons) == {None, AdmissionRefusal.EXPECTED_WAIT}


def test_urgent_request_beyond_the_wait_limit_is_refused_on_arrival_and_in_queue():
    queue = ServiceQueue({})
    record_service_times(queue, 0.1)
    reasons = [offer(queue, request(n, urgency=Urgency.URGENT)) for n in range(100)]
    assert 45 <= reasons.count(None) <= 54
    assert reasons[-1] is AdmissionRefusal.URGENT_WAIT
    refused = queue.expire(1.26)
    assert len(refused) == reasons.count(None)
    assert {refusal.reason for refusal in refused} == {AdmissionRefusal.URGENT_WAIT}
    assert len(queue) == 0


def test_request_that_cannot_meet_its_deadline_leaves_the_queue():
    """Guards against slot time spent on responses after the deadline."""
    queue = ServiceQueue({})
    record_service_times(queue, 0.5)
    assert offer(queue, request("a", deadline_s=0.4)) is AdmissionRefusal.DEADLINE
    assert offer(queue, request("b", deadline_s=2.0)) is None
    assert queue.expire(1.0) == []
    assert queue.expire(1.6)[0].reason is AdmissionRefusal.DEADLINE


def test_stale_estimate_decays():
    """Guards against a service that refuses all requests after a slow period.

    Without admitted requests it gets no sample that would lower the estimate.
    """
    queue = ServiceQueue({})
    record_service_times(queue, 5.0)
    assert offer(queue, request("a", deadline_s=1.0)) is AdmissionRefusal.DEADLINE
    assert offer(queue, request("b", deadline_s=61.0), now_s=60.0) is None


def test_urgent_overload_of_a_team_leaves_the_others_their_share():
    """Guards against one team's urgent requests delaying the other teams' requests.

    Urgent requests have priority only within the share of their team.
    """
    queue = ServiceQueue({})
    flood(queue, 100, team="hotline", urgency=Urgency.URGENT)
    flood(queue, 100, team="inspectors", urgency=Urgency.NORMAL)
    held = [queue.take(0.0, SLOTS_COUNT) for _ in range(SLOTS_COUNT)]
    assert [queued.request.team for queued in held] == [
        "hotline",
        "hotline",
        "inspectors",
        "inspectors",
    ]
    queue.finish(held[0], 0.1, 0.1)
    assert queue.take(0.1, SLOTS_COUNT).request.team == "hotline"
    queue.finish(held[2], 0.1, 0.1)
    assert queue.take(0.1, SLOTS_COUNT).request.team == "inspectors"
