"""Tests of the throttling of best-effort tasks beside serving tasks."""

import pytest

from standins.service_driver import ServiceDriver, Site, make_step

GOAL_MS = 100
SERVING = "j1.0.0.0"
BEST_EFFORT = "j2.0.0.0"


@pytest.fixture
def site():
    new_site = Site(workers_count=1)
    new_site.submit("j1", make_step(1, is_long_running=True, goal_ms=GOAL_MS))
    new_site.submit("j2", make_step(1, is_long_running=True, is_best_effort=True))
    return new_site


def _run(site, owner, *, tail_ms, duration_s):
    site.workers["w0"].gauges[SERVING] = tail_ms
    owner.run_steps(round(duration_s / 0.2))


def test_best_effort_task_is_paused_soon_after_the_goal_is_exceeded(site):
    """Guards against best-effort tasks that slow a serving task for 4 s or longer."""
    owner = ServiceDriver(site, 1)
    _run(site, owner, tail_ms=50, duration_s=2.0)
    assert BEST_EFFORT not in site.workers["w0"].throttle_percents
    _run(site, owner, tail_ms=150, duration_s=3.6)
    assert site.workers["w0"].throttle_percents[BEST_EFFORT] == 0
    assert SERVING not in site.workers["w0"].throttle_percents


def test_best_effort_task_continues_once_response_times_recover(site):
    """Guards against a task that stays paused after the load has fallen."""
    owner = ServiceDriver(site, 1)
    _run(site, owner, tail_ms=150, duration_s=4.0)
    _run(site, owner, tail_ms=90, duration_s=4.0)
    assert site.workers["w0"].throttle_percents[BEST_EFFORT] == 0
    _run(site, owner, tail_ms=30, duration_s=12.0)
    assert site.workers["w0"].throttle_percents[BEST_EFFORT] == 100


def test_new_owner_sets_a_share_that_it_does_not_know(site):
    """Guards against a task that stays paused after its owner was replaced."""
    former = ServiceDriver(site, 1)
    _run(site, former, tail_ms=150, duration_s=4.0)
    successor = ServiceDriver(site, 2)
    _run(site, successor, tail_ms=30, duration_s=3.0)
    assert site.workers["w0"].throttle_percents[BEST_EFFORT] == 100


def test_throttle_order_without_an_answer_is_repeated(site):
    """Guards against a limit that the worker never got or applies late."""
    owner = ServiceDriver(site, 1)
    owner.run_steps(5)
    site.workers["w0"].loses_responses = True
    _run(site, owner, tail_ms=150, duration_s=1.0)
    site.workers["w0"].loses_responses = False
    site.workers["w0"].throttle_percents.clear()
    _run(site, owner, tail_ms=150, duration_s=4.0)
    assert site.workers["w0"].throttle_percents[BEST_EFFORT] == 0


def test_late_throttle_order_does_not_undo_a_later_one_for_long(site):
    """Guards against a task that stays paused, or unlimited, by an order of before.

    The order to pause it gets no answer and is carried out after the limit was lifted.
    """
    owner = ServiceDriver(site, 1)
    worker = site.workers["w0"]
    _run(site, owner, tail_ms=150, duration_s=1.0)
    worker.loses_responses = True
    _run(site, owner, tail_ms=150, duration_s=2.0)
    worker.loses_responses = False
    late_percent = worker.throttle_percents[BEST_EFFORT]
    _run(site, owner, tail_ms=30, duration_s=11.0)
    assert worker.throttle_percents[BEST_EFFORT] == 100
    worker.throttle(BEST_EFFORT, 1, late_percent)
    _run(site, owner, tail_ms=30, duration_s=4.0)
    assert worker.throttle_percents[BEST_EFFORT] == 100


def test_settled_share_is_not_ordered_again(site):
    """Guards against orders without end after one that had no answer."""
    owner = ServiceDriver(site, 1)
    worker = site.workers["w0"]
    _run(site, owner, tail_ms=150, duration_s=1.0)
    worker.loses_responses = True
    _run(site, owner, tail_ms=150, duration_s=1.0)
    worker.loses_responses = False
    _run(site, owner, tail_ms=30, duration_s=30.0)
    worker.throttle_percents.clear()
    _run(site, owner, tail_ms=30, duration_s=5.0)
    assert not worker.throttle_percents
