"""Tests of the pace of tasks that fill beside tasks that serve."""

import pytest

from standins.service_driver import ServiceDriver, Site, step_of

GOAL_MS = 100
SERVING = "j1.0.0.0"
FILLING = "j2.0.0.0"


@pytest.fixture
def site():
    found = Site(workers_count=1)
    found.submit("j1", step_of(1, is_long_running=True, goal_ms=GOAL_MS))
    found.submit("j2", step_of(1, is_long_running=True, is_best_effort=True))
    return found


def _run(site, owner, *, tail_ms, duration_s):
    site.workers["w0"].gauges[SERVING] = tail_ms
    owner.steps(round(duration_s / 0.2))


def test_filling_task_is_paused_before_the_goal_was_missed_for_long(site):
    """Guards against a serving task over its goal for four seconds by others' doing."""
    owner = ServiceDriver(site, 1)
    _run(site, owner, tail_ms=50, duration_s=2.0)
    assert FILLING not in site.workers["w0"].paces
    _run(site, owner, tail_ms=150, duration_s=3.6)
    assert site.workers["w0"].paces[FILLING] == 0
    assert SERVING not in site.workers["w0"].paces


def test_filling_task_goes_on_when_there_is_room(site):
    """Guards against a task that stays paused after the load has passed."""
    owner = ServiceDriver(site, 1)
    _run(site, owner, tail_ms=150, duration_s=4.0)
    _run(site, owner, tail_ms=90, duration_s=4.0)
    assert site.workers["w0"].paces[FILLING] == 0
    _run(site, owner, tail_ms=30, duration_s=12.0)
    assert site.workers["w0"].paces[FILLING] == 100


def test_successor_tells_the_pace_that_it_does_not_know(site):
    """Guards against a task that stays paused since its owner is gone."""
    former = ServiceDriver(site, 1)
    _run(site, former, tail_ms=150, duration_s=4.0)
    successor = ServiceDriver(site, 2)
    _run(site, successor, tail_ms=30, duration_s=3.0)
    assert site.workers["w0"].paces[FILLING] == 100


def test_pace_without_an_answer_is_told_again(site):
    """Guards against a limit that the worker has not, or carries out late."""
    owner = ServiceDriver(site, 1)
    owner.steps(5)
    site.workers["w0"].loses_answers = True
    _run(site, owner, tail_ms=150, duration_s=1.0)
    site.workers["w0"].loses_answers = False
    site.workers["w0"].paces.clear()
    _run(site, owner, tail_ms=150, duration_s=4.0)
    assert site.workers["w0"].paces[FILLING] == 0
